//! Rollouts on a whole fleet.

mod outage;
mod rollout;
