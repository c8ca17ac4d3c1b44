//! Decisions about single requests: claims, records, admission, streams.

mod admission;
mod claim;
mod record;
mod stream;
