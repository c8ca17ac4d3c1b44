//! When the endpoint beside an agent loads a new version.
//!
//! An endpoint finishes what is running before it loads and takes nothing new meanwhile. If all did
//! so at once, nobody would answer for some seconds. So the endpoints that serve load in waves, in an
//! order that all agents work out alike; those that serve nothing load as soon as they can.

use std::time::Duration;

use crate::time::Time;

/// Waves of a rollout.
pub const WAVES: u32 = 3;

/// Time between waves: about one running request and a load.
pub const WAVE_GAP: Duration = Duration::from_millis(1_500);

/// What a host knows when it decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Situation {
    /// The newest version named.
    pub newest: u64,
    /// The version that the endpoint holds whole.
    pub held: Option<u64>,
    /// Whether all chunks of the newest version are staged and checked.
    pub is_staged: bool,
    /// When the newest version became known here.
    pub named_at: Time,
    /// When the first version newer than the held one became known here.
    pub outdated_since: Time,
    /// This host's wave, below [`WAVES`].
    pub wave: u32,
    /// The time after which requests must not begin on an older version.
    pub bound: Duration,
}

/// Whether to order the load now. A host starts with its wave, or early enough for the bound.
pub fn may_load(situation: &Situation, now: Time) -> bool {
    if !situation.is_staged || situation.held.is_some_and(|held| held >= situation.newest) {
        return false;
    }
    if situation.held.is_none() {
        return true;
    }
    let turn = situation.named_at + FIRST_WAVE_AFTER + WAVE_GAP * situation.wave;
    let latest = situation.outdated_since + situation.bound.mul_f64(LATEST_PART);
    now >= turn.min(latest)
}

/// The first wave starts when the chunks are usually there, so that waves stay apart: 24 hosts with
/// links of 7.6 Mbit/s had 2 MB after 3.4 to 3.9 s.
const FIRST_WAVE_AFTER: Duration = Duration::from_millis(3_400);

/// Part of the bound after which a host loads whatever its wave. From the order on nothing new begins
/// on the old version.
const LATEST_PART: f64 = 0.8;

/// The wave of a host, by its rank among the hosts of its zone.
pub fn wave_of(rank: usize) -> u32 {
    rank as u32 % WAVES
}
