//! Recorded histories of test runs, and a checker for each [`Promise`] of mastichaven.
//!
//! The callers, stand-ins and operators of a run append [`Event`]s to a shared [`Recorder`], which
//! numbers them. A checker reads only the recorded [`History`] and no clock, so the same history
//! always gets the same [`Verdict`].
//!
//! ```
//! use mastichaven_proof::Promise;
//! use mastichaven_proof::Recorder;
//! use mastichaven_proof::check_all;
//!
//! let recorder = Recorder::default();
//! let verdicts = check_all(&recorder.snapshot());
//! assert_eq!(verdicts.len(), Promise::ALL.len());
//! ```

mod answers;
mod drain;
mod generations;
mod graceful_stop;
mod history;
mod linearizability;
mod load;
mod promise;
mod weights;

pub use crate::generations::generation_actions;
pub use crate::history::Answer;
pub use crate::history::CallId;
pub use crate::history::Event;
pub use crate::history::History;
pub use crate::history::Observation;
pub use crate::history::Op;
pub use crate::history::Process;
pub use crate::history::Recorder;
pub use crate::history::Request;
pub use crate::history::Return;
pub use crate::history::Step;
pub use crate::linearizability::BookingOp;
pub use crate::linearizability::BookingRegister;
pub use crate::linearizability::GenerationObject;
pub use crate::linearizability::GenerationOp;
pub use crate::linearizability::is_linearizable;
pub use crate::promise::Promise;
pub use crate::promise::Verdict;
pub use crate::promise::Violation;
pub use crate::promise::check;
pub use crate::promise::check_all;
