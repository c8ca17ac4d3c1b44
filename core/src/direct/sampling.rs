//! Power-of-two-choices sampling: draws two endpoints at random from each of two groups, those of
//! the own region and the others, and picks the one with the lowest score.
//!
//! All entries see nearly the same load reports, which are 100 to 200 ms old. If each took the
//! endpoint with the least load, all would take the same one until its next report, and its prompts
//! would queue for half a second while other endpoints idle. Two random choices spread the requests
//! between two reports over all endpoints and still avoid the busy ones.

use rand::Rng;
use rand::RngExt;

use super::endpoint::EndpointKey;

/// Endpoints sampled from each group. With a larger sample, entries pick the same endpoint too
/// often.
const SAMPLE_SIZE: usize = 2;

/// A uniform random sample of the endpoints of one group, by reservoir sampling.
#[derive(Clone, Copy, Debug, Default)]
struct Reservoir {
    offered: usize,
    sampled: [Option<(f64, EndpointKey)>; SAMPLE_SIZE],
}

impl Reservoir {
    /// Adds a candidate. Every candidate offered is in the sample with the same probability.
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

/// Samples of the candidates in the own region and in other regions.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CandidateSample {
    near: Reservoir,
    far: Reservoir,
    lowest: Option<f64>,
}

impl CandidateSample {
    /// Adds a candidate; a lower score is better.
    pub(super) fn offer<R: Rng>(
        &mut self,
        score: f64,
        key: EndpointKey,
        is_far: bool,
        rng: &mut R,
    ) {
        self.lowest = Some(self.lowest.map_or(score, |lowest| lowest.min(score)));
        let group = if is_far { &mut self.far } else { &mut self.near };
        group.offer(score, key, rng);
    }

    /// The lowest score of all candidates, sampled or not; `None` if none was offered.
    pub(super) fn lowest_score(&self) -> Option<f64> {
        self.lowest
    }

    /// The sampled candidate with the lowest score of both groups, with its score; `None` if none was
    /// offered.
    pub(super) fn best(&self) -> Option<(f64, EndpointKey)> {
        let sampled = self.near.sampled.iter().chain(&self.far.sampled).flatten();
        sampled.min_by(|(a, _), (b, _)| a.total_cmp(b)).copied()
    }
}
