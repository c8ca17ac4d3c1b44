//! Picks one endpoint among many: the better of two drawn at random, near ones first.
//!
//! All entries see nearly the same load reports, which are 100 to 200 ms old. Were each to take the
//! endpoint with the least load, all would take the same one until its next report, and its prompts would
//! queue for half a second while others idle. Two random choices spread what comes between two reports
//! over all endpoints, and still keep away from the busy ones.

use rand::Rng;
use rand::RngExt;

use super::endpoint::EndpointKey;

/// Endpoints compared from each group. With more of them, entries agree too often.
const SAMPLE_SIZE: usize = 2;

/// A random sample of the endpoints of one group.
#[derive(Clone, Copy, Debug, Default)]
struct Reservoir {
    offered: usize,
    sampled: [Option<(f64, EndpointKey)>; SAMPLE_SIZE],
}

impl Reservoir {
    /// Reservoir sampling: each endpoint offered is kept with the same probability.
    fn offer<R: Rng>(&mut self, score: f64, key: EndpointKey, rng: &mut R) {
        let index = if self.offered < SAMPLE_SIZE {
            self.offered
        } else {
            rng.random_range(0..=self.offered)
        };
        self.offered += 1;
        if let Some(slot) = self.sampled.get_mut(index) {
            *slot = Some((score, key));
        }
    }
}

/// Endpoints among which one is picked, those of the own region and the others apart.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CandidateSample {
    near: Reservoir,
    far: Reservoir,
}

impl CandidateSample {
    /// An endpoint may be picked; a lower score is better.
    pub(super) fn offer<R: Rng>(
        &mut self,
        score: f64,
        key: EndpointKey,
        is_far: bool,
        rng: &mut R,
    ) {
        let group = if is_far { &mut self.far } else { &mut self.near };
        group.offer(score, key, rng);
    }

    /// The best of the endpoints drawn.
    pub(super) fn best(&self) -> Option<EndpointKey> {
        let sampled = self.near.sampled.iter().chain(&self.far.sampled).flatten();
        sampled.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, key)| *key)
    }
}
