//! The choice of pullers, and simulations of it in a fleet of which random parts are cut off.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::caches::Caches;
use mastichaven_core::direct::pullers::OriginPath;
use mastichaven_core::direct::pullers::OriginQueue;
use mastichaven_core::direct::pullers::OriginTicket;
use mastichaven_core::direct::pullers::PullerFailure;
use mastichaven_core::direct::pullers::Pullers;
use mastichaven_core::direct::pullers::Search;
use mastichaven_core::direct::pullers::Step;
use mastichaven_core::direct::pullers::order;
use mastichaven_core::direct::pullers::region_rank;
use mastichaven_core::ids::Digest;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

const CHUNKS: u32 = 64;

fn entry(n: usize) -> IpAddr {
    IpAddr::from([10, (n % 3) as u8, (n / 256) as u8, (n % 256) as u8])
}

fn chunk(n: u32) -> Digest {
    Digest::of(&n.to_le_bytes())
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

// Guards against agents and entries that name different first pullers, so that a chunk is pulled twice.
#[test]
fn order_begins_with_puller_of_agents() {
    let entries: Vec<IpAddr> = (0..13).map(entry).collect();
    let mut caches = Caches::default();
    caches.set(entries.clone(), entries.clone());
    for n in 0..CHUNKS {
        let order = order(&entries, chunk(n));
        assert_eq!((order.first().copied(), order.len()), (caches.puller(chunk(n)), 4));
    }
}

// Guards against entries that never reach the origin because the first puller is asked again before the last one
// has been found silent.
#[test]
fn step_reaches_origin_if_all_pullers_are_silent() {
    let mut search = Search::new((1..5).map(entry).collect(), entry(9), 0, false);
    let (mut pullers, mut path, mut now) = (Pullers::default(), OriginPath::default(), 0);
    let mut steps = Vec::new();
    for _ in 0..8 {
        let step = search.step(&pullers, &path, at(now));
        steps.push(step);
        match step {
            Step::Ask(ip) => {
                now += 400;
                pullers.record_failure(ip, PullerFailure::NoReply, at(now));
            }
            Step::Probe(interval) => {
                assert!(path.try_probe(interval, at(now)));
                path.finish_probe(true, at(now));
            }
            Step::Origin | Step::Wait(_) => break,
        }
    }
    let asked = (1..5).map(entry).map(Step::Ask);
    assert!(steps.iter().copied().take(4).eq(asked), "{steps:?}");
    assert!(matches!(steps[4], Step::Probe(_)), "{steps:?}");
    assert!(steps.contains(&Step::Origin), "{steps:?}");
}

// Guards against several entries that pull the same chunk when the origin returns for all of them.
#[test]
fn step_lets_first_puller_recover_before_takeover() {
    let mut search = Search::new(vec![entry(1), entry(2)], entry(2), 0, true);
    let (mut pullers, mut path) = (Pullers::default(), OriginPath::default());
    pullers.record_failure(entry(1), PullerFailure::OriginFailing, at(0));
    path.begin(at(0));
    path.finish(false, at(0));
    assert!(matches!(search.step(&pullers, &path, at(10)), Step::Probe(_)));
    assert!(path.try_probe(Duration::ZERO, at(20)));
    path.finish_probe(true, at(20));
    assert_eq!(search.step(&pullers, &path, at(30)), Step::Ask(entry(1)));
    pullers.record_failure(entry(1), PullerFailure::OriginFailing, at(30));
    assert!(matches!(search.step(&pullers, &path, at(40)), Step::Wait(_)));
    assert_eq!(search.step(&pullers, &path, at(330)), Step::Ask(entry(1)));
    pullers.record_failure(entry(1), PullerFailure::OriginFailing, at(330));
    assert_eq!(search.step(&pullers, &path, at(340)), Step::Origin);
}

// Guards against an entry that waits for a transfer that no longer makes progress, and blocks those that wait for it.
#[test]
fn is_failing_without_progress() {
    let mut path = OriginPath::default();
    path.begin(at(0));
    path.record_progress(at(500));
    assert!(!path.is_failing(at(1_050)));
    assert!(path.is_failing(at(1_100)));
    path.record_progress(at(1_150));
    assert!(!path.is_failing(at(1_160)));
}

// Guards against a new version whose chunks wait behind those of its predecessor.
#[test]
fn try_start_prefers_newest_version() {
    let ticket = |version, id| OriginTicket { model: 1, version, id };
    let mut queue = OriginQueue::default();
    [ticket(2, 1), ticket(2, 2), ticket(3, 3)].into_iter().for_each(|one| queue.push(one));
    assert!(!queue.try_start(ticket(2, 1), 2, at(0)));
    assert!(queue.try_start(ticket(3, 3), 2, at(0)));
    assert!(!queue.try_start(ticket(2, 1), 2, at(0)), "a newer one is in flight");
    let other = OriginTicket { model: 7, version: 1, id: 4 };
    queue.push(other);
    assert!(queue.try_start(other, 2, at(0)), "held back by an older version of another model");
    queue.remove(ticket(3, 3));
    assert!(!queue.try_start(ticket(2, 2), 2, at(0)), "not its turn");
    assert!(queue.try_start(ticket(2, 1), 2, at(0)));
    assert!(!queue.try_start(ticket(2, 2), 2, at(0)), "the limit is reached");
}

// Guards against an announcement just before an outage of the origin that leaves two incomplete versions, where the
// older one lacked a few chunks only.
#[test]
fn try_start_finishes_older_version_first_for_a_second() {
    let ticket = |version, id| OriginTicket { model: 1, version, id };
    let mut queue = OriginQueue::default();
    [ticket(2, 1), ticket(3, 2), ticket(3, 3)].into_iter().for_each(|one| queue.push(one));
    queue.finish_first(1, 2, at(0));
    assert!(!queue.try_start(ticket(3, 2), 2, at(10)));
    assert!(queue.try_start(ticket(2, 1), 2, at(10)));
    queue.remove(ticket(2, 1));
    assert!(queue.try_start(ticket(3, 2), 2, at(20)), "nothing of the older one is left");
    queue.push(ticket(2, 4));
    assert!(queue.try_start(ticket(3, 3), 2, at(1_000)), "the second is over");
}

/// What an entry of the simulation does for one chunk.
struct Fetch {
    search: Search,
    /// When it acts next.
    due: u64,
    /// The puller that it has asked, which replies or fails at `due`.
    asked: Option<(IpAddr, bool)>,
    /// Whether the request to the origin that ends at `due` reaches it.
    from_origin: Option<bool>,
    is_failing: bool,
    /// The puller that is fetching the chunk.
    coming_from: Option<IpAddr>,
}

/// A fleet in which entries fetch the chunks of one version. Each region has one entry per chunk that agents ask. Time
/// advances in steps of 5 ms; messages take 5 ms within the region of the pullers and 20 ms from others.
struct Fleet {
    entries: Vec<IpAddr>,
    /// Entries that do not answer, from this time on.
    silent: HashMap<usize, u64>,
    /// Entries that do not reach the origin, from and until these times.
    cut: HashMap<usize, (u64, u64)>,
    pullers: Vec<Pullers>,
    paths: Vec<OriginPath>,
    fetches: HashMap<(usize, u32), Fetch>,
    have: HashMap<(usize, u32), u64>,
    copies: u32,
    /// When a silent entry was first asked for a chunk that no entry had pulled.
    asked_silent: HashMap<u32, Option<u64>>,
    /// When a chunk was first requested from the origin.
    pulled: HashMap<u32, u64>,
}

const STEP_MS: u64 = 5;
const ORIGIN_MS: u64 = 90;

impl Fleet {
    fn new(n: usize) -> Fleet {
        Fleet {
            entries: (0..n).map(entry).collect(),
            silent: HashMap::new(),
            cut: HashMap::new(),
            pullers: vec![Pullers::default(); n],
            paths: vec![OriginPath::default(); n],
            fetches: HashMap::new(),
            have: HashMap::new(),
            copies: 0,
            asked_silent: HashMap::new(),
            pulled: HashMap::new(),
        }
    }

    fn candidates(&self, chunk_index: u32) -> Vec<IpAddr> {
        let in_origin_region: Vec<IpAddr> = self.entries.iter().step_by(3).copied().collect();
        order(&in_origin_region, chunk(chunk_index))
    }

    fn is_silent(&self, me: usize, now: u64) -> bool {
        self.silent.get(&me).is_some_and(|from| now >= *from)
    }

    fn reaches_origin(&self, me: usize, now: u64) -> bool {
        self.cut.get(&me).is_none_or(|(from, until)| now < *from || now >= *until)
    }

    fn request(&mut self, me: usize, chunk_index: u32, is_relayed: bool, now: u64) {
        let rank = region_rank(me % 3, 3, chunk(chunk_index));
        let order = self.candidates(chunk_index);
        if self.have.contains_key(&(me, chunk_index)) {
            return;
        }
        let new = || Fetch {
            search: Search::new(order, self.entries[me], rank, is_relayed),
            due: now,
            asked: None,
            from_origin: None,
            is_failing: false,
            coming_from: None,
        };
        let fetch = self.fetches.entry((me, chunk_index)).or_insert_with(new);
        if !is_relayed {
            fetch.search.set_relayed(false);
        }
    }

    /// The reply of puller `n` to `me`: whether it has the chunk, fetches it (false), or fails.
    fn reply(
        &mut self,
        n: usize,
        me: usize,
        chunk_index: u32,
        now: u64,
    ) -> Result<bool, PullerFailure> {
        self.request(n, chunk_index, true, now);
        let Some(fetch) = self.fetches.get(&(n, chunk_index)) else { return Ok(true) };
        let is_path_failing = self.paths[n].is_failing(at(now));
        let is_failing = match fetch.coming_from {
            _ if fetch.is_failing => true,
            None => is_path_failing,
            // A later puller does not wait for one that waits for a later one.
            Some(from) => {
                let order = self.candidates(chunk_index);
                let position = |ip| order.iter().position(|other| *other == ip);
                let (own, me) = (position(self.entries[n]), position(self.entries[me]));
                position(from) > own && me > own
            }
        };
        if is_failing { Err(PullerFailure::OriginFailing) } else { Ok(false) }
    }

    fn tick(&mut self, now: u64) {
        let mut due: Vec<(usize, u32)> = self.fetches.keys().copied().collect();
        due.retain(|key| self.fetches[key].due <= now && !self.is_silent(key.0, now));
        due.sort_unstable();
        for key in due {
            let mut fetch = self.fetches.remove(&key).expect("due");
            if !self.advance(key, &mut fetch, now) {
                self.fetches.insert(key, fetch);
            }
        }
    }

    /// Takes the next step of a fetch; true if it is complete.
    fn advance(&mut self, (me, chunk_index): (usize, u32), fetch: &mut Fetch, now: u64) -> bool {
        if let Some(is_reached) = fetch.from_origin.take() {
            let is_reached = is_reached && self.reaches_origin(me, now);
            self.paths[me].finish(is_reached, at(now));
            self.copies += u32::from(is_reached);
            fetch.is_failing = !is_reached;
            if is_reached {
                self.have.insert((me, chunk_index), now);
                return true;
            }
        }
        if let Some((puller, was_silent)) = fetch.asked.take() {
            let n = self.entries.iter().position(|ip| *ip == puller).expect("an entry");
            let reply = if was_silent {
                Err(PullerFailure::NoReply)
            } else {
                self.reply(n, me, chunk_index, now)
            };
            match reply {
                Ok(true) => {
                    self.have.insert((me, chunk_index), now);
                    return true;
                }
                Ok(false) => {
                    self.pullers[me].record_success(puller);
                    fetch.search.restart();
                    (fetch.coming_from, fetch.is_failing) = (Some(puller), false);
                    // A puller replies at once to another one, and otherwise when it has the chunk.
                    fetch.due = now + if fetch.search.follows(puller) { 100 } else { STEP_MS };
                    return false;
                }
                Err(failure) => {
                    // While it waits for a silent puller, an entry finds out which others are silent too.
                    if failure == PullerFailure::NoReply {
                        let path = &self.paths[me];
                        let others =
                            fetch.search.others_after(puller, &self.pullers[me], path, at(now));
                        for ip in others {
                            let n = self.entries.iter().position(|other| *other == ip);
                            if n.is_some_and(|n| self.is_silent(n, now)) {
                                self.pullers[me].record_failure(ip, failure, at(now));
                            }
                        }
                    }
                    self.pullers[me].record_failure(puller, failure, at(now));
                }
            }
        }
        fetch.due = now + STEP_MS;
        match fetch.search.step(&self.pullers[me], &self.paths[me], at(now)) {
            Step::Ask(puller) => {
                let n = self.entries.iter().position(|ip| *ip == puller).expect("an entry");
                let was_silent = self.is_silent(n, now);
                let is_immediate = fetch.search.follows(puller);
                let timeout = if is_immediate { 60 } else { 400 };
                let one_way = if me.is_multiple_of(3) { STEP_MS } else { 4 * STEP_MS };
                fetch.due = now + if was_silent { timeout } else { 2 * one_way };
                if was_silent {
                    let is_pulled = self.pulled.contains_key(&chunk_index);
                    let asked = self.asked_silent.entry(chunk_index);
                    asked.or_insert(if is_pulled { None } else { Some(now) });
                } else {
                    self.request(n, chunk_index, true, now + one_way);
                }
                fetch.asked = Some((puller, was_silent));
            }
            Step::Origin => {
                self.paths[me].begin(at(now));
                self.pulled.entry(chunk_index).or_insert(now);
                (fetch.is_failing, fetch.coming_from) = (false, None);
                fetch.from_origin = Some(self.reaches_origin(me, now));
                fetch.due = now + if fetch.from_origin == Some(true) { ORIGIN_MS } else { 20 };
            }
            Step::Probe(interval) => {
                fetch.is_failing = true;
                if self.paths[me].try_probe(interval, at(now)) {
                    let is_reached = self.reaches_origin(me, now);
                    self.paths[me].finish_probe(is_reached, at(now));
                }
            }
            Step::Wait(delay) => fetch.due = now + delay.as_millis() as u64,
        }
        false
    }

    /// The longest time from a request to a silent entry until another one took over, in milliseconds.
    fn takeover(&self) -> u64 {
        let asked = self.asked_silent.iter().filter_map(|(n, at)| Some((n, (*at)?)));
        asked.map(|(n, at)| self.pulled[n] - at).max().unwrap_or_default()
    }

    /// Requests all chunks within 3 s, as much as the origin delivers in that time, and returns the longest time until
    /// the entry that agents asked had the chunk, in milliseconds; `None` if one is missing at the end.
    fn run(&mut self) -> Option<u64> {
        let mut asked = Vec::new();
        for now in (0..12_000).step_by(STEP_MS as usize) {
            let chunk_index = (now / 45) as u32;
            if now % 45 == 0 && chunk_index < CHUNKS {
                for region in 0..3 {
                    let in_region = (0..self.entries.len()).skip(region).step_by(3);
                    let mut alive = in_region.filter(|n| !self.is_silent(*n, 6_000));
                    let me = alive.nth(chunk_index as usize % 5).expect("five alive");
                    self.request(me, chunk_index, false, now);
                    asked.push((me, chunk_index, now));
                }
            }
            self.tick(now);
        }
        let waits = asked.iter().map(|(me, n, from)| Some(self.have.get(&(*me, *n))? - from));
        waits.collect::<Option<Vec<u64>>>()?.into_iter().max()
    }
}

/// Positions of the four pullers in the fleet, in random order.
fn puller_positions(fleet: &Fleet, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let candidates = fleet.candidates(0);
    let is_puller = |n: &usize| candidates.contains(&fleet.entries[*n]);
    let mut positions: Vec<usize> = (0..fleet.entries.len()).filter(is_puller).collect();
    positions.shuffle(rng);
    positions
}

/// The worst results of several fleets.
#[derive(Debug, Default)]
struct Worst {
    /// Longest time from a request of an agent until the entry has the chunk, in milliseconds.
    wait: u64,
    /// Longest time until a silent puller is replaced, in milliseconds.
    takeover: u64,
    /// Copies of the version that left the origin.
    copies: f64,
}

/// Runs fleets of each size in which `cut` has cut off entries.
fn worst(cut: impl Fn(&mut Fleet, &mut ChaCha8Rng)) -> Worst {
    let mut worst = Worst::default();
    for (n, seeds) in [(30, 20), (100, 10), (381, 5)] {
        for seed in 0..seeds {
            let mut fleet = Fleet::new(n);
            cut(&mut fleet, &mut ChaCha8Rng::seed_from_u64(seed));
            let wait = fleet.run().expect("all chunks");
            worst.wait = worst.wait.max(wait);
            worst.takeover = worst.takeover.max(fleet.takeover());
            worst.copies = worst.copies.max(f64::from(fleet.copies) / f64::from(CHUNKS));
        }
    }
    println!("{worst:?}");
    worst
}

/// Time that a chunk takes without failures: a request to the puller that is asked again once the chunk is there.
const USUAL_WAIT_MS: u64 = 300;

/// The bound on recovering the choice of a puller.
const RECOVERY_MS: u64 = 500;

const MAX_COPIES: f64 = 1.3;

// Guards against chunks that wait for one or two pullers that have stopped at once, and against several entries that
// replace them.
#[test]
fn search_recovers_from_silent_pullers() {
    let worst = worst(|fleet, rng| {
        let failing = rng.random_range(1..=2);
        let from = rng.random_range(0..2_000);
        let pullers = puller_positions(fleet, rng).into_iter().take(failing);
        fleet.silent.extend(pullers.map(|n| (n, from)));
        let others = (0..fleet.entries.len()).filter(|_| rng.random_bool(0.1)).collect::<Vec<_>>();
        let pullers = puller_positions(fleet, rng);
        let others = others.into_iter().filter(|n| !pullers.contains(n));
        fleet.silent.extend(others.map(|n| (n, 0)));
    });
    assert!(worst.takeover <= RECOVERY_MS, "{worst:?}");
    assert!(worst.wait <= USUAL_WAIT_MS + RECOVERY_MS, "{worst:?}");
    assert!(worst.copies <= MAX_COPIES, "{worst:?}");
}

// Guards against the same where random entries, among them two or three pullers, do not reach the origin.
#[test]
fn search_recovers_if_some_entries_reach_origin() {
    let worst = worst(|fleet, rng| {
        let failing = rng.random_range(2..=3);
        let pullers = puller_positions(fleet, rng);
        let from = rng.random_range(0..2_000);
        let others = (0..fleet.entries.len()).filter(|_| rng.random_bool(0.3)).collect::<Vec<_>>();
        let others = others.into_iter().filter(|n| !pullers.contains(n));
        let all: Vec<usize> = others.chain(pullers.iter().copied().take(failing)).collect();
        fleet.cut.extend(all.into_iter().map(|n| (n, (from, u64::MAX))));
    });
    assert!(worst.wait <= USUAL_WAIT_MS + RECOVERY_MS, "{worst:?}");
    assert!(worst.copies <= MAX_COPIES, "{worst:?}");
}

// Guards against entries that all pull the same chunks when the origin returns after an outage.
#[test]
fn search_pulls_once_after_origin_outage() {
    let worst = worst(|fleet, rng| {
        let from = rng.random_range(0..2_000);
        let all = 0..fleet.entries.len();
        fleet.cut.extend(all.map(|n| (n, (from, from + 3_000))));
    });
    assert!(worst.wait <= 3_000 + USUAL_WAIT_MS + RECOVERY_MS, "{worst:?}");
    assert!(worst.copies <= MAX_COPIES, "{worst:?}");
}
