//! Reservation of the last free slots of a service for customers that use less than their share.
//!
//! Under a flood each slot is taken as soon as it is free, so even the customer that is next in the
//! queue waits until some request ends. While several customers are active, one that uses more than
//! its share leaves some slots free.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::CustomerName;
use crate::time::Time;

/// How long a customer counts as active after its last request.
const ACTIVE_WINDOW: Duration = Duration::from_secs(5);

/// Slots reserved by each entry.
const RESERVED_SLOTS: u32 = 2;

/// Number of slots per entry below which none is reserved, as the reservation would be too large a
/// part of them.
const MIN_SLOTS_PER_ENTRY: u32 = 16;

/// Maximum number of customers tracked; inactive ones are dropped beyond it.
const MAX_CUSTOMERS: usize = 4_096;

#[derive(Clone, Copy, Debug, Default)]
struct CustomerUsage {
    in_use: u32,
    last_request: Time,
}

/// Slots of one service in use by each customer.
#[derive(Debug, Default)]
pub struct Reserve {
    by_customer: HashMap<CustomerName, CustomerUsage>,
    total_in_use: u32,
}

impl Reserve {
    /// Records that a request of `customer` arrived.
    pub fn record_request(&mut self, customer: &CustomerName, now: Time) {
        if self.by_customer.len() >= MAX_CUSTOMERS {
            self.by_customer.retain(|_, usage| usage.in_use > 0 || is_active(usage, now));
        }
        self.by_customer.entry(customer.clone()).or_default().last_request = now;
    }

    /// Records that a request of `customer` takes a slot.
    pub fn acquire(&mut self, customer: &CustomerName) {
        self.by_customer.entry(customer.clone()).or_default().in_use += 1;
        self.total_in_use += 1;
    }

    /// Records that a request of `customer` frees its slot.
    pub fn release(&mut self, customer: &CustomerName) {
        if let Some(usage) = self.by_customer.get_mut(customer) {
            usage.in_use = usage.in_use.saturating_sub(1);
            self.total_in_use = self.total_in_use.saturating_sub(1);
        }
    }

    /// Whether `customer` may take one of `free` slots, out of `slots` that `entries` entries
    /// share. O(customers).
    pub fn may_acquire(
        &self,
        customer: &CustomerName,
        free: u32,
        slots: u32,
        entries: usize,
        now: Time,
    ) -> bool {
        let is_scarce = slots < MIN_SLOTS_PER_ENTRY * u32::try_from(entries).unwrap_or(u32::MAX);
        if free > RESERVED_SLOTS || is_scarce {
            return true;
        }
        let active = self.by_customer.values().filter(|usage| is_active(usage, now)).count();
        let in_use = self.by_customer.get(customer).map_or(0, |usage| usage.in_use);
        active < 2 || in_use as usize * active <= self.total_in_use as usize
    }
}

fn is_active(usage: &CustomerUsage, now: Time) -> bool {
    usage.in_use > 0 || !now.passed(usage.last_request, ACTIVE_WINDOW)
}
