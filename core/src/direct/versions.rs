//! The versions of a model that may still answer requests.
//!
//! A new version may be named before the one before it is everywhere. Each counts from its own
//! naming: with versions 2 and 3 named four seconds apart, endpoints with version 1 may answer until
//! the bound of version 2 has passed, not only until 3 is known.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::time::Time;

/// The versions of a model that count now.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CurrentWeights {
    /// The model.
    pub model: SmolStr,
    /// The newest version.
    pub newest: u64,
    /// The oldest version to which the entry still sends requests.
    pub oldest: u64,
}

/// Versions remembered beside the newest; older ones have long passed their bound.
const MAX_NAMED: usize = 16;

/// The versions of one model in the order in which they were named.
#[derive(Clone, Debug)]
pub struct Versions {
    named: Vec<(u64, Option<Time>)>,
}

impl Versions {
    /// A model whose newest version is `version`; nobody knows how long it has been.
    pub fn first(version: u64) -> Versions {
        Versions { named: vec![(version, None)] }
    }

    /// A version was named at `now`. False if it is not newer than the newest.
    pub fn name(&mut self, version: u64, now: Time) -> bool {
        if version <= self.newest() {
            return false;
        }
        if self.named.len() >= MAX_NAMED {
            self.named.remove(0);
        }
        self.named.push((version, Some(now)));
        true
    }

    /// Another process knows that a version was named at `at`.
    ///
    /// A process that has just started finds the newest version without knowing since when, and takes it
    /// as long named. It believes one that knows better, also of versions between.
    pub fn date(&mut self, version: u64, at: Time) {
        let n = self.named.partition_point(|(known, _)| *known < version);
        match self.named.get(n) {
            Some((known, None)) if *known == version && version > 0 => {
                self.named[n].1 = Some(at);
            }
            Some((known, None)) if *known > version && self.named.len() < MAX_NAMED => {
                self.named.insert(n, (version, Some(at)));
            }
            _ => return,
        }
        if n == 0 {
            // Whatever came before may answer until the bound of this one.
            self.named.insert(0, (0, None));
        }
    }

    /// Another process learnt of a version between `earliest` and `latest`: it was named then at the latest.
    ///
    /// An entry whose own way to the store was blocked learns of a version seconds late, and would send
    /// requests to older ones past the bound. Agents hear of it from all entries, so the first to know
    /// dates it for all. One that nobody else has told of is taken to have been named as early as may be.
    pub fn known_since(&mut self, version: u64, earliest: Time, latest: Time) {
        match self.named.iter_mut().find(|(named, _)| *named == version) {
            Some((_, Some(named_at))) => *named_at = latest.min(*named_at),
            Some((_, None)) => {}
            None => {
                self.name(version, earliest);
            }
        }
    }

    /// A version is proved to have been named no earlier than at `at`.
    pub fn named_after(&mut self, version: u64, at: Time) {
        if let Some((_, Some(named_at))) =
            self.named.iter_mut().find(|(named, _)| *named == version)
        {
            *named_at = at.max(*named_at);
        }
    }

    /// The newest version.
    pub fn newest(&self) -> u64 {
        self.named.last().map_or(0, |(version, _)| *version)
    }

    /// The oldest version that may answer: the newest of those named at least `bound` ago.
    pub fn oldest_allowed(&self, bound: Duration, now: Time) -> u64 {
        let binds = |at: &Option<Time>| at.is_none_or(|at| now.passed(at, bound));
        let bound_by = self.named.iter().rev().find(|(_, at)| binds(at));
        bound_by.map_or(0, |(version, _)| *version)
    }

    /// The versions known, oldest first, and how long ago each was named, if that is known.
    pub fn ages(&self, now: Time) -> impl Iterator<Item = (u64, Option<Duration>)> + '_ {
        self.named.iter().map(move |(version, at)| (*version, at.map(|at| now.since(at))))
    }

    /// When `version` was named.
    pub fn named_at(&self, version: u64) -> Option<Time> {
        self.named.iter().find(|(named, _)| *named == version).and_then(|(_, at)| *at)
    }

    /// When the first version newer than `held` was named, if one was.
    pub fn outdated_since(&self, held: u64) -> Option<Time> {
        self.named.iter().find(|(version, _)| *version > held).and_then(|(_, at)| *at)
    }
}
