//! Writes histories by hand.

use mastichaven_core::Code;
use mastichaven_core::Outcome;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Generation;
use mastichaven_core::ids::StartId;
use mastichaven_proof::Answer;
use mastichaven_proof::CallId;
use mastichaven_proof::Op;
use mastichaven_proof::Process;
use mastichaven_proof::Promise;
use mastichaven_proof::Recorder;
use mastichaven_proof::Request;
use mastichaven_proof::Return;
use mastichaven_proof::Seen;
use mastichaven_proof::check;

pub const PARTS: u32 = 3;

/// A history under way.
#[derive(Default)]
pub struct Forge {
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

impl Forge {
    /// A fleet with versions `old` and `new`, and the generation 1 in force.
    pub fn fleet() -> Forge {
        let forge = Forge::default();
        for name in ["old", "new"] {
            forge.at("a", Seen::Defined { version: version(name), weights: weights(name) });
        }
        forge.accept("first", 1);
        forge.at("a", Seen::Loaded { version: version("old"), weights: weights("old") });
        forge.at("a", Seen::InForce(Generation(1)));
        forge.at("e", Seen::InForce(Generation(1)));
        forge.at("a", Seen::Settled(Generation(1)));
        forge
    }

    pub fn at(&self, name: &str, seen: Seen) {
        self.recorder.seen(host(name), seen);
    }

    pub fn accept(&self, content: &str, generation: u64) {
        let content = version(content);
        let operator = Process::Operator(0);
        self.recorder.invoke(operator.clone(), Op::Publish(content));
        let generation = Generation(generation);
        self.recorder.ret(operator, Return::Accepted { content, generation });
    }

    pub fn send(&mut self, work: &str, idempotent: bool) -> CallId {
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
        self.recorder.invoke(Process::Caller(0), Op::Request(request));
        call
    }

    pub fn begin(&self, name: &str, work: &str, running: u32) {
        let seen = Seen::Began {
            work: work.into(),
            zone: format!("zone-{name}").as_str().into(),
            start: StartId(1),
            running,
            bears: 2,
        };
        self.at(name, seen);
    }

    pub fn end(&self, name: &str, work: &str) {
        self.at(name, Seen::Ended { work: work.into(), whole: true });
    }

    pub fn answer(&self, call: CallId, answer: Answer) {
        self.recorder.ret(Process::Caller(0), Return::Answer { call, answer });
    }

    /// A lookup from its sending to its answer.
    pub fn lookup(&mut self, work: &str) {
        let call = self.send(work, true);
        self.begin("a", work, 1);
        self.end("a", work);
        self.answer(call, streamed(work, &[0, 1, 2], &["old"]));
    }

    /// A booking from its sending to its answer.
    pub fn booking(&mut self, work: &str, result: u64) {
        let call = self.send(work, false);
        self.begin("a", work, 1);
        self.end("a", work);
        self.answer(call, booked(work, result));
    }

    pub fn stop(&self, name: &str) {
        self.recorder.invoke(Process::Operator(0), Op::Stop(name.into()));
    }

    pub fn stopped(&self, name: &str) {
        self.recorder.ret(Process::Operator(0), Return::Stopped(name.into()));
    }

    /// Checks the history for one promise and gives the details of its breaches.
    pub fn breaches(&self, promise: Promise) -> Vec<String> {
        let verdict = check(promise, &self.recorder.finish());
        verdict.breaches.into_iter().map(|breach| breach.detail).collect()
    }

    /// Fails unless `promise` is kept by at least one event that could have broken it.
    pub fn assert_kept(&self, promise: Promise) {
        let verdict = check(promise, &self.recorder.finish());
        assert_eq!(verdict.breaches, [], "{promise:?}");
        assert!(verdict.examined > 0, "{promise:?} was kept by nothing");
    }
}

pub fn streamed(work: &str, parts: &[u32], versions: &[&str]) -> Answer {
    Answer::Final {
        outcome: Outcome::Ran,
        code: Code::Ok.number(),
        about: Some(work.into()),
        parts: parts.to_vec(),
        versions: versions.iter().map(|name| version(name)).collect(),
        result: None,
    }
}

pub fn booked(work: &str, result: u64) -> Answer {
    Answer::Final {
        outcome: Outcome::Ran,
        code: Code::Ok.number(),
        about: Some(work.into()),
        parts: Vec::new(),
        versions: Vec::new(),
        result: Some(result),
    }
}

pub fn coded(code: Code) -> Answer {
    Answer::Final {
        outcome: code.outcome(),
        code: code.number(),
        about: None,
        parts: Vec::new(),
        versions: Vec::new(),
        result: None,
    }
}
