//! Constructs histories without running a fleet.

use mastichaven_core::Code;
use mastichaven_core::Outcome;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Generation;
use mastichaven_core::ids::StartId;
use mastichaven_proof::Answer;
use mastichaven_proof::CallId;
use mastichaven_proof::Observation;
use mastichaven_proof::Op;
use mastichaven_proof::Process;
use mastichaven_proof::Promise;
use mastichaven_proof::Recorder;
use mastichaven_proof::Request;
use mastichaven_proof::Return;
use mastichaven_proof::check;

pub const PARTS: u32 = 3;

/// Appends events to a history and checks it.
#[derive(Default)]
pub struct HistoryBuilder {
    pub recorder: Recorder,
    calls: u64,
}

pub fn version(name: &str) -> Digest {
    Digest::of(name.as_bytes())
}

pub fn weights(name: &str) -> Digest {
    Digest::of(format!("weights of {name}").as_bytes())
}

pub fn host(name: &str) -> Process {
    Process::Host(name.into())
}

impl HistoryBuilder {
    /// A history in which versions `old` and `new` are defined and generation 1 is in force.
    pub fn with_fleet() -> HistoryBuilder {
        let builder = HistoryBuilder::default();
        for name in ["old", "new"] {
            builder.observe(
                "a",
                Observation::Defined { version: version(name), weights: weights(name) },
            );
        }
        builder.accept_config("first", 1);
        builder
            .observe("a", Observation::Loaded { version: version("old"), weights: weights("old") });
        builder.observe("a", Observation::InForce(Generation(1)));
        builder.observe("e", Observation::InForce(Generation(1)));
        builder.observe("a", Observation::Settled(Generation(1)));
        builder
    }

    pub fn observe(&self, name: &str, observation: Observation) {
        self.recorder.record_observation(host(name), observation);
    }

    pub fn accept_config(&self, content: &str, generation: u64) {
        let content = version(content);
        let operator = Process::Operator(0);
        self.recorder.record_invocation(operator.clone(), Op::Publish(content));
        let generation = Generation(generation);
        self.recorder.record_return(operator, Return::Accepted { content, generation });
    }

    pub fn send_request(&mut self, work: &str, idempotent: bool) -> CallId {
        self.calls += 1;
        let call = CallId(self.calls);
        let parts = idempotent.then_some(PARTS);
        let request = Request {
            call,
            work: work.into(),
            about: work.into(),
            entry: "e".into(),
            idempotent,
            parts,
        };
        self.recorder.record_invocation(Process::Caller(0), Op::Request(request));
        call
    }

    pub fn begin_request(&self, name: &str, work: &str, running: u32) {
        let observation = Observation::Began {
            work: work.into(),
            zone: format!("zone-{name}").as_str().into(),
            start: StartId(1),
            running,
            bears: 2,
        };
        self.observe(name, observation);
    }

    pub fn end_request(&self, name: &str, work: &str) {
        self.observe(name, Observation::Ended { work: work.into(), whole: true });
    }

    pub fn return_answer(&self, call: CallId, answer: Answer) {
        self.recorder.record_return(Process::Caller(0), Return::Answer { call, answer });
    }

    /// A lookup from the request to its answer.
    pub fn complete_lookup(&mut self, work: &str) {
        let call = self.send_request(work, true);
        self.begin_request("a", work, 1);
        self.end_request("a", work);
        self.return_answer(call, streamed_answer(work, &[0, 1, 2], &["old"]));
    }

    /// A booking from the request to its answer.
    pub fn complete_booking(&mut self, work: &str, result: u64) {
        let call = self.send_request(work, false);
        self.begin_request("a", work, 1);
        self.end_request("a", work);
        self.return_answer(call, booking_answer(work, result));
    }

    pub fn begin_stop(&self, name: &str) {
        self.recorder.record_invocation(Process::Operator(0), Op::Stop(name.into()));
    }

    pub fn end_stop(&self, name: &str) {
        self.recorder.record_return(Process::Operator(0), Return::Stopped(name.into()));
    }

    /// Checks one promise and returns the details of its violations.
    pub fn violations(&self, promise: Promise) -> Vec<String> {
        let verdict = check(promise, &self.recorder.snapshot());
        verdict.violations.into_iter().map(|violation| violation.detail).collect()
    }

    /// Panics unless `promise` was checked at least once without a violation.
    pub fn assert_holds(&self, promise: Promise) {
        let verdict = check(promise, &self.recorder.snapshot());
        assert_eq!(verdict.violations, [], "{promise:?}");
        assert!(verdict.examined > 0, "{promise:?} was never checked");
    }
}

pub fn streamed_answer(work: &str, parts: &[u32], versions: &[&str]) -> Answer {
    Answer::Final {
        outcome: Outcome::Ran,
        code: Code::Ok.number(),
        about: Some(work.into()),
        parts: parts.to_vec(),
        versions: versions.iter().map(|name| version(name)).collect(),
        result: None,
    }
}

pub fn booking_answer(work: &str, result: u64) -> Answer {
    Answer::Final {
        outcome: Outcome::Ran,
        code: Code::Ok.number(),
        about: Some(work.into()),
        parts: Vec::new(),
        versions: Vec::new(),
        result: Some(result),
    }
}

pub fn coded_answer(code: Code) -> Answer {
    Answer::Final {
        outcome: code.outcome(),
        code: code.number(),
        about: None,
        parts: Vec::new(),
        versions: Vec::new(),
        result: None,
    }
}
