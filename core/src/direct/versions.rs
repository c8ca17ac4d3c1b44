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

/// When a version was announced, as far as a process knows: at some moment from `earliest` to `latest`.
///
/// Limits that must hold count from `earliest`; when to stop sending requests to older versions counts from `latest`,
/// which is close to the announcement unless the process hears of it late.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Announcement {
    earliest: Time,
    latest: Time,
}

impl Announcement {
    /// An announcement that the store had not made at `earliest` and had made at `latest`.
    pub fn between(earliest: Time, latest: Time) -> Announcement {
        Announcement { earliest: earliest.min(latest), latest }
    }

    /// An announcement at a known moment.
    pub fn at(time: Time) -> Announcement {
        Announcement { earliest: time, latest: time }
    }

    /// The earliest possible moment.
    pub fn earliest(self) -> Time {
        self.earliest
    }

    /// The latest possible moment.
    pub fn latest(self) -> Time {
        self.latest
    }

    /// How far [`Announcement::latest`] may be off.
    pub fn uncertainty(self) -> Duration {
        self.latest.since(self.earliest)
    }

    /// Combines what two processes know of the same announcement.
    pub fn narrowed_by(self, other: Announcement) -> Announcement {
        Announcement::between(self.earliest.max(other.earliest), self.latest.min(other.latest))
    }
}

/// Limits in time for requests on older weights, counted from the announcement of the first newer version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionLimits {
    /// Time for which requests are sent to endpoints with older weights.
    pub send_for: Duration,
    /// Time within which requests must have begun on older weights, however early the announcement may have been.
    pub begin_within: Duration,
    /// Minimum time that a request is given to begin.
    pub min_begin_time: Duration,
}

impl VersionLimits {
    fn begin_by(&self, newer: Announcement) -> Time {
        newer.earliest + self.begin_within
    }

    /// Whether no request is sent any more, at `now`, to endpoints with older weights than those of `newer`.
    fn have_expired(&self, newer: Announcement, now: Time) -> bool {
        now.passed(newer.latest, self.send_for) || now + self.min_begin_time >= self.begin_by(newer)
    }
}

/// The versions of one model in ascending order, each with its announcement; `None` if the time is unknown.
#[derive(Clone, Debug)]
pub struct Versions {
    announced: Vec<(u64, Option<Announcement>)>,
}

impl Versions {
    /// Creates the history of a model whose newest version is `version`, announced at an unknown time.
    pub fn new(version: u64) -> Versions {
        Versions { announced: vec![(version, None)] }
    }

    /// Records the announcement of `version`; `None` if its time is unknown. Returns false if it is not newer than the
    /// newest.
    pub fn record_announcement(
        &mut self,
        version: u64,
        announcement: impl Into<Option<Announcement>>,
    ) -> bool {
        if version <= self.newest() {
            return false;
        }
        if self.announced.len() >= MAX_KEPT_VERSIONS {
            self.announced.remove(0);
        }
        self.announced.push((version, announcement.into()));
        true
    }

    /// Records what another process knows of the announcement of `version`.
    ///
    /// A process that has just started finds the newest version in the store without the time of its
    /// announcement and treats its bound as expired. This fills in the time that another process knows, also
    /// for versions in between.
    pub fn merge_announcement(&mut self, version: u64, announcement: Announcement) {
        let n = self.announced.partition_point(|(known, _)| *known < version);
        match self.announced.get(n) {
            Some((known, Some(announced))) if *known == version => {
                self.announced[n].1 = Some(announced.narrowed_by(announcement));
                return;
            }
            Some((known, None)) if *known == version && version > 0 => {
                self.announced[n].1 = Some(announcement);
            }
            Some((known, None)) if *known > version && self.announced.len() < MAX_KEPT_VERSIONS => {
                self.announced.insert(n, (version, Some(announcement)));
            }
            _ => return,
        }
        if n == 0 {
            // Any earlier version may serve until the bound of this one expires.
            self.announced.insert(0, (0, None));
        }
    }

    /// Records that another process has seen `version` since the latest moment of `announcement`. A version that is
    /// unknown to this process is recorded with `announcement`.
    ///
    /// An entry whose connection to the store was blocked sees a version seconds late and would route requests
    /// to older versions past the bound. Agents receive the version from all entries, so the first of them to
    /// see it determines the time for all.
    pub fn record_seen(&mut self, version: u64, announcement: Announcement) {
        match self.announced.iter_mut().find(|(known, _)| *known == version) {
            Some((_, Some(announced))) => {
                let latest = announced.latest.min(announcement.latest);
                *announced = Announcement::between(announced.earliest, latest);
            }
            Some((_, None)) => {}
            None => {
                self.record_announcement(version, announcement);
            }
        }
    }

    /// The newest announced version; 0 if there is none.
    pub fn newest(&self) -> u64 {
        self.announced.last().map_or(0, |(version, _)| *version)
    }

    /// The oldest version to which requests are sent: the newest of those that have made older ones expire.
    pub fn oldest_allowed(&self, limits: &VersionLimits, now: Time) -> u64 {
        let has_expired = |newer: &Option<Announcement>| {
            newer.is_none_or(|newer| limits.have_expired(newer, now))
        };
        let oldest = self.announced.iter().rev().find(|(_, newer)| has_expired(newer));
        oldest.map_or(0, |(version, _)| *version)
    }

    /// The known versions, oldest first, each with its announcement; `None` if the time is unknown.
    pub fn announcements(&self) -> impl Iterator<Item = (u64, Option<Announcement>)> + '_ {
        self.announced.iter().copied()
    }

    /// The announcement of `version`; `None` if the version or the time is unknown.
    pub fn announcement(&self, version: u64) -> Option<Announcement> {
        self.announced.iter().find(|(known, _)| *known == version).and_then(|(_, at)| *at)
    }

    /// When requests must have begun on the version `held`; `None` if it is the newest. If the time of a newer
    /// announcement is unknown, it has passed.
    pub fn begin_by(&self, held: u64, limits: &VersionLimits) -> Option<Time> {
        let newer = self.announced.iter().filter(|(version, _)| *version > held);
        newer.map(|(_, newer)| newer.map_or(Time::ZERO, |newer| limits.begin_by(newer))).min()
    }

    /// The announcement of the first version newer than `held`; `None` if there is none or the time is unknown.
    pub fn successor(&self, held: u64) -> Option<Announcement> {
        self.announced.iter().find(|(version, _)| *version > held).and_then(|(_, at)| *at)
    }
}
