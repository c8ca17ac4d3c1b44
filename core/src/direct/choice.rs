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
const CHOICES: usize = 2;

/// A random sample of the endpoints of one group.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    seen: usize,
    kept: [Option<(f64, EndpointKey)>; CHOICES],
}

impl Sample {
    /// Reservoir sampling: each endpoint offered is kept with the same probability.
    fn offer<R: Rng>(&mut self, score: f64, key: EndpointKey, rng: &mut R) {
        let n = if self.seen < CHOICES { self.seen } else { rng.random_range(0..=self.seen) };
        self.seen += 1;
        if let Some(place) = self.kept.get_mut(n) {
            *place = Some((score, key));
        }
    }
}

/// Endpoints among which one is picked, those of the own region and the others apart.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Choice {
    near: Sample,
    far: Sample,
}

impl Choice {
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
        let kept = self.near.kept.iter().chain(&self.far.kept).flatten();
        kept.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, key)| *key)
    }
}
