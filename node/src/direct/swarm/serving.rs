//! Answers the peers that take chunks from this agent.

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

use super::STEP;
use super::SwarmHost;
use super::pulls::Chunks;
use super::pulls::Pull;
use crate::direct::connection;
use crate::direct::peers;
use crate::direct::peers::PeerReply;
use crate::direct::peers::PeerRequest;

/// Questions of peers answered at once.
const MAX_ASKS: usize = 64;

impl SwarmHost {
    /// Answers peers until the process ends.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let asks = Rc::new(Cell::new(0));
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(STEP).await;
                continue;
            };
            if asks.get() >= MAX_ASKS {
                continue;
            }
            asks.set(asks.get() + 1);
            let (host, asks) = (self.clone(), asks.clone());
            spawn_local(async move {
                // A peer that goes away in the middle asks somebody else.
                let _ = timeout(LONG_POLL_TIMEOUT * 4, host.serve_peer(stream)).await;
                asks.set(asks.get() - 1);
            });
        }
    }

    async fn serve_peer(&self, mut stream: TcpStream) -> std::io::Result<()> {
        connection::set_socket_options(&stream)?;
        let req: PeerRequest = peers::read(&mut stream).await?;
        let reply = match req {
            PeerRequest::Have { version } => self.tell_have(version),
            PeerRequest::Manifest { version } => self.tell_manifest(version).await,
            PeerRequest::Chunk { .. } if self.sending.get() >= BUSY_QUEUE => PeerReply::Busy,
            PeerRequest::Chunk { version, digest, may_wait: park } => {
                match self.find_chunk(version, digest, park).await {
                    Some(chunk) => return self.send_chunk(&mut stream, &chunk).await,
                    None => PeerReply::Absent,
                }
            }
        };
        peers::write(&mut stream, &reply).await
    }

    async fn send_chunk(&self, stream: &mut TcpStream, chunk: &Bytes) -> std::io::Result<()> {
        self.sending.set(self.sending.get() + 1);
        let sent = peers::send_pieces(stream, chunk, &self.link_turn).await;
        self.sending.set(self.sending.get() - 1);
        sent
    }

    fn tell_have(&self, version: Digest) -> PeerReply {
        let Some(chunks) = self.chunks_of(version) else {
            return PeerReply::Have { map: Bitmap::default(), queue: 0 };
        };
        let mut map = Bitmap::zeros(chunks.have.len());
        for (index, _) in chunks.have.iter().enumerate().filter(|(_, have)| **have) {
            map.set(index);
        }
        PeerReply::Have { map, queue: self.sending.get() }
    }

    async fn tell_manifest(&self, version: Digest) -> PeerReply {
        let until = Instant::now() + LONG_POLL_TIMEOUT;
        loop {
            if let Some(Chunks { chunk_len, digests, .. }) = self.chunks_of(version) {
                return PeerReply::Manifest { chunk_len, digests };
            }
            if tokio::time::timeout_at(until, self.changed.notified()).await.is_err() {
                return PeerReply::Absent;
            }
        }
    }

    /// A chunk that is staged here, or is within the time that a request may wait.
    async fn find_chunk(&self, version: Digest, digest: Digest, park: bool) -> Option<Bytes> {
        let until = Instant::now() + LONG_POLL_TIMEOUT;
        loop {
            if let Some((target, index)) = self.place_of(version, digest)
                && self.chunks_of(version).is_some_and(|chunks| chunks.have[index])
            {
                let waiting = |pull: &mut Pull| pull.waiting.get(&index).cloned();
                if let Some(bytes) = self.with_pull(version, waiting).flatten() {
                    return Some(bytes);
                }
                return self.staging.chunk(&target.model, index, digest).await.ok();
            }
            let waited = tokio::time::timeout_at(until, self.changed.notified()).await;
            if !park || waited.is_err() {
                return None;
            }
        }
    }
}
