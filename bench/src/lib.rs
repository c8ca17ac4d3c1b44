//! Experiments on small fleets of entries and agents that run against stand-ins, fault injection with
//! checked histories, and the fleet itself for end-to-end tests.

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
