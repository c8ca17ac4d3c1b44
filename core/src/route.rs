//! Choosing the endpoint of a request.

use rand::Rng;
use rand::RngExt;

use crate::ids::HostName;
use crate::ids::ZoneName;
use crate::members::Member;

/// The better of two random candidates, from the entry's own zone while it has any.
///
/// `tried` hosts are left out. O(candidates).
pub fn pick<'a, R: Rng>(
    candidates: &'a [Member],
    zone: &ZoneName,
    tried: &[HostName],
    rng: &mut R,
) -> Option<&'a Member> {
    let fresh: Vec<&Member> = candidates.iter().filter(|m| !tried.contains(&m.host)).collect();
    let near: Vec<&Member> = fresh.iter().copied().filter(|m| m.zone == *zone).collect();
    let pool = if near.is_empty() { fresh } else { near };
    if pool.is_empty() {
        return None;
    }
    let first = pool[rng.random_range(0..pool.len())];
    let second = pool[rng.random_range(0..pool.len())];
    Some(if second.load.requests < first.load.requests { second } else { first })
}
