//! Requests among agents: which chunks of a version a peer has, its digests, its chunks.
//!
//! One question a connection, each way a length and a message. A host's link carries about a megabyte
//! a second, so a connection costs little beside the chunk it carries.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::ids::Digest;
use mastichaven_core::swarm::Bitmap;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::connection;

/// Bytes of a message at most.
pub const MAX_MESSAGE_LEN: u32 = 8 << 20;

/// Messages from this length on are compressed: configurations with many routes, above all. While
/// one of them goes to all followers, pongs wait behind it; the followers would take their parent for too
/// old, turn to the store all at once, and fill its links for seconds.
const COMPRESS_FROM: usize = 4 << 10;

/// Marks the length of a compressed message.
const COMPRESSED: u32 = 1 << 31;

/// Time for a connection to a peer.
const CONNECT_WITHIN: Duration = Duration::from_millis(500);

/// Result of asking a peer.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Why a peer could not be asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerError {
    /// It cannot be reached.
    Unreachable,
    /// It did not answer in time, or broke off.
    Silent,
}

impl PeerError {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            PeerError::Unreachable => "unreachable",
            PeerError::Silent => "silent",
        }
    }
}

/// A question to a peer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerRequest {
    /// What it has of a version.
    Have {
        /// The version.
        version: Digest,
    },
    /// The digests of a version.
    Manifest {
        /// The version.
        version: Digest,
    },
    /// A chunk.
    Chunk {
        /// The version.
        version: Digest,
        /// The chunk.
        digest: Digest,
        /// Whether the peer may wait until it has the chunk.
        park: bool,
    },
}

/// An answer of a peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// What it has, and the chunks that wait on its link.
    Have {
        /// One bit a chunk.
        map: Bitmap,
        /// Chunks it is sending.
        queue: u32,
    },
    /// The digests, in order, and the bytes of a chunk.
    Manifest {
        /// Bytes of a chunk.
        chunk_len: u32,
        /// SHA-256 of each chunk.
        digests: Vec<Digest>,
    },
    /// It has the chunk, of this length, and sends a piece whenever it is asked for the next one.
    ChunkFollows(u32),
    /// It does not have what was asked for.
    Absent,
    /// It is sending enough already.
    Busy,
    /// It will have what was asked for, but not in the time that a request may wait.
    NotYet,
}

async fn connect(address: SocketAddr) -> Result<TcpStream> {
    match timeout(CONNECT_WITHIN, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(_)) | Err(_) => Err(PeerError::Unreachable),
    }
}

/// Asks the process at `address`.
pub async fn ask<T: DeserializeOwned>(
    address: SocketAddr,
    req: &impl Serialize,
    within: Duration,
) -> Result<T> {
    let mut stream = connect(address).await?;
    let exchange = async {
        connection::set_socket_options(&stream)?;
        write(&mut stream, req).await?;
        read(&mut stream).await
    };
    match timeout(within, exchange).await {
        Ok(Ok(reply)) => Ok(reply),
        Ok(Err(_)) | Err(_) => Err(PeerError::Silent),
    }
}

/// Bytes of a chunk under way to a host at once. Chunks share the host's narrow link with live requests, which
/// would wait behind a whole chunk for long.
pub const PIECE_LEN: usize = 8 << 10;

/// Pieces under way out of a host at once. A piece waits on two links in turn, so with few pieces the
/// links are often idle; with more of them, the events of streams on the link wait longer for the last.
pub const PIECES_OUT: usize = 6;

/// Pieces under way into a host at once: more, as some peers are busy.
pub const PIECES_IN: usize = 8;

/// How long a piece may keep others from the link.
const PIECE_WITHIN: Duration = Duration::from_millis(1_000);

/// Asks for the next piece of a chunk, and tells that a piece has arrived.
const NEXT: u8 = 1;
const ARRIVED: u8 = 2;

/// Takes a chunk from the process at `address`, or what it replies instead. It begins to answer within
/// `reply_within`, and the chunk comes `within` that time after.
pub async fn take_chunk(
    address: SocketAddr,
    req: &impl Serialize,
    reply_within: Duration,
    within: Duration,
    intake: &Semaphore,
) -> Result<std::result::Result<Bytes, PeerReply>> {
    let mut stream = connect(address).await?;
    let exchange = async {
        connection::set_socket_options(&stream)?;
        write(&mut stream, req).await?;
        read(&mut stream).await
    };
    let reply = timeout(reply_within, exchange).await.map_err(|_| PeerError::Silent)?;
    let len = match reply.map_err(|_: io::Error| PeerError::Silent)? {
        PeerReply::ChunkFollows(len) if len <= MAX_MESSAGE_LEN => len as usize,
        other => return Ok(Err(other)),
    };
    match timeout(within, read_pieces(&mut stream, len, intake)).await {
        Ok(Ok(bytes)) => Ok(Ok(bytes)),
        Ok(Err(_)) | Err(_) => Err(PeerError::Silent),
    }
}

async fn read_pieces(stream: &mut TcpStream, len: usize, intake: &Semaphore) -> io::Result<Bytes> {
    let mut buf = vec![0; len];
    for piece in buf.chunks_mut(PIECE_LEN) {
        let turn = intake.acquire().await.map_err(io::Error::other)?;
        stream.write_u8(NEXT).await?;
        stream.read_exact(piece).await?;
        drop(turn);
        // Sent at once and not with the next request, which may wait for a turn here: the peer keeps its
        // own link for this piece until then, and two hosts that wait for each other would stand still.
        stream.write_u8(ARRIVED).await?;
    }
    Ok(Bytes::from(buf))
}

/// Sends a chunk piece by piece, as the peer asks for them. A piece keeps its turn on the link until
/// the peer tells that it has arrived.
pub async fn send_pieces(stream: &mut TcpStream, chunk: &[u8], turn: &Semaphore) -> io::Result<()> {
    write(stream, &PeerReply::ChunkFollows(chunk.len() as u32)).await?;
    for piece in chunk.chunks(PIECE_LEN) {
        expect(stream, NEXT).await?;
        let _turn = turn.acquire().await.map_err(io::Error::other)?;
        stream.write_all(piece).await?;
        let arrived = timeout(PIECE_WITHIN, expect(stream, ARRIVED)).await;
        arrived.unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut)))?;
    }
    Ok(())
}

async fn expect(stream: &mut TcpStream, wanted: u8) -> io::Result<()> {
    let byte = stream.read_u8().await?;
    if byte == wanted { Ok(()) } else { Err(invalid()) }
}

/// Reads a message.
pub async fn read<T: DeserializeOwned>(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<T> {
    let head = stream.read_u32().await?;
    let len = head & !COMPRESSED;
    if len > MAX_MESSAGE_LEN {
        return Err(invalid());
    }
    let mut body = vec![0; len as usize];
    stream.read_exact(&mut body).await?;
    if head & COMPRESSED != 0 {
        body = decompress(&body)?;
    }
    postcard::from_bytes(&body).map_err(|_| invalid())
}

/// Writes a message.
pub async fn write<T: Serialize>(stream: &mut TcpStream, message: &T) -> io::Result<()> {
    stream.write_all(&frame(message)?).await?;
    stream.flush().await
}

/// The bytes of a message.
pub fn frame<T: Serialize>(message: &T) -> io::Result<Vec<u8>> {
    let mut body = postcard::to_stdvec(message).map_err(io::Error::other)?;
    let mut mark = 0;
    if body.len() >= COMPRESS_FROM {
        body = lz4_flex::block::compress_prepend_size(&body);
        mark = COMPRESSED;
    }
    let len = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut buf = Vec::with_capacity(body.len() + 4);
    buf.extend_from_slice(&(len | mark).to_be_bytes());
    buf.extend_from_slice(&body);
    Ok(buf)
}

fn invalid() -> io::Error {
    io::Error::from(io::ErrorKind::InvalidData)
}

/// Unpacks a message, but never one that claims to be longer than any may be.
fn decompress(body: &[u8]) -> io::Result<Vec<u8>> {
    let (len, packed) = lz4_flex::block::uncompressed_size(body).map_err(|_| invalid())?;
    if len > MAX_MESSAGE_LEN as usize {
        return Err(invalid());
    }
    lz4_flex::block::decompress(packed, len).map_err(|_| invalid())
}
