//! Request placement and replication decisions of the direct path, on which an entry forwards a
//! request straight to an endpoint. Nothing here performs I/O.
//!
//! [`catalog`] maps requests to services and [`endpoint_table`] holds the endpoints of each
//! service, with the state of one of them in [`endpoint`]. A request goes to the best of a random
//! sample of them (`sampling`), past those that `ejection` takes out of rotation; [`lateness`]
//! detects requests that give way to others. [`priority`] decides which calls leave places to those
//! of higher levels, and [`wait_queue`] in which order calls wait for a place. [`shares`] divides fleet-wide limits among entries,
//! [`request_limit`] keeps to those that single endpoints name, [`leaving`] remembers which
//! endpoints are about to stop, and [`retry_after`] computes when a
//! refused caller may return. [`events`] resumes broken streams, and
//! [`handover`] moves those whose endpoint is about to stop. [`read_ahead`] limits what is
//! buffered for slow callers, and [`client_budget`] what clients may claim of the memory and descriptors of a process.
//!
//! Entries and agents tell each other what one of them has seen in [`notices`], such as requests
//! that crash endpoints, which [`crate::quarantine`] recognizes.
//!
//! [`freshness`] decides whether replicated state is recent enough to act on. [`replication`]
//! defines the updates that entries exchange, and [`subscribers`] tracks the entries that contact
//! an agent. [`versions`] tracks which weights may answer: [`store_clock`] bounds the time of their
//! announcements, and [`loop_lag`] what is left of their limits when requests are sent. [`caches`]
//! tracks which entries serve chunks of them, [`supersession`] decides how long an older version is
//! downloaded beside the newest one, [`rollout`] when an endpoint loads a new version, and [`load_orders`] whether the weights that it has loaded are verified.

pub mod caches;
pub mod catalog;
pub mod client_budget;
pub mod cold_turns;
mod ejection;
pub mod endpoint;
pub mod endpoint_table;
pub mod events;
pub mod freshness;
pub mod handover;
pub mod lateness;
pub mod leaving;
pub mod load_orders;
pub mod loop_lag;
pub mod notices;
pub mod pace;
pub mod priority;
pub mod read_ahead;
pub mod replication;
pub mod request_limit;
pub mod restored_store;
pub mod retry_after;
pub mod rollout;
mod sampling;
pub mod shares;
pub mod store_clock;
pub mod subscribers;
pub mod supersession;
pub mod versions;
pub mod wait_queue;
pub mod work;
