//! Whole fleets under faults; their histories are checked.

mod outcomes;
mod pairs;
