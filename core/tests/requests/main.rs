//! Handling of requests: admission, queueing, routing, claims, attempts, streams.

mod admission;
mod attempts;
mod claim;
mod limits;
mod quarantine;
mod queue;
mod route;
mod share;
mod stream;
mod sweep;
