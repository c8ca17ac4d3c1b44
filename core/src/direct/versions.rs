//! Announced versions of a model, and which of them may still serve requests.
//!
//! A version may be announced before its predecessor has been rolled out everywhere. Each version's bound
//! counts from its own announcement: if versions 2 and 3 are announced four seconds apart, endpoints with
//! version 1 may serve until the bound of version 2 expires, not only until version 3 is announced.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::time::Time;

/// The range of a model's versions that an entry accepts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CurrentWeights {
    /// Name of the model.
    pub model: SmolStr,
    /// The newest announced version.
    pub newest: u64,
    /// The oldest version to which the entry still sends requests.
    pub oldest: u64,
}

/// Maximum number of versions that are kept. The bounds of older versions have long expired.
const MAX_KEPT_VERSIONS: usize = 16;

/// The versions of one model in ascending order, each with the time of its announcement.
#[derive(Clone, Debug)]
pub struct Versions {
    announced: Vec<(u64, Option<Time>)>,
}

impl Versions {
    /// Creates the history of a model whose newest version is `version`, announced at an unknown time.
    pub fn new(version: u64) -> Versions {
        Versions { announced: vec![(version, None)] }
    }

    /// Records the announcement of `version` at `now`. Returns false if it is not newer than the newest.
    pub fn record_announcement(&mut self, version: u64, now: Time) -> bool {
        if version <= self.newest() {
            return false;
        }
        if self.announced.len() >= MAX_KEPT_VERSIONS {
            self.announced.remove(0);
        }
        self.announced.push((version, Some(now)));
        true
    }

    /// Records that, according to another process, `version` was announced at `at`.
    ///
    /// A process that has just started finds the newest version in the store without the time of its
    /// announcement and treats its bound as expired. This fills in the time that another process knows, also
    /// for versions in between. A known time is not changed.
    pub fn backfill_announced_at(&mut self, version: u64, at: Time) {
        let n = self.announced.partition_point(|(known, _)| *known < version);
        match self.announced.get(n) {
            Some((known, None)) if *known == version && version > 0 => {
                self.announced[n].1 = Some(at);
            }
            Some((known, None)) if *known > version && self.announced.len() < MAX_KEPT_VERSIONS => {
                self.announced.insert(n, (version, Some(at)));
            }
            _ => return,
        }
        if n == 0 {
            // Any earlier version may serve until the bound of this one expires.
            self.announced.insert(0, (0, None));
        }
    }

    /// Records that another process first saw `version` between `earliest` and `latest`, so it was announced no
    /// later than `latest`.
    ///
    /// An entry whose connection to the store was blocked sees a version seconds late and would route requests
    /// to older versions past the bound. Agents receive the version from all entries, so the first of them to
    /// see it determines the time for all. A version that is unknown to this process is recorded as announced
    /// at `earliest`.
    pub fn record_announced_by(&mut self, version: u64, earliest: Time, latest: Time) {
        match self.announced.iter_mut().find(|(known, _)| *known == version) {
            Some((_, Some(announced_at))) => *announced_at = latest.min(*announced_at),
            Some((_, None)) => {}
            None => {
                self.record_announcement(version, earliest);
            }
        }
    }

    /// Records proof that `version` was announced no earlier than `at`.
    pub fn record_announced_after(&mut self, version: u64, at: Time) {
        if let Some((_, Some(announced_at))) =
            self.announced.iter_mut().find(|(known, _)| *known == version)
        {
            *announced_at = at.max(*announced_at);
        }
    }

    /// The newest announced version; 0 if there is none.
    pub fn newest(&self) -> u64 {
        self.announced.last().map_or(0, |(version, _)| *version)
    }

    /// The oldest version that may serve requests: the newest of those announced at least `bound` ago.
    pub fn oldest_allowed(&self, bound: Duration, now: Time) -> u64 {
        let is_bound_expired = |at: &Option<Time>| at.is_none_or(|at| now.passed(at, bound));
        let oldest = self.announced.iter().rev().find(|(_, at)| is_bound_expired(at));
        oldest.map_or(0, |(version, _)| *version)
    }

    /// The known versions, oldest first, each with the time since its announcement; `None` if unknown.
    pub fn ages(&self, now: Time) -> impl Iterator<Item = (u64, Option<Duration>)> + '_ {
        self.announced.iter().map(move |(version, at)| (*version, at.map(|at| now.since(at))))
    }

    /// When `version` was announced; `None` if the version or the time is unknown.
    pub fn announced_at(&self, version: u64) -> Option<Time> {
        self.announced.iter().find(|(known, _)| *known == version).and_then(|(_, at)| *at)
    }

    /// When requests may no longer begin on the version `held`, if each version replaces the older ones `bound` after
    /// its announcement; `None` if `held` is the newest or the time of the announcement is unknown.
    pub fn expires_at(&self, held: u64, bound: Duration) -> Option<Time> {
        self.outdated_since(held).map(|announced_at| announced_at + bound)
    }

    /// When the first version newer than `held` was announced; `None` if there is none or the time is unknown.
    pub fn outdated_since(&self, held: u64) -> Option<Time> {
        self.announced.iter().find(|(version, _)| *version > held).and_then(|(_, at)| *at)
    }
}
