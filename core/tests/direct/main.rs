//! Decisions of the direct path, without network.

mod catalog;
mod events;
mod freshness;
mod rollout;
mod roster;
mod shares;
mod versions;
