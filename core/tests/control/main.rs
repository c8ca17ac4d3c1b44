//! Tests of configuration, spreading, membership and leases.

mod folder;
mod generation;
mod lease;
mod store;
