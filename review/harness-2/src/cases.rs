//! The cases.

mod address;
mod early;
mod model;
mod shed;
mod slow_reader;

use crate::Verdict;
use crate::record::Record;

pub fn play(case: &str, has_trouble: bool, record: &Record) -> Verdict {
    match case {
        "early-answer" => early::play(has_trouble, record),
        "shedding-origin" => shed::play(has_trouble, record),
        "slow-reader" => slow_reader::play(has_trouble, record),
        "entry-at-address" => address::play(has_trouble, record),
        other => Err(format!("no case {other}")),
    }
}

/// Turns an error into the reason why a case could not run.
fn reason(e: std::io::Error) -> String {
    e.to_string()
}
