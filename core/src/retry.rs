//! The retry budget: second attempts are a share of first ones, so that a zone that goes does not
//! set off a storm of retries on the others.

/// Attempts that may be saved up at most.
const MAX_SAVED: f64 = 20.0;

/// Attempts saved up at the start, so that the first failures of a quiet entry are retried.
const FIRST_SAVED: f64 = 5.0;

/// Further attempts earned by first ones.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { saved: FIRST_SAVED }
    }
}

impl RetryBudget {
    /// A request makes its first attempt, which earns `share` of a further one.
    pub fn earn(&mut self, share: f64) {
        self.saved = (self.saved + share.max(0.0)).min(MAX_SAVED);
    }

    /// Takes one further attempt, if one was earned.
    pub fn spend(&mut self) -> bool {
        let has = self.saved >= 1.0;
        if has {
            self.saved -= 1.0;
        }
        has
    }
}
