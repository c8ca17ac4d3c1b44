//! Tests of the direct path's programs, run as separate processes against stand-ins of the
//! platform.

mod agent;
mod attempts;
mod chunk_cache;
mod connection;
mod crashes;
mod disconnects;
mod entry;
mod explain;
mod fixture;
mod interrupted_streams;
mod limits;
mod pace;
mod parents;
mod peers;
mod power_loss;
mod replication;
mod response_framing;
mod restored_store;
mod settings;
mod shutdown;
mod statements;
mod updates;
mod version_history;
mod version_soak;
mod versions;
