//! The endpoint beside an agent: its report, the chunks staged for it, its orders.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use mastichaven_core::ids::Digest;
use mastichaven_platform::engine;
use mastichaven_platform::engine::LoadMode;
use mastichaven_platform::engine::Report;
use sha2::Digest as _;
use sha2::Sha256;

use super::connection;
use super::connection::ConnectionError;
use super::connection::HttpConnection;

/// Bytes of an answer at most: a chunk, with room for larger ones than today's.
const MAX_ANSWER_LEN: usize = 4 << 20;

/// Time for a call to the endpoint on the same host.
const CALL_WITHIN: Duration = Duration::from_millis(1_500);

/// Connections to the endpoint that are kept.
const MAX_KEPT: usize = 3;

/// Result of a call to the endpoint.
pub type Result<T> = std::result::Result<T, StagingError>;

/// Why a call to the endpoint failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StagingError {
    /// It cannot be reached or did not answer.
    Link(ConnectionError),
    /// It does not have what was asked for.
    Absent,
    /// It answered with this status.
    Refused(u16),
    /// Its answer cannot be read.
    Malformed,
}

impl StagingError {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            StagingError::Link(e) => e.as_str(),
            StagingError::Absent => "absent",
            StagingError::Refused(_) => "refused",
            StagingError::Malformed => "malformed",
        }
    }
}

/// SHA-256 of `bytes`.
pub fn sha256(bytes: &[u8]) -> Digest {
    Digest(Sha256::digest(bytes).into())
}

/// The endpoint beside this agent.
#[derive(Debug)]
pub struct Staging {
    address: SocketAddr,
    kept: RefCell<Vec<HttpConnection>>,
}

impl Staging {
    /// The endpoint at `address`.
    pub fn new(address: SocketAddr) -> Staging {
        Staging { address, kept: RefCell::default() }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn call(&self, method: &str, path: &str, body: Bytes) -> Result<Response<Bytes>> {
        let kept = self.kept.borrow_mut().pop().filter(HttpConnection::is_ready);
        let mut link = match kept {
            Some(link) => link,
            None => {
                HttpConnection::open(self.address, CALL_WITHIN).await.map_err(StagingError::Link)?
            }
        };
        let req = connection::build_request(method, self.address, path, body);
        let answer = link.call(req, MAX_ANSWER_LEN, CALL_WITHIN).await;
        let answer = answer.map_err(StagingError::Link)?;
        if link.ready().await && self.kept.borrow().len() < MAX_KEPT {
            self.kept.borrow_mut().push(link);
        }
        Ok(answer)
    }

    async fn get(&self, path: &str) -> Result<Bytes> {
        let answer = self.call("GET", path, Bytes::new()).await?;
        match answer.status() {
            StatusCode::OK => Ok(answer.into_body()),
            StatusCode::NOT_FOUND => Err(StagingError::Absent),
            status => Err(StagingError::Refused(status.as_u16())),
        }
    }

    /// What the endpoint says of itself.
    pub async fn report(&self, layers: u32) -> Result<Report> {
        let body = self.get(engine::REPORT_PATH).await?;
        engine::parse_report(&body, layers).ok_or(StagingError::Malformed)
    }

    /// The chunks that are staged, by index.
    pub async fn staged(&self, model: &str) -> Result<Vec<usize>> {
        match self.get(&engine::staged_list_path(model)).await {
            Ok(body) => engine::parse_staged_chunks(&body).ok_or(StagingError::Malformed),
            Err(StagingError::Absent) => Ok(Vec::new()),
            Err(e) => Err(e),
        }
    }

    /// A staged chunk, if it still is what `digest` says. Staged chunks turn bad at any time.
    pub async fn chunk(&self, model: &str, index: usize, digest: Digest) -> Result<Bytes> {
        let bytes = self.get(&engine::staged_path(model, index)).await?;
        if sha256(&bytes) == digest { Ok(bytes) } else { Err(StagingError::Absent) }
    }

    /// Stages a chunk.
    pub async fn stage(&self, model: &str, index: usize, bytes: Bytes) -> Result<()> {
        let answer = self.call("PUT", &engine::stage_path(model, index), bytes).await?;
        if answer.status().is_success() {
            Ok(())
        } else {
            Err(StagingError::Refused(answer.status().as_u16()))
        }
    }

    /// Orders the endpoint to load the staged chunks of a version. An order without an answer may
    /// have been accepted; given again it changes nothing.
    pub async fn load(&self, model: &str, version: u64, mode: LoadMode) -> Result<()> {
        let order = Bytes::from(engine::load_order(model, version, mode));
        let answer = self.call("POST", engine::ORDER_PATH, order).await?;
        if answer.status().is_success() {
            Ok(())
        } else {
            Err(StagingError::Refused(answer.status().as_u16()))
        }
    }
}
