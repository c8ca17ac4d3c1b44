//! Stand-ins of the systems around mastichaven, for tests: the platform's object API and host list,
//! the origin of weights, a model engine and a plain service. Each speaks its published protocol
//! over HTTP on loopback and injects faults on demand. They do not model a cluster.
//!
//! ```
//! use mastichaven_standins::Platform;
//!
//! let platform = Platform::start("127.0.0.1:0")?;
//! assert!(platform.base().starts_with("http://127.0.0.1:"));
//! # Ok::<(), std::io::Error>(())
//! ```

pub mod direct;
pub mod engine;
mod engine_cache;
pub mod observer;
pub mod origin;
pub mod plain;
pub mod platform;
mod serve;
pub mod udp_proxy;

pub use crate::engine::Engine;
pub use crate::engine::EngineFaults;
pub use crate::engine::EngineProfile;
pub use crate::observer::EndpointEvent;
pub use crate::observer::Observer;
pub use crate::origin::Origin;
pub use crate::origin::OriginFaults;
pub use crate::plain::Plain;
pub use crate::plain::PlainFaults;
pub use crate::platform::Platform;
pub use crate::platform::PlatformFaults;
pub use crate::platform::PlatformProxy;
pub use crate::udp_proxy::UdpProxy;
