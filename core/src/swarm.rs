//! The weight swarm: who asks whom for which chunk now.
//!
//! Each agent decides for itself. First cheap structure, [`topology`]: rendezvous hashing over the
//! live hosts names, for each chunk, the one host that takes it from the origin, the one that takes
//! it into each region and the one that takes it into each availability zone, so that each border
//! carries about one copy. Then [`pull`]: inside a zone a host takes the rarest chunks of a bounded
//! set of neighbours, several at once. [`peers`] keeps what each peer has proved to be worth, and
//! [`budget`] bounds the bytes that leave the origin whatever the agents believe of each other.

pub mod bitmap;
pub mod budget;
mod caches;
mod download;
pub mod host;
pub mod peers;
mod pipeline;
mod request;
mod schedule;
pub mod topology;

pub use bitmap::Bitmap;
pub use host::Swarm;
pub use pipeline::PipelineLimits;
pub use request::Counts;
pub use request::Destination;
pub use request::Flight;
pub use request::FlightKey;
pub use request::Request;
pub use request::RequestKind;
pub use request::RequestOutcome;
pub use schedule::BUSY_QUEUE;
pub use schedule::LONG_POLL_TIMEOUT;
pub use topology::PeerId;
pub use topology::PeerLocation;
pub use topology::Strategy;
