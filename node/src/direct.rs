//! The direct path: an entry that answers callers straight from endpoints, and the agent that keeps
//! the weights and the load report of the endpoint beside it.
//!
//! A request enters through [`gateway`]; [`forward`] chooses endpoints for it, `attempt` sends it to
//! one over a connection of [`pool`], and `stream` passes events on to the body of [`relay`]. What an
//! entry knows comes from the platform's store by [`watch`], or from another entry by
//! [`replication`], into `updates`, and from agents by [`load_reports`]. The agent's part is [`agent`], with
//! [`swarm`] and [`endpoint_client`].

pub mod agent;
mod attempt;
pub mod call;
pub mod chunk_cache;
mod chunk_server;
pub mod endpoint_client;
pub mod entry;
pub mod explain;
mod followers;
pub mod forward;
pub mod gateway;
pub mod link;
pub mod load_reports;
pub mod log;
pub mod metrics;
pub mod origin;
pub mod peers;
mod placement;
pub mod pool;
pub mod publisher;
pub mod relay;
pub mod replication;
pub mod settings;
pub mod state;
mod steps;
pub mod store;
mod stream;
pub mod swarm;
mod updates;
pub mod watch;
