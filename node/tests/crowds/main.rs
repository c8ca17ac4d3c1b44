//! Crowds of clients that exceed or exhaust the limits, against the direct path's programs as separate processes.
//!
//! The tests check what does not depend on the speed of the machine: that the process lives, that its memory and open
//! descriptors stay within its settings, and that an ordinary request is answered.

mod bodies;
mod crowd;
// The other tests that share it use the rest.
#[allow(dead_code)]
#[path = "../direct/fixture.rs"]
mod fixture;
mod heads;
mod listeners;
mod usage;
