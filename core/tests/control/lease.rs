use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::Incarnation;
use mastichaven_core::lease::Lease;
use mastichaven_core::lease::LeaseStep;
use mastichaven_core::lease::LeaseTiming;
use mastichaven_core::platform::ObjectStore;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::store::MemoryStore;

const KEY: &str = "lease/test";

fn timing() -> LeaseTiming {
    LeaseTiming { period: Duration::from_secs(6), margin: Duration::from_secs(1) }
}

fn lease(host: &str) -> Lease {
    Lease::new(HostName::new(host), Incarnation(1), timing())
}

/// Executes steps until the lease is idle; calls to the store take no time.
fn run_steps(lease: &mut Lease, store: &MemoryStore, now: Time) {
    for _ in 0..3 {
        match lease.next_step(now) {
            LeaseStep::Idle => return,
            LeaseStep::Read => lease.on_read(now, store.get(KEY)),
            LeaseStep::Write { value, expect } => lease.on_written(store.put(KEY, value, expect)),
        }
    }
}

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

// The holder is paused for longer than the lease period, as on a host that swaps, and another
// process takes over. If the first acted after it resumes, two planners would move the same
// replicas.
#[test]
fn token_after_holder_paused_past_lease_period() {
    let store = MemoryStore::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    run_steps(&mut a, &store, at(0));
    assert_eq!(a.token(at(0)).map(|token| token.term), Some(1));
    run_steps(&mut b, &store, at(1));
    run_steps(&mut b, &store, at(6));
    assert_eq!(b.token(at(6)), None, "b has not observed a whole period on its own clock");
    run_steps(&mut b, &store, at(7));
    assert_eq!(b.token(at(7)).map(|token| token.term), Some(2));
    assert_eq!(a.token(at(7)), None);
    run_steps(&mut a, &store, at(8));
    assert_eq!(a.token(at(8)), None);
    assert_eq!(a.holder(), Some(&HostName::new("b")));
}

// The platform stores the renewal but the answer is lost. Without reading the object back, the
// holder would step down, or keep the lease on the strength of a write of unknown outcome.
#[test]
fn on_written_with_lost_answer_reads_back() {
    let store = MemoryStore::default();
    let mut a = lease("a");
    store.lose_answers(1);
    run_steps(&mut a, &store, at(0));
    assert!(a.token(at(0)).is_some());
    store.lose_answers(1);
    run_steps(&mut a, &store, at(2));
    assert!(a.token(at(6)).is_some(), "the renewal sent at second 2 extends the lease");
    assert!(a.token(at(7)).is_none(), "the period starts when the renewal was sent");
}

// The platform is down for longer than the lease period. The holder must stop by its own clock and
// no other process may take over. Once the platform is back, the same term continues or a new
// holder gets a higher one.
#[test]
fn token_with_platform_down_past_lease_period() {
    let store = MemoryStore::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    run_steps(&mut a, &store, at(0));
    run_steps(&mut b, &store, at(0));
    store.set_down(true);
    for second in 1..20 {
        run_steps(&mut a, &store, at(second));
        run_steps(&mut b, &store, at(second));
    }
    assert_eq!((a.token(at(5)), b.token(at(19))), (None, None));
    store.set_down(false);
    run_steps(&mut b, &store, at(20));
    run_steps(&mut a, &store, at(20));
    let holder_terms: Vec<u64> =
        [&a, &b].iter().filter_map(|l| l.token(at(20))).map(|t| t.term).collect();
    assert_eq!(holder_terms, vec![2]);
}

// A holder that stops releases the lease; otherwise placement would pause for a whole period.
#[test]
fn release_allows_immediate_takeover() {
    let store = MemoryStore::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    run_steps(&mut a, &store, at(0));
    run_steps(&mut b, &store, at(0));
    if let LeaseStep::Write { value, expect } = a.release(at(1)) {
        a.on_written(store.put(KEY, value, expect));
    }
    assert_eq!(a.token(at(1)), None);
    run_steps(&mut b, &store, at(2));
    assert_eq!(b.token(at(2)).map(|token| token.term), Some(2));
}

/// A call to the platform in flight, which takes effect and is answered at later times.
struct PendingCall {
    step: LeaseStep,
    effect_at: Time,
    answer_at: Time,
    read: Option<mastichaven_core::platform::Result<Option<mastichaven_core::platform::Object>>>,
    written: Option<mastichaven_core::platform::Result<mastichaven_core::ids::Revision>>,
}

fn delay<R: Rng>(rng: &mut R) -> Duration {
    let is_slow = rng.random_range(0..10) == 0;
    Duration::from_millis(rng.random_range(1..if is_slow { 9_000 } else { 300 }))
}

// A slow store, lost answers and paused processes in random combinations. Two processes that hold a
// token at the same time would both write plans.
#[test]
fn token_with_delays_and_pauses_has_one_holder() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let store = MemoryStore::default();
        let mut leases = [lease("a"), lease("b"), lease("c")];
        let mut calls: [Option<PendingCall>; 3] = [None, None, None];
        let mut paused_until = [Time::ZERO; 3];
        let (mut held_ticks, mut last_term) = (0, 0);
        for millis in (0..120_000).step_by(20) {
            let now = Time::from_millis(millis);
            store.lose_answers(u32::from(rng.random_range(0..20) == 0));
            for n in 0..3 {
                advance(&mut leases[n], &mut calls[n], &store, now, paused_until[n], &mut rng);
                if rng.random_range(0..2_000) == 0 {
                    paused_until[n] = now + Duration::from_millis(rng.random_range(0..20_000));
                }
            }
            let tokens: Vec<_> = leases.iter().filter_map(|lease| lease.token(now)).collect();
            assert!(tokens.len() <= 1, "seed {seed}: two holders at {now:?}: {tokens:?}");
            for token in tokens {
                held_ticks += 1;
                assert!(token.term >= last_term, "seed {seed}: the term decreased");
                last_term = token.term;
            }
        }
        assert!(held_ticks > 1_000, "seed {seed}: the lease was held for too few ticks");
    }
}

fn advance<R: Rng>(
    lease: &mut Lease,
    call: &mut Option<PendingCall>,
    store: &MemoryStore,
    now: Time,
    paused_until: Time,
    rng: &mut R,
) {
    if let Some(call) = call.as_mut().filter(|call| call.effect_at <= now) {
        match call.step.clone() {
            LeaseStep::Read if call.read.is_none() => call.read = Some(store.get(KEY)),
            LeaseStep::Write { value, expect } if call.written.is_none() => {
                call.written = Some(store.put(KEY, value, expect));
            }
            _ => {}
        }
    }
    if now < paused_until {
        return;
    }
    match call.take() {
        Some(answered) if answered.answer_at <= now => {
            if let Some(read) = answered.read {
                lease.on_read(now, read);
            }
            if let Some(written) = answered.written {
                lease.on_written(written);
            }
        }
        Some(waiting) => *call = Some(waiting),
        None => {
            let next = lease.next_step(now);
            if next != LeaseStep::Idle {
                let effect_at = now + delay(rng);
                let answer_at = effect_at + delay(rng);
                *call = Some(PendingCall {
                    step: next,
                    effect_at,
                    answer_at,
                    read: None,
                    written: None,
                });
            }
        }
    }
}
