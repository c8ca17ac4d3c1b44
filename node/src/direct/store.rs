//! The one client of the platform's metadata store. It only reads.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use mastichaven_core::ids::Revision;
use mastichaven_platform::objects;
use mastichaven_platform::objects::Changes;
use mastichaven_platform::objects::Kind;
use mastichaven_platform::objects::Object;
use smol_str::SmolStr;
use tokio::time::timeout;

use super::connection;
use super::connection::ConnectionError;
use super::connection::HttpConnection;
use super::metrics::Metrics;

/// Bytes of an answer at most: a page holds about 1 MB.
const MAX_ANSWER_LEN: usize = 4 << 20;

/// Pages of one list at most, against a store that never ends a list.
const MAX_PAGES: usize = 200;

/// Time for a connection, for the head of an answer beyond the wait that was asked for, and between parts
/// of its body. The store answers in about 4 ms; slower ones are better asked again than waited for while
/// the lease runs out.
const CONNECT_WITHIN: Duration = Duration::from_millis(500);
const ANSWER_WITHIN: Duration = Duration::from_millis(700);

/// Result of a call to the store.
pub type Result<T> = std::result::Result<T, StoreError>;

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// No connection, no answer in time, or the connection broke off.
    Link(ConnectionError),
    /// The store is limiting the rate of calls.
    Throttled,
    /// The store refuses to work now.
    Unavailable,
    /// The changes since the revision of the watch are gone; list again.
    Compacted,
    /// The answer cannot be read.
    Malformed,
}

impl StoreError {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            StoreError::Link(e) => e.as_str(),
            StoreError::Throttled => "throttled",
            StoreError::Unavailable => "unavailable",
            StoreError::Compacted => "compacted",
            StoreError::Malformed => "malformed",
        }
    }
}

/// A connection to the store, made again whenever it fails.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    metrics: Rc<Metrics>,
    link: Option<HttpConnection>,
}

/// What a call to the store is for, by its name in the metrics.
fn counter(kind: Kind, is_watch: bool) -> &'static str {
    match (kind, is_watch) {
        (Kind::Config, false) => "store_lists_config",
        (Kind::Config, true) => "store_watches_config",
        (Kind::Endpoints, false) => "store_lists_endpoints",
        (Kind::Endpoints, true) => "store_watches_endpoints",
        (Kind::Evacuations, false) => "store_lists_evacuations",
        (Kind::Evacuations, true) => "store_watches_evacuations",
        (Kind::Weights, false) => "store_lists_weights",
        (Kind::Weights, true) => "store_watches_weights",
    }
}

impl StoreClient {
    /// A client of the store at `address`; it connects with the first call.
    pub fn new(address: SocketAddr, metrics: Rc<Metrics>) -> StoreClient {
        StoreClient { address, metrics, link: None }
    }

    /// Reads all objects of a kind, and the revision they show. The revision is that of the first
    /// page: what changes while later pages are read is then seen by the watch.
    pub async fn list(&mut self, kind: Kind, stale: bool) -> Result<(Vec<Object>, Revision)> {
        let mut objects = Vec::new();
        let mut revision = None;
        let mut after: Option<SmolStr> = None;
        for _ in 0..MAX_PAGES {
            let path = objects::list_path(kind, after.as_deref(), stale);
            self.metrics.count(counter(kind, false));
            let body = self.get(&path, ANSWER_WITHIN).await?;
            let page = objects::scan_page(&body).map_err(|_| StoreError::Malformed)?;
            revision.get_or_insert(page.revision);
            objects.extend(page.objects);
            after = page.next;
            if after.is_none() {
                break;
            }
        }
        Ok((objects, revision.unwrap_or_default()))
    }

    /// Waits up to `wait` for changes of a kind after `revision`.
    pub async fn watch(
        &mut self,
        kind: Kind,
        revision: Revision,
        wait: Duration,
    ) -> Result<Changes> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX).max(1);
        let path = objects::watch_path(kind, revision, wait_ms);
        self.metrics.count(counter(kind, true));
        let body = self.get(&path, wait + ANSWER_WITHIN).await?;
        objects::scan_changes(&body).map_err(|_| StoreError::Malformed)
    }

    async fn get(&mut self, path: &str, within: Duration) -> Result<Bytes> {
        let mut link = match self.link.take() {
            Some(link) if link.is_ready() => link,
            _ => HttpConnection::open(self.address, CONNECT_WITHIN)
                .await
                .map_err(StoreError::Link)?,
        };
        let req = connection::build_request("GET", self.address, path, Bytes::new());
        // After a failure the link is dropped: a connection on which an answer was lost returns
        // nothing any more.
        let sent = timeout(within, link.send(req)).await;
        let response = sent.unwrap_or(Err(ConnectionError::TimedOut)).map_err(StoreError::Link)?;
        let (head, body) = response.into_parts();
        let body =
            connection::collect_body_with_idle_timeout(body, MAX_ANSWER_LEN, ANSWER_WITHIN).await;
        let body = body.map_err(StoreError::Link)?;
        if link.ready().await {
            self.link = Some(link);
        }
        match head.status {
            StatusCode::OK => Ok(body),
            StatusCode::GONE => Err(StoreError::Compacted),
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::Throttled),
            status if status.is_server_error() => Err(StoreError::Unavailable),
            _ => Err(StoreError::Malformed),
        }
    }
}
