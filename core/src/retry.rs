//! The retry budget: retries are limited to a share of first attempts, so that a failing zone does
//! not cause a retry storm on the others.

/// Maximum number of retries saved up.
const MAX_TOKENS: f64 = 20.0;

/// Initial balance, so that the first failures of an entry with little traffic are retried.
const INITIAL_TOKENS: f64 = 5.0;

/// Retries earned by first attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: INITIAL_TOKENS }
    }
}

impl RetryBudget {
    /// Adds the `share` of a retry that a first attempt earns.
    pub fn deposit(&mut self, share: f64) {
        self.tokens = (self.tokens + share.max(0.0)).min(MAX_TOKENS);
    }

    /// Takes one retry from the budget; false if there is none.
    pub fn try_withdraw(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
