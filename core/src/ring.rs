//! Who talks to whom: neighbours of heartbeats, relays, and the tree that news goes down.
//!
//! All of it follows from the members' names by hashing, so that every process finds the same
//! answer by itself, and a change of one member changes only what is near it.

use crate::ids::Digest;
use crate::ids::HostName;
use crate::ids::ZoneName;
use crate::members::Member;
use crate::platform::HostRole;

/// Entries of one zone that watch the platform.
pub const RELAYS: usize = 3;

/// Children of one process in its zone's tree.
pub const FANOUT: usize = 4;

/// Entries of its zone that an agent tells what it serves.
const ENTRIES_OF_AGENT: usize = 2;

/// Where a host stands on a ring.
pub fn place(host: &HostName) -> u64 {
    hash(&[host.as_str()])
}

fn hash(parts: &[&str]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    let Digest(bytes) = Digest(*hasher.finalize().as_bytes());
    u64::from_be_bytes(std::array::from_fn(|at| bytes[at]))
}

/// The hosts that `me` sends heartbeats to.
///
/// On each ring that `me` is part of, they are those 1, 2, 4, 8, … places further on. So each has
/// log n neighbours and as many that watch it, news crosses the ring in log n steps, and a member
/// that comes or goes moves few neighbours. The rings are that of the zone and that of all
/// entries; an agent also tells two entries of its zone. O(n log n).
pub fn neighbours(me: &Member, members: &[&Member]) -> Vec<HostName> {
    let zone = members.iter().copied().filter(|member| member.zone == me.zone);
    let mut hosts = fingers(me, zone);
    match me.role {
        HostRole::Entry => {
            let entries = members.iter().copied().filter(|member| member.role == HostRole::Entry);
            hosts.extend(fingers(me, entries));
        }
        HostRole::Agent => {
            let mut entries = by_rendezvous(me.host.as_str(), &me.zone, members);
            if entries.is_empty() {
                // Without entries of its zone nobody would tell it of a new configuration.
                let any = members.iter().copied().filter(|m| m.role == HostRole::Entry);
                entries = any.collect();
                entries.sort_by_cached_key(|m| hash(&[me.host.as_str(), m.host.as_str()]));
            }
            hosts.extend(entries.into_iter().take(ENTRIES_OF_AGENT).map(|m| m.host.clone()));
        }
    }
    hosts.sort();
    hosts.dedup();
    hosts
}

fn fingers<'a>(me: &Member, ring: impl Iterator<Item = &'a Member>) -> Vec<HostName> {
    let others = ring.filter(|member| member.host != me.host);
    let mut ring: Vec<(u64, &HostName)> = others.map(|m| (place(&m.host), &m.host)).collect();
    ring.sort();
    let start = ring.partition_point(|(at, _)| *at < place(&me.host));
    let distances = std::iter::successors(Some(1), |distance| Some(distance * 2));
    let within = distances.take_while(|distance| *distance <= ring.len());
    within.map(|distance| ring[(start + distance - 1) % ring.len()].1.clone()).collect()
}

fn by_rendezvous<'a>(key: &str, zone: &ZoneName, members: &[&'a Member]) -> Vec<&'a Member> {
    let of_zone = |member: &&&Member| {
        member.zone == *zone && member.role == HostRole::Entry && !member.leaving
    };
    let mut entries: Vec<&Member> = members.iter().filter(of_zone).copied().collect();
    entries.sort_by_cached_key(|member| hash(&[key, member.host.as_str()]));
    entries
}

/// The entries of `zone` that watch the platform.
pub fn relays<'a>(zone: &ZoneName, members: &[&'a Member]) -> Vec<&'a Member> {
    let mut relays = by_rendezvous(zone.as_str(), zone, members);
    relays.truncate(RELAYS);
    relays
}

/// The processes of `zone` in the order of its tree: relays first.
pub fn tree<'a>(zone: &ZoneName, members: &[&'a Member]) -> Vec<&'a Member> {
    let mut order = relays(zone, members);
    let first: Vec<&HostName> = order.iter().map(|member| &member.host).collect();
    let rest = members.iter().filter(|m| m.zone == *zone && !first.contains(&&m.host));
    let mut rest: Vec<&Member> = rest.copied().collect();
    rest.sort_by_cached_key(|member| place(&member.host));
    order.extend(rest);
    order
}

/// The places in the tree, of `len` processes, that the process at `rank` passes news on to.
pub fn children(rank: usize, len: usize) -> std::ops::Range<usize> {
    let first = rank * FANOUT + 1;
    first.min(len)..(first + FANOUT).min(len)
}
