//! Simulated links between the hosts of the experiment: token buckets of hosts and regions, and
//! faults.

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

/// Availability zones of each region.
pub const REGIONS: [&[usize]; 3] = [&[0, 1, 2], &[3, 4, 5], &[6, 7]];

/// Number of availability zones in all regions.
pub const ZONES: usize = 8;

/// Rates of the links in bytes a second, in each direction.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Rate of the link of one host.
    pub host: f64,
    /// Rate of the link of one region to the others.
    pub region: f64,
    /// Rate of the outgoing link of the origin.
    pub origin: f64,
}

/// Zone and region of host `n`.
pub fn location_of(n: usize) -> (usize, usize) {
    let zone = n % ZONES;
    let region = REGIONS.iter().position(|zones| zones.contains(&zone)).unwrap_or_default();
    (zone, region)
}

/// Traffic between regions, between zones and without chunks, counted from the start.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Bytes into each region from other regions.
    pub region_in: [u64; REGIONS.len()],
    /// Bytes out of each region to other regions.
    pub region_out: [u64; REGIONS.len()],
    /// Bytes into each zone from other zones.
    pub zone_in: [u64; ZONES],
    /// Number of replies sent without a chunk.
    pub control_messages: u64,
    /// Bytes of those replies.
    pub control_bytes: u64,
}

struct State {
    uplink_free_at: Vec<Time>,
    downlink_free_at: Vec<Time>,
    region_out_free_at: [Time; REGIONS.len()],
    region_in_free_at: [Time; REGIONS.len()],
    traffic: Traffic,
    killed: Vec<bool>,
    stalled: Vec<bool>,
    partitioned_zone: Option<usize>,
    corrupt_share: f64,
    rng: ChaCha8Rng,
}

impl State {
    fn drops(&self, from: usize, to: usize) -> bool {
        let ((zone, _), (to_zone, _)) = (location_of(from), location_of(to));
        let separates = |cut: usize| zone != to_zone && (cut == zone || cut == to_zone);
        self.partitioned_zone.is_some_and(separates)
            || self.killed[from]
            || self.killed[to]
            || self.stalled[from]
    }
}

/// Links of all hosts and regions.
pub struct Net {
    rates: Rates,
    names: BTreeMap<HostName, usize>,
    state: Mutex<State>,
}

impl Net {
    /// Creates idle links for `hosts`; the index of a host in the slice is its number.
    pub fn new(hosts: &[HostName], rates: Rates) -> Arc<Net> {
        let count = hosts.len();
        Arc::new(Net {
            rates,
            names: hosts.iter().enumerate().map(|(n, host)| (host.clone(), n)).collect(),
            state: Mutex::new(State {
                uplink_free_at: vec![Time::ZERO; count],
                downlink_free_at: vec![Time::ZERO; count],
                region_out_free_at: Default::default(),
                region_in_free_at: Default::default(),
                traffic: Traffic::default(),
                killed: vec![false; count],
                stalled: vec![false; count],
                partitioned_zone: None,
                corrupt_share: 0.0,
                rng: ChaCha8Rng::seed_from_u64(7),
            }),
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Traffic since the start.
    pub fn traffic(&self) -> Traffic {
        self.lock().traffic.clone()
    }

    /// Drops all messages to and from host `n` from now on.
    pub fn kill(&self, n: usize) {
        self.lock().killed[n] = true;
    }

    /// Drops all messages from host `n` while `stalled`.
    pub fn set_stalled(&self, n: usize, stalled: bool) {
        self.lock().stalled[n] = stalled;
    }

    /// Partitions a zone from all others; `None` heals the partition.
    pub fn set_partitioned_zone(&self, zone: Option<usize>) {
        self.lock().partitioned_zone = zone;
    }

    /// Sets the share of chunks that are corrupted, from 0 to 1.
    pub fn set_corrupt_share(&self, share: f64) {
        self.lock().corrupt_share = share;
    }
}

/// Occupies a link for `len` bytes once it is free. Returns when they are transmitted.
fn reserve_link(free_at: &mut Time, now: Time, len: usize, rate: f64) -> Time {
    *free_at = (*free_at).max(now) + Duration::from_secs_f64(len as f64 / rate);
    *free_at
}

/// The link of one host.
pub struct HostLink {
    /// Links of all hosts and regions.
    pub net: Arc<Net>,
    /// Number of the host.
    pub host_index: usize,
}

impl Link for HostLink {
    /// A message occupies the links of the sender and the receiver, and between regions also those
    /// of both regions. It arrives when the last of these links has transmitted it.
    fn reserve(&self, to: &HostName, len: usize, now: Time) -> Option<Time> {
        let to = *self.net.names.get(to)?;
        let ((zone, region), (to_zone, to_region)) =
            (location_of(self.host_index), location_of(to));
        let rates = self.net.rates;
        let mut guard = self.net.lock();
        let state = &mut *guard;
        if state.drops(self.host_index, to) {
            return None;
        }
        let mut end =
            reserve_link(&mut state.uplink_free_at[self.host_index], now, len, rates.host);
        end = end.max(reserve_link(&mut state.downlink_free_at[to], now, len, rates.host));
        let bytes = len as u64;
        if zone != to_zone {
            state.traffic.zone_in[to_zone] += bytes;
        }
        if region != to_region {
            end = end.max(reserve_link(
                &mut state.region_out_free_at[region],
                now,
                len,
                rates.region,
            ));
            end = end.max(reserve_link(
                &mut state.region_in_free_at[to_region],
                now,
                len,
                rates.region,
            ));
            state.traffic.region_out[region] += bytes;
            state.traffic.region_in[to_region] += bytes;
        }
        Some(end)
    }

    fn delivers(&self, to: &HostName, len: usize) -> bool {
        let Some(to) = self.net.names.get(to).copied() else {
            return false;
        };
        let mut state = self.net.lock();
        state.traffic.control_messages += 1;
        state.traffic.control_bytes += len as u64;
        !state.drops(self.host_index, to)
    }

    fn transmit(&self, bytes: Bytes) -> Bytes {
        let mut state = self.net.lock();
        let share = state.corrupt_share;
        if share == 0.0 || !state.rng.random_bool(share) {
            return bytes;
        }
        let mut corrupted = bytes.to_vec();
        corrupted[0] ^= 1;
        corrupted.into()
    }

    fn set_link_shared(&self, _: bool) {}
}
