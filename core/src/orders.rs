//! Orders to an engine as a typestate: load, verify, drain, order, confirm.
//!
//! Each step exists only on the type of the step before, so code that switches an engine without a
//! complete, verified version or that trusts the answer to an order does not compile. Some engines
//! ignore fencing tokens and some answers get lost, so only [`Ordered::confirm`], which checks what
//! the engine itself reports afterwards, completes an order.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::ids::Digest;
use crate::ids::HostName;
use crate::ids::Incarnation;
use crate::ids::StartId;
use crate::plan::Plan;
use crate::time::Time;

/// Result of a step.
pub type Result<T> = std::result::Result<T, Code>;

/// Delay after the first failed order; doubles with each further one.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum delay after a failed order.
pub const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// Fencing token of an order, compared by plan, then by incarnation. Engines that check it refuse
/// an order with a lower token than one that they have already accepted.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fence {
    /// Revision of the plan that the order follows.
    pub plan: u64,
    /// Incarnation of the agent that gives the order.
    pub incarnation: Incarnation,
}

/// State that the engine reported when it was last read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reported {
    /// Identifies the start of the engine's process.
    pub start: StartId,
    /// The version that it answers from; `None` if it has none.
    pub version: Option<Digest>,
}

/// A version that the plan assigns to this host; its weights may still be incomplete.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    version: Digest,
    fence: Fence,
}

/// A version whose chunks are all stored and match their digests.
#[derive(Clone, Copy, Debug)]
pub struct Verified {
    version: Digest,
    fence: Fence,
}

/// A verified version, for an engine that runs no requests and may be ordered to load it.
#[derive(Clone, Copy, Debug)]
pub struct Drained {
    version: Digest,
    fence: Fence,
}

/// An order that was sent; its answer is not trusted.
#[derive(Clone, Copy, Debug)]
pub struct Ordered {
    version: Digest,
}

impl Wanted {
    /// Starts an order for `version` under `revision` of the plan.
    pub fn new(version: Digest, revision: u64, incarnation: Incarnation) -> Wanted {
        Wanted { version, fence: Fence { plan: revision, incarnation } }
    }

    /// Fails with [`Code::NoChunk`] unless the weights are complete.
    pub fn verify(self, is_complete: bool) -> Result<Verified> {
        let Wanted { version, fence } = self;
        if is_complete { Ok(Verified { version, fence }) } else { Err(Code::NoChunk) }
    }
}

impl Verified {
    /// Fails with [`Code::EndpointClosed`] unless the engine may release its version and runs no
    /// request.
    ///
    /// An engine that reloads during a request would cut it off or, worse, continue the answer with
    /// other weights.
    pub fn drain(self, may_release: bool, running: u32) -> Result<Drained> {
        let Verified { version, fence } = self;
        if may_release && running == 0 {
            Ok(Drained { version, fence })
        } else {
            Err(Code::EndpointClosed)
        }
    }
}

impl Drained {
    /// Version and fencing token to send to the engine, and the order to confirm.
    pub fn order(self) -> (Digest, Fence, Ordered) {
        (self.version, self.fence, Ordered { version: self.version })
    }
}

impl Ordered {
    /// Fails with [`Code::OrderIgnored`] unless the engine reports the ordered version after the
    /// order. The answer to the order is not considered.
    pub fn confirm(self, reported: Option<Reported>) -> Result<StartId> {
        match reported {
            Some(Reported { start, version: Some(version) }) if version == self.version => {
                Ok(start)
            }
            _ => Err(Code::OrderIgnored),
        }
    }
}

/// Whether the engine of host `me` may stop serving version `loaded`.
///
/// It may if the plan no longer serves that version, or if `is_ready` tells that another host which
/// the plan keeps on the version answers from it now. Hosts that the plan moves to another version
/// do not count because they may switch at the same moment. The planner ensures the same, but a
/// replica may have died since.
pub fn may_release(
    plan: Option<&Plan>,
    me: &HostName,
    loaded: Digest,
    is_ready: impl Fn(&HostName) -> bool,
) -> bool {
    let Some(plan) = plan else {
        return false;
    };
    if plan.serving != loaded {
        return true;
    }
    let mut staying = plan.replicas.iter().filter(|r| r.host != *me && r.version == loaded);
    staying.any(|replica| is_ready(&replica.host))
}

/// Exponential backoff after failed orders, so that attempts to load a version that does not load
/// do not keep an engine from serving.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
    version: Option<Digest>,
    until: Option<Time>,
}

impl Backoff {
    /// Whether `version` may be ordered now. The backoff applies only to the version that failed.
    pub fn allows(&self, version: Digest, now: Time) -> bool {
        self.version != Some(version) || self.until.is_none_or(|until| now >= until)
    }

    /// Records a failed order for `version` and extends the backoff.
    pub fn record_failure(&mut self, version: Digest, now: Time) {
        if self.version != Some(version) {
            *self = Backoff { version: Some(version), ..Backoff::default() };
        }
        let wait = INITIAL_BACKOFF * 2u32.saturating_pow(self.failures.min(10));
        self.failures += 1;
        self.until = Some(now + wait.min(MAX_BACKOFF));
    }

    /// Resets the backoff after a confirmed order.
    pub fn record_success(&mut self) {
        *self = Backoff::default();
    }
}
