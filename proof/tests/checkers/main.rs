//! Tests of the checkers on constructed histories: a valid history passes every checker, and a
//! history with one violation fails the checker of that promise.

mod history_builder;
mod linearizability;
mod promises;
