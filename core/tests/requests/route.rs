use std::collections::HashMap;

use mastichaven_core::Time;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::Incarnation;
use mastichaven_core::ids::StartId;
use mastichaven_core::members::EndpointKind;
use mastichaven_core::members::Member;
use mastichaven_core::members::Serving;
use mastichaven_core::platform::HostRole;
use mastichaven_core::route::AttemptResult;
use mastichaven_core::route::EntrySet;
use mastichaven_core::route::Pool;
use mastichaven_core::route::ZONE_SUBSET_SIZE;
use mastichaven_core::run::Load;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

fn member(n: usize, zone: &str, limit: u32) -> Member {
    Member {
        host: HostName::new(format!("agent-{zone}-{n}")),
        role: HostRole::Agent,
        zone: zone.into(),
        region: "sul".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: Incarnation(1),
        leaving: false,
        endpoint: EndpointKind::Engine,
        memory_mib: 0,
        serving: Serving::Plain { service: "s".into(), start: StartId(1) },
        load: Load { work: 0, limit, requests: 0 },
    }
}

fn pool(members: &[Member], me: &str) -> Pool {
    let mut pool = Pool::default();
    let members: Vec<&Member> = members.iter().collect();
    pool.refresh(&members, &EntrySet::new(&[], &me.into(), &"lagoa".into()), Time::ZERO);
    pool
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(1)
}

#[test]
fn pick_prefers_local_zone() {
    let members = [member(0, "lagoa", 2), member(1, "lagoa", 2), member(0, "serra", 2)];
    let mut pool = pool(&members, "entry");
    let zones: Vec<_> = (0..6)
        .map(|_| pool.pick(None, &[], Time::ZERO, &mut rng()).unwrap().zone.to_string())
        .collect();
    assert_eq!(zones[..4], ["lagoa"; 4]);
    assert_eq!(zones[4..], ["serra"; 2]);
    assert!(
        pool.pick(None, &[], Time::ZERO, &mut rng()).is_none(),
        "no endpoint gets more than its limit"
    );
}

// 47 entries track 137 endpoints of one zone: each subset is bounded, and all endpoints are used
// evenly. An endpoint that no entry tracked would stay idle unnoticed.
#[test]
fn refresh_covers_endpoints_evenly() {
    let agents: Vec<Member> = (0..137).map(|n| member(n, "lagoa", 8)).collect();
    let entry = |n: usize| Member { role: HostRole::Entry, ..member(1_000 + n, "lagoa", 0) };
    let entries: Vec<Member> = (0..47).map(entry).collect();
    let agent_refs: Vec<&Member> = agents.iter().collect();
    let mut uses_by_host: HashMap<HostName, u32> = HashMap::new();
    for entry in &entries {
        let entry_set = EntrySet::new(&entries, &entry.host, &"lagoa".into());
        let mut pool = Pool::default();
        pool.refresh(&agent_refs, &entry_set, Time::ZERO);
        assert!(
            (ZONE_SUBSET_SIZE / 3..ZONE_SUBSET_SIZE * 3).contains(&pool.len()),
            "{}",
            pool.len()
        );
        for _ in 0..pool.len() * 8 {
            let endpoint = pool.pick(None, &[], Time::ZERO, &mut rng()).unwrap();
            *uses_by_host.entry(endpoint.host.clone()).or_default() += 1;
        }
    }
    assert_eq!(uses_by_host.len(), 137);
    assert!(uses_by_host.values().all(|uses| *uses == 9 * 8), "{uses_by_host:?}");
}

#[test]
fn pick_prefix_affinity_until_utilized() {
    let members: Vec<Member> = (0..20).map(|n| member(n, "lagoa", 8)).collect();
    let mut pool = pool(&members, "entry");
    let prefix = Some(Digest::of(b"you draft rotas"));
    let hosts: Vec<_> = (0..20)
        .map(|_| pool.pick(prefix, &[], Time::ZERO, &mut rng()).unwrap().host.clone())
        .collect();
    let to_first_host = hosts.iter().filter(|host| **host == hosts[0]).count();
    assert_eq!(to_first_host, 6, "until the maximum utilization for affinity");
}

// Most endpoints fail at once because of a shared dependency. If all were ejected, none could serve
// when it recovers.
#[test]
fn record_result_limits_ejected_share() {
    let members: Vec<Member> = (0..10).map(|n| member(n, "lagoa", 1_000)).collect();
    let mut pool = pool(&members, "entry");
    for round in 0..20 {
        for member in &members {
            pool.record_result(&member.host, AttemptResult::Failed, 0.3, Time::from_millis(round));
        }
    }
    let (mut picks, mut rng) = (HashMap::new(), rng());
    for _ in 0..1_000 {
        let picked = pool.pick(None, &[], Time::from_millis(30), &mut rng).unwrap();
        *picks.entry(picked.host.clone()).or_insert(0) += 1;
    }
    assert_eq!(picks.len(), 7);
}

// Another entry fills an endpoint. The load report ages and must not block this entry forever.
#[test]
fn record_load_expires() {
    let mut pool = pool(&[member(0, "lagoa", 4)], "entry");
    let host = HostName::new("agent-lagoa-0");
    pool.record_load(&host, Load { work: 4, limit: 4, requests: 4 }, Time::ZERO);
    assert!(!pool.has_capacity(Time::from_millis(1)));
    assert!(pool.has_capacity(Time::from_millis(900)));
}
