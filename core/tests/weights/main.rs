//! Weights: swarm, budget, placement, orders, gate.

mod budget;
mod orders;
mod placement;
mod swarm;
mod topology;
