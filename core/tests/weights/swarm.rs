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

/// How a host responds to other hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PeerBehaviour {
    Honest,
    Corrupt,
    FalseMap,
    Unresponsive,
    /// Reports its chunks, but neither receives nor sends any.
    Stalled,
}

/// How caches respond.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CacheBehaviour {
    Ready,
    /// Wait for the origin.
    Waiting,
    Down,
}

struct Host {
    location: PeerLocation,
    swarm: Swarm,
    chunks: BTreeSet<Digest>,
    behaviour: PeerBehaviour,
}

/// Hosts that respond to each other without delay, so that only their decisions are tested.
struct Hosts {
    manifest: Manifest,
    all: Vec<Host>,
    partitioned: BTreeSet<usize>,
    pulls_by_chunk: BTreeMap<Digest, u32>,
    caches: CacheBehaviour,
    from_caches: BTreeSet<Digest>,
    now: Time,
    rng: ChaCha8Rng,
}

impl Hosts {
    fn new(zones: &[(&str, &str, usize)]) -> Hosts {
        let weights: Vec<u8> = (0..CHUNKS * 8).map(|n| (n / 8) as u8).collect();
        let manifest = Manifest::from_weights(&weights, 8);
        let mut locations = Vec::new();
        for (region, zone, count) in zones {
            locations.extend((0..*count).map(|n| PeerLocation {
                host: format!("{zone}-{n}").as_str().into(),
                zone: (*zone).into(),
                region: (*region).into(),
            }));
        }
        let all = locations.iter().map(|location| {
            let mut swarm = Swarm::new(location, Strategy::Swarm);
            swarm.set_peers(&locations, None);
            swarm.set_wanted_versions(&[manifest.digest()], Time::ZERO);
            swarm.set_manifest(&manifest, |_| false, Time::ZERO);
            Host {
                location: location.clone(),
                swarm,
                chunks: BTreeSet::new(),
                behaviour: PeerBehaviour::Honest,
            }
        });
        Hosts {
            all: all.collect(),
            manifest,
            partitioned: BTreeSet::new(),
            pulls_by_chunk: BTreeMap::new(),
            caches: CacheBehaviour::Ready,
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
                    self.respond(n, &request);
                }
            }
        }
    }

    fn respond(&mut self, n: usize, request: &Request) {
        let is_chunk = matches!(request.kind, RequestKind::Chunk { .. });
        if is_chunk && (self.is_stalled(n) || self.targets_stalled(n, request)) {
            return;
        }
        let end = match request.destination {
            Destination::Origin => self.respond_as_origin(n, request),
            Destination::Cache => self.respond_as_cache(request),
            Destination::Peer(id) => {
                let host = self.all[n].swarm.location(id).host.clone();
                let peer = self.all.iter().position(|h| h.location.host == host).unwrap();
                self.respond_as_peer(n, peer, request)
            }
        };
        if let (RequestOutcome::Stored, RequestKind::Chunk { digest, .. }) = (&end, request.kind) {
            self.all[n].chunks.insert(digest);
        }
        self.all[n].swarm.finish(request.flight, end, self.now);
    }

    fn is_stalled(&self, n: usize) -> bool {
        self.all[n].behaviour == PeerBehaviour::Stalled
    }

    fn targets_stalled(&self, n: usize, request: &Request) -> bool {
        let Destination::Peer(id) = request.destination else {
            return false;
        };
        let host = &self.all[n].swarm.location(id).host;
        self.all.iter().any(|h| h.location.host == *host && h.behaviour == PeerBehaviour::Stalled)
    }

    fn respond_as_origin(&mut self, n: usize, request: &Request) -> RequestOutcome {
        let RequestKind::Chunk { digest, allow_repeat, .. } = request.kind else {
            return RequestOutcome::Manifest(self.manifest.clone());
        };
        if self.partitioned.contains(&n) {
            return RequestOutcome::Deferred;
        }
        if !allow_repeat && self.pulls_by_chunk.contains_key(&digest) {
            return RequestOutcome::AlreadyPulled;
        }
        *self.pulls_by_chunk.entry(digest).or_default() += 1;
        RequestOutcome::Stored
    }

    fn respond_as_cache(&mut self, request: &Request) -> RequestOutcome {
        let RequestKind::Chunk { digest, .. } = request.kind else { unreachable!() };
        match self.caches {
            CacheBehaviour::Ready => {
                self.from_caches.insert(digest);
                RequestOutcome::Stored
            }
            CacheBehaviour::Waiting => RequestOutcome::Pending,
            CacheBehaviour::Down => RequestOutcome::Unreachable,
        }
    }

    fn respond_as_peer(&mut self, n: usize, peer: usize, request: &Request) -> RequestOutcome {
        let behaviour = self.all[peer].behaviour;
        if behaviour == PeerBehaviour::Unresponsive
            || self.partitioned.contains(&n) != self.partitioned.contains(&peer)
        {
            return RequestOutcome::TimedOut;
        }
        match request.kind {
            RequestKind::Manifest => RequestOutcome::Manifest(self.manifest.clone()),
            RequestKind::Have => {
                let mut map = Bitmap::default();
                for (index, chunk) in self.manifest.chunks.iter().enumerate() {
                    if behaviour == PeerBehaviour::FalseMap
                        || self.all[peer].chunks.contains(&chunk.digest)
                    {
                        map.set(index);
                    }
                }
                let Destination::Peer(id) = request.destination else { unreachable!() };
                self.all[n].swarm.record_availability(id, request.version, map, 0, self.now);
                RequestOutcome::MapReceived
            }
            RequestKind::Chunk { digest, .. } => match behaviour {
                PeerBehaviour::Corrupt => RequestOutcome::Corrupt,
                PeerBehaviour::Honest if self.all[peer].chunks.contains(&digest) => {
                    RequestOutcome::Stored
                }
                _ => RequestOutcome::Absent,
            },
        }
    }

    fn complete_hosts(&self) -> usize {
        self.all.iter().filter(|host| host.chunks.len() == CHUNKS).count()
    }

    fn origin_pulls(&self) -> u32 {
        self.pulls_by_chunk.values().sum()
    }
}

const ZONES: [(&str, &str, usize); 3] =
    [("sul", "lagoa", 8), ("sul", "serra", 8), ("costa", "litoral", 8)];

#[test]
fn step_pulls_each_chunk_from_origin_once() {
    let mut hosts = Hosts::new(&ZONES);
    hosts.run(200);
    assert_eq!((hosts.complete_hosts(), hosts.origin_pulls()), (24, CHUNKS as u32));
}

// A burst adds replicas in a zone that had none. They own chunks that nobody else there has; if
// they pulled these again, each burst would cost the origin a part of a copy.
#[test]
fn step_in_late_zone_pulls_nothing_from_origin() {
    let mut hosts = Hosts::new(&ZONES);
    let late: Vec<usize> = (16..24).collect();
    hosts.partitioned = late.iter().copied().collect();
    hosts.run(400);
    let before = hosts.origin_pulls();
    hosts.partitioned.clear();
    let locations: Vec<PeerLocation> = hosts.all.iter().map(|host| host.location.clone()).collect();
    for n in late {
        let host = &mut hosts.all[n];
        host.swarm = Swarm::new(&host.location, Strategy::Swarm);
        host.swarm.set_peers(&locations, None);
        host.swarm.set_wanted_versions(&[hosts.manifest.digest()], hosts.now);
        host.swarm.set_manifest(&hosts.manifest, |_| false, hosts.now);
    }
    hosts.run(400);
    assert_eq!((hosts.complete_hosts(), hosts.origin_pulls()), (24, before));
}

// One host per zone sends corrupt chunks, offers chunks that it lacks, or never responds. If the
// others kept trusting it, they would never complete and the replica would be missing in a burst.
#[test]
fn step_completes_with_faulty_peers() {
    for behaviour in [PeerBehaviour::Corrupt, PeerBehaviour::FalseMap, PeerBehaviour::Unresponsive]
    {
        let mut hosts = Hosts::new(&ZONES);
        for bad in [3, 11, 19] {
            hosts.all[bad].behaviour = behaviour;
        }
        hosts.run(1_200);
        let good = hosts.all.iter().filter(|host| host.behaviour == PeerBehaviour::Honest);
        assert!(good.clone().all(|host| host.chunks.len() == CHUNKS), "{behaviour:?}");
        assert!(
            hosts.origin_pulls() <= 2 * CHUNKS as u32,
            "{behaviour:?}: {}",
            hosts.origin_pulls()
        );
    }
}

// The link of one host per zone slows down to almost nothing during a distribution. The host is
// live, so no other replaces it, and its chunks delay every other host until callers are refused
// for lack of the version.
#[test]
fn step_completes_with_stalled_owners() {
    let mut hosts = Hosts::new(&ZONES);
    for slow in [3, 11, 19] {
        hosts.all[slow].behaviour = PeerBehaviour::Stalled;
    }
    hosts.run(70);
    assert_eq!(hosts.complete_hosts(), 21);
    assert!(hosts.origin_pulls() as f64 <= 1.3 * CHUNKS as f64, "{}", hosts.origin_pulls());
}

// A zone is partitioned during a distribution and rejoins. The others must complete without it, and
// it must catch up without pulling the version from the origin again.
#[test]
fn step_completes_during_and_after_zone_partition() {
    let mut hosts = Hosts::new(&ZONES);
    hosts.run(4);
    hosts.partitioned = (8..16).collect();
    hosts.run(600);
    let outside = (0..24).filter(|n| !hosts.partitioned.contains(n));
    assert!(outside.into_iter().all(|n| hosts.all[n].chunks.len() == CHUNKS));
    hosts.partitioned.clear();
    hosts.run(600);
    assert_eq!(hosts.complete_hosts(), 24);
    assert!(hosts.origin_pulls() as f64 <= 1.3 * CHUNKS as f64, "{}", hosts.origin_pulls());
}

// A new version replaces one that is half downloaded. Further requests for the old chunks would
// delay the new ones on the same link.
#[test]
fn set_wanted_versions_drops_old_version() {
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

// A peer sends a bitmap for half a million chunks to exhaust this host's memory.
#[test]
fn record_availability_rejects_overlong_bitmap() {
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

fn with_caches(behaviour: CacheBehaviour) -> Hosts {
    let mut hosts = Hosts::new(&ZONES);
    hosts.caches = behaviour;
    hosts.all.iter_mut().for_each(|host| host.swarm.set_caches(true));
    hosts
}

#[test]
fn step_requests_chunks_from_caches() {
    let mut hosts = with_caches(CacheBehaviour::Ready);
    hosts.run(60);
    assert!(hosts.all.iter().all(|host| host.swarm.missing() == 0));
    assert!(
        hosts.pulls_by_chunk.is_empty(),
        "{} chunks from the origin",
        hosts.pulls_by_chunk.len()
    );
    assert!(!hosts.from_caches.is_empty());
}

// Guards against dozens of hosts that pull from a slow origin while the caches wait for it.
#[test]
fn step_avoids_origin_while_caches_are_pending() {
    let mut hosts = with_caches(CacheBehaviour::Waiting);
    hosts.run(60);
    assert!(
        hosts.pulls_by_chunk.is_empty(),
        "{} chunks from the origin",
        hosts.pulls_by_chunk.len()
    );
    hosts.caches = CacheBehaviour::Ready;
    hosts.run(60);
    assert!(hosts.all.iter().all(|host| host.swarm.missing() == 0));
}

// Guards against a version that never arrives because no cache delivers it.
#[test]
fn step_falls_back_to_peers_when_caches_fail() {
    let mut hosts = with_caches(CacheBehaviour::Down);
    hosts.run(200);
    assert!(hosts.all.iter().all(|host| host.swarm.missing() == 0));
    assert!(hosts.from_caches.is_empty());
}

// Guards against a version that leaves the origin once more for each group of hosts that is added.
#[test]
fn step_of_new_host_prefers_complete_neighbours_to_caches() {
    let mut hosts = Hosts::new(&ZONES);
    hosts.run(100);
    let location = hosts.all[0].location.clone();
    let locations: Vec<PeerLocation> = hosts.all.iter().map(|host| host.location.clone()).collect();
    let mut swarm = Swarm::new(&location, Strategy::Swarm);
    swarm.set_peers(&locations, None);
    swarm.set_caches(true);
    swarm.set_wanted_versions(&[hosts.manifest.digest()], hosts.now);
    swarm.set_manifest(&hosts.manifest, |_| false, hosts.now);
    hosts.all[0] =
        Host { location, swarm, chunks: BTreeSet::new(), behaviour: PeerBehaviour::Honest };
    hosts.run(60);
    assert_eq!(hosts.all[0].swarm.missing(), 0);
    assert!(hosts.from_caches.is_empty());
}
