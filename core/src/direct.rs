//! Decisions of the direct path, on which an entry sends a request straight to an endpoint.
//!
//! [`catalog`] says where a request may go, [`roster`] which endpoints stand there, [`endpoint`] what each
//! can bear, `choice` which of them a request goes to, [`lateness`] which requests yield to others,
//! [`shares`] how much of a fleet-wide bound one entry may use, [`freshness`] whether what the
//! entry knows is young enough to act on, [`events`] where a broken stream resumes, [`versions`]
//! which weights may answer, [`caches`] which entries hand out chunks of them, and [`rollout`] when an
//! endpoint loads a new version. [`retry_after`] says when a refused caller may come back. [`replication`] is what
//! entries pass on to each other of the store, and [`subscribers`] are the entries that an agent hears of.

pub mod caches;
pub mod catalog;
mod ejection;
pub mod endpoint;
pub mod endpoint_table;
pub mod events;
pub mod freshness;
pub mod lateness;
pub mod replication;
pub mod retry_after;
pub mod rollout;
mod sampling;
pub mod shares;
pub mod subscribers;
pub mod versions;
