//! Judges from the records of the store and the endpoints whether requests began on outdated weights.

use std::time::Duration;
use std::time::Instant;

use mastichaven_standins::direct::endpoint::FakeEndpoint;
use serde_json::json;

use super::fixture::Site;

/// Deadlines as long as this are the caller's own, and not those of weights.
const UNLIMITED: Duration = Duration::from_millis(2_900);

/// The versions of a model that operators have announced, each with the time of the store's acknowledgement.
#[derive(Debug, Default)]
pub struct VersionHistory {
    announced: Vec<(u64, Instant)>,
}

impl VersionHistory {
    /// Announces `version` in the store of `site`.
    pub fn announce(&mut self, site: &Site, version: u64) {
        site.store.put("versions", "m", json!({"model": "m", "version": version}));
        self.announced.push((version, Instant::now()));
    }

    /// Time since the last announcement.
    pub fn age(&self) -> Duration {
        self.announced.last().map(|(_, at)| at.elapsed()).unwrap_or_default()
    }

    fn expires_at(&self, version: u64, bound: Duration) -> Option<Instant> {
        let newer = self.announced.iter().filter(|(newer, _)| *newer > version);
        newer.map(|(_, at)| *at + bound).min()
    }

    /// The least time, in milliseconds, from a deadline that one of `endpoints` was told until the bound of the weights
    /// on which the request began, and that request. What it falls short of the margin in that deadline is the time from
    /// the entry's decision until the endpoint read the request. `None` if no deadline was shorter than the caller's.
    pub fn least_margin<'a>(
        &self,
        bound: Duration,
        endpoints: impl IntoIterator<Item = &'a FakeEndpoint>,
    ) -> Option<(i64, String)> {
        let runs = endpoints.into_iter().flat_map(FakeEndpoint::runs);
        let margins = runs.filter_map(|run| {
            let expires_at = self.expires_at(run.begun?.version?, bound)?;
            let told = Duration::from_millis(run.deadline_ms?);
            let margin_ms = signed_ms(run.arrived_at + told, expires_at);
            let arrived_ms = signed_ms(run.arrived_at, expires_at);
            let request = format!("{} arrived {arrived_ms} ms before, told {told:?}", run.id);
            (told < UNLIMITED).then_some((margin_ms, request))
        });
        margins.min()
    }

    /// The requests that began at `endpoints` on older weights, later than `bound` after a newer version had been
    /// acknowledged, each with how late it was.
    pub fn late_begins<'a>(
        &self,
        bound: Duration,
        endpoints: impl IntoIterator<Item = &'a FakeEndpoint>,
    ) -> Vec<(String, Duration)> {
        let runs = endpoints.into_iter().flat_map(FakeEndpoint::runs);
        let late = runs.filter_map(|run| {
            let begin = run.begun?;
            let version = begin.version?;
            let expired_at = self.expires_at(version, bound)?;
            let late = begin.at.checked_duration_since(expired_at)?;
            Some((run.id, late))
        });
        late.collect()
    }
}

/// Milliseconds from `start` to `end`; negative if `end` is earlier.
fn signed_ms(start: Instant, end: Instant) -> i64 {
    let ms = |from: Instant, to: Instant| to.saturating_duration_since(from).as_millis() as i64;
    ms(start, end) - ms(end, start)
}
