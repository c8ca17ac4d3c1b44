//! Decision logic of mastichaven: routing, admission, retries, claims, weights, placement,
//! configuration and membership.
//!
//! This crate uses no sockets, files, timers, threads, clocks or global random number generators.
//! The current time and the random number generator are arguments.
//!
//! ```
//! use mastichaven_core::Manifest;
//!
//! let manifest = Manifest::from_weights(b"the weights of a small model", 8);
//! let bytes = manifest.encode();
//! assert_eq!(Manifest::decode(&bytes, manifest.digest()), Ok(manifest));
//! ```

pub mod admission;
pub mod arena;
pub mod attempts;
pub mod check;
pub mod claim;
pub mod code;
pub mod config;
pub mod crash_evidence;
pub mod direct;
pub mod fingerprint;
pub mod folder;
pub mod gate;
pub mod generation;
pub mod ids;
pub mod lease;
pub mod limits;
pub mod manifest;
pub mod members;
pub mod membership;
pub mod orders;
pub mod placement;
pub mod plan;
pub mod platform;
pub mod quarantine;
pub mod queue;
pub mod relay;
pub mod reserve;
pub mod retry;
pub mod ring;
pub mod route;
pub mod run;
pub mod share;
pub mod spread;
pub mod stream;
pub mod swarm;
pub mod sweep;
pub mod time;
pub mod weights;
pub mod wire;

pub use crate::arena::Arena;
pub use crate::arena::Key;
pub use crate::code::Code;
pub use crate::code::Outcome;
pub use crate::config::Config;
pub use crate::manifest::Manifest;
pub use crate::time::Time;
