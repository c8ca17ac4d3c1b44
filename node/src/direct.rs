//! The direct path: entries that forward requests of callers to endpoints, and the agent that
//! manages the weights of the endpoint on its host and reports its load.
//!
//! Connections of clients are accepted by `http_server` within the limits of [`clients`].
//! [`gateway`] admits a request and [`forward`] serves it: `selection` chooses an endpoint,
//! `attempt` sends the request over a connection of [`pool`], and `stream` relays events to the
//! caller through [`response_body`]. The state of an entry comes from the platform's store through
//! [`watch`] or from another entry through [`replication`], is applied by `updates`, and is
//! complemented by the agents' [`load_reports`]. The agent consists of [`agent`], [`swarm`] and
//! [`endpoint_client`].

mod admission;
pub mod agent;
mod attempt;
mod begin_limits;
mod body_reader;
pub mod call;
pub mod chunk_cache;
mod chunk_server;
mod client_stream;
pub mod clients;
pub mod connection;
pub mod crashes;
pub mod endpoint_client;
pub mod entry;
pub mod explain;
mod followers;
pub mod forward;
pub mod gateway;
mod head_limit;
mod hedge;
mod http_server;
mod in_flight;
pub mod load_reports;
pub mod log;
pub mod metrics;
pub mod origin;
pub mod peers;
pub mod pool;
pub mod publisher;
mod rejection;
pub mod replication;
pub mod request_body;
pub mod response_body;
mod selection;
pub mod settings;
pub mod state;
mod statements;
mod status;
mod steps;
pub mod store;
mod stream;
pub mod swarm;
mod updates;
pub mod watch;
