//! Serves chunks to peers.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use mastichaven_core::ids::Digest;
use mastichaven_core::swarm::BUSY_QUEUE;
use mastichaven_core::swarm::Bitmap;
use mastichaven_core::swarm::LONG_POLL_TIMEOUT;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::timeout;

use super::STEP_INTERVAL;
use super::SwarmDriver;
use super::pulls::Chunks;
use super::pulls::Pull;
use crate::direct::connection;
use crate::direct::peers;
use crate::direct::peers::PeerReply;
use crate::direct::peers::PeerRequest;

/// Maximum number of concurrent requests of peers; further connections are closed.
const MAX_CONCURRENT_REQUESTS: usize = 64;

impl SwarmDriver {
    /// Accepts requests of peers; runs until the process exits.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let active_requests = Rc::new(Cell::new(0));
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(STEP_INTERVAL).await;
                continue;
            };
            if active_requests.get() >= MAX_CONCURRENT_REQUESTS {
                continue;
            }
            active_requests.set(active_requests.get() + 1);
            let (driver, active_requests) = (self.clone(), active_requests.clone());
            spawn_local(async move {
                // On a failure in mid-transfer, the peer retries with another host.
                let _ = timeout(LONG_POLL_TIMEOUT * 4, driver.serve_peer(stream)).await;
                active_requests.set(active_requests.get() - 1);
            });
        }
    }

    async fn serve_peer(&self, mut stream: TcpStream) -> std::io::Result<()> {
        connection::set_socket_options(&stream)?;
        let req: PeerRequest = peers::read_request(&mut stream).await?;
        let reply = match req {
            PeerRequest::Have { version } => self.availability_reply(version),
            PeerRequest::Manifest { version } => self.manifest_reply(version).await,
            PeerRequest::Chunk { .. } if self.uploads.get() >= BUSY_QUEUE => PeerReply::Busy,
            PeerRequest::Chunk { version, digest, may_wait } => {
                match self.wait_for_chunk(version, digest, may_wait).await {
                    Some(chunk) => return self.send_chunk(&mut stream, &chunk).await,
                    None => PeerReply::Absent,
                }
            }
        };
        peers::write(&mut stream, &reply).await
    }

    async fn send_chunk(&self, stream: &mut TcpStream, chunk: &Bytes) -> std::io::Result<()> {
        self.uploads.set(self.uploads.get() + 1);
        let sent = peers::send_pieces(stream, chunk, &self.upload_slots).await;
        self.uploads.set(self.uploads.get() - 1);
        sent
    }

    fn availability_reply(&self, version: Digest) -> PeerReply {
        let Some(chunks) = self.chunks_of(version) else {
            return PeerReply::Have { map: Bitmap::default(), queue: 0 };
        };
        let mut map = Bitmap::zeros(chunks.have.len());
        for (index, _) in chunks.have.iter().enumerate().filter(|(_, have)| **have) {
            map.set(index);
        }
        PeerReply::Have { map, queue: self.uploads.get() }
    }

    async fn manifest_reply(&self, version: Digest) -> PeerReply {
        let deadline = Instant::now() + LONG_POLL_TIMEOUT;
        loop {
            if let Some(Chunks { chunk_len, digests, .. }) = self.chunks_of(version) {
                return PeerReply::Manifest { chunk_len, digests };
            }
            if tokio::time::timeout_at(deadline, self.changed.notified()).await.is_err() {
                return PeerReply::Absent;
            }
        }
    }

    /// The chunk if it is staged or buffered, possibly after a wait of up to [`LONG_POLL_TIMEOUT`]. Without
    /// `may_wait`, the wait ends at the first change of the swarm's state.
    async fn wait_for_chunk(
        &self,
        version: Digest,
        digest: Digest,
        may_wait: bool,
    ) -> Option<Bytes> {
        let deadline = Instant::now() + LONG_POLL_TIMEOUT;
        loop {
            if let Some((target, index)) = self.locate_chunk(version, digest)
                && self.chunks_of(version).is_some_and(|chunks| chunks.have[index])
            {
                let buffered_chunk = |pull: &mut Pull| pull.buffered.get(&index).cloned();
                if let Some(bytes) = self.with_pull(version, buffered_chunk).flatten() {
                    return Some(bytes);
                }
                return self.endpoint_client.staged_chunk(&target.model, index, digest).await.ok();
            }
            let waited = tokio::time::timeout_at(deadline, self.changed.notified()).await;
            if !may_wait || waited.is_err() {
                return None;
            }
        }
    }
}
