//! Injects faults into whole fleets and checks the recorded histories.

mod outcomes;
mod pairs;
