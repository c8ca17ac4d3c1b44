//! Tests of configuration files, generations and leases.

mod folder;
mod generation;
mod lease;
mod store;
