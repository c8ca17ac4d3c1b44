//! When the endpoint beside an agent loads a new version.
//!
//! An endpoint takes nothing new while it empties and loads. If all did so at once, nobody would
//! answer for a second or two. So the endpoints that serve load one after the other, at turns that all
//! agents work out alike; those that serve nothing load as soon as they can.

use std::time::Duration;

use crate::time::Time;

/// Parts of the bound at which the first and the last host load. Before the first, chunks are still on
/// their way. From its turn on a host begins nothing on the old version, so the last turn may come close to
/// the bound.
const FIRST_PART: f64 = 0.36;
const LAST_PART: f64 = 0.82;

/// What a host knows when it decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Situation {
    /// The version that is staged whole.
    pub staged: u64,
    /// When it became known here.
    pub named_at: Time,
    /// The version that the endpoint holds whole.
    pub held: Option<u64>,
    /// When the first version newer than the held one became known here.
    pub outdated_since: Time,
    /// This host's place among those that load, from 0.
    pub rank: u32,
    /// Hosts that load.
    pub hosts: u32,
    /// The time after which requests must not begin on an older version.
    pub bound: Duration,
    /// Whether entries no longer send requests to what the endpoint holds. They may know better since when
    /// it is out of date, if the version was named while the store was away.
    pub is_barred: bool,
}

/// How much of a version is here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Progress {
    /// Chunks of the version.
    pub chunks: usize,
    /// Chunks that are missing.
    pub missing: usize,
    /// Time since the first one could be asked for.
    pub elapsed: Duration,
}

/// Part of a version's chunks from which on their pace says when the rest is here.
const KNOWN_PACE: f64 = 0.125;

/// Time until the endpoint serves a version that takes `load` to load once it is whole, if nothing holds it
/// up. `None` while too few chunks have come for an estimate.
pub fn ready_in(progress: &Progress, load: Duration) -> Option<Duration> {
    let here = progress.chunks.saturating_sub(progress.missing) as f64;
    let is_known = progress.chunks > 0 && here >= progress.chunks as f64 * KNOWN_PACE;
    is_known.then(|| load + progress.elapsed.mul_f64(progress.missing as f64 / here))
}

/// Whether to load the staged version now.
pub fn may_load(situation: &Situation, now: Time) -> bool {
    match situation.held {
        None => true,
        Some(held) if held >= situation.staged => false,
        Some(_) => situation.is_barred || now >= turn(situation),
    }
}

/// When the host's turn comes: by its rank, but in time for the first version that it lacks.
fn turn(situation: &Situation) -> Time {
    let part = f64::from(situation.rank) / f64::from(situation.hosts.max(2) - 1);
    let own = FIRST_PART + (LAST_PART - FIRST_PART) * part.min(1.0);
    let usual = situation.named_at + situation.bound.mul_f64(own);
    let latest = situation.outdated_since + situation.bound.mul_f64(LAST_PART);
    usual.min(latest)
}
