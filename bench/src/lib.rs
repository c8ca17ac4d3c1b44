//! What the experiments and the tests of whole runs share: a small fleet on stand-ins,
//! and runs of it under faults whose histories are checked.

pub mod bookings;
pub mod capacity;
pub mod demo;
pub mod faults;
pub mod fleet;
pub mod load;
pub mod member_net;
pub mod report;
pub mod service;
pub mod target;
