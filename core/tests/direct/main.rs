//! Decisions of the direct path, without network.

mod askers;
mod catalog;
mod events;
mod feed;
mod freshness;
mod lateness;
mod rollout;
mod roster;
mod shares;
mod versions;
