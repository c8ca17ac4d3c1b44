//! The choice of an endpoint for a request.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use super::Need;
use super::Result;
use super::Roster;
use super::Unavailable;
use crate::direct::choice::Choice;
use crate::direct::endpoint::EndpointKey;
use crate::ids::RegionName;
use crate::ids::ServiceName;
use crate::time::Time;

/// Load, in requests, that an endpoint of another zone of the region may have less before it is
/// preferred, and one of another region: bytes that cross a region cost more than a place in a queue.
const ZONE_PENALTY: f64 = 1.0;
const REGION_PENALTY: f64 = 3.0;

impl Roster {
    /// Chooses an endpoint with little load that may serve `need`. O(endpoints of the service).
    pub fn choose<R: Rng>(
        &mut self,
        need: &Need<'_>,
        now: Time,
        rng: &mut R,
    ) -> Result<EndpointKey> {
        let Some(keys) = self.by_service.get(need.service).cloned() else {
            return Err(Unavailable::None);
        };
        let mut healthy = Choice::default();
        let mut resting = Choice::default();
        let mut is_any_fit = false;
        let mut is_any_cold = false;
        let mut is_any_healthy = false;
        for key in keys {
            if need.tried.contains(&key) || !self.fits(key, need) {
                continue;
            }
            is_any_fit = true;
            let takes = self.endpoints.get(key).is_some_and(|endpoint| endpoint.takes(now));
            is_any_healthy |= takes;
            if !self.may_warm(key, need, rng, now) {
                is_any_cold = true;
                continue;
            }
            let Some(score) = self.score(key, need.is_late, now) else {
                continue;
            };
            let choice = if takes { &mut healthy } else { &mut resting };
            choice.offer(score, key, self.is_far(key), rng);
        }
        // An endpoint that loses answers is worse than none while others are merely full.
        let found = if is_any_healthy { healthy.best() } else { resting.best() };
        found.ok_or(match (is_any_fit, is_any_cold) {
            (false, _) => Unavailable::None,
            (true, false) => Unavailable::Full,
            (true, true) => Unavailable::Warming,
        })
    }

    /// Time until the first endpoint of a service serves that does not serve yet, as agents know it.
    pub fn ready_in(&self, service: &ServiceName, now: Time) -> Option<Duration> {
        let keys = self.by_service.get(service)?;
        let open = keys.iter().filter(|key| self.is_open(**key));
        let endpoints = open.filter_map(|key| self.endpoints.get(*key));
        endpoints.filter(|one| one.is_covered()).filter_map(|one| one.ready_in(now)).min()
    }

    /// Time until the first cold endpoint of a service is warm; zero if none is cold.
    pub fn warm_in(&self, service: &ServiceName, now: Time) -> Duration {
        let keys = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let open = keys.iter().filter(|key| self.is_open(**key));
        let endpoints = open.filter_map(|key| self.endpoints.get(*key));
        let colds = endpoints.filter(|one| one.is_covered()).filter_map(|one| one.cold_for(now));
        colds.min().unwrap_or_default()
    }

    /// Whether an endpoint is in another region.
    fn is_far(&self, key: EndpointKey) -> bool {
        self.endpoints.get(key).is_some_and(|endpoint| *endpoint.region() != self.region)
    }

    fn fits(&self, key: EndpointKey, need: &Need<'_>) -> bool {
        let Some(endpoint) = self.endpoints.get(key) else {
            return false;
        };
        let in_region =
            |regions: &&[RegionName]| regions.is_empty() || regions.contains(endpoint.region());
        let holds = need.model.is_none_or(|(model, oldest)| {
            let weights = &endpoint.listed().weights;
            weights.iter().any(|(name, version)| name == model && *version >= oldest)
        });
        // A plain service takes any request, whatever model its caller names.
        let holds = holds || !endpoint.listed().is_engine;
        endpoint.is_covered()
            && !endpoint.is_superseded()
            && self.is_open(key)
            && need.regions.iter().all(in_region)
            && holds
    }

    /// Whether an endpoint is warm, or it is this entry's turn to send it a request.
    fn may_warm<R: Rng>(
        &mut self,
        key: EndpointKey,
        need: &Need<'_>,
        rng: &mut R,
        now: Time,
    ) -> bool {
        let entries = self.entry_count.for_bounds();
        let endpoint = self.endpoints.get_mut(key);
        endpoint.is_some_and(|one| one.may_warm(need.cold_per_second, entries, rng.random(), now))
    }

    /// Load of an endpoint in requests, with a penalty for distance; `None` while it is full.
    fn score(&mut self, key: EndpointKey, is_late: bool, now: Time) -> Option<f64> {
        let distance = self.distance(key)?;
        let load = self.endpoints.get_mut(key)?.load(self.entries, is_late, now)?;
        Some(load + distance)
    }

    fn distance(&self, key: EndpointKey) -> Option<f64> {
        let endpoint = self.endpoints.get(key)?;
        Some(if endpoint.listed().zone == self.zone {
            0.0
        } else if *endpoint.region() == self.region {
            ZONE_PENALTY
        } else {
            REGION_PENALTY
        })
    }
}
