//! Decides whether the download of a version continues after a newer one was announced.
//!
//! An endpoint without weights that may serve answers nothing, so a version that is almost complete is worth
//! finishing while the newer one cannot be had, for example because the origin is unavailable. But its requests
//! share links and the origin with the newer version, and once its bound has passed it serves nobody. It is
//! therefore useful only if it can still serve for some time, and before the newest version is expected.

use std::time::Duration;

use super::rollout::LAST_LOAD_FRACTION;
use crate::swarm::DownloadStatus;
use crate::time::Time;

/// Load time assumed until a load has been measured.
pub const INITIAL_LOAD_TIME: Duration = Duration::from_millis(500);

/// Minimum time for which an older version must be able to serve. Loading it interrupts the endpoint for about
/// as long.
const MIN_SERVING_TIME: Duration = Duration::from_secs(1);

/// Minimum fraction of the chunks that are stored or offered by neighbours, however fast chunks arrive. With
/// less, the rate is mostly that of the origin, which then sends the newest version.
const MIN_FRACTION: f64 = 0.35;

/// The same while no chunk arrives, so that there is no estimate.
const MIN_FRACTION_WITHOUT_RATE: f64 = 2.0 / 3.0;

/// Why the download of an older version ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndReason {
    /// It could not serve for long enough before its bound.
    TooLate,
    /// Too few of its chunks are stored or offered by neighbours.
    TooFewChunks,
    /// The newest version is expected to be complete first.
    NewestExpectedFirst,
}

impl EndReason {
    /// The reason as it appears in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            EndReason::TooLate => "too late",
            EndReason::TooFewChunks => "too few chunks",
            EndReason::NewestExpectedFirst => "newest expected first",
        }
    }
}

/// A version and the newest one, which supersedes it.
#[derive(Clone, Copy, Debug)]
pub struct Supersession {
    /// The download of the older version; `None` if its manifest is missing.
    pub older: Option<DownloadStatus>,
    /// The download of the newest version; `None` if its manifest is missing.
    pub newest: Option<DownloadStatus>,
    /// When the first version after the older one was announced; `None` if unknown, which counts as long ago.
    pub superseded_at: Option<Time>,
    /// Time that a load takes, at first [`INITIAL_LOAD_TIME`].
    pub load_time: Duration,
    /// Time after an announcement from which no request may begin on an older version.
    pub bound: Duration,
}

impl Supersession {
    /// Whether the older version is worth downloading and loading.
    pub fn is_useful(&self, now: Time) -> bool {
        self.end_reason(now).is_none()
    }

    /// Why the download of the older version ends; `None` while it is useful.
    pub fn end_reason(&self, now: Time) -> Option<EndReason> {
        let older = self.older.unwrap_or_default();
        let min_fraction = match older.expected_in() {
            Some(_) => MIN_FRACTION,
            None => MIN_FRACTION_WITHOUT_RATE,
        };
        if older.available_fraction() < min_fraction {
            return Some(EndReason::TooFewChunks);
        }
        let ready_at = now + older.expected_in().unwrap_or_default() + self.load_time;
        if self.serves_until().is_none_or(|until| ready_at + MIN_SERVING_TIME > until) {
            return Some(EndReason::TooLate);
        }
        let newest = self.newest.and_then(|newest| newest.expected_in())?;
        let is_newest_first = older.expected_in().is_none_or(|older| newest < older);
        is_newest_first.then_some(EndReason::NewestExpectedFirst)
    }

    /// From when on hosts with the older version load a newer one at the latest.
    fn serves_until(&self) -> Option<Time> {
        Some(self.superseded_at? + self.bound.mul_f64(LAST_LOAD_FRACTION))
    }
}
