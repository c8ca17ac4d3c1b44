//! The history of a run: a numbered sequence of typed events.
//!
//! A process records an invocation before the operation starts and a return after it has ended.
//! The sequence numbers therefore respect real time: if one operation returned before another was
//! invoked, its numbers are lower.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use mastichaven_core::Outcome;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Generation;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::StartId;
use mastichaven_core::ids::ZoneName;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The process that an event happened at.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Process {
    /// A caller thread, by its number.
    Caller(u32),
    /// An operator, or the thread that acts as one, by its number.
    Operator(u32),
    /// The entry, agent or endpoint on that host.
    Host(HostName),
}

/// Identifies one HTTP call of a caller; a resend is another call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CallId(pub u64);

/// A request as a caller sends it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// The call that sends it.
    pub call: CallId,
    /// Identifier of the logical request: resends share it, all other requests differ. The body
    /// carries it, so that the endpoint's events contain it too.
    pub work: SmolStr,
    /// The subject that a whole answer must name.
    pub about: SmolStr,
    /// Host of the entry it is sent to.
    pub entry: HostName,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Number of parts in a whole answer; `None` if the service does not stream.
    pub parts: Option<u32>,
}

/// The answer that a caller received.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// The connection could not be opened: no byte of the request was sent.
    NotTaken,
    /// A complete HTTP response with its outcome.
    Final {
        /// Whether the request ran, according to the answer.
        outcome: Outcome,
        /// Number of the [`Code`](mastichaven_core::Code).
        code: u16,
        /// The subject named in the body; `None` if the body holds no result.
        about: Option<SmolStr>,
        /// Numbers of the body's parts, in the order of arrival.
        parts: Vec<u32>,
        /// The distinct versions that the parts name.
        versions: Vec<Digest>,
        /// Result of a non-idempotent request, such as its booking number.
        result: Option<u64>,
    },
    /// The connection ended or timed out before the answer was complete.
    Cut {
        /// Whether part of the answer had arrived.
        answering: bool,
    },
}

/// The invocation of an operation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Op {
    /// A caller sends a request.
    Request(Request),
    /// An operator publishes a configuration with this content.
    Publish(Digest),
    /// A process reads the accepted generation from the platform.
    ReadAccepted,
    /// A planned stop of the process on a host.
    Stop(HostName),
    /// An operator starts to bring a zone back into service.
    Reopen(ZoneName),
}

/// The return of an operation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Return {
    /// Return of [`Op::Request`].
    Answer {
        /// The call that returned.
        call: CallId,
        /// The answer it received.
        answer: Answer,
    },
    /// Return of [`Op::Publish`]: the configuration was accepted.
    Accepted {
        /// Digest of the published configuration.
        content: Digest,
        /// The generation it was accepted as.
        generation: Generation,
    },
    /// Return of [`Op::Publish`]: the content was refused and nothing changed.
    Refused(Digest),
    /// Return of [`Op::Publish`]: the content may or may not have been accepted.
    Unknown(Digest),
    /// Return of [`Op::ReadAccepted`]: the accepted generation.
    Held(Generation),
    /// Return of [`Op::Stop`]: the process on this host has ended.
    Stopped(HostName),
}

/// A state change that was observed at one moment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Observation {
    /// The weights that belong to a version; recorded before the run.
    Defined {
        /// Digest of the manifest.
        version: Digest,
        /// Digest of the complete weights.
        weights: Digest,
    },
    /// An engine executed a load order.
    Loaded {
        /// The version in the order.
        version: Digest,
        /// Digest of the bytes that the engine read.
        weights: Digest,
    },
    /// An endpoint started to run a request.
    Began {
        /// [`Request::work`], as read from the body.
        work: SmolStr,
        /// The endpoint's zone.
        zone: ZoneName,
        /// The start of the endpoint process that runs it.
        start: StartId,
        /// Requests running at the endpoint, including this one.
        running: u32,
        /// The endpoint's current capacity, in requests.
        bears: u32,
    },
    /// An endpoint stopped running a request.
    Ended {
        /// [`Request::work`], as read from the body.
        work: SmolStr,
        /// Whether the complete answer was written.
        whole: bool,
    },
    /// The endpoint on this host crashed, was partitioned, or its host failed.
    Lost,
    /// The endpoint turned cold by itself, which cannot be detected before it gets a request.
    TurnedCold,
    /// A fault was injected or repaired, as text for readers of the history.
    Injected(SmolStr),
    /// A process started with empty state.
    Started,
    /// This generation is in force in the process.
    InForce(Generation),
    /// This generation or a later one is in force in every live process that can be reached.
    Settled(Generation),
    /// A settled configuration takes this zone out of service.
    ZoneClosed(ZoneName),
    /// A leaving host no longer reports itself ready.
    HostClosed(HostName),
}

/// The content of an event: an invocation, a return or an observation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Step {
    /// An operation begins.
    Invoke(Op),
    /// An operation ends.
    Return(Return),
    /// Something was observed.
    Seen(Observation),
}

/// One entry of a [`History`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// Position in the history, counted from 0.
    pub sequence: u64,
    /// The process it happened at.
    pub process: Process,
    /// The invocation, return or observation.
    pub step: Step,
}

impl Event {
    /// The `work` of the request that this event concerns; for an answer, that of its call.
    pub(crate) fn work(&self, events: &[Event]) -> Option<SmolStr> {
        match &self.step {
            Step::Invoke(Op::Request(request)) => Some(request.work.clone()),
            Step::Seen(Observation::Began { work, .. } | Observation::Ended { work, .. }) => {
                Some(work.clone())
            }
            Step::Return(Return::Answer { call, .. }) => {
                events.iter().find_map(|event| match &event.step {
                    Step::Invoke(Op::Request(request)) if request.call == *call => {
                        Some(request.work.clone())
                    }
                    _ => None,
                })
            }
            _ => None,
        }
    }
}

/// Collects events from any thread and numbers them.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    events: Arc<Mutex<Vec<Event>>>,
}

impl Recorder {
    /// Records that `process` is about to start an operation.
    pub fn record_invocation(&self, process: Process, op: Op) {
        self.push(process, Step::Invoke(op));
    }

    /// Records that an operation of `process` has ended.
    pub fn record_return(&self, process: Process, ret: Return) {
        self.push(process, Step::Return(ret));
    }

    /// Records an observation.
    pub fn record_observation(&self, process: Process, observation: Observation) {
        self.push(process, Step::Seen(observation));
    }

    /// A copy of the history recorded so far.
    pub fn snapshot(&self) -> History {
        History { events: self.events.lock().expect("no holder of this lock panics").clone() }
    }

    fn push(&self, process: Process, step: Step) {
        let mut events = self.events.lock().expect("no holder of this lock panics");
        let sequence = events.len() as u64;
        events.push(Event { sequence, process, step });
    }
}

/// The events of a run, in order.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct History {
    events: Vec<Event>,
}

/// One call with its invocation and its return.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call<'a> {
    pub(crate) invoked: u64,
    pub(crate) request: &'a Request,
    pub(crate) returned: Option<(u64, &'a Answer)>,
}

impl Call<'_> {
    pub(crate) fn outcome(&self) -> Option<Outcome> {
        match self.returned {
            Some((_, Answer::Final { outcome, .. })) => Some(*outcome),
            _ => None,
        }
    }

    /// Whether the caller can rule out that this call ran.
    pub(crate) fn is_confirmed_not_run(&self) -> bool {
        let not_taken = matches!(self.returned, Some((_, Answer::NotTaken)));
        not_taken || self.outcome() == Some(Outcome::NotRun)
    }
}

impl History {
    /// All events, in order.
    pub fn events(&self) -> &[Event] {
        &self.events
    }

    pub(crate) fn calls(&self) -> BTreeMap<CallId, Call<'_>> {
        let mut calls = BTreeMap::new();
        for event in &self.events {
            match &event.step {
                Step::Invoke(Op::Request(request)) => {
                    let call = Call { invoked: event.sequence, request, returned: None };
                    calls.insert(request.call, call);
                }
                Step::Return(Return::Answer { call, answer }) => {
                    if let Some(call) = calls.get_mut(call) {
                        call.returned = Some((event.sequence, answer));
                    }
                }
                _ => {}
            }
        }
        calls
    }

    /// The calls of each `work`, in order of invocation.
    pub(crate) fn calls_by_work(&self) -> BTreeMap<&str, Vec<Call<'_>>> {
        let mut works: BTreeMap<&str, Vec<Call<'_>>> = BTreeMap::new();
        for call in self.calls().into_values() {
            works.entry(call.request.work.as_str()).or_default().push(call);
        }
        works
    }

    /// The sequence numbers of the [`Observation::Began`] events of each `work`.
    pub(crate) fn began_events_by_work(&self) -> BTreeMap<&str, Vec<u64>> {
        let mut works: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        for event in &self.events {
            if let Step::Seen(Observation::Began { work, .. }) = &event.step {
                works.entry(work.as_str()).or_default().push(event.sequence);
            }
        }
        works
    }
}
