//! Tests of the collective behaviour of control, on simulated time.

mod members;
mod target;
