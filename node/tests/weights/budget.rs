use std::sync::Arc;
use std::thread;

use mastichaven_core::Code;
use mastichaven_core::ids::Digest;
use mastichaven_node::http_store::HttpStore;
use mastichaven_node::weights::budget::OriginBudget;
use mastichaven_node::weights::budget::OriginPull;
use mastichaven_standins::Platform;

const CHUNKS: usize = 32;
const CHUNK_LEN: u64 = 100;
const MAX_COPIES: f64 = 1.5;

fn pull_of(index: usize) -> OriginPull {
    let version_len = CHUNKS as u64 * CHUNK_LEN;
    OriginPull {
        version: Digest::of(b"rota"),
        version_len,
        max_copies: MAX_COPIES,
        index,
        len: CHUNK_LEN,
        allow_repeat: true,
    }
}

fn grant_all(platform: &Platform) -> u64 {
    let mut budget = OriginBudget::new(Arc::new(HttpStore::new(platform.base())));
    let granted = (0..CHUNKS).filter(|index| budget.grant(&pull_of(*index)).is_ok());
    granted.count() as u64 * CHUNK_LEN
}

// Several agents that each consider themselves the only live one pull the whole version at the same
// time, while the platform loses answers. Together they must not exceed the origin budget.
#[test]
fn grant_concurrent_agents_lost_answers_within_limit() {
    let platform = Platform::start("127.0.0.1:0").unwrap();
    platform.set_faults(|faults| faults.lose_answers = 5);
    let granted: u64 = thread::scope(|scope| {
        let agents: Vec<_> = (0..6).map(|_| scope.spawn(|| grant_all(&platform))).collect();
        agents.into_iter().map(|agent| agent.join().unwrap()).sum()
    });
    let limit = (CHUNKS as f64 * CHUNK_LEN as f64 * MAX_COPIES) as u64;
    assert!(granted <= limit && granted > 0, "{granted} of {limit}");
    let mut late = OriginBudget::new(Arc::new(HttpStore::new(platform.base())));
    while late.grant(&pull_of(0)).is_ok() {}
    assert_eq!(late.grant(&pull_of(0)), Err(Code::OriginBudget));
}

// The origin is unreachable after the grant. Charging each retry again would exhaust the budget
// before a byte is transferred.
#[test]
fn return_grant_next_grant_without_platform() {
    let platform = Platform::start("127.0.0.1:0").unwrap();
    let mut budget = OriginBudget::new(Arc::new(HttpStore::new(platform.base())));
    for _ in 0..100 {
        budget.grant(&pull_of(0)).unwrap();
        budget.return_grant(&pull_of(0));
    }
    platform.set_faults(|faults| faults.down = true);
    assert_eq!(budget.grant(&pull_of(0)), Ok(()), "the returned grant is used");
    assert_eq!(budget.grant(&pull_of(1)), Err(Code::PlatformDown), "no grant without the platform");
}
