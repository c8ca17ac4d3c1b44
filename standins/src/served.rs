//! Stand-ins of the ASLTR platform as the direct path meets it: the metadata store, endpoints with
//! their engine and staging area, and the origin of weights. They speak the platform's own names.

pub mod endpoint;
pub mod origin;
pub mod site;
pub mod store;
