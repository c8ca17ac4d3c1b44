//! Message framing and the peer protocol, with which agents request chunk maps, manifests and
//! chunks.
//!
//! Each connection carries one request, and messages are length-prefixed in both directions. A
//! host's link carries about a megabyte a second, so a connection costs little compared to the
//! chunk it carries.

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

/// Maximum length of an encoded message, in bytes.
pub const MAX_MESSAGE_LEN: u32 = 8 << 20;

/// Maximum length of the first message on a connection, a request, in bytes.
pub const MAX_REQUEST_LEN: u32 = 64 << 10;

/// Minimum length of messages that are compressed, mainly configurations with many routes. While an
/// uncompressed one is sent to all followers, pongs queue behind it. The followers would consider
/// their parent stale, read the store all at once, and saturate its links for seconds.
const MIN_COMPRESSED_LEN: usize = 4 << 10;

/// Bit in the length prefix that marks a compressed message.
const COMPRESSED_FLAG: u32 = 1 << 31;

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of a request to a peer.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Why a request to a peer failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerError {
    /// The connection could not be established.
    Unreachable,
    /// The peer did not answer in time or closed the connection.
    NoReply,
}

impl PeerError {
    /// Name of the error in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            PeerError::Unreachable => "unreachable",
            PeerError::NoReply => "silent",
        }
    }
}

/// A request to a peer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerRequest {
    /// Requests the chunk map of a version.
    Have {
        /// Digest that identifies the version.
        version: Digest,
    },
    /// Requests the manifest of a version.
    Manifest {
        /// Digest that identifies the version.
        version: Digest,
    },
    /// Requests a chunk.
    Chunk {
        /// Digest that identifies the version.
        version: Digest,
        /// SHA-256 of the chunk.
        digest: Digest,
        /// Whether the peer may delay its answer until it has the chunk.
        may_wait: bool,
    },
}

/// The answer of a peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// Chunk map of the version.
    Have {
        /// One bit per chunk, set if the peer has it.
        map: Bitmap,
        /// Number of chunks that the peer is sending.
        queue: u32,
    },
    /// Manifest of the version.
    Manifest {
        /// Length of a chunk in bytes.
        chunk_len: u32,
        /// SHA-256 of each chunk, in order.
        digests: Vec<Digest>,
    },
    /// The peer has the chunk, of this length in bytes, and sends one piece per request for the
    /// next.
    ChunkFollows(u32),
    /// The peer does not have the requested data.
    Absent,
    /// The peer is sending too many chunks to accept another request.
    Busy,
    /// The peer will have the requested data, but only after the longest time for which a request
    /// may wait.
    NotYet,
}

async fn connect(address: SocketAddr) -> Result<TcpStream> {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(_)) | Err(_) => Err(PeerError::Unreachable),
    }
}

/// Sends a request to the process at `address` and returns its reply, which must arrive within
/// `reply_timeout` after connecting.
pub async fn request<T: DeserializeOwned>(
    address: SocketAddr,
    req: &impl Serialize,
    reply_timeout: Duration,
) -> Result<T> {
    let mut stream = connect(address).await?;
    let exchange = async {
        connection::set_socket_options(&stream)?;
        write(&mut stream, req).await?;
        read(&mut stream).await
    };
    match timeout(reply_timeout, exchange).await {
        Ok(Ok(reply)) => Ok(reply),
        Ok(Err(_)) | Err(_) => Err(PeerError::NoReply),
    }
}

/// Length of a piece, the unit in which a chunk is sent, in bytes. Chunks share the host's narrow
/// link with requests, which would wait long behind a whole chunk.
pub const PIECE_LEN: usize = 8 << 10;

/// Maximum number of pieces that a host sends at once. Each piece waits for two links in turn, so
/// with fewer the links are often idle. With more, stream events on the link wait longer behind
/// them.
pub const MAX_OUTGOING_PIECES: usize = 6;

/// Maximum number of pieces that a host receives at once. It exceeds [`MAX_OUTGOING_PIECES`]
/// because some peers are busy.
pub const MAX_INCOMING_PIECES: usize = 8;

/// Time after which a piece that was not confirmed no longer blocks the link.
const PIECE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Bytes that request the next piece of a chunk and confirm the receipt of a piece.
const REQUEST_PIECE: u8 = 1;
const PIECE_RECEIVED: u8 = 2;

/// Fetches a chunk from the process at `address`; the inner error is its reply if it does not send
/// the chunk. The reply must arrive within `reply_timeout`, and the chunk within `transfer_timeout`
/// after it.
pub async fn fetch_chunk(
    address: SocketAddr,
    req: &impl Serialize,
    reply_timeout: Duration,
    transfer_timeout: Duration,
    receive_permits: &Semaphore,
) -> Result<std::result::Result<Bytes, PeerReply>> {
    let mut stream = connect(address).await?;
    let exchange = async {
        connection::set_socket_options(&stream)?;
        write(&mut stream, req).await?;
        read(&mut stream).await
    };
    let reply = timeout(reply_timeout, exchange).await.map_err(|_| PeerError::NoReply)?;
    let len = match reply.map_err(|_: io::Error| PeerError::NoReply)? {
        PeerReply::ChunkFollows(len) if len <= MAX_MESSAGE_LEN => len as usize,
        other => return Ok(Err(other)),
    };
    match timeout(transfer_timeout, read_pieces(&mut stream, len, receive_permits)).await {
        Ok(Ok(bytes)) => Ok(Ok(bytes)),
        Ok(Err(_)) | Err(_) => Err(PeerError::NoReply),
    }
}

async fn read_pieces(
    stream: &mut TcpStream,
    len: usize,
    receive_permits: &Semaphore,
) -> io::Result<Bytes> {
    let mut buf = vec![0; len];
    for piece in buf.chunks_mut(PIECE_LEN) {
        let permit = receive_permits.acquire().await.map_err(io::Error::other)?;
        stream.write_u8(REQUEST_PIECE).await?;
        stream.read_exact(piece).await?;
        drop(permit);
        // The confirmation is not combined with the next request, which may wait for a permit here.
        // The peer reserves its link for this piece until it is confirmed, so two hosts that fetch
        // from each other would deadlock.
        stream.write_u8(PIECE_RECEIVED).await?;
    }
    Ok(Bytes::from(buf))
}

/// Sends a chunk in pieces as the peer requests them. A piece holds its permit until the peer
/// confirms it.
pub async fn send_pieces(
    stream: &mut TcpStream,
    chunk: &[u8],
    send_permits: &Semaphore,
) -> io::Result<()> {
    write(stream, &PeerReply::ChunkFollows(chunk.len() as u32)).await?;
    for piece in chunk.chunks(PIECE_LEN) {
        expect(stream, REQUEST_PIECE).await?;
        let _permit = send_permits.acquire().await.map_err(io::Error::other)?;
        stream.write_all(piece).await?;
        let arrived = timeout(PIECE_TIMEOUT, expect(stream, PIECE_RECEIVED)).await;
        arrived.unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut)))?;
    }
    Ok(())
}

async fn expect(stream: &mut TcpStream, expected: u8) -> io::Result<()> {
    let byte = stream.read_u8().await?;
    if byte == expected { Ok(()) } else { Err(invalid_data()) }
}

/// Reads a message, compressed or not. Fails with `InvalidData` if it is too long or cannot be
/// decoded.
pub async fn read<T: DeserializeOwned>(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<T> {
    read_up_to(stream, MAX_MESSAGE_LEN).await
}

/// Reads a request from a process that may be any. Fails with `InvalidData` if it is longer than [`MAX_REQUEST_LEN`]
/// or cannot be decoded.
pub async fn read_request<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
) -> io::Result<T> {
    read_up_to(stream, MAX_REQUEST_LEN).await
}

async fn read_up_to<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    max_len: u32,
) -> io::Result<T> {
    let head = stream.read_u32().await?;
    let len = head & !COMPRESSED_FLAG;
    if len > max_len {
        return Err(invalid_data());
    }
    let mut body = vec![0; len as usize];
    stream.read_exact(&mut body).await?;
    if head & COMPRESSED_FLAG != 0 {
        body = decompress(&body, max_len)?;
    }
    postcard::from_bytes(&body).map_err(|_| invalid_data())
}

/// Writes a message and flushes the stream.
pub async fn write<T: Serialize>(stream: &mut TcpStream, message: &T) -> io::Result<()> {
    stream.write_all(&encode(message)?).await?;
    stream.flush().await
}

/// Encodes a message with its length prefix, compressed if it is long.
pub fn encode<T: Serialize>(message: &T) -> io::Result<Vec<u8>> {
    let mut body = postcard::to_stdvec(message).map_err(io::Error::other)?;
    let mut flag = 0;
    if body.len() >= MIN_COMPRESSED_LEN {
        body = lz4_flex::block::compress_prepend_size(&body);
        flag = COMPRESSED_FLAG;
    }
    let len = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut buf = Vec::with_capacity(body.len() + 4);
    buf.extend_from_slice(&(len | flag).to_be_bytes());
    buf.extend_from_slice(&body);
    Ok(buf)
}

fn invalid_data() -> io::Error {
    io::Error::from(io::ErrorKind::InvalidData)
}

/// Decompresses a message. Rejects one that claims a length above `max_len` before memory is allocated for it.
fn decompress(body: &[u8], max_len: u32) -> io::Result<Vec<u8>> {
    let (len, packed) = lz4_flex::block::uncompressed_size(body).map_err(|_| invalid_data())?;
    if len > max_len as usize {
        return Err(invalid_data());
    }
    lz4_flex::block::decompress(packed, len).map_err(|_| invalid_data())
}
