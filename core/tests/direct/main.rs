//! Tests of the decisions of the direct path, without a network.

mod caches;
mod catalog;
mod client_budget;
mod cold_turns;
mod endpoint_table;
mod events;
mod freshness;
mod handover;
mod lateness;
mod load_orders;
mod loop_lag;
mod notices;
mod pace;
mod priority;
mod read_ahead;
mod replication;
mod request_limit;
mod retry_after;
mod rollout;
mod shares;
mod store_clock;
mod subscribers;
mod supersession;
mod versions;
mod wait_queue;
mod work;
