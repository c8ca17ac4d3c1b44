//! Orders to an engine as a life cycle: load, verify, switch, unload.
//!
//! Each step exists only on the type of the step before, so that code which switches without a
//! complete verified manifest, or trusts an answer that was not read back, does not compile. Some
//! engines ignore fencing tokens and some answers get lost: only [`Ordered::confirm`], which looks
//! at what the engine itself reports afterwards, ends an order.

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

/// First and longest wait after an order that failed.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// The longest wait after an order that failed.
pub const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// Orders with a lower fence than one already taken are refused by engines that check it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fence {
    /// Revision of the plan behind the order.
    pub plan: u64,
    /// The agent's life.
    pub incarnation: Incarnation,
}

/// What the engine reported when it was last read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reported {
    /// Its life.
    pub start: StartId,
    /// The version it answers from.
    pub version: Option<Digest>,
}

/// A version the plan wants on this host; its weights may still be on their way.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    version: Digest,
    fence: Fence,
}

/// A version whose every chunk is here and matches its digest.
#[derive(Clone, Copy, Debug)]
pub struct Verified {
    version: Digest,
    fence: Fence,
}

/// An engine that nothing runs on any more and that may be ordered.
#[derive(Clone, Copy, Debug)]
pub struct Drained {
    version: Digest,
    fence: Fence,
}

/// An order that was sent; its answer proves nothing.
#[derive(Clone, Copy, Debug)]
pub struct Ordered {
    version: Digest,
}

impl Wanted {
    /// An order under revision `revision` of the plan.
    pub fn new(version: Digest, revision: u64, incarnation: Incarnation) -> Wanted {
        Wanted { version, fence: Fence { plan: revision, incarnation } }
    }

    /// The weights are all here.
    pub fn verify(self, is_complete: bool) -> Result<Verified> {
        let Wanted { version, fence } = self;
        if is_complete { Ok(Verified { version, fence }) } else { Err(Code::NoChunk) }
    }
}

impl Verified {
    /// The engine may leave what it has, and no request runs on it.
    ///
    /// An engine that reloads under a running request would cut it off or, worse, go on with other
    /// weights in the middle of an answer.
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
    /// What to send to the engine.
    pub fn order(self) -> (Digest, Fence, Ordered) {
        (self.version, self.fence, Ordered { version: self.version })
    }
}

impl Ordered {
    /// Compares with what the engine reports after the order; its answer is not looked at.
    pub fn confirm(self, reported: Option<Reported>) -> Result<StartId> {
        match reported {
            Some(Reported { start, version: Some(version) }) if version == self.version => {
                Ok(start)
            }
            _ => Err(Code::OrderIgnored),
        }
    }
}

/// Whether `me` may take its engine off the version `held`.
///
/// It may if the version is in service no more, or if `is_ready` says that another host, which the
/// plan leaves on it, answers from it now. Hosts that the plan moves off it do not count: they may
/// go in the same moment. The planner counts too, but a replica may have died since.
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

/// Waits longer after each order that failed, so that an engine that cannot load a version is not
/// kept from serving by the attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
    version: Option<Digest>,
    until: Option<Time>,
}

impl Backoff {
    /// Whether `version` may be ordered now. Another version than the one that failed may at once.
    pub fn allows(&self, version: Digest, now: Time) -> bool {
        self.version != Some(version) || self.until.is_none_or(|until| now >= until)
    }

    /// An order for `version` failed.
    pub fn record_failure(&mut self, version: Digest, now: Time) {
        if self.version != Some(version) {
            *self = Backoff { version: Some(version), ..Backoff::default() };
        }
        let wait = INITIAL_BACKOFF * 2u32.saturating_pow(self.failures.min(10));
        self.failures += 1;
        self.until = Some(now + wait.min(MAX_BACKOFF));
    }

    /// An order was confirmed.
    pub fn record_success(&mut self) {
        *self = Backoff::default();
    }
}
