//! Tests of membership across a simulated fleet, and of the size of the target's configuration.

mod members;
mod target;
