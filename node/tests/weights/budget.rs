use std::sync::Arc;
use std::thread;

use mastichaven_core::Code;
use mastichaven_core::ids::Digest;
use mastichaven_node::http_store::HttpStore;
use mastichaven_node::weights::budget::OriginBudget;
use mastichaven_node::weights::budget::Price;
use mastichaven_standins::Platform;

const CHUNKS: usize = 32;
const LEN: u64 = 100;
const COPIES: f64 = 1.5;

fn price(index: usize) -> Price {
    let version_len = CHUNKS as u64 * LEN;
    Price {
        version: Digest::of(b"rota"),
        version_len,
        copies: COPIES,
        index,
        len: LEN,
        repeat: true,
    }
}

fn pay_all(platform: &Platform) -> u64 {
    let mut budget = OriginBudget::new(Arc::new(HttpStore::new(platform.base())));
    let paid = (0..CHUNKS).filter(|index| budget.pay(&price(*index)).is_ok());
    paid.count() as u64 * LEN
}

// Every agent believes itself alone and pulls the whole version, all at the same time, while the
// platform loses answers. The origin's link must still carry no more than the budget.
#[test]
fn pay_holds_bound_whatever_agents_believe() {
    let platform = Platform::start("127.0.0.1:0").unwrap();
    platform.set_faults(|faults| faults.lose_answers = 5);
    let paid: u64 = thread::scope(|scope| {
        let agents: Vec<_> = (0..6).map(|_| scope.spawn(|| pay_all(&platform))).collect();
        agents.into_iter().map(|agent| agent.join().unwrap()).sum()
    });
    let limit = (CHUNKS as f64 * LEN as f64 * COPIES) as u64;
    assert!(paid <= limit && paid > 0, "{paid} of {limit}");
    let mut late = OriginBudget::new(Arc::new(HttpStore::new(platform.base())));
    while late.pay(&price(0)).is_ok() {}
    assert_eq!(late.pay(&price(0)), Err(Code::OriginBudget));
}

// The origin cannot be reached after the payment. Paying again for each try would use the budget up
// while not a byte moved.
#[test]
fn give_back_makes_next_try_free() {
    let platform = Platform::start("127.0.0.1:0").unwrap();
    let mut budget = OriginBudget::new(Arc::new(HttpStore::new(platform.base())));
    for _ in 0..100 {
        budget.pay(&price(0)).unwrap();
        budget.give_back(&price(0));
    }
    platform.set_faults(|faults| faults.down = true);
    assert_eq!(budget.pay(&price(0)), Ok(()), "paid for already");
    assert_eq!(budget.pay(&price(1)), Err(Code::PlatformDown), "nothing is granted blindly");
}
