//! The thread that takes manifests and chunks from the origin, one after the other.

use std::sync::Arc;

use mastichaven_core::Code;
use mastichaven_core::ids::Digest;
use mastichaven_core::swarm::Request;
use mastichaven_core::swarm::RequestKind;
use mastichaven_core::swarm::RequestOutcome;

use super::budget::OriginBudget;
use super::budget::Price;
use super::pull::Event;
use super::store::Store;
use crate::origin::Origin;

/// A request to the origin and the budget of its version.
pub(super) struct Fetch {
    pub(super) request: Request,
    pub(super) copies: f64,
}

/// Takes from the origin.
pub(super) struct Fetcher {
    pub(super) origin: Origin,
    pub(super) budget: OriginBudget,
    pub(super) store: Arc<Store>,
}

impl Fetcher {
    /// Serves the ring until the pulling thread ends.
    pub(super) fn run(mut self, jobs: &flume::Receiver<Fetch>, events: &flume::WeakSender<Event>) {
        while let Ok(job) = jobs.recv() {
            let (end, error) = match self.fetch(&job) {
                Ok(end) => (end, None),
                Err(Code::CorruptChunk) => (RequestOutcome::Corrupt, Some(Code::CorruptChunk)),
                Err(Code::PulledBefore) => (RequestOutcome::AlreadyPulled, None),
                Err(code) => (RequestOutcome::Deferred, Some(code)),
            };
            let Some(events) = events.upgrade() else {
                return;
            };
            let done = Event::Done { request: job.request, end, told: None, error };
            if events.send(done).is_err() {
                return;
            }
        }
    }

    fn fetch(&mut self, job: &Fetch) -> Result<RequestOutcome, Code> {
        let version = job.request.version;
        match job.request.kind {
            RequestKind::Manifest => {
                let manifest = self.origin.manifest(version)?;
                self.store.put_manifest(manifest.clone())?;
                Ok(RequestOutcome::Manifest(manifest))
            }
            RequestKind::Chunk { digest, len, allow_repeat, .. } => {
                let pull = Pull { version, digest, len, repeat: allow_repeat };
                self.chunk(job.copies, pull)
            }
            RequestKind::Have => Ok(RequestOutcome::MapReceived),
        }
    }

    fn chunk(&mut self, copies: f64, pull: Pull) -> Result<RequestOutcome, Code> {
        let manifest = self.store.manifest(pull.version).ok_or(Code::NoChunk)?;
        let index = manifest.chunks.iter().position(|chunk| chunk.digest == pull.digest);
        let price = Price {
            version: pull.version,
            version_len: manifest.len(),
            copies,
            index: index.ok_or(Code::NoChunk)?,
            len: u64::from(pull.len),
            repeat: pull.repeat,
        };
        self.budget.pay(&price)?;
        let bytes = self.origin.chunk(pull.digest).inspect_err(|code| {
            if matches!(code, Code::Unreachable | Code::NoChunk | Code::OriginBudget) {
                self.budget.give_back(&price);
            }
        })?;
        self.store.put_chunk(pull.digest, &bytes)?;
        Ok(RequestOutcome::Stored)
    }
}

/// A chunk to take from the origin.
#[derive(Clone, Copy)]
struct Pull {
    version: Digest,
    digest: Digest,
    len: u32,
    repeat: bool,
}
