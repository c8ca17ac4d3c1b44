//! Sequential specifications for the library's linearizability checker.

use mastichaven_core::ids::Generation;
use todc_utils::Action;
use todc_utils::History;
use todc_utils::Specification;
use todc_utils::WGLChecker;

/// Whether `actions` can be put into one order that respects real time and the specification.
///
/// An empty history is linearizable. Exponential in the operations that overlap.
pub fn is_linearizable<S: Specification>(actions: Vec<(usize, Action<S::Operation>)>) -> bool {
    actions.is_empty() || WGLChecker::<S>::is_linearizable(History::from_actions(actions))
}

/// What a caller of a non-idempotent work was told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BookingOp {
    /// It ran, with this result.
    Ran(u64),
    /// It did not run.
    NotRun,
}

/// A register that is written at most once: everybody who is told that the work ran sees the
/// result of the one run.
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
            (BookingOp::Ran(result), Some(kept)) => (result == kept, *state),
        }
    }
}

/// An operation on the platform's accepted generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GenerationOp {
    /// A publisher was told that this generation is accepted.
    Write(Generation),
    /// A reader got this generation.
    Read(Generation),
}

/// The accepted generation: writes raise it, reads see the last write. A read of a higher
/// generation than any known write shows a write whose answer was lost; a write of what is accepted
/// already may keep its generation.
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
