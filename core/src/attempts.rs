//! The states of the attempts that the current incarnation of an agent has received, in bounded
//! memory.
//!
//! The upper half of a [`RequestId`] names the incarnation of the entry, and the lower half is a
//! serial number that rises with each attempt. When the table is full, it evicts the oldest
//! finished attempt and raises that entry's floor above its serial number. An attempt below the
//! floor that is not in the table is refused, so late frames of an evicted voided attempt cannot
//! start it. Its state is reported as unknown.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::code::Code;
use crate::ids::RequestId;
use crate::run::FullResponse;
use crate::run::VoidReply;

/// Maximum number of finished attempts in the table.
pub const MAX_FINISHED: usize = 16_384;

/// Maximum number of entry incarnations with a floor, 16 bytes each. Attempts of further ones are
/// refused: dropping a floor would let a voided attempt start.
pub const MAX_FLOORS: usize = 65_536;

/// Maximum total size of the stored responses, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Result of a check that an attempt may start.
pub type Result<T> = std::result::Result<T, Code>;

/// The attempts received by one incarnation of an agent.
#[derive(Debug)]
pub struct AttemptTable {
    states: HashMap<RequestId, VoidReply>,
    floors: HashMap<u64, u64>,
    finished: VecDeque<RequestId>,
    with_response: VecDeque<RequestId>,
    response_bytes: usize,
    max_finished: usize,
}

impl Default for AttemptTable {
    fn default() -> Self {
        AttemptTable::with_capacity(MAX_FINISHED)
    }
}

impl AttemptTable {
    /// Creates a table that holds `max_finished` finished attempts.
    pub fn with_capacity(max_finished: usize) -> AttemptTable {
        AttemptTable {
            states: HashMap::new(),
            floors: HashMap::new(),
            finished: VecDeque::new(),
            with_response: VecDeque::new(),
            response_bytes: 0,
            max_finished,
        }
    }

    /// Checks that `request` may start, without starting it. Fails with [`Code::Voided`],
    /// [`Code::KeyInProgress`], or [`Code::EndpointClosed`] when no further entry fits.
    pub fn check_start(&self, request: RequestId) -> Result<()> {
        match self.states.get(&request) {
            Some(VoidReply::Voided) => return Err(Code::Voided),
            Some(_) => return Err(Code::KeyInProgress),
            None => {}
        }
        match self.floors.get(&request.sender()) {
            Some(floor) if request.serial() < *floor => Err(Code::Voided),
            None if self.floors.len() >= MAX_FLOORS => Err(Code::EndpointClosed),
            _ => Ok(()),
        }
    }

    /// Marks `request` as running, or fails like [`AttemptTable::check_start`]. O(1).
    pub fn start(&mut self, request: RequestId) -> Result<()> {
        self.check_start(request)?;
        self.floors.entry(request.sender()).or_insert(0);
        self.states.insert(request, VoidReply::Running);
        Ok(())
    }

    /// Stores the final state of a started attempt. Beyond [`MAX_RESPONSE_BYTES`] the oldest
    /// responses are dropped; their attempts stay in the table as run.
    pub fn finish(&mut self, request: RequestId, state: VoidReply) {
        if let VoidReply::Ran(Some(response)) = &state {
            self.response_bytes += response.body.len();
            self.with_response.push_back(request);
        }
        self.states.insert(request, state);
        self.finished.push_back(request);
        self.evict_excess();
    }

    /// Returns the state of `request`. An attempt that has not started is voided first.
    pub fn void(&mut self, request: RequestId) -> VoidReply {
        if let Some(state) = self.states.get(&request) {
            return state.clone();
        }
        if self.check_start(request).is_err() {
            return VoidReply::Unknown;
        }
        self.floors.entry(request.sender()).or_insert(0);
        self.finish(request, VoidReply::Voided);
        VoidReply::Voided
    }

    /// Number of attempts in the table, running or finished.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether the table has no attempts.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn evict_excess(&mut self) {
        while self.response_bytes > MAX_RESPONSE_BYTES {
            let Some(oldest) = self.with_response.pop_front() else { break };
            self.drop_response(oldest);
        }
        while self.finished.len() > self.max_finished {
            let Some(oldest) = self.finished.pop_front() else { break };
            self.evict(oldest);
        }
    }

    fn drop_response(&mut self, request: RequestId) {
        if let Some(VoidReply::Ran(response)) = self.states.get_mut(&request) {
            self.response_bytes -=
                response.take().map_or(0, |response: FullResponse| response.body.len());
        }
    }

    fn evict(&mut self, request: RequestId) {
        self.drop_response(request);
        self.states.remove(&request);
        if self.with_response.front() == Some(&request) {
            self.with_response.pop_front();
        }
        let floor = self.floors.entry(request.sender()).or_insert(0);
        *floor = (*floor).max(request.serial().saturating_add(1));
    }
}
