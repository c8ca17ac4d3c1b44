//! What the entry itself adds to a request, and how its decisions grow with the fleet.

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
use super::caller::ask;
use crate::fleet::CUSTOMER_KEY;
use crate::fleet::Fleet;
use crate::fleet::Result;

/// Requests of the comparison with and without the entry.
const REQUESTS: u64 = 40;

/// Decisions of one microbenchmark.
const DECISIONS: u32 = 50_000;

/// What the entry costs.
#[derive(Clone, Debug, Serialize)]
pub struct EntryCost {
    /// Median first token straight from an engine, in milliseconds.
    pub direct_ms: f64,
    /// Median first token through entry and agent, in milliseconds.
    pub through_ms: f64,
    /// The difference: entry, agent and the way between them.
    pub added_ms: f64,
    /// Nanoseconds of routing and queueing a request, by endpoints of the service.
    pub decision_ns: Vec<(usize, f64)>,
    /// Microseconds of taking in a new picture of the members, by endpoints.
    pub refresh_us: Vec<(usize, f64)>,
}

/// Measures on an idle fleet.
pub(super) fn measure(fleet: &Fleet) -> Result<EntryCost> {
    let runtime = caller::runtime()?;
    let engine = fleet.engines.values().last().ok_or("no engine")?;
    let direct = engine.base().trim_start_matches("http://").parse().map_err(|_| "no address")?;
    let median = |to| {
        let mut millis: Vec<f64> = (0..REQUESTS)
            .map(|n| {
                let answer = runtime.block_on(ask(to, CUSTOMER_KEY, n, 2, Duration::from_secs(5)));
                answer.first_token.as_secs_f64() * 1_000.0
            })
            .collect();
        millis.sort_by(f64::total_cmp);
        millis[millis.len() / 2]
    };
    let (direct_ms, through_ms) = (median(direct), median(fleet.callers_addr(0)));
    let sizes = [10, 100, 1_000];
    Ok(EntryCost {
        direct_ms,
        through_ms,
        added_ms: through_ms - direct_ms,
        decision_ns: sizes.map(|n| (n, decision_ns(n))).to_vec(),
        refresh_us: sizes.map(|n| (n, refresh_us(n))).to_vec(),
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

fn refreshed(members: &[Member], pool: &mut Pool) {
    let agents: Vec<&Member> = members.iter().filter(|m| m.role == HostRole::Agent).collect();
    let me = &members[members.len() - 1].host;
    pool.refresh(&agents, &EntrySet::new(members, me, &"lagoa".into()), Time::ZERO);
}

fn decision_ns(count: usize) -> f64 {
    let members = members(count);
    let mut pool = Pool::default();
    refreshed(&members, &mut pool);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut queue = FairQueue::default();
    let prefix = Some(Digest::of(b"prefix"));
    let begun = Instant::now();
    for n in 0..DECISIONS {
        let now = Time::from_micros(u64::from(n));
        let waiting = QueuedItem {
            item: n,
            customer: "coop".into(),
            work: 64,
            priority: 0,
            deadline: Time::from_millis(1_000_000),
        };
        queue.push(waiting, 1, false, 1_024);
        black_box(queue.pop(now, &mut Vec::new()));
        let Some(host) = pool.pick(prefix, &[], now, &mut rng).map(|e| e.host.clone()) else {
            continue;
        };
        pool.record_load(&host, Load { work: 1, limit: 16, requests: 1 }, now);
        pool.record_result(&host, AttemptResult::Answered, 0.3, now);
    }
    begun.elapsed().as_nanos() as f64 / f64::from(DECISIONS)
}

fn refresh_us(count: usize) -> f64 {
    let members = members(count);
    let mut pool = Pool::default();
    let rounds = 50;
    let begun = Instant::now();
    for _ in 0..rounds {
        refreshed(black_box(&members), &mut pool);
    }
    begun.elapsed().as_micros() as f64 / f64::from(rounds)
}
