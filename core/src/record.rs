//! What an agent remembers of the requests of its present life, in bounded space.
//!
//! Entries number their requests: the upper half of a [`RequestId`] names the life of the entry,
//! the lower half rises with each attempt. When the record is full it forgets its oldest finished
//! request and raises that entry's floor above it. A request below the floor that is not on record
//! is refused, so forgetting a voided request cannot let its late frames start it; asked what
//! became of it, the agent says that it cannot tell.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::code::Code;
use crate::ids::RequestId;
use crate::run::VoidReply;
use crate::run::WholeAnswer;

/// Finished requests remembered at most.
pub const MAX_FINISHED: usize = 16_384;

/// Entry lives whose floor is kept at most, 16 bytes each. Later ones are refused: to forget a
/// floor would let a voided request start.
pub const MAX_SENDERS: usize = 65_536;

/// Bytes of kept answers, all together.
pub const MAX_KEPT_LEN: usize = 8 << 20;

/// Result of starting a request.
pub type Result<T> = std::result::Result<T, Code>;

/// The record of one life of an agent.
#[derive(Debug)]
pub struct Record {
    by_request: HashMap<RequestId, VoidReply>,
    floors: HashMap<u64, u64>,
    finished: VecDeque<RequestId>,
    kept: VecDeque<RequestId>,
    kept_len: usize,
    max_finished: usize,
}

impl Default for Record {
    fn default() -> Self {
        Record::with_capacity(MAX_FINISHED)
    }
}

impl Record {
    /// A record that remembers `max_finished` finished requests.
    pub fn with_capacity(max_finished: usize) -> Record {
        Record {
            by_request: HashMap::new(),
            floors: HashMap::new(),
            finished: VecDeque::new(),
            kept: VecDeque::new(),
            kept_len: 0,
            max_finished,
        }
    }

    /// Whether `request` may start, without starting it.
    pub fn check(&self, request: RequestId) -> Result<()> {
        match self.by_request.get(&request) {
            Some(VoidReply::Voided) => return Err(Code::Voided),
            Some(_) => return Err(Code::KeyInProgress),
            None => {}
        }
        match self.floors.get(&request.sender()) {
            Some(floor) if request.serial() < *floor => Err(Code::Voided),
            None if self.floors.len() >= MAX_SENDERS => Err(Code::EndpointClosed),
            _ => Ok(()),
        }
    }

    /// Notes that `request` starts now, or refuses it. O(1).
    pub fn start(&mut self, request: RequestId) -> Result<()> {
        self.check(request)?;
        self.floors.entry(request.sender()).or_insert(0);
        self.by_request.insert(request, VoidReply::Running);
        Ok(())
    }

    /// Notes how a started request ended. A kept answer drops the oldest ones beyond
    /// [`MAX_KEPT_LEN`]; those requests stay on record as run.
    pub fn finish(&mut self, request: RequestId, ended: VoidReply) {
        if let VoidReply::Ran(Some(answer)) = &ended {
            self.kept_len += answer.body.len();
            self.kept.push_back(request);
        }
        self.by_request.insert(request, ended);
        self.finished.push_back(request);
        self.trim();
    }

    /// What became of `request`; one that has not started is marked and never will.
    pub fn void(&mut self, request: RequestId) -> VoidReply {
        if let Some(known) = self.by_request.get(&request) {
            return known.clone();
        }
        if self.check(request).is_err() {
            return VoidReply::Unknown;
        }
        self.floors.entry(request.sender()).or_insert(0);
        self.finish(request, VoidReply::Voided);
        VoidReply::Voided
    }

    /// Requests on record.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Whether nothing is on record.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    fn trim(&mut self) {
        while self.kept_len > MAX_KEPT_LEN {
            let Some(oldest) = self.kept.pop_front() else { break };
            self.drop_answer(oldest);
        }
        while self.finished.len() > self.max_finished {
            let Some(oldest) = self.finished.pop_front() else { break };
            self.forget(oldest);
        }
    }

    fn drop_answer(&mut self, request: RequestId) {
        if let Some(VoidReply::Ran(answer)) = self.by_request.get_mut(&request) {
            self.kept_len -= answer.take().map_or(0, |answer: WholeAnswer| answer.body.len());
        }
    }

    fn forget(&mut self, request: RequestId) {
        self.drop_answer(request);
        self.by_request.remove(&request);
        if self.kept.front() == Some(&request) {
            self.kept.pop_front();
        }
        let floor = self.floors.entry(request.sender()).or_insert(0);
        *floor = (*floor).max(request.serial().saturating_add(1));
    }
}
