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
use mastichaven_core::route::Ended;
use mastichaven_core::route::Entries;
use mastichaven_core::route::NEAR;
use mastichaven_core::route::Pool;
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
    pool.refresh(&members, &Entries::new(&[], &me.into(), &"lagoa".into()), Time::ZERO);
    pool
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(1)
}

#[test]
fn pick_spills_only_when_the_own_zone_is_full() {
    let members = [member(0, "lagoa", 2), member(1, "lagoa", 2), member(0, "serra", 2)];
    let mut pool = pool(&members, "entry");
    let zones: Vec<_> = (0..6)
        .map(|_| pool.pick(None, &[], Time::ZERO, &mut rng()).unwrap().zone.to_string())
        .collect();
    assert_eq!(zones[..4], ["lagoa"; 4]);
    assert_eq!(zones[4..], ["serra"; 2]);
    assert!(
        pool.pick(None, &[], Time::ZERO, &mut rng()).is_none(),
        "nobody gets more than it bears"
    );
}

// 47 entries before 137 endpoints of one zone: each tracks a bounded number, and together they
// use all evenly. An endpoint that no entry tracked would stand idle unnoticed.
#[test]
fn refresh_subsets_cover_all_endpoints_evenly() {
    let agents: Vec<Member> = (0..137).map(|n| member(n, "lagoa", 8)).collect();
    let entry = |n: usize| Member { role: HostRole::Entry, ..member(1_000 + n, "lagoa", 0) };
    let entries: Vec<Member> = (0..47).map(entry).collect();
    let serving: Vec<&Member> = agents.iter().collect();
    let mut used: HashMap<HostName, u32> = HashMap::new();
    for entry in &entries {
        let seen = Entries::new(&entries, &entry.host, &"lagoa".into());
        let mut pool = Pool::default();
        pool.refresh(&serving, &seen, Time::ZERO);
        assert!((NEAR / 3..NEAR * 3).contains(&pool.len()), "{}", pool.len());
        for _ in 0..pool.len() * 8 {
            let endpoint = pool.pick(None, &[], Time::ZERO, &mut rng()).unwrap();
            *used.entry(endpoint.host.clone()).or_default() += 1;
        }
    }
    assert_eq!(used.len(), 137);
    assert!(used.values().all(|uses| *uses == 9 * 8), "{used:?}");
}

#[test]
fn pick_meets_a_prefix_again_until_it_is_loaded() {
    let members: Vec<Member> = (0..20).map(|n| member(n, "lagoa", 8)).collect();
    let mut pool = pool(&members, "entry");
    let prefix = Some(Digest::of(b"you draft rotas"));
    let hosts: Vec<_> = (0..20)
        .map(|_| pool.pick(prefix, &[], Time::ZERO, &mut rng()).unwrap().host.clone())
        .collect();
    let first = hosts.iter().filter(|host| **host == hosts[0]).count();
    assert_eq!(first, 6, "up to its share and no further");
}

// Most endpoints fail at once because something they share is gone. To eject them all would leave
// nobody to answer when it comes back.
#[test]
fn ended_ejects_no_more_than_a_share() {
    let members: Vec<Member> = (0..10).map(|n| member(n, "lagoa", 1_000)).collect();
    let mut pool = pool(&members, "entry");
    for round in 0..20 {
        for member in &members {
            pool.ended(&member.host, Ended::Failed, 0.3, Time::from_millis(round));
        }
    }
    let (mut open, mut rng) = (HashMap::new(), rng());
    for _ in 0..1_000 {
        let picked = pool.pick(None, &[], Time::from_millis(30), &mut rng).unwrap();
        *open.entry(picked.host.clone()).or_insert(0) += 1;
    }
    assert_eq!(open.len(), 7);
}

// Another entry fills an endpoint; what its last report says grows old, and does not keep this
// entry away for ever.
#[test]
fn report_loses_weight_with_age() {
    let mut pool = pool(&[member(0, "lagoa", 4)], "entry");
    let host = HostName::new("agent-lagoa-0");
    pool.report(&host, Load { work: 4, limit: 4, requests: 4 }, Time::ZERO);
    assert!(!pool.has_room(Time::from_millis(1)));
    assert!(pool.has_room(Time::from_millis(900)));
}
