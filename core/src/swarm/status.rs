//! Progress of a download and the rate at which its chunks arrive.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Span over which the rate of arrivals is measured: longer than the timeout of a request to a cache
/// (0.9 s) and the next request, so that one cache that fails does not end the measurement.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// Minimum span for the rate of a download that has just begun.
const MIN_RATE_SPAN: Duration = Duration::from_millis(250);

/// Progress of the download of a version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DownloadStatus {
    /// Number of chunks of the version.
    pub chunks: usize,
    /// Number of chunks that are not stored here.
    pub missing: usize,
    /// Number of chunks that are stored here or offered by neighbours.
    pub available: usize,
    /// Chunks that arrive per second; `None` if none arrived recently.
    pub arrivals_per_s: Option<f64>,
}

impl DownloadStatus {
    /// Fraction of the chunks that are stored here or offered by neighbours; 0 for a version without chunks.
    pub fn available_fraction(&self) -> f64 {
        self.available as f64 / self.chunks.max(1) as f64
    }

    /// Time until the last chunk is expected; `None` if chunks are missing and none arrives.
    pub fn expected_in(&self) -> Option<Duration> {
        if self.missing == 0 {
            return (self.chunks > 0).then_some(Duration::ZERO);
        }
        let per_s = self.arrivals_per_s.filter(|per_s| *per_s > 0.0)?;
        Duration::try_from_secs_f64(self.missing as f64 / per_s).ok()
    }
}

/// Times at which the chunks of a version arrived, within [`RATE_WINDOW`] of the last.
#[derive(Clone, Debug, Default)]
pub(super) struct Arrivals(VecDeque<Time>);

impl Arrivals {
    pub(super) fn record(&mut self, now: Time) {
        while self.0.front().is_some_and(|at| now.passed(*at, RATE_WINDOW)) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Arrivals per second at `now` of a download that began at `began_at`; `None` if there were none.
    pub(super) fn per_second(&self, began_at: Time, now: Time) -> Option<f64> {
        let recent = self.0.iter().filter(|at| !now.passed(**at, RATE_WINDOW)).count();
        let span = now.since(began_at).clamp(MIN_RATE_SPAN, RATE_WINDOW);
        (recent > 0).then(|| recent as f64 / span.as_secs_f64())
    }
}
