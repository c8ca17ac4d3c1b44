//! Tests of configuration, spreading, membership and leases.

mod lease;
mod store;
