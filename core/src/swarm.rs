//! Distribution of model weights: which host requests which chunk from whom.
//!
//! Each agent decides for itself. [`topology`] applies rendezvous hashing to the live hosts and
//! names, for each chunk, the one host that pulls it from the origin and the one that pulls it into
//! each region and each availability zone, so that about one copy crosses each border. Inside a
//! zone, [`host`] requests the rarest chunks from a bounded set of neighbours, several at once.
//! [`peers`] tracks the liveness and the error rate of each peer, and [`budget`] bounds the bytes
//! that leave the origin even when the agents disagree about which hosts are live.

pub mod bitmap;
pub mod budget;
mod caches;
mod download;
pub mod host;
pub mod peers;
mod pipeline;
mod polls;
mod request;
mod schedule;
mod status;
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
pub use status::DownloadStatus;
pub use topology::PeerId;
pub use topology::PeerLocation;
pub use topology::Strategy;
