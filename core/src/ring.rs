//! Topology: heartbeat neighbours, relays and the dissemination tree of a zone.
//!
//! The topology is derived from hashes of the members' host names. Processes with the same members
//! compute the same topology without coordination, and a change of one member affects only the
//! members close to it.

use crate::ids::Digest;
use crate::ids::HostName;
use crate::ids::ZoneName;
use crate::members::Member;
use crate::platform::HostRole;

/// Number of entries of one zone that watch the platform.
pub const RELAYS_PER_ZONE: usize = 3;

/// Number of children of one process in the tree of its zone.
pub const TREE_FANOUT: usize = 4;

/// Number of entries to which an agent sends heartbeats, and so its announcements.
const ENTRIES_PER_AGENT: usize = 2;

/// Position of a host on every ring that it is part of.
pub fn ring_position(host: &HostName) -> u64 {
    hash_parts(&[host.as_str()])
}

fn hash_parts(parts: &[&str]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    let Digest(bytes) = Digest(*hasher.finalize().as_bytes());
    u64::from_be_bytes(std::array::from_fn(|at| bytes[at]))
}

/// Returns the hosts to which `me` sends heartbeats.
///
/// On each ring with `me`, these are the hosts 1, 2, 4, 8, … positions further on. Each member so
/// has log n neighbours and is monitored by as many, updates cross the ring in log n steps, and a
/// member that joins or leaves changes few neighbours. One ring holds the members of the zone,
/// another one all entries. An agent also sends heartbeats to two entries of its zone. O(n log n).
pub fn neighbours(me: &Member, members: &[&Member]) -> Vec<HostName> {
    let zone = members.iter().copied().filter(|member| member.zone == me.zone);
    let mut hosts = fingers(me, zone);
    match me.role {
        HostRole::Entry => {
            let entries = members.iter().copied().filter(|member| member.role == HostRole::Entry);
            hosts.extend(fingers(me, entries));
        }
        HostRole::Agent => {
            let mut entries = entries_by_rendezvous(me.host.as_str(), &me.zone, members);
            if entries.is_empty() {
                // Without an entry in its zone, the agent would receive no new configuration.
                let any = members.iter().copied().filter(|m| m.role == HostRole::Entry);
                entries = any.collect();
                entries.sort_by_cached_key(|m| hash_parts(&[me.host.as_str(), m.host.as_str()]));
            }
            hosts.extend(entries.into_iter().take(ENTRIES_PER_AGENT).map(|m| m.host.clone()));
        }
    }
    hosts.sort();
    hosts.dedup();
    hosts
}

fn fingers<'a>(me: &Member, ring: impl Iterator<Item = &'a Member>) -> Vec<HostName> {
    let others = ring.filter(|member| member.host != me.host);
    let mut ring: Vec<(u64, &HostName)> =
        others.map(|m| (ring_position(&m.host), &m.host)).collect();
    ring.sort();
    let start = ring.partition_point(|(at, _)| *at < ring_position(&me.host));
    let distances = std::iter::successors(Some(1), |distance| Some(distance * 2));
    let in_ring = distances.take_while(|distance| *distance <= ring.len());
    in_ring.map(|distance| ring[(start + distance - 1) % ring.len()].1.clone()).collect()
}

fn entries_by_rendezvous<'a>(
    key: &str,
    zone: &ZoneName,
    members: &[&'a Member],
) -> Vec<&'a Member> {
    let is_candidate = |member: &&&Member| {
        member.zone == *zone && member.role == HostRole::Entry && !member.leaving
    };
    let mut entries: Vec<&Member> = members.iter().filter(is_candidate).copied().collect();
    entries.sort_by_cached_key(|member| hash_parts(&[key, member.host.as_str()]));
    entries
}

/// Returns the entries of `zone` that watch the platform.
pub fn relays<'a>(zone: &ZoneName, members: &[&'a Member]) -> Vec<&'a Member> {
    let mut relays = entries_by_rendezvous(zone.as_str(), zone, members);
    relays.truncate(RELAYS_PER_ZONE);
    relays
}

/// Returns the processes of `zone` in the order of its dissemination tree, relays first.
pub fn tree_order<'a>(zone: &ZoneName, members: &[&'a Member]) -> Vec<&'a Member> {
    let mut order = relays(zone, members);
    let first: Vec<&HostName> = order.iter().map(|member| &member.host).collect();
    let rest = members.iter().filter(|m| m.zone == *zone && !first.contains(&&m.host));
    let mut rest: Vec<&Member> = rest.copied().collect();
    rest.sort_by_cached_key(|member| ring_position(&member.host));
    order.extend(rest);
    order
}

/// Returns the ranks of the children of the process at `rank`, in a tree of `len` processes.
pub fn tree_children(rank: usize, len: usize) -> std::ops::Range<usize> {
    let first = rank * TREE_FANOUT + 1;
    first.min(len)..(first + TREE_FANOUT).min(len)
}
