//! What the endpoints among the stand-ins see, told to whoever checks a run.

use std::fmt;
use std::sync::Arc;

use mastichaven_core::ids::Digest;
use mastichaven_core::ids::StartId;

/// One thing that an endpoint saw.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EndpointEvent {
    /// It took up a request.
    Began {
        /// What the request asks for: the last message of a prompt, the body of a plain call.
        work: String,
        /// The endpoint's life.
        start: StartId,
        /// Requests it has, this one included.
        running: u32,
        /// Requests it capacity at this moment.
        capacity: u32,
    },
    /// It is done with a request.
    Ended {
        /// What the request asked for.
        work: String,
        /// Whether it answered it to the end.
        whole: bool,
    },
    /// Its process ended, with all that it had under way.
    Restarted,
    /// It loaded a version.
    Loaded {
        /// The version it was ordered to load, as digits.
        version: String,
        /// Digest of the bytes it read.
        weights: Digest,
    },
}

/// Is told under the stand-in's lock, in the order in which things happen there.
pub type Observer = Arc<dyn Fn(EndpointEvent) + Send + Sync>;

/// An observer, if there is one.
#[derive(Clone, Default)]
pub(crate) struct OptionalObserver(pub(crate) Option<Observer>);

impl OptionalObserver {
    pub(crate) fn notify(&self, event: EndpointEvent) {
        if let Some(observer) = &self.0 {
            observer(event);
        }
    }
}

impl fmt::Debug for OptionalObserver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "OptionalObserver({})", self.0.is_some())
    }
}
