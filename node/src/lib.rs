//! Networking, storage, timers and threads around the logic of `mastichaven-core`, and the programs
//! `mastichaven-entry`, `mastichaven-agent` and `mastichaven-ctl`.
//!
//! ```
//! use mastichaven_node::tls::DevelopmentCa;
//! use mastichaven_node::tls::Role;
//!
//! let ca = DevelopmentCa::generate()?;
//! let material = ca.material(&"host-1".into(), Role::Agent)?;
//! assert!(material.server_config().is_ok());
//! # Ok::<(), mastichaven_node::tls::TlsError>(())
//! ```

pub mod accepted_config;
pub mod agent;
pub mod callers;
pub mod clock;
pub mod control;
pub mod direct;
pub mod documents;
pub mod endpoint;
pub mod engine;
pub mod entry;
mod fetch;
pub mod folder_publisher;
pub mod http_store;
pub mod lease_keeper;
pub mod operator;
pub mod origin;
pub mod platform_watch;
pub mod process;
pub mod publish;
pub mod settings;
pub mod status;
pub mod telemetry;
pub mod tls;
pub mod transport;
pub mod weights;
