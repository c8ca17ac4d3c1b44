//! The queue of a service, shared by customers according to their weights regardless of each
//! customer's load.
//!
//! Start-time fair queueing over customers: each customer has a tag that grows with the work it was
//! given, divided by its weight, and the lowest tag is served next. A customer that was idle starts
//! at the virtual time, the tag served last, so occasional requests are served almost at once
//! however long the queue is. Within a customer, requests are ordered by priority, then by age. A
//! full queue sheds from the customer with the most queued requests for its weight, so a flood
//! displaces only itself.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::CustomerName;
use crate::time::Time;

/// Increase of a tag for one work unit of a customer of weight 1.
const TAG_SCALE: u64 = 1 << 16;

/// Number of tags of idle customers above which those at or below the virtual time are dropped.
const MAX_IDLE_TAGS: usize = 4_096;

/// Weight of one request in the moving average of the dequeue interval.
const INTERVAL_WEIGHT: f64 = 0.05;

/// A queued request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedItem<T> {
    /// The payload, returned by [`FairQueue::pop`].
    pub item: T,
    /// The customer that it belongs to.
    pub customer: CustomerName,
    /// Cost in work units, charged to the customer when it is dequeued.
    pub work: u32,
    /// Priority from 0 (lowest) to 9.
    pub priority: u8,
    /// Time at which it expires and is no longer served.
    pub deadline: Time,
}

#[derive(Debug)]
struct Flow<T> {
    weight: u32,
    tag: u64,
    by_priority: BTreeMap<u8, VecDeque<QueuedItem<T>>>,
    len: usize,
}

impl<T> Flow<T> {
    fn pop(&mut self) -> Option<QueuedItem<T>> {
        let mut highest = self.by_priority.last_entry()?;
        let queued = highest.get_mut().pop_front();
        if highest.get().is_empty() {
            highest.remove();
        }
        self.len -= 1;
        queued
    }

    /// Removes the newest request of the lowest priority.
    fn pop_newest_of_lowest(&mut self) -> Option<QueuedItem<T>> {
        let mut lowest = self.by_priority.first_entry()?;
        let queued = lowest.get_mut().pop_back();
        if lowest.get().is_empty() {
            lowest.remove();
        }
        self.len -= 1;
        queued
    }
}

/// A bounded queue that is fair to customers.
#[derive(Debug)]
pub struct FairQueue<T> {
    flows: HashMap<CustomerName, Flow<T>>,
    by_tag: BTreeSet<(u64, CustomerName)>,
    /// Tags of customers with nothing queued.
    idle_tags: HashMap<CustomerName, u64>,
    /// Tag of the request served last.
    virtual_time: u64,
    len: usize,
    /// Average number of seconds between two dequeued requests while the queue is not empty.
    dequeue_interval: Option<f64>,
    last_dequeue: Option<Time>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        FairQueue {
            flows: HashMap::new(),
            by_tag: BTreeSet::new(),
            idle_tags: HashMap::new(),
            virtual_time: 0,
            len: 0,
            dequeue_interval: None,
            last_dequeue: None,
        }
    }
}

impl<T> FairQueue<T> {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The customer whose request is served next.
    pub fn next_customer(&self) -> Option<&CustomerName> {
        self.by_tag.first().map(|(_, customer)| customer)
    }

    /// Estimated wait of a new request of `customer`, from the average dequeue interval; zero while
    /// that is unknown.
    ///
    /// Customers take turns, so the estimate depends on the customer's own queued requests and the
    /// number of other customers, not on the number of their requests.
    pub fn expected_wait(&self, customer: &CustomerName) -> Duration {
        let Some(dequeue_interval) = self.dequeue_interval else {
            return Duration::ZERO;
        };
        let own = self.flows.get(customer).map_or(0, |flow| flow.len);
        let others = self.flows.len() - usize::from(self.flows.contains_key(customer));
        let ahead = (own + 1) * (others + 1);
        Duration::from_secs_f64(dequeue_interval * ahead.min(self.len + 1) as f64)
    }

    /// Enqueues `queued`; a retry goes to the front of its priority. Returns the request that is
    /// shed if more than `max_len` would be queued, possibly `queued` itself. O(log customers), or
    /// O(customers) when full.
    pub fn push(
        &mut self,
        queued: QueuedItem<T>,
        weight: u32,
        is_retry: bool,
        max_len: usize,
    ) -> Option<QueuedItem<T>> {
        let customer = queued.customer.clone();
        let flow = self.flows.entry(customer.clone()).or_insert_with(|| {
            let tag = self.idle_tags.remove(&customer).unwrap_or(0).max(self.virtual_time);
            self.by_tag.insert((tag, customer));
            Flow { weight, tag, by_priority: BTreeMap::new(), len: 0 }
        });
        flow.weight = weight.max(1);
        let same_priority = flow.by_priority.entry(queued.priority).or_default();
        if is_retry {
            same_priority.push_front(queued);
        } else {
            same_priority.push_back(queued);
        }
        flow.len += 1;
        self.len += 1;
        if self.len > max_len { self.shed() } else { None }
    }

    fn shed(&mut self) -> Option<QueuedItem<T>> {
        let longest = self.flows.iter().max_by_key(|(_, flow)| flow.len / flow.weight as usize);
        let customer = longest.map(|(customer, _)| customer.clone())?;
        let shed = self.flows.get_mut(&customer)?.pop_newest_of_lowest();
        self.len -= usize::from(shed.is_some());
        self.remove_if_empty(&customer);
        shed
    }

    /// Dequeues the next request. Requests whose deadline has passed are moved to `expired`. O(log
    /// customers).
    pub fn pop(&mut self, now: Time, expired: &mut Vec<QueuedItem<T>>) -> Option<QueuedItem<T>> {
        loop {
            let (tag, customer) = self.by_tag.first()?.clone();
            let flow = self.flows.get_mut(&customer)?;
            let queued = flow.pop()?;
            self.len -= 1;
            if queued.deadline <= now {
                self.remove_if_empty(&customer);
                expired.push(queued);
                continue;
            }
            self.virtual_time = tag;
            flow.tag = tag + u64::from(queued.work.max(1)) * TAG_SCALE / u64::from(flow.weight);
            self.by_tag.remove(&(tag, customer.clone()));
            self.by_tag.insert((flow.tag, customer.clone()));
            self.remove_if_empty(&customer);
            self.record_dequeue(now);
            return Some(queued);
        }
    }

    fn remove_if_empty(&mut self, customer: &CustomerName) {
        if self.flows.get(customer).is_none_or(|flow| flow.len > 0) {
            return;
        }
        if let Some(flow) = self.flows.remove(customer) {
            self.by_tag.remove(&(flow.tag, customer.clone()));
            self.idle_tags.insert(customer.clone(), flow.tag);
        }
        if self.idle_tags.len() > MAX_IDLE_TAGS {
            let virtual_time = self.virtual_time;
            self.idle_tags.retain(|_, tag| *tag > virtual_time);
        }
    }

    fn record_dequeue(&mut self, now: Time) {
        if let Some(last) = self.last_dequeue {
            let gap = now.since(last).as_secs_f64();
            let old = self.dequeue_interval.unwrap_or(gap);
            self.dequeue_interval = Some(old + (gap - old) * INTERVAL_WEIGHT);
        }
        self.last_dequeue = (self.len > 0).then_some(now);
    }
}
