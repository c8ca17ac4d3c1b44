//! The queue in front of a service: customers share it by weight, whatever each of them sends.
//!
//! Start-time fair queueing over customers: each has a tag that grows with the work it was given,
//! divided by its weight, and the lowest tag goes next. A customer that has been away starts at the
//! tag of the one served last, so a rare request goes almost at once, however many wait of others.
//! Within a customer the highest priority goes first, then the oldest. A full queue sheds from the
//! customer that waits most, so that a flood pushes out only itself.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::CustomerName;
use crate::time::Time;

/// Steps of a tag for one work unit of a customer of weight 1.
const SCALE: u64 = 1 << 16;

/// Customers whose tag is kept while they have nothing waiting, at most.
const MAX_AWAY: usize = 4_096;

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
    tag: u64,
    by_priority: BTreeMap<u8, VecDeque<Waiting<T>>>,
    len: usize,
}

impl<T> Flow<T> {
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
    by_tag: BTreeSet<(u64, CustomerName)>,
    /// Tags of customers that have nothing waiting but were given more than others.
    away: HashMap<CustomerName, u64>,
    /// The tag of the one served last.
    served: u64,
    len: usize,
    /// Seconds between two requests that leave the queue, while it is not empty.
    pace: Option<f64>,
    last_pop: Option<Time>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        FairQueue {
            flows: HashMap::new(),
            by_tag: BTreeSet::new(),
            away: HashMap::new(),
            served: 0,
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

    /// Whose request is next.
    pub fn next_customer(&self) -> Option<&CustomerName> {
        self.by_tag.first().map(|(_, customer)| customer)
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
    /// leave for it where more than `max` would wait: possibly itself. O(log customers), and
    /// O(customers) when full.
    pub fn push(
        &mut self,
        waiting: Waiting<T>,
        weight: u32,
        again: bool,
        max: usize,
    ) -> Option<Waiting<T>> {
        let customer = waiting.customer.clone();
        let flow = self.flows.entry(customer.clone()).or_insert_with(|| {
            let tag = self.away.remove(&customer).unwrap_or(0).max(self.served);
            self.by_tag.insert((tag, customer));
            Flow { weight, tag, by_priority: BTreeMap::new(), len: 0 }
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
    /// O(log customers).
    pub fn pop(&mut self, now: Time, late: &mut Vec<Waiting<T>>) -> Option<Waiting<T>> {
        loop {
            let (tag, customer) = self.by_tag.first()?.clone();
            let flow = self.flows.get_mut(&customer)?;
            let waiting = flow.pop()?;
            self.len -= 1;
            if waiting.deadline <= now {
                self.drop_if_empty(&customer);
                late.push(waiting);
                continue;
            }
            self.served = tag;
            flow.tag = tag + u64::from(waiting.work.max(1)) * SCALE / u64::from(flow.weight);
            self.by_tag.remove(&(tag, customer.clone()));
            self.by_tag.insert((flow.tag, customer.clone()));
            self.drop_if_empty(&customer);
            self.note_pop(now);
            return Some(waiting);
        }
    }

    fn drop_if_empty(&mut self, customer: &CustomerName) {
        if self.flows.get(customer).is_none_or(|flow| flow.len > 0) {
            return;
        }
        if let Some(flow) = self.flows.remove(customer) {
            self.by_tag.remove(&(flow.tag, customer.clone()));
            self.away.insert(customer.clone(), flow.tag);
        }
        if self.away.len() > MAX_AWAY {
            let served = self.served;
            self.away.retain(|_, tag| *tag > served);
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
