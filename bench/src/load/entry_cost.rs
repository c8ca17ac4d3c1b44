//! Measures the latency that entry and agent add to a request, and how the cost of a routing
//! decision grows with the fleet.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use mastichaven_core::Time;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::Incarnation;
use mastichaven_core::ids::StartId;
use mastichaven_core::members::EndpointKind;
use mastichaven_core::members::Member;
use mastichaven_core::members::Serving;
use mastichaven_core::platform::HostRole;
use mastichaven_core::queue::FairQueue;
use mastichaven_core::queue::QueuedItem;
use mastichaven_core::route::AttemptResult;
use mastichaven_core::route::EntrySet;
use mastichaven_core::route::Pool;
use mastichaven_core::run::Load;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::caller;
use super::caller::send_request;
use crate::fleet::CUSTOMER_KEY;
use crate::fleet::Fleet;
use crate::fleet::Result;

/// Requests sent for each of the two latency medians.
const LATENCY_REQUESTS: u64 = 40;

/// Iterations of the routing microbenchmark.
const DECISIONS: u32 = 50_000;

/// Cost of the entry.
#[derive(Clone, Debug, Serialize)]
pub struct EntryCost {
    /// Median time to the first token of requests sent directly to an engine, in milliseconds.
    pub direct_ms: f64,
    /// Median time to the first token of requests through entry and agent, in milliseconds.
    pub through_ms: f64,
    /// Difference of the two medians: the latency of entry, agent and the connection between them.
    pub added_ms: f64,
    /// Nanoseconds to route and queue one request, by number of endpoints of the service.
    pub decision_ns: Vec<(usize, f64)>,
    /// Microseconds to refresh the routing pool from a new member list, by number of endpoints.
    pub refresh_us: Vec<(usize, f64)>,
}

/// Measures the cost of the entry; the fleet has to be idle.
pub(super) fn measure(fleet: &Fleet) -> Result<EntryCost> {
    let runtime = caller::runtime()?;
    let engine = fleet.engines.values().last().ok_or("no engine")?;
    let direct = engine.base().trim_start_matches("http://").parse().map_err(|_| "no address")?;
    let median = |to| {
        let mut millis: Vec<f64> = (0..LATENCY_REQUESTS)
            .map(|n| {
                let result =
                    runtime.block_on(send_request(to, CUSTOMER_KEY, n, 2, Duration::from_secs(5)));
                result.first_token.as_secs_f64() * 1_000.0
            })
            .collect();
        millis.sort_by(f64::total_cmp);
        millis[millis.len() / 2]
    };
    let (direct_ms, through_ms) = (median(direct), median(fleet.callers_addr(0)));
    let endpoint_counts = [10, 100, 1_000];
    Ok(EntryCost {
        direct_ms,
        through_ms,
        added_ms: through_ms - direct_ms,
        decision_ns: endpoint_counts.map(|n| (n, decision_ns(n))).to_vec(),
        refresh_us: endpoint_counts.map(|n| (n, refresh_us(n))).to_vec(),
    })
}

fn members(count: usize) -> Vec<Member> {
    let member = |n: usize, role| Member {
        host: HostName::new(format!("host-{n}")),
        role,
        zone: "lagoa".into(),
        region: "sul".into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: Incarnation(1),
        leaving: false,
        endpoint: EndpointKind::Engine,
        memory_mib: 0,
        serving: Serving::Plain { service: "s".into(), start: StartId(1) },
        load: Load { work: 0, limit: 16, requests: 0 },
    };
    let entries = (count / 3).max(2);
    let agents = (0..count).map(|n| member(n, HostRole::Agent));
    agents.chain((count..count + entries).map(|n| member(n, HostRole::Entry))).collect()
}

fn refresh_pool(members: &[Member], pool: &mut Pool) {
    let agents: Vec<&Member> = members.iter().filter(|m| m.role == HostRole::Agent).collect();
    let local_host = &members[members.len() - 1].host;
    pool.refresh(&agents, &EntrySet::new(members, local_host, &"lagoa".into()), Time::ZERO);
}

fn decision_ns(count: usize) -> f64 {
    let members = members(count);
    let mut pool = Pool::default();
    refresh_pool(&members, &mut pool);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut queue = FairQueue::default();
    let prefix = Some(Digest::of(b"prefix"));
    let started = Instant::now();
    for n in 0..DECISIONS {
        let now = Time::from_micros(u64::from(n));
        let queued = QueuedItem {
            item: n,
            customer: "coop".into(),
            work: 64,
            priority: 0,
            deadline: Time::from_millis(1_000_000),
        };
        queue.push(queued, 1, false, 1_024);
        black_box(queue.pop(now, &mut Vec::new()));
        let Some(host) = pool.pick(prefix, &[], now, &mut rng).map(|e| e.host.clone()) else {
            continue;
        };
        pool.record_load(&host, Load { work: 1, limit: 16, requests: 1 }, now);
        pool.record_result(&host, AttemptResult::Answered, 0.3, now);
    }
    started.elapsed().as_nanos() as f64 / f64::from(DECISIONS)
}

fn refresh_us(count: usize) -> f64 {
    let members = members(count);
    let mut pool = Pool::default();
    let rounds = 50;
    let started = Instant::now();
    for _ in 0..rounds {
        refresh_pool(black_box(&members), &mut pool);
    }
    started.elapsed().as_micros() as f64 / f64::from(rounds)
}
