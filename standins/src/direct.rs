//! Stand-ins of the ASLTR platform for tests of the direct path: the metadata store, endpoints with
//! their engine and staging area, and the origin of weights. They use the platform's wire names.

pub mod babbler;
pub mod endpoint;
pub mod origin;
pub mod site;
pub mod store;
