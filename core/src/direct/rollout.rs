//! Staggered rollout: when an agent's endpoint loads a new version.
//!
//! An endpoint accepts no requests while it drains and loads. If all endpoints did so at once, the service would
//! be unavailable for a second or two. Serving endpoints therefore load one after the other, at times that all
//! agents compute alike. Endpoints that serve no version load as soon as they can.

use std::time::Duration;

use crate::time::Time;

/// Fractions of the bound at which the first and the last host load. Before the first, chunks are still being
/// transferred. From its load time on, a host starts no requests on the old version, so the last load time may
/// be close to the bound.
const FIRST_LOAD_FRACTION: f64 = 0.36;
pub(super) const LAST_LOAD_FRACTION: f64 = 0.82;

/// State of a host on which the decision to load depends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostState {
    /// The version that is completely staged.
    pub staged: u64,
    /// When the staged version was announced, as known to this host.
    pub announced_at: Time,
    /// The version that the endpoint has completely loaded; `None` if there is none.
    pub held: Option<u64>,
    /// When the first version newer than `held` was announced, as known to this host.
    pub outdated_since: Time,
    /// Position of this host among those that load, starting at 0.
    pub rank: u32,
    /// Number of hosts that load.
    pub hosts: u32,
    /// Time after an announcement from which no request may start on an older version.
    pub bound: Duration,
    /// Whether entries no longer route requests to the loaded version. Entries may have a more accurate time of
    /// the announcement if it took place during a store outage.
    pub is_barred: bool,
}

/// Progress of the download of a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DownloadProgress {
    /// Number of chunks of the version.
    pub chunks: usize,
    /// Number of missing chunks.
    pub missing: usize,
    /// Time since the first chunk could be requested.
    pub elapsed: Duration,
}

/// Fraction of a version's chunks that must be present before the remaining time is estimated.
const MIN_ESTIMATE_FRACTION: f64 = 0.125;

/// Estimates the time until the endpoint serves a version that takes `load` to load after the download, assuming
/// no further delay. Returns `None` while too few chunks are present for an estimate.
pub fn estimate_ready_in(progress: &DownloadProgress, load: Duration) -> Option<Duration> {
    let present = progress.chunks.saturating_sub(progress.missing) as f64;
    let is_sufficient =
        progress.chunks > 0 && present >= progress.chunks as f64 * MIN_ESTIMATE_FRACTION;
    is_sufficient.then(|| load + progress.elapsed.mul_f64(progress.missing as f64 / present))
}

/// Whether to load the staged version now.
pub fn may_load(state: &HostState, now: Time) -> bool {
    match state.held {
        None => true,
        Some(held) if held >= state.staged => false,
        Some(_) => state.is_barred || now >= load_time(state),
    }
}

/// When the host loads: by its rank, but in time for the first version that it lacks.
fn load_time(state: &HostState) -> Time {
    let position = f64::from(state.rank) / f64::from(state.hosts.max(2) - 1);
    let fraction =
        FIRST_LOAD_FRACTION + (LAST_LOAD_FRACTION - FIRST_LOAD_FRACTION) * position.min(1.0);
    let scheduled = state.announced_at + state.bound.mul_f64(fraction);
    let latest = state.outdated_since + state.bound.mul_f64(LAST_LOAD_FRACTION);
    scheduled.min(latest)
}
