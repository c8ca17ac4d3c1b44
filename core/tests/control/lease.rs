use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::Incarnation;
use mastichaven_core::lease::Lease;
use mastichaven_core::lease::Step;
use mastichaven_core::lease::Terms;
use mastichaven_core::platform::ObjectStore;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::store::MemoryStore;

const KEY: &str = "lease/test";

fn terms() -> Terms {
    Terms { period: Duration::from_secs(6), margin: Duration::from_secs(1) }
}

fn lease(host: &str) -> Lease {
    Lease::new(HostName::new(host), Incarnation(1), terms())
}

/// Carries out steps until the lease is idle; each call takes no time.
fn tick(lease: &mut Lease, store: &MemoryStore, now: Time) {
    for _ in 0..3 {
        match lease.next(now) {
            Step::Idle => return,
            Step::Read => lease.on_read(now, store.get(KEY)),
            Step::Write { value, expect } => lease.on_written(store.put(KEY, value, expect)),
        }
    }
}

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

// The holder is paused for longer than its lease, as on a host that swaps. Another process takes
// over. When the first wakes it must not act, or two planners would move the same replicas.
#[test]
fn token_holder_paused_past_its_lease() {
    let store = MemoryStore::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    tick(&mut a, &store, at(0));
    assert_eq!(a.token(at(0)).map(|token| token.term), Some(1));
    tick(&mut b, &store, at(1));
    tick(&mut b, &store, at(6));
    assert_eq!(b.token(at(6)), None, "b has not yet waited a whole period on its own clock");
    tick(&mut b, &store, at(7));
    assert_eq!(b.token(at(7)).map(|token| token.term), Some(2));
    assert_eq!(a.token(at(7)), None);
    tick(&mut a, &store, at(8));
    assert_eq!(a.token(at(8)), None);
    assert_eq!(a.holder(), Some(&HostName::new("b")));
}

// The platform takes the renewal but its answer is lost. Reading back shows whose write it is;
// without that the holder would step down, or hold on by a write it does not know of.
#[test]
fn on_written_lost_answer_is_read_back() {
    let store = MemoryStore::default();
    let mut a = lease("a");
    store.lose_answers(1);
    tick(&mut a, &store, at(0));
    assert!(a.token(at(0)).is_some());
    store.lose_answers(1);
    tick(&mut a, &store, at(2));
    assert!(a.token(at(6)).is_some(), "the renewal of second 2 counts");
    assert!(a.token(at(7)).is_none(), "and it counts from when it was sent");
}

// The platform is down for long. The holder stops by its own clock; nobody else takes over, and
// when the platform is back the same term goes on or a new holder gets a higher one.
#[test]
fn token_platform_down_past_the_lease() {
    let store = MemoryStore::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    tick(&mut a, &store, at(0));
    tick(&mut b, &store, at(0));
    store.set_down(true);
    for second in 1..20 {
        tick(&mut a, &store, at(second));
        tick(&mut b, &store, at(second));
    }
    assert_eq!((a.token(at(5)), b.token(at(19))), (None, None));
    store.set_down(false);
    tick(&mut b, &store, at(20));
    tick(&mut a, &store, at(20));
    let terms: Vec<u64> = [&a, &b].iter().filter_map(|l| l.token(at(20))).map(|t| t.term).collect();
    assert_eq!(terms, vec![2]);
}

// A holder that stops gives the lease up, so that placement does not stand still for a period.
#[test]
fn release_hands_over_at_once() {
    let store = MemoryStore::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    tick(&mut a, &store, at(0));
    tick(&mut b, &store, at(0));
    if let Step::Write { value, expect } = a.release(at(1)) {
        a.on_written(store.put(KEY, value, expect));
    }
    assert_eq!(a.token(at(1)), None);
    tick(&mut b, &store, at(2));
    assert_eq!(b.token(at(2)).map(|token| token.term), Some(2));
}

/// A call to the platform that is under way: it takes effect and is answered later.
struct Call {
    step: Step,
    effect: Time,
    answer: Time,
    read: Option<mastichaven_core::platform::Result<Option<mastichaven_core::platform::Object>>>,
    written: Option<mastichaven_core::platform::Result<mastichaven_core::ids::Revision>>,
}

fn delay<R: Rng>(rng: &mut R) -> Duration {
    let slow = rng.random_range(0..10) == 0;
    Duration::from_millis(rng.random_range(1..if slow { 9_000 } else { 300 }))
}

// A slow store, lost answers and paused processes in every mixture. Two processes that believe at
// the same moment that they hold the lease would both write plans.
#[test]
fn token_never_two_holders_at_once() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let store = MemoryStore::default();
        let mut leases = [lease("a"), lease("b"), lease("c")];
        let mut calls: [Option<Call>; 3] = [None, None, None];
        let mut paused = [Time::ZERO; 3];
        let (mut held, mut last_term) = (0, 0);
        for millis in (0..120_000).step_by(20) {
            let now = Time::from_millis(millis);
            store.lose_answers(u32::from(rng.random_range(0..20) == 0));
            for n in 0..3 {
                step(&mut leases[n], &mut calls[n], &store, now, paused[n], &mut rng);
                if rng.random_range(0..2_000) == 0 {
                    paused[n] = now + Duration::from_millis(rng.random_range(0..20_000));
                }
            }
            let tokens: Vec<_> = leases.iter().filter_map(|lease| lease.token(now)).collect();
            assert!(tokens.len() <= 1, "seed {seed}: two holders at {now:?}: {tokens:?}");
            for token in tokens {
                held += 1;
                assert!(token.term >= last_term, "seed {seed}: the term fell");
                last_term = token.term;
            }
        }
        assert!(held > 1_000, "seed {seed}: the lease was hardly ever held");
    }
}

fn step<R: Rng>(
    lease: &mut Lease,
    call: &mut Option<Call>,
    store: &MemoryStore,
    now: Time,
    paused_until: Time,
    rng: &mut R,
) {
    if let Some(call) = call.as_mut().filter(|call| call.effect <= now) {
        match call.step.clone() {
            Step::Read if call.read.is_none() => call.read = Some(store.get(KEY)),
            Step::Write { value, expect } if call.written.is_none() => {
                call.written = Some(store.put(KEY, value, expect));
            }
            _ => {}
        }
    }
    if now < paused_until {
        return;
    }
    match call.take() {
        Some(done) if done.answer <= now => {
            if let Some(read) = done.read {
                lease.on_read(now, read);
            }
            if let Some(written) = done.written {
                lease.on_written(written);
            }
        }
        Some(waiting) => *call = Some(waiting),
        None => {
            let next = lease.next(now);
            if next != Step::Idle {
                let effect = now + delay(rng);
                let answer = effect + delay(rng);
                *call = Some(Call { step: next, effect, answer, read: None, written: None });
            }
        }
    }
}
