//! A soak of the real programs: versions are announced while processes pause, restart and are short of processor time,
//! the store and the endpoints are slow, and endpoints run what their callers have given up.
//!
//! One seed runs with the other tests. `MASTICHAVEN_SOAK_SEEDS` (such as `1..51`) chooses others.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_node::direct::connection;
use mastichaven_node::direct::connection::HttpConnection;
use mastichaven_standins::direct::endpoint::FakeEndpoint;
use mastichaven_standins::direct::endpoint::Queue;
use mastichaven_standins::direct::site;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fixture::Entry;
use super::fixture::Program;
use super::fixture::Site;
use super::fixture::until;
use super::version_history::VersionHistory;

const SEEDS_VARIABLE: &str = "MASTICHAVEN_SOAK_SEEDS";
const DEFAULT_SEEDS: Range<u64> = 1..2;

const DURATION: Duration = Duration::from_secs(30);

/// Bound on the use of older weights. It exceeds the deadline of requests, which have no limit of their own until
/// their entry hears of a version, by the longest time that this takes here.
const WEIGHTS_BOUND: Duration = Duration::from_millis(5_000);

const ENDPOINTS: usize = 6;
const ENTRIES: usize = 3;
const CALLERS: usize = 12;
const BUSY_THREADS: usize = 4;

const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Length of the configurations that keep the entries busy, in bytes.
const MAX_PADDING: usize = 600_000;

/// Processes, callers and operators of one run.
struct Soak {
    site: Site,
    endpoints: Vec<FakeEndpoint>,
    entries: Mutex<Vec<Entry>>,
    agents: Mutex<Vec<Program>>,
    history: Mutex<VersionHistory>,
    ends_at: Instant,
    answered: AtomicU64,
    others: AtomicU64,
}

impl Soak {
    fn start(seed: u64) -> Soak {
        let mut site = Site::start();
        site.weights_bound = WEIGHTS_BOUND;
        let endpoints: Vec<FakeEndpoint> = (0..ENDPOINTS)
            .map(|n| site.start_endpoint(&format!("i-{n}"), "writer", Some(1)))
            .collect();
        let first = site.start_entry(&format!("soak-{seed}"));
        let others = (1..ENTRIES)
            .map(|n| site.spawn_entry_with_seeds(&format!("soak-{seed}-{n}"), &[&first]));
        let others: Vec<Entry> = others.collect();
        let agents = endpoints
            .iter()
            .enumerate()
            .map(|(n, endpoint)| site.start_agent(&format!("soak-{seed}-agent-{n}"), endpoint));
        let agents = agents.collect();
        let entries: Vec<Entry> = std::iter::once(first).chain(others).collect();
        until("served", || {
            entries.iter().all(|entry| {
                entry.send_request("/stream/a", "a", "key-1").is_ok_and(|a| a.status == 200)
            })
        });
        Soak {
            site,
            endpoints,
            entries: Mutex::new(entries),
            agents: Mutex::new(agents),
            history: Mutex::default(),
            ends_at: Instant::now() + DURATION,
            answered: AtomicU64::new(0),
            others: AtomicU64::new(0),
        }
    }

    /// Calls `f` again and again, each time after a pause from `pauses_ms`, until the run ends.
    fn repeat(
        &self,
        mut rng: ChaCha8Rng,
        pauses_ms: Range<u64>,
        mut f: impl FnMut(&mut ChaCha8Rng),
    ) {
        loop {
            let pause = Duration::from_millis(rng.random_range(pauses_ms.clone()));
            if Instant::now() + pause >= self.ends_at {
                return;
            }
            thread::sleep(pause);
            f(&mut rng);
        }
    }

    fn address_of(&self, n: usize) -> SocketAddr {
        let entries = self.entries.lock().expect("no holder panics");
        entries[n % entries.len()].callers
    }

    /// Sends requests over a connection for as long as it lasts, then over one to the next entry.
    fn call(&self, caller: usize, mut rng: ChaCha8Rng) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("runtime can be created");
        let mut kept = None;
        for m in 0.. {
            if Instant::now() >= self.ends_at {
                return;
            }
            let address = self.address_of(caller + m);
            let id = format!("c{caller}-{m}");
            kept = runtime.block_on(self.call_once(kept, address, &id));
            thread::sleep(Duration::from_millis(rng.random_range(0..150)));
        }
    }

    /// Returns the connection if it can be used again.
    async fn call_once(
        &self,
        kept: Option<HttpConnection>,
        address: SocketAddr,
        id: &str,
    ) -> Option<HttpConnection> {
        let mut connection = match kept {
            Some(connection) => connection,
            None => HttpConnection::open(address, CALL_TIMEOUT).await.ok()?,
        };
        let mut req = connection::build_request("POST", address, "/stream/a", "the body".into());
        for (name, value) in site::caller_headers(id, "key-1") {
            req.headers_mut().insert(name, value.parse().expect("a valid value"));
        }
        let response = connection.call(req, 1 << 20, CALL_TIMEOUT).await;
        let is_answered = response.is_ok_and(|response| response.status() == 200);
        let count = if is_answered { &self.answered } else { &self.others };
        count.fetch_add(1, Ordering::Relaxed);
        connection.ready().await.then_some(connection)
    }

    fn announce(&self, version: u64) {
        self.history.lock().expect("no holder panics").announce(&self.site, version);
    }

    fn change_endpoint(&self, rng: &mut ChaCha8Rng) {
        let endpoint = &self.endpoints[rng.random_range(0..ENDPOINTS)];
        endpoint.set_queue(Queue {
            wait: Duration::from_millis(rng.random_range(0..1_800)),
            keeps_abandoned: rng.random(),
            slowdown: rng.random_range(0..8),
        });
    }

    /// Stops an agent for a while, which delays the load at its endpoint, or kills it.
    fn disturb_agent(&self, rng: &mut ChaCha8Rng) {
        let n = rng.random_range(0..ENDPOINTS);
        let mut agents = self.agents.lock().expect("no holder panics");
        if rng.random_ratio(1, 4) {
            agents[n].signal("KILL");
            agents[n] = self.site.start_agent(&format!("soak-agent-{n}"), &self.endpoints[n]);
        } else {
            pause(&agents[n], rng, 300..3_500);
        }
    }

    /// Stops an entry for a while, as when it gets no processor time, or sends it a signal.
    fn disturb_entry(&self, rng: &mut ChaCha8Rng) {
        let entries = self.entries.lock().expect("no holder panics");
        let entry = &entries[rng.random_range(0..entries.len())];
        if rng.random_ratio(1, 4) {
            entry.program.signal("HUP");
        } else {
            pause(&entry.program, rng, 50..900);
        }
    }

    /// Replaces an entry: callers use their connections to the old one until its process is gone.
    fn replace_entry(&self, rng: &mut ChaCha8Rng) {
        let mut replaced = {
            let mut entries = self.entries.lock().expect("no holder panics");
            let seeds: Vec<&Entry> = entries.iter().collect();
            let new = self.site.spawn_entry_with_seeds("soak-new", &seeds);
            let n = rng.random_range(0..entries.len());
            std::mem::replace(&mut entries[n], new)
        };
        if rng.random() {
            replaced.program.signal("KILL");
        } else {
            replaced.program.signal("TERM");
        }
        replaced.program.wait();
    }

    fn occupy_processor(&self, mut rng: ChaCha8Rng) {
        while Instant::now() < self.ends_at {
            let until = Instant::now() + Duration::from_millis(rng.random_range(50..1_500));
            while Instant::now() < until.min(self.ends_at) {
                std::hint::spin_loop();
            }
            thread::sleep(Duration::from_millis(rng.random_range(0..500)));
        }
    }

    fn run(&self, seed: u64) {
        let mut seeds = ChaCha8Rng::seed_from_u64(seed);
        let mut rng = || ChaCha8Rng::from_rng(&mut seeds);
        thread::scope(|scope| {
            for caller in 0..CALLERS {
                let rng = rng();
                scope.spawn(move || self.call(caller, rng));
            }
            for _ in 0..BUSY_THREADS {
                let rng = rng();
                scope.spawn(move || self.occupy_processor(rng));
            }
            let (operator, configurer) = (rng(), rng());
            scope.spawn(move || {
                let mut version = 1;
                self.repeat(operator, 2_500..6_000, |_| {
                    version += 1;
                    self.announce(version);
                });
            });
            scope.spawn(move || {
                let mut version = 1;
                self.repeat(configurer, 300..1_500, |rng| {
                    version += 1;
                    let padding = rng.random_range(0..MAX_PADDING);
                    self.site.configure_padded(version, &["key-1", "key-2"], padding);
                });
            });
            let (slow_store, origin) = (rng(), rng());
            scope.spawn(move || {
                self.repeat(slow_store, 500..2_500, |rng| {
                    let latency = if rng.random() { rng.random_range(0..600) } else { 0 };
                    self.site.store.set_latency(Duration::from_millis(latency));
                });
            });
            scope.spawn(move || {
                let mut is_down = false;
                self.repeat(origin, 1_000..4_000, |_| {
                    is_down = !is_down;
                    self.site.origin.set_down(is_down);
                });
            });
            let [endpoints, agents, entries, replaced] = [rng(), rng(), rng(), rng()];
            scope.spawn(move || self.repeat(endpoints, 50..400, |rng| self.change_endpoint(rng)));
            scope.spawn(move || self.repeat(agents, 200..1_500, |rng| self.disturb_agent(rng)));
            scope.spawn(move || self.repeat(entries, 200..1_500, |rng| self.disturb_entry(rng)));
            scope.spawn(move || self.repeat(replaced, 3_000..8_000, |rng| self.replace_entry(rng)));
        });
    }
}

/// Stops a process for a time from `range_ms`.
fn pause(program: &Program, rng: &mut ChaCha8Rng, range_ms: Range<u64>) {
    program.signal("STOP");
    thread::sleep(Duration::from_millis(rng.random_range(range_ms)));
    program.signal("CONT");
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else {
        return DEFAULT_SEEDS;
    };
    let (start, end) = text.split_once("..").expect("a range such as 1..51");
    start.parse().expect("a number")..end.parse().expect("a number")
}

// Guards against requests that begin on older weights after their bound, whatever delays the processes, the store and
// the endpoints.
#[test]
fn no_request_begins_on_outdated_weights_under_faults() {
    let mut broken = Vec::new();
    for seed in seeds() {
        let soak = Soak::start(seed);
        soak.run(seed);
        let history = soak.history.lock().expect("no holder panics");
        let late = history.late_begins(WEIGHTS_BOUND, &soak.endpoints);
        let (answered, others) = (&soak.answered, &soak.others);
        let margin = history.least_margin(WEIGHTS_BOUND, &soak.endpoints);
        println!(
            "seed {seed}: answered {answered:?}, not {others:?}, margin {margin:?}, late {late:?}"
        );
        assert!(answered.load(Ordering::Relaxed) > 0, "seed {seed}");
        if !late.is_empty() {
            broken.push((seed, late));
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}
