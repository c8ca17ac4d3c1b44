use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::client_budget::CALL_LEN;
use mastichaven_core::direct::client_budget::CONNECTION_LEN;
use mastichaven_core::direct::client_budget::ClientBudget;
use mastichaven_core::direct::client_budget::ClientKey;
use mastichaven_core::direct::client_budget::ClientLimits;
use mastichaven_core::direct::client_budget::ClientPhase;
use mastichaven_core::direct::client_budget::Exhausted;
use mastichaven_core::direct::client_budget::MAX_STATUS_CONNECTIONS;
use mastichaven_core::direct::client_budget::max_peers;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;
const SEGMENT_LEN: usize = 64 * KIB;
const STALL_TIME: Duration = Duration::from_millis(500);

fn start() -> Time {
    Time::from_millis(10_000)
}

/// Clients that give up what they hold when they are evicted.
struct Crowd {
    budget: ClientBudget,
    held: Vec<(ClientKey, usize)>,
}

impl Crowd {
    fn new(memory: usize, connections: usize) -> Crowd {
        let limits = ClientLimits { connections, memory, receive_window: 8 * KIB };
        Crowd { budget: ClientBudget::new(limits), held: Vec::new() }
    }

    fn open(&mut self, phase: ClientPhase, now: Time) -> ClientKey {
        let key = self.budget.open(now);
        self.budget.set_phase(key, phase, now);
        self.held.push((key, 0));
        key
    }

    fn close(&mut self, key: ClientKey) {
        let n = self.held.iter().position(|(other, _)| *other == key).expect("a connection");
        let (key, len) = self.held.swap_remove(n);
        self.budget.release(key, len);
        self.budget.close(key);
    }

    fn claim(&mut self, key: ClientKey, len: usize, now: Time) -> Result<(), Exhausted> {
        let victims = self.budget.claim(key, len, now)?;
        let client = self.held.iter_mut().find(|(other, _)| *other == key).expect("a connection");
        client.1 += len;
        victims.into_iter().for_each(|victim| self.close(victim));
        Ok(())
    }

    /// Claims the segments of a body.
    fn upload(&mut self, key: ClientKey, len: usize, now: Time) -> Result<(), Exhausted> {
        (0..len / SEGMENT_LEN).try_for_each(|_| self.claim(key, SEGMENT_LEN, now))
    }
}

// Guards against settings of a host with which its clients can claim more descriptors than the process may open.
#[test]
fn limits_fit_into_descriptors() {
    for descriptors in [256, 500, 1_000, 1_024, 2_048, 4_100, 8_192, 65_536] {
        let limits = ClientLimits::of_callers(512 * MIB, descriptors, None);
        let status = 2 * MAX_STATUS_CONNECTIONS;
        let claimed = 2 * limits.connections + status + max_peers(descriptors);
        assert!(claimed + 100 < descriptors, "{descriptors}: {limits:?}");
    }
}

// Guards against settings of a host with which connections alone leave no memory for requests, or with which the bytes
// that wait on their sockets exceed what is set aside for them.
#[test]
fn limits_fit_into_memory() {
    for memory in [64 * MIB, 128 * MIB, 160 * MIB, 260 * MIB, 512 * MIB] {
        let limits = ClientLimits::of_callers(memory, 8_192, None);
        assert!(limits.connections * CONNECTION_LEN <= limits.memory, "{limits:?}");
        assert!(limits.connections * limits.receive_window <= memory / 8, "{limits:?}");
        assert!(limits.max_request_len() >= 4 * MIB, "{limits:?}");
    }
    let given = ClientLimits::of_callers(160 * MIB, 8_192, Some(32 * MIB));
    assert_eq!(given.memory + given.connections * CONNECTION_LEN, 32 * MIB);
}

// Guards against a budget that refuses the longest request that it promises to accept.
#[test]
fn longest_request_fits_in_calm() {
    let limits = ClientLimits::of_callers(64 * MIB, 1_000, None);
    let mut crowd = Crowd::new(limits.memory, limits.connections);
    let key = crowd.open(ClientPhase::Body, start());
    assert_eq!(crowd.claim(key, CALL_LEN, start()), Ok(()));
    assert_eq!(crowd.claim(key, limits.max_request_len(), start()), Ok(()));
    assert_eq!(crowd.claim(key, 1, start()), Err(Exhausted));
}

// Guards against connections that send nothing and keep all others out.
#[test]
fn new_connection_replaces_one_without_request() {
    let mut crowd = Crowd::new(64 * MIB, 3);
    let now = start();
    let called = crowd.open(ClientPhase::Call, now);
    crowd.budget.set_phase(called, ClientPhase::Idle, now);
    let silent = crowd.open(ClientPhase::Idle, now + Duration::from_millis(1));
    let calling = crowd.open(ClientPhase::Call, now);
    let later = now + Duration::from_secs(1);
    assert_eq!(crowd.budget.make_room(later), Ok(Some(silent)));
    crowd.close(silent);
    assert_eq!(crowd.budget.make_room(later), Ok(None));
    crowd.open(ClientPhase::Call, now);
    assert_eq!(crowd.budget.make_room(later), Ok(Some(called)));
    crowd.close(called);
    crowd.open(ClientPhase::Call, now);
    assert_eq!(crowd.budget.make_room(later), Err(Exhausted));
    crowd.budget.set_phase(calling, ClientPhase::Closing, later);
    assert_eq!(crowd.budget.make_room(later), Ok(Some(calling)));
}

// Guards against new connections that cut off requests that are being sent.
#[test]
fn new_connection_replaces_stalled_request_only() {
    let mut crowd = Crowd::new(64 * MIB, 1);
    let sending = crowd.open(ClientPhase::Body, start());
    let later = start() + STALL_TIME / 2;
    assert_eq!(crowd.budget.make_room(later), Err(Exhausted));
    crowd.budget.record_received(sending, later);
    assert_eq!(crowd.budget.make_room(start() + STALL_TIME), Err(Exhausted));
    assert_eq!(crowd.budget.make_room(later + STALL_TIME), Ok(Some(sending)));
}

// Guards against bodies that stop just short of their end and keep others out for as long as they stay open.
#[test]
fn stalled_body_is_displaced() {
    let mut crowd = Crowd::new(8 * MIB, 100);
    let stalled = crowd.open(ClientPhase::Body, start());
    crowd.upload(stalled, 4 * MIB, start()).unwrap();
    let later = start() + STALL_TIME;
    let sending = crowd.open(ClientPhase::Body, later);
    assert_eq!(crowd.upload(sending, 5 * MIB, later), Ok(()));
    assert_eq!(crowd.held, [(sending, 5 * MIB)]);
}

// Guards against bodies of equal length that displace each other so that none is ever complete.
#[test]
fn bodies_that_compete_are_completed() {
    let mut crowd = Crowd::new(8 * MIB, 100);
    let keys: Vec<ClientKey> = (0..10).map(|_| crowd.open(ClientPhase::Body, start())).collect();
    for _ in 0..2 * MIB / SEGMENT_LEN {
        for key in &keys {
            if crowd.claim(*key, SEGMENT_LEN, start()).is_err() {
                let is_open = crowd.held.iter().any(|(other, _)| other == key);
                is_open.then(|| crowd.close(*key));
            }
        }
    }
    let complete = crowd.held.iter().filter(|(_, len)| *len == 2 * MIB).count();
    assert_eq!(complete, 3, "{:?}", crowd.held);
}

// Guards against long bodies that keep small requests out.
#[test]
fn small_request_displaces_long_body() {
    let mut crowd = Crowd::new(8 * MIB, 100);
    for _ in 0..2 {
        let long = crowd.open(ClientPhase::Body, start());
        crowd.upload(long, 2 * MIB, start()).unwrap();
    }
    for _ in 0..80 {
        let small = crowd.open(ClientPhase::Body, start());
        assert_eq!(crowd.upload(small, SEGMENT_LEN, start()), Ok(()));
    }
    assert!(crowd.budget.used() <= 8 * MIB, "{}", crowd.budget.used());
}

// Guards against requests that may have run and are cut off for others.
#[test]
fn complete_requests_are_never_evicted() {
    let mut crowd = Crowd::new(8 * MIB, 2);
    let calling = crowd.open(ClientPhase::Body, start());
    crowd.upload(calling, 5 * MIB, start()).unwrap();
    crowd.budget.set_phase(calling, ClientPhase::Call, start());
    let later = start() + 2 * STALL_TIME;
    let other = crowd.open(ClientPhase::Body, later);
    assert_eq!(crowd.upload(other, 2 * MIB, later), Err(Exhausted));
    crowd.close(calling);
    assert_eq!(crowd.upload(other, 2 * MIB, later), Ok(()));
}

// Guards against charges of closed connections that are lost while what they stand for is still held.
#[test]
fn charges_outlive_connection() {
    let mut crowd = Crowd::new(8 * MIB, 2);
    let key = crowd.open(ClientPhase::Call, start());
    crowd.claim(key, MIB, start()).unwrap();
    crowd.budget.close(key);
    assert_eq!(crowd.budget.used(), MIB);
    crowd.budget.release(key, MIB);
    assert_eq!(crowd.budget.used(), 0);
}

// Guards against an order of claims, evictions and releases with which clients hold more than the limits.
#[test]
fn limits_hold_under_random_claims() {
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut crowd = Crowd::new(2 * MIB, 40);
        let mut now = start();
        for _ in 0..10_000 {
            now = now + Duration::from_micros(rng.random_range(0..2_000));
            let n = rng.random_range(0..crowd.held.len().max(1));
            let chosen = crowd.held.get(n).map(|(key, _)| *key);
            match (rng.random_range(0..4), chosen) {
                (0, _) | (_, None) => {
                    if let Ok(victim) = crowd.budget.make_room(now) {
                        victim.into_iter().for_each(|victim| crowd.close(victim));
                        crowd.open(ClientPhase::Body, now);
                    }
                }
                (1, Some(key)) => crowd.close(key),
                (_, Some(key)) => drop(crowd.claim(key, rng.random_range(0..SEGMENT_LEN), now)),
            }
            let held: usize = crowd.held.iter().map(|(_, len)| *len).sum();
            assert_eq!(crowd.budget.used(), held, "seed {seed}");
            assert!(held <= 2 * MIB, "seed {seed}: {held}");
            assert!(crowd.budget.connections() <= 40, "seed {seed}");
        }
    }
}
