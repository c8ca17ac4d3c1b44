use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use mastichaven_core::Manifest;
use mastichaven_core::Time;
use mastichaven_core::ids::Digest;
use mastichaven_core::swarm::Bitmap;
use mastichaven_core::swarm::Destination;
use mastichaven_core::swarm::PeerLocation;
use mastichaven_core::swarm::Request;
use mastichaven_core::swarm::RequestKind;
use mastichaven_core::swarm::RequestOutcome;
use mastichaven_core::swarm::Strategy;
use mastichaven_core::swarm::Swarm;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const CHUNKS: usize = 64;
const STEP: Duration = Duration::from_millis(50);

/// How a host treats those who ask it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Manner {
    Honest,
    Corrupt,
    Liar,
    Silent,
    /// Tells what it has, but neither gets nor sends a chunk.
    Stalled,
}

/// How caches answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CacheManner {
    Ready,
    /// They wait for the origin.
    Waiting,
    Down,
}

struct Host {
    place: PeerLocation,
    swarm: Swarm,
    chunks: BTreeSet<Digest>,
    manner: Manner,
}

/// Hosts that answer each other at once; only what they decide is under test.
struct Hosts {
    manifest: Manifest,
    all: Vec<Host>,
    cut: BTreeSet<usize>,
    origin: BTreeMap<Digest, u32>,
    caches: CacheManner,
    from_caches: BTreeSet<Digest>,
    now: Time,
    rng: ChaCha8Rng,
}

impl Hosts {
    fn new(zones: &[(&str, &str, usize)]) -> Hosts {
        let weights: Vec<u8> = (0..CHUNKS * 8).map(|n| (n / 8) as u8).collect();
        let manifest = Manifest::from_weights(&weights, 8);
        let mut places = Vec::new();
        for (region, zone, count) in zones {
            places.extend((0..*count).map(|n| PeerLocation {
                host: format!("{zone}-{n}").as_str().into(),
                zone: (*zone).into(),
                region: (*region).into(),
            }));
        }
        let all = places.iter().map(|place| {
            let mut swarm = Swarm::new(place, Strategy::Swarm);
            swarm.set_peers(&places, None);
            swarm.set_wanted_versions(&[manifest.digest()], Time::ZERO);
            swarm.set_manifest(&manifest, |_| false, Time::ZERO);
            Host { place: place.clone(), swarm, chunks: BTreeSet::new(), manner: Manner::Honest }
        });
        Hosts {
            all: all.collect(),
            manifest,
            cut: BTreeSet::new(),
            origin: BTreeMap::new(),
            caches: CacheManner::Ready,
            from_caches: BTreeSet::new(),
            now: Time::ZERO,
            rng: ChaCha8Rng::seed_from_u64(1),
        }
    }

    fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.now = self.now + STEP;
            for n in 0..self.all.len() {
                let requests = self.all[n].swarm.step(self.now, &mut self.rng);
                for request in requests {
                    self.answer(n, &request);
                }
            }
        }
    }

    fn answer(&mut self, n: usize, request: &Request) {
        let is_chunk = matches!(request.kind, RequestKind::Chunk { .. });
        if is_chunk && (self.is_stalled(n) || self.asks_stalled(n, request)) {
            return;
        }
        let end = match request.destination {
            Destination::Origin => self.ask_origin(n, request),
            Destination::Cache => self.ask_cache(request),
            Destination::Peer(id) => {
                let host = self.all[n].swarm.location(id).host.clone();
                let peer = self.all.iter().position(|h| h.place.host == host).unwrap();
                self.ask_peer(n, peer, request)
            }
        };
        if let (RequestOutcome::Stored, RequestKind::Chunk { digest, .. }) = (&end, request.kind) {
            self.all[n].chunks.insert(digest);
        }
        self.all[n].swarm.finish(request.flight, end, self.now);
    }

    fn is_stalled(&self, n: usize) -> bool {
        self.all[n].manner == Manner::Stalled
    }

    fn asks_stalled(&self, n: usize, request: &Request) -> bool {
        let Destination::Peer(id) = request.destination else {
            return false;
        };
        let host = &self.all[n].swarm.location(id).host;
        self.all.iter().any(|h| h.place.host == *host && h.manner == Manner::Stalled)
    }

    fn ask_origin(&mut self, n: usize, request: &Request) -> RequestOutcome {
        let RequestKind::Chunk { digest, allow_repeat, .. } = request.kind else {
            return RequestOutcome::Manifest(self.manifest.clone());
        };
        if self.cut.contains(&n) {
            return RequestOutcome::Deferred;
        }
        if !allow_repeat && self.origin.contains_key(&digest) {
            return RequestOutcome::AlreadyPulled;
        }
        *self.origin.entry(digest).or_default() += 1;
        RequestOutcome::Stored
    }

    fn ask_cache(&mut self, request: &Request) -> RequestOutcome {
        let RequestKind::Chunk { digest, .. } = request.kind else { unreachable!() };
        match self.caches {
            CacheManner::Ready => {
                self.from_caches.insert(digest);
                RequestOutcome::Stored
            }
            CacheManner::Waiting => RequestOutcome::Pending,
            CacheManner::Down => RequestOutcome::Unreachable,
        }
    }

    fn ask_peer(&mut self, n: usize, peer: usize, request: &Request) -> RequestOutcome {
        let manner = self.all[peer].manner;
        if manner == Manner::Silent || self.cut.contains(&n) != self.cut.contains(&peer) {
            return RequestOutcome::TimedOut;
        }
        match request.kind {
            RequestKind::Manifest => RequestOutcome::Manifest(self.manifest.clone()),
            RequestKind::Have => {
                let mut map = Bitmap::default();
                for (index, chunk) in self.manifest.chunks.iter().enumerate() {
                    if manner == Manner::Liar || self.all[peer].chunks.contains(&chunk.digest) {
                        map.set(index);
                    }
                }
                let Destination::Peer(id) = request.destination else { unreachable!() };
                self.all[n].swarm.record_availability(id, request.version, map, 0, self.now);
                RequestOutcome::MapReceived
            }
            RequestKind::Chunk { digest, .. } => match manner {
                Manner::Corrupt => RequestOutcome::Corrupt,
                Manner::Honest if self.all[peer].chunks.contains(&digest) => RequestOutcome::Stored,
                _ => RequestOutcome::Absent,
            },
        }
    }

    fn complete(&self) -> usize {
        self.all.iter().filter(|host| host.chunks.len() == CHUNKS).count()
    }

    fn origin_pulls(&self) -> u32 {
        self.origin.values().sum()
    }
}

const ZONES: [(&str, &str, usize); 3] =
    [("sul", "lagoa", 8), ("sul", "serra", 8), ("costa", "litoral", 8)];

#[test]
fn swarm_takes_each_chunk_once_ask_origin() {
    let mut hosts = Hosts::new(&ZONES);
    hosts.run(200);
    assert_eq!((hosts.complete(), hosts.origin_pulls()), (24, CHUNKS as u32));
}

// A burst adds replicas in a zone that had none. The chunks that fall to them are owned by nobody
// else there; were they pulled again, each such burst would cost the origin a part of a copy.
#[test]
fn late_zone_takes_nothing_from_origin() {
    let mut hosts = Hosts::new(&ZONES);
    let late: Vec<usize> = (16..24).collect();
    hosts.cut = late.iter().copied().collect();
    hosts.run(400);
    let before = hosts.origin_pulls();
    hosts.cut.clear();
    let places: Vec<PeerLocation> = hosts.all.iter().map(|host| host.place.clone()).collect();
    for n in late {
        let host = &mut hosts.all[n];
        host.swarm = Swarm::new(&host.place, Strategy::Swarm);
        host.swarm.set_peers(&places, None);
        host.swarm.set_wanted_versions(&[hosts.manifest.digest()], hosts.now);
        host.swarm.set_manifest(&hosts.manifest, |_| false, hosts.now);
    }
    hosts.run(400);
    assert_eq!((hosts.complete(), hosts.origin_pulls()), (24, before));
}

// One host in each zone sends damaged chunks, says that it has what it has not, or never answers.
// Hosts that went on trusting it would never complete, and the replica would be missing in a burst.
#[test]
fn swarm_completes_beside_bad_peers() {
    for manner in [Manner::Corrupt, Manner::Liar, Manner::Silent] {
        let mut hosts = Hosts::new(&ZONES);
        for bad in [3, 11, 19] {
            hosts.all[bad].manner = manner;
        }
        hosts.run(1_200);
        let good = hosts.all.iter().filter(|host| host.manner == Manner::Honest);
        assert!(good.clone().all(|host| host.chunks.len() == CHUNKS), "{manner:?}");
        assert!(hosts.origin_pulls() <= 2 * CHUNKS as u32, "{manner:?}: {}", hosts.origin_pulls());
    }
}

// The link of one host in each zone is squeezed to nearly nothing while a version spreads. It lives and
// answers, so nobody takes its place, and its chunks hold up every other host: endpoints get the
// version after the time at which callers are refused for want of it.
#[test]
fn swarm_completes_beside_stalled_owners() {
    let mut hosts = Hosts::new(&ZONES);
    for slow in [3, 11, 19] {
        hosts.all[slow].manner = Manner::Stalled;
    }
    hosts.run(70);
    assert_eq!(hosts.complete(), 21);
    assert!(hosts.origin_pulls() as f64 <= 1.3 * CHUNKS as f64, "{}", hosts.origin_pulls());
}

// A zone is cut off in the middle of a push and comes back. Without it the others must go on, and
// it must catch up afterwards without being served by the origin all over again.
#[test]
fn swarm_goes_on_without_cut_zone_and_heals() {
    let mut hosts = Hosts::new(&ZONES);
    hosts.run(4);
    hosts.cut = (8..16).collect();
    hosts.run(600);
    let outside = (0..24).filter(|n| !hosts.cut.contains(n));
    assert!(outside.into_iter().all(|n| hosts.all[n].chunks.len() == CHUNKS));
    hosts.cut.clear();
    hosts.run(600);
    assert_eq!(hosts.complete(), 24);
    assert!(hosts.origin_pulls() as f64 <= 1.3 * CHUNKS as f64, "{}", hosts.origin_pulls());
}

// Operators publish another version while the first is half way. Pulling on at chunks that nobody
// wants any more would hold up the new ones on the same link.
#[test]
fn want_drops_old_version_at_once() {
    let mut hosts = Hosts::new(&ZONES);
    hosts.run(3);
    let other = Manifest::from_weights(b"other weights altogether", 8);
    let host = &mut hosts.all[0];
    host.swarm.set_wanted_versions(&[other.digest()], hosts.now);
    host.swarm.set_manifest(&other, |_| false, hosts.now);
    for _ in 0..40 {
        hosts.now = hosts.now + STEP;
        let requests = host.swarm.step(hosts.now, &mut hosts.rng);
        assert!(requests.iter().all(|request| request.version == other.digest()));
    }
    assert_eq!(host.swarm.missing(), 3);
}

// A peer sends a map for a million chunks to fill this host's memory.
#[test]
fn heard_refuses_maps_longer_than_version() {
    let mut hosts = Hosts::new(&ZONES);
    let mut map = Bitmap::default();
    map.set(1 << 19);
    assert!(!map.set(usize::MAX) && !map.fits(CHUNKS));
    let requests = hosts.all[0].swarm.step(Time::from_millis(300), &mut hosts.rng);
    let poll = requests.iter().find(|request| request.kind == RequestKind::Have).unwrap();
    let Destination::Peer(id) = poll.destination else { unreachable!() };
    let host = &mut hosts.all[0];
    for _ in 0..3 {
        host.swarm.record_availability(id, poll.version, map.clone(), 0, hosts.now);
    }
    assert_eq!(host.swarm.degraded_neighbours().count(), 1);
}

fn with_caches(manner: CacheManner) -> Hosts {
    let mut hosts = Hosts::new(&ZONES);
    hosts.caches = manner;
    hosts.all.iter_mut().for_each(|host| host.swarm.set_caches(true));
    hosts
}

#[test]
fn step_takes_chunks_from_caches() {
    let mut hosts = with_caches(CacheManner::Ready);
    hosts.run(60);
    assert!(hosts.all.iter().all(|host| host.swarm.missing() == 0));
    assert!(hosts.origin.is_empty(), "{} chunks from the origin", hosts.origin.len());
    assert!(!hosts.from_caches.is_empty());
}

// Guards against dozens of hosts at a narrow origin as soon as caches wait for it.
#[test]
fn step_leaves_the_origin_to_caches_that_wait_for_it() {
    let mut hosts = with_caches(CacheManner::Waiting);
    hosts.run(60);
    assert!(hosts.origin.is_empty(), "{} chunks from the origin", hosts.origin.len());
    hosts.caches = CacheManner::Ready;
    hosts.run(60);
    assert!(hosts.all.iter().all(|host| host.swarm.missing() == 0));
}

// Guards against a version that never comes because no cache brings it.
#[test]
fn step_falls_back_to_the_swarm_when_caches_fail() {
    let mut hosts = with_caches(CacheManner::Down);
    hosts.run(200);
    assert!(hosts.all.iter().all(|host| host.swarm.missing() == 0));
    assert!(hosts.from_caches.is_empty());
}

// Guards against a version that leaves the origin once more for each group of hosts that is added.
#[test]
fn step_of_a_new_host_takes_from_neighbours_what_they_have_whole() {
    let mut hosts = Hosts::new(&ZONES);
    hosts.run(100);
    let place = hosts.all[0].place.clone();
    let places: Vec<PeerLocation> = hosts.all.iter().map(|host| host.place.clone()).collect();
    let mut swarm = Swarm::new(&place, Strategy::Swarm);
    swarm.set_peers(&places, None);
    swarm.set_caches(true);
    swarm.set_wanted_versions(&[hosts.manifest.digest()], hosts.now);
    swarm.set_manifest(&hosts.manifest, |_| false, hosts.now);
    hosts.all[0] = Host { place, swarm, chunks: BTreeSet::new(), manner: Manner::Honest };
    hosts.run(60);
    assert_eq!(hosts.all[0].swarm.missing(), 0);
    assert!(hosts.from_caches.is_empty());
}
