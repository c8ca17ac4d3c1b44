//! Recorded histories of runs, and a checker for each promise of mastichaven.
//!
//! Callers, stand-ins and operators of a run write [`Event`]s into one [`Recorder`], which numbers
//! them. A checker reads the finished [`History`] and nothing else: no clock takes part in a
//! verdict, so the same history always gets the same one.
//!
//! ```
//! use mastichaven_proof::Promise;
//! use mastichaven_proof::Recorder;
//! use mastichaven_proof::check_all;
//!
//! let recorder = Recorder::default();
//! let verdicts = check_all(&recorder.finish());
//! assert_eq!(verdicts.len(), Promise::ALL.len());
//! ```

mod answers;
mod closed;
mod generations;
mod history;
mod linear;
mod load;
mod promise;
mod stops;
mod weights;

pub use crate::generations::published;
pub use crate::history::Answer;
pub use crate::history::CallId;
pub use crate::history::Event;
pub use crate::history::History;
pub use crate::history::Op;
pub use crate::history::Process;
pub use crate::history::Recorder;
pub use crate::history::Request;
pub use crate::history::Return;
pub use crate::history::Seen;
pub use crate::history::Step;
pub use crate::linear::BookingOp;
pub use crate::linear::BookingRegister;
pub use crate::linear::GenerationObject;
pub use crate::linear::GenerationOp;
pub use crate::linear::is_linearizable;
pub use crate::promise::Breach;
pub use crate::promise::Promise;
pub use crate::promise::Verdict;
pub use crate::promise::check;
pub use crate::promise::check_all;
