//! The thread that pulls manifests and chunks from the origin, one at a time.

use std::sync::Arc;

use mastichaven_core::Code;
use mastichaven_core::ids::Digest;
use mastichaven_core::swarm::Request;
use mastichaven_core::swarm::RequestKind;
use mastichaven_core::swarm::RequestOutcome;

use super::budget::OriginBudget;
use super::budget::OriginPull;
use super::pull::Event;
use super::store::Store;
use crate::origin::Origin;

/// A request to the origin, with the maximum number of copies of its version that leave the origin.
pub(super) struct FetchJob {
    pub(super) request: Request,
    pub(super) max_copies: f64,
}

/// Pulls from the origin into the store, within the origin budget.
pub(super) struct OriginFetcher {
    pub(super) origin: Origin,
    pub(super) budget: OriginBudget,
    pub(super) store: Arc<Store>,
}

impl OriginFetcher {
    /// Runs jobs until the `weights-pull` thread ends.
    pub(super) fn run(
        mut self,
        jobs: &flume::Receiver<FetchJob>,
        events: &flume::WeakSender<Event>,
    ) {
        while let Ok(job) = jobs.recv() {
            let (outcome, error) = match self.fetch(&job) {
                Ok(outcome) => (outcome, None),
                Err(Code::CorruptChunk) => (RequestOutcome::Corrupt, Some(Code::CorruptChunk)),
                Err(Code::PulledBefore) => (RequestOutcome::AlreadyPulled, None),
                Err(code) => (RequestOutcome::Deferred, Some(code)),
            };
            let Some(events) = events.upgrade() else {
                return;
            };
            let done = Event::Done { request: job.request, outcome, availability: None, error };
            if events.send(done).is_err() {
                return;
            }
        }
    }

    fn fetch(&mut self, job: &FetchJob) -> Result<RequestOutcome, Code> {
        let version = job.request.version;
        match job.request.kind {
            RequestKind::Manifest => {
                let manifest = self.origin.manifest(version)?;
                self.store.put_manifest(manifest.clone())?;
                Ok(RequestOutcome::Manifest(manifest))
            }
            RequestKind::Chunk { digest, len, allow_repeat, .. } => {
                let pull = ChunkPull { version, digest, len, allow_repeat };
                self.chunk(job.max_copies, pull)
            }
            RequestKind::Have => Ok(RequestOutcome::MapReceived),
        }
    }

    fn chunk(&mut self, max_copies: f64, pull: ChunkPull) -> Result<RequestOutcome, Code> {
        let manifest = self.store.manifest(pull.version).ok_or(Code::NoChunk)?;
        let index = manifest.chunks.iter().position(|chunk| chunk.digest == pull.digest);
        let origin_pull = OriginPull {
            version: pull.version,
            version_len: manifest.len(),
            max_copies,
            index: index.ok_or(Code::NoChunk)?,
            len: u64::from(pull.len),
            allow_repeat: pull.allow_repeat,
        };
        self.budget.grant(&origin_pull)?;
        let bytes = self.origin.chunk(pull.digest).inspect_err(|code| {
            if matches!(code, Code::Unreachable | Code::NoChunk | Code::OriginBudget) {
                self.budget.return_grant(&origin_pull);
            }
        })?;
        self.store.put_chunk(pull.digest, &bytes)?;
        Ok(RequestOutcome::Stored)
    }
}

/// A chunk to pull from the origin.
#[derive(Clone, Copy)]
struct ChunkPull {
    version: Digest,
    digest: Digest,
    len: u32,
    allow_repeat: bool,
}
