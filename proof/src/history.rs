//! What happened in a run, as one numbered sequence of typed events.
//!
//! A process records the invocation of an operation before it starts it and the return after it
//! has ended, so that the numbers respect real time: if one operation returned before another was
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

/// Who an event happened at.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Process {
    /// A caller thread.
    Caller(u32),
    /// An operator or the thread that plays one.
    Operator(u32),
    /// An entry, an agent, or the endpoint on that host.
    Host(HostName),
}

/// Names one HTTP call of a caller; a resend is another call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CallId(pub u64);

/// What a caller sends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// The call.
    pub call: CallId,
    /// What it asks for. Resends carry the same name, all other requests one of their own; the
    /// body holds it, so that the endpoint's events name it too.
    pub work: SmolStr,
    /// What a whole answer says it is about.
    pub about: SmolStr,
    /// The entry it is sent to.
    pub entry: HostName,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Parts that a whole answer has; `None` when the service answers in one piece.
    pub parts: Option<u32>,
}

/// What a caller got.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// No connection could be made: no byte of the request left the caller.
    NotTaken,
    /// A final answer with its outcome.
    Final {
        /// What the answer says of the request.
        outcome: Outcome,
        /// The numbered code.
        code: u16,
        /// What the body says it is about; `None` when it holds nobody's result.
        about: Option<SmolStr>,
        /// Numbers of the body's parts, in the order in which they came.
        parts: Vec<u32>,
        /// Every version that a part names.
        versions: Vec<Digest>,
        /// What a run of a non-idempotent request returned, such as its booking number.
        result: Option<u64>,
    },
    /// The connection ended, or fell silent, before the answer was whole.
    Cut {
        /// Whether the answer had begun.
        answering: bool,
    },
}

/// An operation as it is invoked.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Op {
    /// A caller sends a request.
    Request(Request),
    /// An operator publishes a configuration with this content.
    Publish(Digest),
    /// Somebody reads the accepted generation on the platform.
    ReadAccepted,
    /// A planned stop of the process on a host.
    Stop(HostName),
    /// Operators begin to bring a zone back.
    Reopen(ZoneName),
}

/// How an operation returned.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Return {
    /// Return of [`Op::Request`].
    Answer {
        /// The call.
        call: CallId,
        /// What it got.
        answer: Answer,
    },
    /// Return of [`Op::Publish`]: accepted under this generation.
    Accepted {
        /// What was published.
        content: Digest,
        /// Its generation.
        generation: Generation,
    },
    /// Return of [`Op::Publish`]: refused, nothing changed.
    Refused(Digest),
    /// Return of [`Op::Publish`]: it may or may not have been accepted.
    Unknown(Digest),
    /// Return of [`Op::ReadAccepted`].
    Held(Generation),
    /// Return of [`Op::Stop`]: the process has ended.
    Stopped(HostName),
}

/// What was observed at one moment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Seen {
    /// The weights that a version stands for, known before the run.
    Defined {
        /// Digest of the manifest.
        version: Digest,
        /// Digest of the whole weights.
        weights: Digest,
    },
    /// An engine loaded what it was ordered to.
    Loaded {
        /// The version it was told.
        version: Digest,
        /// Digest of the bytes it read.
        weights: Digest,
    },
    /// An endpoint took up a request.
    Began {
        /// The work that the body names.
        work: SmolStr,
        /// The endpoint's zone.
        zone: ZoneName,
        /// The endpoint's life.
        start: StartId,
        /// Requests at the endpoint, this one included.
        running: u32,
        /// Requests it bears at this moment.
        bears: u32,
    },
    /// An endpoint finished a request.
    Ended {
        /// The work that the body names.
        work: SmolStr,
        /// Whether all of the answer was written.
        whole: bool,
    },
    /// The endpoint of a host ended unasked, was cut off, or its host died.
    Lost,
    /// The endpoint turned cold unasked: nobody can know before it is given work.
    TurnedCold,
    /// A fault was brought about, or mended; for people who read the history.
    Injected(SmolStr),
    /// A process started anew and knows nothing yet.
    Started,
    /// A process holds this configuration in force.
    InForce(Generation),
    /// Every live process that can be reached was seen to hold this generation or a later one.
    Settled(Generation),
    /// A settled configuration has this zone out.
    ZoneClosed(ZoneName),
    /// A host that is leaving was seen not to be ready any more.
    HostClosed(HostName),
}

/// An invocation, a return or an observation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Step {
    /// An operation begins.
    Invoke(Op),
    /// An operation ends.
    Return(Return),
    /// Something was observed.
    Seen(Seen),
}

/// One event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// Its place in the history, from 0.
    pub sequence: u64,
    /// Where it happened.
    pub process: Process,
    /// What happened.
    pub step: Step,
}

impl Event {
    /// The work that this event is about; an answer is about that of its call.
    pub(crate) fn work(&self, events: &[Event]) -> Option<SmolStr> {
        match &self.step {
            Step::Invoke(Op::Request(request)) => Some(request.work.clone()),
            Step::Seen(Seen::Began { work, .. } | Seen::Ended { work, .. }) => Some(work.clone()),
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

/// Takes events from any thread and numbers them.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    events: Arc<Mutex<Vec<Event>>>,
}

impl Recorder {
    /// Records that `process` begins an operation.
    pub fn invoke(&self, process: Process, op: Op) {
        self.push(process, Step::Invoke(op));
    }

    /// Records that an operation of `process` has ended.
    pub fn ret(&self, process: Process, ret: Return) {
        self.push(process, Step::Return(ret));
    }

    /// Records an observation.
    pub fn seen(&self, process: Process, seen: Seen) {
        self.push(process, Step::Seen(seen));
    }

    /// The history so far.
    pub fn finish(&self) -> History {
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

    /// Whether the caller knows for sure that this call did not run.
    pub(crate) fn is_told_not_run(&self) -> bool {
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

    /// The calls of each work, in order of their invocation.
    pub(crate) fn calls_by_work(&self) -> BTreeMap<&str, Vec<Call<'_>>> {
        let mut works: BTreeMap<&str, Vec<Call<'_>>> = BTreeMap::new();
        for call in self.calls().into_values() {
            works.entry(call.request.work.as_str()).or_default().push(call);
        }
        works
    }

    /// The places at which endpoints took up each work.
    pub(crate) fn began_by_work(&self) -> BTreeMap<&str, Vec<u64>> {
        let mut works: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        for event in &self.events {
            if let Step::Seen(Seen::Began { work, .. }) = &event.step {
                works.entry(work.as_str()).or_default().push(event.sequence);
            }
        }
        works
    }
}
