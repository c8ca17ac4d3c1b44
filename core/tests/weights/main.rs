//! Tests of weight distribution, origin budget, placement, orders and the gate.

mod budget;
mod orders;
mod outage;
mod placement;
mod swarm;
mod topology;
