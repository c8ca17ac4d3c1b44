//! Events that fake endpoints report to the checker of a test run.

use std::fmt;
use std::sync::Arc;

use mastichaven_core::ids::Digest;
use mastichaven_core::ids::StartId;

/// An event at an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EndpointEvent {
    /// A request began.
    Began {
        /// Content of the request: the last message of a prompt, or the body of a plain call.
        work: String,
        /// Identifies the process of the endpoint until its next restart.
        start: StartId,
        /// Concurrent requests, this one included.
        running: u32,
        /// Concurrent requests that the endpoint can run at this moment.
        capacity: u32,
    },
    /// A request ended.
    Ended {
        /// Content of the request, as when it began.
        work: String,
        /// Whether the request was answered completely.
        whole: bool,
    },
    /// The process restarted; all requests in flight are lost.
    Restarted,
    /// A version was loaded.
    Loaded {
        /// The version named by the load order, as digits.
        version: String,
        /// Digest of the bytes that were read.
        weights: Digest,
    },
}

/// Receives events in the order in which they happen; it is called with the stand-in's lock held.
pub type Observer = Arc<dyn Fn(EndpointEvent) + Send + Sync>;

/// An optional observer.
#[derive(Clone, Default)]
pub(crate) struct Observed(pub(crate) Option<Observer>);

impl Observed {
    pub(crate) fn notify(&self, event: EndpointEvent) {
        if let Some(observer) = &self.0 {
            observer(event);
        }
    }
}

impl fmt::Debug for Observed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Observed({})", self.0.is_some())
    }
}
