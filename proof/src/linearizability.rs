//! Sequential specifications for the linearizability checker of [`todc_utils`].

use mastichaven_core::ids::Generation;
use todc_utils::Action;
use todc_utils::History;
use todc_utils::Specification;
use todc_utils::WGLChecker;

/// Whether `actions` can be put into one order that respects real time and the specification.
///
/// An empty history is linearizable. The running time is exponential in the number of overlapping
/// operations.
pub fn is_linearizable<S: Specification>(actions: Vec<(usize, Action<S::Operation>)>) -> bool {
    actions.is_empty() || WGLChecker::<S>::is_linearizable(History::from_actions(actions))
}

/// The outcome of a non-idempotent request, as answered to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BookingOp {
    /// The request ran and returned this result.
    Ran(u64),
    /// The call did not run the request.
    NotRun,
}

/// A register that is written at most once: every caller whose request ran gets the result of the
/// one run.
pub struct BookingRegister;

impl Specification for BookingRegister {
    type State = Option<u64>;
    type Operation = BookingOp;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        match (operation, state) {
            (BookingOp::NotRun, state) => (true, *state),
            (BookingOp::Ran(result), None) => (true, Some(*result)),
            (BookingOp::Ran(result), Some(stored)) => (result == stored, *state),
        }
    }
}

/// An operation on the platform's accepted generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GenerationOp {
    /// The publish operation returned this generation as accepted.
    Write(Generation),
    /// The read returned this generation.
    Read(Generation),
}

/// The accepted generation: writes never lower it, and reads return the last write.
///
/// A read may return a higher generation than any known write, because the answer to a write can be
/// lost. A write of the configuration that is already accepted may keep the generation.
pub struct GenerationObject;

impl Specification for GenerationObject {
    type State = Generation;
    type Operation = GenerationOp;

    fn init() -> Self::State {
        Generation(0)
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        match operation {
            GenerationOp::Write(generation) | GenerationOp::Read(generation) => {
                (generation >= state, *generation)
            }
        }
    }
}
