//! Decisions about single requests: claims, records, admission, streams.

mod admission;
mod claim;
mod limits;
mod quarantine;
mod queue;
mod record;
mod route;
mod share;
mod stream;
mod sweep;
