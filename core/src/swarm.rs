//! The weight swarm: who asks whom for which chunk now.
//!
//! Each agent decides for itself. First cheap structure, [`topology`]: rendezvous hashing over the
//! live hosts names, for each chunk, the one host that takes it from the origin, the one that takes
//! it into each region and the one that takes it into each availability zone, so that each border
//! carries about one copy. Then [`pull`]: inside a zone a host takes the rarest chunks of a bounded
//! set of neighbours, several at once. [`peers`] keeps what each peer has proved to be worth, and
//! [`budget`] bounds the bytes that leave the origin whatever the agents believe of each other.

mod ask;
pub mod bitmap;
pub mod budget;
mod cached;
mod download;
mod pace;
pub mod peers;
pub mod pull;
mod request;
pub mod topology;

pub use ask::BUSY_QUEUE;
pub use ask::PARK;
pub use bitmap::Bitmap;
pub use pace::Pace;
pub use pull::Swarm;
pub use request::Counts;
pub use request::End;
pub use request::Flight;
pub use request::FlightKey;
pub use request::Request;
pub use request::To;
pub use request::What;
pub use topology::PeerId;
pub use topology::PeerPlace;
pub use topology::Way;
