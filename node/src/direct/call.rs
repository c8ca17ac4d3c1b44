//! A caller's request while an entry handles it, and the errors it may end with.

use std::cell::OnceCell;
use std::time::Duration;

use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::Uri;
use mastichaven_core::Time;
use mastichaven_core::direct::catalog::Customer;
use mastichaven_core::direct::catalog::Route;
use mastichaven_core::direct::endpoint::EndpointKey;
use mastichaven_core::direct::notices::MAX_TRAITS;
use mastichaven_core::direct::priority::PriorityClass;
use mastichaven_core::direct::work::RequestWork;
use mastichaven_core::fingerprint::Fingerprint;
use mastichaven_core::ids::ServiceName;
use mastichaven_platform::call;
use mastichaven_platform::call::CallHead;
use smol_str::SmolStr;

use super::request_body::RequestBody;
use super::steps::StepTimes;

/// Maximum number of parts of a prompt that are told apart. The request and its parts fit into one notice.
const MAX_PARTS: usize = MAX_TRAITS - 2;

/// A request of a caller, admitted and read completely.
#[derive(Debug)]
pub struct Call {
    /// Fields parsed from the headers.
    pub head: CallHead,
    /// HTTP method, sent on unchanged.
    pub method: Method,
    /// Path and query, sent on unchanged.
    pub uri: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: RequestBody,
    /// Route that matched host and path.
    pub route: Route,
    /// Service chosen from the traffic split of the route.
    pub service: ServiceName,
    /// Customer that the key belongs to; `None` for anonymous callers.
    pub customer: Option<Customer>,
    /// Level of the call among those of the service.
    pub class: PriorityClass,
    /// Requests per second that a cold endpoint of the service can handle.
    pub cold_per_second: f64,
    /// Whether the caller retries too late to be answered within the latency objective.
    pub is_late: bool,
    /// Expected work of the request; `None` if the rates of the service are not configured.
    pub work: Option<RequestWork>,
    /// When the head was read.
    pub received_at: Time,
    /// Time from `received_at` until the body was read.
    pub read_time: Duration,
    /// When the caller stops waiting, at the latest after the timeout of the route.
    pub deadline: Time,
    /// When the response must have begun, as the caller abandons it before the deadline otherwise; `None` if the
    /// deadline comes first.
    pub respond_by: Option<Time>,
    /// [`Call::traits`] once they have been computed.
    pub cached_traits: OnceCell<Vec<Fingerprint>>,
}

impl Call {
    /// Fingerprint of the request, which is the same in each attempt of its caller.
    pub fn fingerprint(&self) -> Fingerprint {
        self.traits()[0]
    }

    /// What the request has in common with others that may crash endpoints: its fingerprint, then the parts of its
    /// prompt.
    pub fn traits(&self) -> &[Fingerprint] {
        self.cached_traits.get_or_init(|| {
            let customer = self.customer.as_ref().map_or("", |customer| customer.name.as_str());
            let path = self.uri.path_and_query().map_or("", |path| path.as_str());
            let host = self.head.host.as_bytes();
            let parts = [host, self.method.as_str().as_bytes(), path.as_bytes()];
            let request = Fingerprint::with_body(customer, &parts, self.body.segments());
            let model = self.head.model.as_deref().unwrap_or_default();
            let ids = || call::prompt_parts(&self.headers);
            let mut traits = vec![request];
            if ids().nth(MAX_PARTS).is_some() {
                traits.push(Fingerprint::of_many_parts(customer));
            } else {
                traits.extend(ids().map(|id| Fingerprint::of_prompt_part(model, id)));
            }
            traits
        })
    }

    /// Ids of the parts of the prompt that are among `traits`.
    pub(super) fn parts_among(&self, traits: &[Fingerprint]) -> Vec<&str> {
        let model = self.head.model.as_deref().unwrap_or_default();
        let ids = call::prompt_parts(&self.headers);
        ids.filter(|id| traits.contains(&Fingerprint::of_prompt_part(model, id))).collect()
    }

    /// When the caller abandons its stream if no event follows the one of `last_event_at`.
    pub(super) fn abandoned_at(&self, last_event_at: Time) -> Time {
        let abandoned_at = self.route.event_patience.map(|patience| last_event_at + patience);
        abandoned_at.map_or(self.deadline, |abandoned_at| abandoned_at.min(self.deadline))
    }
}

/// Why no endpoint answered a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallError {
    /// No endpoint can serve the request now. It has not run.
    NoEndpoint,
    /// All endpoints are full. The request has not run.
    Full,
    /// The endpoints with free places are cold, and their request rate is used up. The request has
    /// not run.
    Warming,
    /// This entry's share of the request limits of the endpoints is used up for `opens_in`. The
    /// request has not run.
    Limited {
        /// Time until this entry may send a request to one of them.
        opens_in: Duration,
    },
    /// The endpoints have asked this entry for a pause that lasts for `ends_in`. The request has not run.
    Paused {
        /// Time until this entry may send a request to one of them.
        ends_in: Duration,
    },
    /// Endpoints have crashed while running the request, so it is refused for `ends_in`. This attempt of the
    /// caller has not run.
    Quarantined {
        /// Time until it may be sent to endpoints again.
        ends_in: Duration,
    },
    /// Each endpoint tried refused the request or could not be reached. It has not run.
    Declined,
    /// The deadline passed before the request was sent to an endpoint. It has not run.
    Expired,
    /// The response was lost. The request may have run.
    Lost,
    /// No response arrived in time. The request may have run.
    TimedOut,
}

impl CallError {
    /// The reason as it stands in logs and in the response to the caller.
    pub fn as_str(self) -> &'static str {
        match self {
            CallError::NoEndpoint => "no endpoint",
            CallError::Full => "all endpoints full",
            CallError::Warming => "all endpoints full or cold",
            CallError::Limited { .. } => "all endpoints at their request limit",
            CallError::Paused { .. } => "all endpoints pausing",
            CallError::Quarantined { .. } => "request crashes endpoints",
            CallError::Declined => "declined by endpoints",
            CallError::Expired => "time over before an endpoint took it",
            CallError::Lost => "answer lost",
            CallError::TimedOut => "timed out",
        }
    }

    /// Status of the response to the caller. 503 guarantees that the request has not run.
    pub fn status(self) -> StatusCode {
        match self {
            CallError::NoEndpoint
            | CallError::Full
            | CallError::Warming
            | CallError::Limited { .. }
            | CallError::Paused { .. }
            | CallError::Quarantined { .. }
            | CallError::Declined
            | CallError::Expired => StatusCode::SERVICE_UNAVAILABLE,
            CallError::Lost => StatusCode::BAD_GATEWAY,
            CallError::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Result of forwarding a request.
pub type Result<T> = std::result::Result<T, CallError>;

/// The attempts made for one request so far.
#[derive(Clone, Debug, Default)]
pub struct CallHistory {
    pub(super) tried: Vec<EndpointKey>,
    pub(super) sent_count: u32,
    pub(super) may_have_run: bool,
    /// When the request was sent to the endpoint tried last; `None` until then, and after proof that it has not run
    /// there.
    pub(super) sent_at: Option<Time>,
    /// Time spent in each step.
    pub steps: StepTimes,
    /// Id of the endpoint tried last.
    pub last_endpoint: Option<SmolStr>,
    /// Expected time until the first event at the endpoint tried last; `None` if unknown.
    pub(super) expected_first: Option<Duration>,
    /// Pace of that endpoint when the request was sent.
    pub(super) pace: Option<f64>,
    /// Why no further endpoint was tried; empty while there was no reason.
    pub(super) no_retry: &'static str,
    /// Whether the caller has received a part of the answer, and the next attempt is to bring the rest.
    pub(super) is_resumption: bool,
    /// Until when the weights of the next endpoint must be allowed to begin requests, as its stream is to go on when
    /// another one stops.
    pub(super) weights_until: Option<Time>,
    /// Until when the next attempt may wait for a free place; `None` unless a response has been lost.
    pub(super) retry_until: Option<Time>,
    /// Level of the call; that of a service without levels until it is known.
    pub(super) class: PriorityClass,
    /// Whether the call has been given a place.
    pub(super) is_admitted: bool,
    /// Whether the endpoint chosen last is to treat the call as one of the highest level.
    pub(super) is_exempt: bool,
}

impl CallHistory {
    /// Number of endpoints tried, including those that refused or could not be reached.
    pub fn tried_count(&self) -> usize {
        self.tried.len()
    }

    /// Expected time until the first event at an endpoint of usual pace with the load of the one tried last; `None` if
    /// unknown.
    pub(super) fn usual_first(&self) -> Option<Duration> {
        Some(self.expected_first?.div_f64(self.pace.unwrap_or(1.0)))
    }

    /// Records that the request may have run and its response is lost. The next attempt may wait for a free place
    /// until the caller gives up.
    pub(super) fn record_lost_response(&mut self, call: &Call) {
        self.may_have_run = true;
        let gives_up_at = call.respond_by.unwrap_or(call.deadline);
        self.retry_until = self.retry_until.max(Some(gives_up_at));
    }

    /// Records why no further endpoint is tried. Returns the error that the request ends with, `error_if_untried` if
    /// it was sent to none.
    pub(super) fn stop_retrying(
        &mut self,
        reason: &'static str,
        error_if_untried: CallError,
    ) -> CallError {
        self.no_retry = reason;
        if self.may_have_run {
            CallError::Lost
        } else if self.tried_count() > 0 {
            CallError::Declined
        } else {
            error_if_untried
        }
    }
}
