//! The last free places of a service, kept for customers that use less than their share.
//!
//! Under a flood every place is taken again the moment it is free, so even a customer whose turn
//! comes first waits until some request ends. While several customers are active, one that holds
//! more than its share leaves some free.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::CustomerName;
use crate::time::Time;

/// How long a customer counts as active after its last request.
const ACTIVE_FOR: Duration = Duration::from_secs(5);

/// Places kept free by each entry.
const KEPT: u32 = 2;

/// Places for each entry below which none is kept: it would cost too much of so few.
const MIN_PLACES: u32 = 16;

/// Customers remembered at most.
const MAX_CUSTOMERS: usize = 4_096;

#[derive(Clone, Copy, Debug, Default)]
struct Use {
    holds: u32,
    seen: Time,
}

/// What each customer holds of one service.
#[derive(Debug, Default)]
pub struct Reserve {
    by_customer: HashMap<CustomerName, Use>,
    held: u32,
}

impl Reserve {
    /// A request of `customer` has come.
    pub fn seen(&mut self, customer: &CustomerName, now: Time) {
        if self.by_customer.len() >= MAX_CUSTOMERS {
            self.by_customer.retain(|_, used| used.holds > 0 || is_active(used, now));
        }
        self.by_customer.entry(customer.clone()).or_default().seen = now;
    }

    /// A request of `customer` takes a place.
    pub fn take(&mut self, customer: &CustomerName) {
        self.by_customer.entry(customer.clone()).or_default().holds += 1;
        self.held += 1;
    }

    /// A request of `customer` gives its place back.
    pub fn give_back(&mut self, customer: &CustomerName) {
        if let Some(used) = self.by_customer.get_mut(customer) {
            used.holds = used.holds.saturating_sub(1);
            self.held = self.held.saturating_sub(1);
        }
    }

    /// Whether `customer` may take one of `free` places, of `places` that `entries` entries share.
    /// O(customers).
    pub fn may_take(
        &self,
        customer: &CustomerName,
        free: u32,
        places: u32,
        entries: usize,
        now: Time,
    ) -> bool {
        let is_scarce = places < MIN_PLACES * u32::try_from(entries).unwrap_or(u32::MAX);
        if free > KEPT || is_scarce {
            return true;
        }
        let active = self.by_customer.values().filter(|used| is_active(used, now)).count();
        let holds = self.by_customer.get(customer).map_or(0, |used| used.holds);
        active < 2 || holds as usize * active <= self.held as usize
    }
}

fn is_active(used: &Use, now: Time) -> bool {
    used.holds > 0 || !now.passed(used.seen, ACTIVE_FOR)
}
