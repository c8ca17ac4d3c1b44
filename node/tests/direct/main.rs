//! The programs on the direct path as processes of their own, against stand-ins of the platform.

mod agent;
mod chunk_cache;
mod entry;
mod explain;
mod fixture;
mod link;
mod outcomes;
mod parents;
mod peers;
mod replication;
mod settings;
mod stops;
mod updates;
