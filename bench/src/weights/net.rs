//! Links between the hosts of one process: token buckets for hosts and regions, and their faults.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::Time;
use mastichaven_core::ids::HostName;
use mastichaven_node::weights::Link;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Regions, each with its zones: 3 regions, 8 availability zones.
pub const REGIONS: [&[usize]; 3] = [&[0, 1, 2], &[3, 4, 5], &[6, 7]];

/// Number of availability zones.
pub const ZONES: usize = 8;

/// Rates of the links, in bytes a second each way.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// A host's link.
    pub host: f64,
    /// A region's link to the others.
    pub region: f64,
    /// The origin's link.
    pub origin: f64,
}

/// Where host `n` stands: its zone and region.
pub fn place_of(n: usize) -> (usize, usize) {
    let zone = n % ZONES;
    let region = REGIONS.iter().position(|zones| zones.contains(&zone)).unwrap_or_default();
    (zone, region)
}

/// Bytes that crossed borders.
#[derive(Clone, Debug, Default)]
pub struct Crossed {
    /// Into each region from others.
    pub region_in: [u64; REGIONS.len()],
    /// Out of each region to others.
    pub region_out: [u64; REGIONS.len()],
    /// Into each zone from others.
    pub zone_in: [u64; ZONES],
    /// Messages sent that carry no chunk.
    pub control_messages: u64,
    /// Their bytes.
    pub control_bytes: u64,
}

struct State {
    up: Vec<Time>,
    down: Vec<Time>,
    region_out: [Time; REGIONS.len()],
    region_in: [Time; REGIONS.len()],
    crossed: Crossed,
    dead: Vec<bool>,
    stalled: Vec<bool>,
    cut_zone: Option<usize>,
    corrupt_share: f64,
    rng: ChaCha8Rng,
}

impl State {
    fn loses(&self, from: usize, to: usize) -> bool {
        let ((zone, _), (to_zone, _)) = (place_of(from), place_of(to));
        let cut = |cut: usize| zone != to_zone && (cut == zone || cut == to_zone);
        self.cut_zone.is_some_and(cut) || self.dead[from] || self.dead[to] || self.stalled[from]
    }
}

/// All links.
pub struct Net {
    rates: Rates,
    names: BTreeMap<HostName, usize>,
    state: Mutex<State>,
}

impl Net {
    /// Links of `hosts` hosts.
    pub fn new(hosts: &[HostName], rates: Rates) -> Arc<Net> {
        let count = hosts.len();
        Arc::new(Net {
            rates,
            names: hosts.iter().enumerate().map(|(n, host)| (host.clone(), n)).collect(),
            state: Mutex::new(State {
                up: vec![Time::ZERO; count],
                down: vec![Time::ZERO; count],
                region_out: Default::default(),
                region_in: Default::default(),
                crossed: Crossed::default(),
                dead: vec![false; count],
                stalled: vec![false; count],
                cut_zone: None,
                corrupt_share: 0.0,
                rng: ChaCha8Rng::seed_from_u64(7),
            }),
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// What crossed borders so far.
    pub fn crossed(&self) -> Crossed {
        self.lock().crossed.clone()
    }

    /// Nothing reaches or leaves host `n` any more.
    pub fn kill(&self, n: usize) {
        self.lock().dead[n] = true;
    }

    /// What host `n` sends gets lost while `stalled`.
    pub fn set_stalled(&self, n: usize, stalled: bool) {
        self.lock().stalled[n] = stalled;
    }

    /// Cuts a zone off from all others, or heals it.
    pub fn set_cut(&self, zone: Option<usize>) {
        self.lock().cut_zone = zone;
    }

    /// The share of chunks that arrive damaged.
    pub fn set_corrupt_share(&self, share: f64) {
        self.lock().corrupt_share = share;
    }
}

fn pass(free_at: &mut Time, now: Time, len: usize, rate: f64) -> Time {
    *free_at = (*free_at).max(now) + Duration::from_secs_f64(len as f64 / rate);
    *free_at
}

/// The link of one host.
pub struct HostLink {
    /// All links.
    pub net: Arc<Net>,
    /// The host's number.
    pub me: usize,
}

impl Link for HostLink {
    /// A message occupies the sender's and receiver's links, and on a border both regions' links;
    /// it has arrived when the slowest of them has passed it.
    fn reserve(&self, to: &HostName, len: usize, now: Time) -> Option<Time> {
        let to = *self.net.names.get(to)?;
        let ((zone, region), (to_zone, to_region)) = (place_of(self.me), place_of(to));
        let rates = self.net.rates;
        let mut guard = self.net.lock();
        let state = &mut *guard;
        if state.loses(self.me, to) {
            return None;
        }
        let mut end = pass(&mut state.up[self.me], now, len, rates.host);
        end = end.max(pass(&mut state.down[to], now, len, rates.host));
        let len_crossed = len as u64;
        if zone != to_zone {
            state.crossed.zone_in[to_zone] += len_crossed;
        }
        if region != to_region {
            end = end.max(pass(&mut state.region_out[region], now, len, rates.region));
            end = end.max(pass(&mut state.region_in[to_region], now, len, rates.region));
            state.crossed.region_out[region] += len_crossed;
            state.crossed.region_in[to_region] += len_crossed;
        }
        Some(end)
    }

    fn delivers(&self, to: &HostName, len: usize) -> bool {
        let Some(to) = self.net.names.get(to).copied() else {
            return false;
        };
        let mut state = self.net.lock();
        state.crossed.control_messages += 1;
        state.crossed.control_bytes += len as u64;
        !state.loses(self.me, to)
    }

    fn transmit(&self, bytes: Bytes) -> Bytes {
        let mut state = self.net.lock();
        let share = state.corrupt_share;
        if share == 0.0 || !state.rng.random_bool(share) {
            return bytes;
        }
        let mut damaged = bytes.to_vec();
        damaged[0] ^= 1;
        damaged.into()
    }

    fn set_link_shared(&self, _: bool) {}
}
