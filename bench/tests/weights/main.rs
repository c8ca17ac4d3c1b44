//! Tests of rollouts, plans and replicas on a fleet of stand-ins.

mod outage;
mod rollout;
