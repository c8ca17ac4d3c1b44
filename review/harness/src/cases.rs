//! The cases, by their names.

mod crashing_request;
mod large_bodies;
mod revoked_key;
mod spoilt_manifest;
mod unreadable_entry;

use std::io;
use std::sync::Arc;

use crate::Verdict;
use crate::record::Record;

/// Runs a case.
pub fn run(case: &str, has_trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    match case {
        "crashing-request" => crashing_request::run(has_trouble, record),
        "large-bodies" => large_bodies::run(has_trouble, record),
        "revoked-key" => revoked_key::run(has_trouble, record),
        "spoilt-manifest" => spoilt_manifest::run(has_trouble, record),
        "unreadable-entry" => unreadable_entry::run(has_trouble, record),
        _ => Err(io::Error::other(format!("no case {case}"))),
    }
}
