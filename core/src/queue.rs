//! The queue in front of a service: customers take turns by weight, whatever each of them sends.
//!
//! Deficit round robin over customers; within a customer the highest priority goes first, then the
//! oldest. A full queue sheds from the customer that waits most, so that a flood pushes out only
//! itself.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::CustomerName;
use crate::time::Time;

/// Work units a customer of weight 1 may take in one turn.
const QUANTUM: u64 = 256;

/// Weight of one request in the running average of the pace.
const PACE: f64 = 0.05;

/// Something that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiting<T> {
    /// What waits.
    pub item: T,
    /// Whose it is.
    pub customer: CustomerName,
    /// Work units it costs.
    pub work: u32,
    /// 0 (lowest) to 9.
    pub priority: u8,
    /// Past this time it need not go any more.
    pub deadline: Time,
}

#[derive(Debug)]
struct Flow<T> {
    weight: u32,
    deficit: u64,
    /// Whether its turn has begun, that is, whether it got this round's quantum.
    in_turn: bool,
    by_priority: BTreeMap<u8, VecDeque<Waiting<T>>>,
    len: usize,
}

impl<T> Flow<T> {
    fn first(&self) -> Option<&Waiting<T>> {
        self.by_priority.values().next_back()?.front()
    }

    fn pop(&mut self) -> Option<Waiting<T>> {
        let mut highest = self.by_priority.last_entry()?;
        let waiting = highest.get_mut().pop_front();
        if highest.get().is_empty() {
            highest.remove();
        }
        self.len -= 1;
        waiting
    }

    /// The newest of the lowest priority.
    fn pop_last(&mut self) -> Option<Waiting<T>> {
        let mut lowest = self.by_priority.first_entry()?;
        let waiting = lowest.get_mut().pop_back();
        if lowest.get().is_empty() {
            lowest.remove();
        }
        self.len -= 1;
        waiting
    }
}

/// A bounded queue that is fair to customers.
#[derive(Debug)]
pub struct FairQueue<T> {
    flows: HashMap<CustomerName, Flow<T>>,
    turns: VecDeque<CustomerName>,
    len: usize,
    /// Seconds between two requests that leave the queue, while it is not empty.
    pace: Option<f64>,
    last_pop: Option<Time>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        FairQueue {
            flows: HashMap::new(),
            turns: VecDeque::new(),
            len: 0,
            pace: None,
            last_pop: None,
        }
    }
}

impl<T> FairQueue<T> {
    /// The number that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// How long a request of `customer` that comes now would wait, as far as the pace tells.
    ///
    /// Each of the customers that wait gets its turn, so what counts is how many of its own are
    /// ahead, and not how many a flood has put there.
    pub fn expected_wait(&self, customer: &CustomerName) -> Duration {
        let Some(pace) = self.pace else {
            return Duration::ZERO;
        };
        let own = self.flows.get(customer).map_or(0, |flow| flow.len);
        let others = self.flows.len() - usize::from(self.flows.contains_key(customer));
        let ahead = (own + 1) * (others + 1);
        Duration::from_secs_f64(pace * ahead.min(self.len + 1) as f64)
    }

    /// Lets `waiting` in, at the front of its priority if it was here before. Gives what had to
    /// leave for it where more than `max` would wait: possibly itself. O(customers) when full.
    pub fn push(
        &mut self,
        waiting: Waiting<T>,
        weight: u32,
        again: bool,
        max: usize,
    ) -> Option<Waiting<T>> {
        let customer = waiting.customer.clone();
        let flow = self.flows.entry(customer.clone()).or_insert_with(|| {
            self.turns.push_back(customer);
            Flow { weight, deficit: 0, in_turn: false, by_priority: BTreeMap::new(), len: 0 }
        });
        flow.weight = weight.max(1);
        let line = flow.by_priority.entry(waiting.priority).or_default();
        if again {
            line.push_front(waiting);
        } else {
            line.push_back(waiting);
        }
        flow.len += 1;
        self.len += 1;
        if self.len > max { self.shed() } else { None }
    }

    fn shed(&mut self) -> Option<Waiting<T>> {
        let longest = self.flows.iter().max_by_key(|(_, flow)| flow.len / flow.weight as usize);
        let customer = longest.map(|(customer, _)| customer.clone())?;
        let shed = self.flows.get_mut(&customer)?.pop_last();
        self.len -= usize::from(shed.is_some());
        self.drop_if_empty(&customer);
        shed
    }

    /// The next in turn. Those whose deadline has passed leave as well, into `late`.
    /// Amortized O(1) for requests of usual work.
    pub fn pop(&mut self, now: Time, late: &mut Vec<Waiting<T>>) -> Option<Waiting<T>> {
        loop {
            let customer = self.turns.front()?.clone();
            let flow = self.flows.get_mut(&customer)?;
            if !flow.in_turn {
                flow.in_turn = true;
                flow.deficit += QUANTUM * u64::from(flow.weight);
            }
            let work = flow.first().map(|waiting| u64::from(waiting.work));
            if work.is_some_and(|work| work <= flow.deficit) {
                let waiting = flow.pop()?;
                self.len -= 1;
                let is_late = waiting.deadline <= now;
                if !is_late {
                    flow.deficit -= u64::from(waiting.work);
                }
                self.drop_if_empty(&customer);
                if is_late {
                    late.push(waiting);
                    continue;
                }
                self.note_pop(now);
                return Some(waiting);
            }
            flow.in_turn = false;
            self.turns.rotate_left(1);
        }
    }

    fn drop_if_empty(&mut self, customer: &CustomerName) {
        if self.flows.get(customer).is_some_and(|flow| flow.len == 0) {
            self.flows.remove(customer);
            self.turns.retain(|other| other != customer);
        }
    }

    fn note_pop(&mut self, now: Time) {
        if let Some(last) = self.last_pop {
            let gap = now.since(last).as_secs_f64();
            let old = self.pace.unwrap_or(gap);
            self.pace = Some(old + (gap - old) * PACE);
        }
        self.last_pop = (self.len > 0).then_some(now);
    }
}
