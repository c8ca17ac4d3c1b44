//! One request of a caller on its way through an entry, and how it may be refused.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::Uri;
use mastichaven_core::Time;
use mastichaven_core::direct::catalog::Customer;
use mastichaven_core::direct::catalog::Route;
use mastichaven_core::direct::endpoint::EndpointKey;
use mastichaven_core::ids::ServiceName;
use mastichaven_platform::call::CallHead;
use smol_str::SmolStr;

use super::steps::StepTimes;

/// One request of a caller.
#[derive(Debug)]
pub struct Call {
    /// What its head says.
    pub head: CallHead,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body, whole.
    pub body: Bytes,
    /// The route it takes.
    pub route: Route,
    /// The service it goes to.
    pub service: ServiceName,
    /// The customer that holds its key.
    pub customer: Option<Customer>,
    /// Requests a second that a cold endpoint of the service bears.
    pub cold_per_second: f64,
    /// Whether it came back too late to be answered in time.
    pub is_late: bool,
    /// When its head was read.
    pub arrived: Time,
    /// Time until its body was read.
    pub read_for: Duration,
    /// When its answer has to be there.
    pub deadline: Time,
}

/// Why a request was not answered by an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// It has not run and will not: no endpoint can serve it now.
    NoEndpoint,
    /// It has not run and will not: all endpoints are full.
    Full,
    /// It has not run and will not: those with room have just started and bear no more yet.
    Warming,
    /// It has not run and will not: each endpoint that it was offered to refused it.
    Declined,
    /// It has not run and will not: its time was over before an endpoint took it.
    NotStarted,
    /// It may have run; the endpoint's answer was lost.
    Lost,
    /// It may have run; no answer came in time.
    TimedOut,
}

impl Refusal {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::NoEndpoint => "no endpoint",
            Refusal::Full => "all endpoints full",
            Refusal::Warming => "all endpoints full or cold",
            Refusal::Declined => "declined by endpoints",
            Refusal::NotStarted => "time over before an endpoint took it",
            Refusal::Lost => "answer lost",
            Refusal::TimedOut => "timed out",
        }
    }

    /// The status that callers are sent. 503 promises that the request has not run.
    pub fn status(self) -> StatusCode {
        match self {
            Refusal::NoEndpoint
            | Refusal::Full
            | Refusal::Warming
            | Refusal::Declined
            | Refusal::NotStarted => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Lost => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Result of serving a request.
pub type Result<T> = std::result::Result<T, Refusal>;

/// What one request has been through.
#[derive(Clone, Debug, Default)]
pub struct Trail {
    pub(super) tried: Vec<EndpointKey>,
    pub(super) arrivals: u32,
    pub(super) may_have_run: bool,
    /// Where its time went.
    pub steps: StepTimes,
    /// The last endpoint it was sent to.
    pub last: Option<SmolStr>,
}

impl Trail {
    /// Endpoints that it was offered to.
    pub fn offers(&self) -> usize {
        self.tried.len()
    }
}
