//! Selection of an endpoint for a request.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use super::EndpointTable;
use super::Requirements;
use super::Result;
use super::Unavailable;
use crate::direct::endpoint::EndpointKey;
use crate::direct::pace::SLOW_PACE;
use crate::direct::sampling::CandidateSample;
use crate::direct::work::RequestWork;
use crate::ids::RegionName;
use crate::ids::ServiceName;
use crate::time::Time;

/// Load, in requests, that an endpoint in another zone of the region must have less to be
/// preferred.
const ZONE_PENALTY: f64 = 1.0;
/// The same for another region. It is higher, since bytes between regions cost more than a place in a queue.
const REGION_PENALTY: f64 = 3.0;

impl EndpointTable {
    /// Chooses an endpoint with little load that meets the requirements. O(endpoints of the
    /// service).
    pub fn choose<R: Rng>(
        &mut self,
        requirements: &Requirements<'_>,
        now: Time,
        rng: &mut R,
    ) -> Result<EndpointKey> {
        let Some(keys) = self.by_service.get(requirements.service).cloned() else {
            return Err(Unavailable::NoEndpoint);
        };
        let work = requirements.work.filter(|_| self.is_pace_in_force(now));
        let mut available = CandidateSample::default();
        let mut slow = CandidateSample::default();
        let mut unfit = CandidateSample::default();
        let mut ejected = CandidateSample::default();
        let mut has_match = false;
        let mut has_cold = false;
        let mut has_full = false;
        let mut limit_opens_in: Option<Duration> = None;
        let mut pause_ends_in: Option<Duration> = None;
        let mut has_available = false;
        for key in keys {
            if requirements.tried.contains(&key) || !self.satisfies(key, requirements) {
                continue;
            }
            has_match = true;
            let pause = self.endpoints.get(key).and_then(|endpoint| endpoint.pause_remaining(now));
            if let Some(pause) = pause {
                pause_ends_in = Some(pause_ends_in.map_or(pause, |first| first.min(pause)));
                continue;
            }
            let is_available =
                self.endpoints.get(key).is_some_and(|endpoint| endpoint.is_available(now));
            has_available |= is_available;
            if !self.admits_while_cold(key, requirements, rng, now) {
                has_cold = true;
                continue;
            }
            let time_to_turn = self.time_to_turn(key, rng, now);
            if !time_to_turn.is_zero() {
                limit_opens_in =
                    Some(limit_opens_in.map_or(time_to_turn, |first| first.min(time_to_turn)));
                continue;
            }
            let Some(score) = self.score(key, requirements, work.as_ref(), now) else {
                has_full = true;
                continue;
            };
            let sample = match is_available {
                true if self.is_unfit_for(key, work.as_ref(), now) => &mut unfit,
                true if self.pace(key, now) > SLOW_PACE => &mut slow,
                true => &mut available,
                false => &mut ejected,
            };
            sample.offer(score, key, self.is_far(key), rng);
        }
        // While other endpoints are merely full, refusing is better than an endpoint that loses
        // answers.
        let chosen = if has_available {
            self.best_of(&available, &slow, now).or(unfit.best().map(|(_, key)| key))
        } else {
            ejected.best().map(|(_, key)| key)
        };
        chosen.ok_or(match (limit_opens_in, pause_ends_in) {
            _ if !has_match => Unavailable::NoEndpoint,
            _ if has_cold => Unavailable::Warming,
            _ if has_full => Unavailable::Full,
            (Some(opens_in), pause) if pause.is_none_or(|ends_in| opens_in <= ends_in) => {
                Unavailable::Limited { opens_in }
            }
            (_, Some(ends_in)) => Unavailable::Paused { ends_in },
            _ => Unavailable::Full,
        })
    }

    /// The best candidate, a slow one only if all others have a higher score. Slow ones are sampled
    /// apart: otherwise both random candidates could be slow, or one slow and the other just used,
    /// while most endpoints are neither.
    fn best_of(
        &mut self,
        available: &CandidateSample,
        slow: &CandidateSample,
        now: Time,
    ) -> Option<EndpointKey> {
        self.has_avoided_slow = false;
        let (best, best_slow) = (available.best(), slow.best());
        let (Some((score, key)), Some((slow_score, slow_key))) = (best, best_slow) else {
            return best.or(best_slow).map(|(_, key)| key);
        };
        if available.lowest_score().is_some_and(|lowest| slow_score < lowest) {
            return Some(slow_key);
        }
        self.has_avoided_slow = slow_score < score * self.pace(slow_key, now);
        Some(key)
    }

    /// Time until the first endpoint of a service that does not serve yet will; `None` if no agent
    /// reports one.
    pub fn ready_in(&self, service: &ServiceName, now: Time) -> Option<Duration> {
        let keys = self.by_service.get(service)?;
        let routable = keys.iter().filter(|key| self.is_routable(**key));
        let endpoints = routable.filter_map(|key| self.endpoints.get(*key));
        endpoints
            .filter(|endpoint| endpoint.is_in_subset())
            .filter_map(|endpoint| endpoint.ready_in(now))
            .min()
    }

    /// Time until the first pause ends if all endpoints of a service have asked for one.
    pub fn pause_ends_in(&self, service: &ServiceName, now: Time) -> Option<Duration> {
        let keys = self.by_service.get(service)?;
        let routable = keys.iter().filter(|key| self.is_routable(**key));
        let endpoints = routable.filter_map(|key| self.endpoints.get(*key));
        let endpoints = endpoints.filter(|endpoint| endpoint.is_in_subset());
        let remaining: Option<Vec<Duration>> =
            endpoints.map(|endpoint| endpoint.pause_remaining(now)).collect();
        remaining?.into_iter().min()
    }

    /// Time until the first cold endpoint of a service is warm; zero if none is cold.
    pub fn warm_in(&self, service: &ServiceName, now: Time) -> Duration {
        let keys = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let routable = keys.iter().filter(|key| self.is_routable(**key));
        let endpoints = routable.filter_map(|key| self.endpoints.get(*key));
        let remaining = endpoints
            .filter(|endpoint| endpoint.is_in_subset())
            .filter_map(|endpoint| endpoint.cold_remaining(now));
        remaining.min().unwrap_or_default()
    }

    /// Whether an endpoint is in another region.
    fn is_far(&self, key: EndpointKey) -> bool {
        self.endpoints.get(key).is_some_and(|endpoint| *endpoint.region() != self.region)
    }

    fn satisfies(&self, key: EndpointKey, requirements: &Requirements<'_>) -> bool {
        let Some(endpoint) = self.endpoints.get(key) else {
            return false;
        };
        let allows_region =
            |regions: &&[RegionName]| regions.is_empty() || regions.contains(endpoint.region());
        let has_weights = requirements.model.is_none_or(|(model, min_version)| {
            let weights = &endpoint.record().weights;
            weights.iter().any(|(name, version)| name == model && *version >= min_version)
        });
        // A plain service takes any request, whatever model its caller names.
        let has_weights = has_weights || !endpoint.record().is_engine;
        endpoint.is_in_subset()
            && !endpoint.is_superseded()
            && self.is_routable(key)
            && requirements.regions.iter().all(allows_region)
            && has_weights
    }

    /// Whether an endpoint is warm or this entry's turn to send to it has come and is not left to a
    /// higher level.
    fn admits_while_cold<R: Rng>(
        &mut self,
        key: EndpointKey,
        requirements: &Requirements<'_>,
        rng: &mut R,
        now: Time,
    ) -> bool {
        let entries = self.entry_count.for_limits();
        let endpoint = self.endpoints.get_mut(key);
        endpoint.is_some_and(|endpoint| {
            let rate = requirements.cold_per_second;
            let is_left =
                requirements.yields_turns && rate > 0.0 && endpoint.cold_remaining(now).is_some();
            endpoint.admits_while_cold(rate, entries, rng.random(), now) && !is_left
        })
    }

    /// Time until an endpoint's request limit lets this entry send to it.
    fn time_to_turn<R: Rng>(&mut self, key: EndpointKey, rng: &mut R, now: Time) -> Duration {
        let entries = self.entry_count.for_limits();
        let endpoint = self.endpoints.get_mut(key);
        let limited = endpoint.filter(|endpoint| endpoint.request_limit().per_second().is_some());
        limited.map_or(Duration::ZERO, |endpoint| {
            endpoint.request_limit_mut().time_to_turn(entries, rng.random(), now)
        })
    }

    /// Load of an endpoint in requests, plus a penalty for distance; `None` while it is full.
    fn score(
        &mut self,
        key: EndpointKey,
        requirements: &Requirements<'_>,
        work: Option<&RequestWork>,
        now: Time,
    ) -> Option<f64> {
        let Requirements { is_late, reservation, .. } = *requirements;
        let distance_penalty = self.distance_penalty(key)?;
        let endpoint = self.endpoints.get_mut(key)?;
        let load = endpoint.load(self.entries, is_late, reservation, now)?;
        Some(load + endpoint.slowness_in_requests(load, work, now) + distance_penalty)
    }

    /// Whether a request is sent to an endpoint only if there is no other.
    fn is_unfit_for(&self, key: EndpointKey, work: Option<&RequestWork>, now: Time) -> bool {
        let endpoint = self.endpoints.get(key);
        endpoint.zip(work).is_some_and(|(endpoint, work)| endpoint.is_unfit_for(work, now))
    }

    fn distance_penalty(&self, key: EndpointKey) -> Option<f64> {
        let endpoint = self.endpoints.get(key)?;
        Some(if endpoint.record().zone == self.zone {
            0.0
        } else if *endpoint.region() == self.region {
            ZONE_PENALTY
        } else {
            REGION_PENALTY
        })
    }
}
