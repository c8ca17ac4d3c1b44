//! What agents ask each other: which chunks of a version they have, its digests, its chunks.
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
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::link;

/// Bytes of a message at most.
pub const MAX_MESSAGE_LEN: u32 = 8 << 20;

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

/// A question to a peer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerAsk {
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
pub enum PeerTold {
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
    /// A chunk.
    Chunk(Bytes),
    /// It does not have what was asked for.
    Absent,
    /// It is sending enough already.
    Busy,
}

/// Asks the agent at `address`.
pub async fn ask(address: SocketAddr, ask: &PeerAsk, within: Duration) -> Result<PeerTold> {
    let connected = timeout(CONNECT_WITHIN, TcpStream::connect(address)).await;
    let mut stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) | Err(_) => return Err(PeerError::Unreachable),
    };
    let exchange = async {
        link::prepare(&stream)?;
        write(&mut stream, ask).await?;
        read(&mut stream).await
    };
    match timeout(within, exchange).await {
        Ok(Ok(told)) => Ok(told),
        Ok(Err(_)) | Err(_) => Err(PeerError::Silent),
    }
}

/// Reads a message.
pub async fn read<T: DeserializeOwned>(stream: &mut TcpStream) -> io::Result<T> {
    let len = stream.read_u32().await?;
    if len > MAX_MESSAGE_LEN {
        return Err(io::Error::from(io::ErrorKind::InvalidData));
    }
    let mut buf = vec![0; len as usize];
    stream.read_exact(&mut buf).await?;
    postcard::from_bytes(&buf).map_err(|_| io::Error::from(io::ErrorKind::InvalidData))
}

/// Writes a message.
pub async fn write<T: Serialize>(stream: &mut TcpStream, message: &T) -> io::Result<()> {
    stream.write_all(&frame(message)?).await?;
    stream.flush().await
}

/// Bytes of a chunk that are handed to the kernel at once, and the pause after them. They fill
/// about 80% of a link of 7.6 Mbit/s, so that an event of a stream waits behind one piece and not
/// behind a whole chunk.
const PIECE_LEN: usize = 8 << 10;
const PIECE_PAUSE: Duration = Duration::from_millis(9);

/// Writes a long message in pieces, leaving room on the link between them.
pub async fn write_paced<T: Serialize>(stream: &mut TcpStream, message: &T) -> io::Result<()> {
    for piece in frame(message)?.chunks(PIECE_LEN) {
        stream.write_all(piece).await?;
        tokio::time::sleep(PIECE_PAUSE).await;
    }
    stream.flush().await
}

fn frame<T: Serialize>(message: &T) -> io::Result<Vec<u8>> {
    let body = postcard::to_stdvec(message).map_err(io::Error::other)?;
    let len = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut buf = Vec::with_capacity(body.len() + 4);
    buf.extend_from_slice(&len.to_be_bytes());
    buf.extend_from_slice(&body);
    Ok(buf)
}
