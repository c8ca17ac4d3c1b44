//! One round: injects one or two faults while callers send requests, then reverts them and waits for
//! recovery.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use mastichaven_core::Outcome;
use mastichaven_core::config::ZoneState;
use mastichaven_core::ids::HostName;
use mastichaven_node::agent::Agent;
use mastichaven_node::entry::Entry;
use mastichaven_proof::Observation;
use mastichaven_proof::Op;
use mastichaven_proof::Process;
use mastichaven_proof::Return;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::caller::Client;
use super::caller::RequestKind;
use super::recorded_fleet::Caller;
use super::recorded_fleet::PLAIN_HOST;
use super::recorded_fleet::RecordedFleet;
use super::recorded_fleet::ZONES;
use super::recorded_fleet::is_ready;
use super::recorded_fleet::publish_and_record;
use super::table::Fault;
use super::table::Pair;
use crate::fleet::Result;
use crate::fleet::wait_until;

/// Caller threads in a round.
const CALLERS: u32 = 4;

/// Distinct requests that each caller sends in a round.
const REQUESTS_PER_CALLER: u64 = 6;

/// Attempts that a caller makes for one request, including the first.
const MAX_ATTEMPTS: usize = 3;

/// Longest reply that a lookup asks for, in tokens.
const MAX_TOKENS: u32 = 12;

/// Requests that the round itself sends after a zone or a host has been closed.
const CALLS_AFTER_CLOSING: usize = 6;

/// Delay of a caller before it retries a request.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Timeout for the callers to reach the point at which a fault is injected, and for a process that
/// is stopped to become unready.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for which the faults stay active after the callers have finished.
const FAULT_HOLD_DURATION: Duration = Duration::from_millis(150);

/// An injected fault and where it was injected, as needed to revert it.
struct ActiveFault {
    fault: Fault,
    host: HostName,
    zone: &'static str,
}

/// A round in progress on a fleet.
pub struct Round<'a> {
    recorded: &'a mut RecordedFleet,
    rng: ChaCha8Rng,
    active_faults: Vec<ActiveFault>,
    /// Zones that are cut off, so that no configuration reaches them.
    unreachable_zones: BTreeSet<&'static str>,
    poison_work: String,
}

/// Runs a round; returns an error if the fleet did not recover.
pub fn run(recorded: &mut RecordedFleet, pair: Pair, seed: u64) -> Result<()> {
    let record_start = |recorded: &RecordedFleet, text: String| {
        recorded
            .recorder
            .record_observation(Process::Operator(0), Observation::Injected(text.into()));
    };
    record_start(recorded, format!("{pair:?} seed {seed}"));
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let poison_work = format!("poison-{seed}-{}", rng.random::<u32>());
    let round = Round {
        recorded,
        rng,
        active_faults: Vec::new(),
        unreachable_zones: BTreeSet::new(),
        poison_work,
    };
    round.run(pair)
}

impl Round<'_> {
    fn run(mut self, pair: Pair) -> Result<()> {
        let completed = Arc::new(AtomicU64::new(0));
        let total = u64::from(CALLERS) * REQUESTS_PER_CALLER;
        let callers: Vec<_> = (0..CALLERS).map(|n| self.spawn_caller(n, &completed)).collect();
        for fault in [Some(pair.first), pair.second].into_iter().flatten() {
            let target = completed.load(Ordering::Acquire) + self.rng.random_range(0..total / 3);
            wait_until(PROGRESS_TIMEOUT, || completed.load(Ordering::Acquire) >= target.min(total))
                .ok_or("the callers made no progress")?;
            self.inject(fault)?;
        }
        for caller in callers {
            caller.join().map_err(|_| "a caller panicked")?;
        }
        thread::sleep(FAULT_HOLD_DURATION);
        self.revert_faults()?;
        self.recorded.publish_and_settle()?;
        self.recorded.wait_recovered()
    }

    fn spawn_caller(&mut self, n: u32, completed: &Arc<AtomicU64>) -> thread::JoinHandle<()> {
        let caller = self.recorded.caller(Process::Caller(n));
        let (seed, completed) = (self.rng.random(), completed.clone());
        thread::spawn(move || run_caller(&caller, seed, &completed))
    }

    fn record(&self, host: &str, event: Observation) {
        self.recorded.recorder.record_observation(Process::Host(host.into()), event);
    }

    fn pick_host(&mut self, prefix: &str) -> HostName {
        let fleet = &self.recorded.fleet;
        let hosts: Vec<HostName> = fleet
            .agents
            .keys()
            .chain(fleet.entries.keys())
            .filter(|host| host.as_str().starts_with(prefix) && !self.has_active_fault(host))
            .cloned()
            .collect();
        if hosts.is_empty() {
            return HostName::default();
        }
        hosts[self.rng.random_range(0..hosts.len())].clone()
    }

    fn pick_engine(&mut self) -> HostName {
        let hosts: Vec<HostName> = self.recorded.fleet.engines.keys().cloned().collect();
        hosts[self.rng.random_range(0..hosts.len())].clone()
    }

    fn has_active_fault(&self, host: &HostName) -> bool {
        self.active_faults.iter().any(|active| active.host == *host)
    }

    fn inject(&mut self, fault: Fault) -> Result<()> {
        let mut active = ActiveFault { fault, host: HostName::default(), zone: ZONES[0].0 };
        active.zone = ZONES[self.rng.random_range(0..ZONES.len())].0;
        match fault {
            Fault::HostDies | Fault::AgentStops => active.host = self.pick_host("agent-"),
            Fault::EntryDies | Fault::EntryStops => active.host = self.pick_host("entry-"),
            Fault::ConnectionsSilent | Fault::LinkStalls => active.host = self.pick_host(""),
            Fault::EngineCrashes | Fault::EngineCold => active.host = self.pick_engine(),
            _ => {}
        }
        self.inject_process_fault(&active);
        self.inject_platform_fault(&active);
        self.inject_config_change(&active);
        self.active_faults.push(active);
        Ok(())
    }

    /// Records that the endpoint of `host` was lost with the host or its link. The plain service records
    /// under a host name of its own.
    fn record_endpoint_lost(&self, host: &HostName) {
        let is_plain = host.as_str().starts_with("agent-booking");
        self.record(if is_plain { PLAIN_HOST } else { host.as_str() }, Observation::Lost);
    }

    fn inject_process_fault(&mut self, active: &ActiveFault) {
        let host = &active.host;
        match active.fault {
            Fault::HostDies => {
                self.recorded.remove_process(host);
                self.record_endpoint_lost(host);
                self.recorded.fleet.crash_host(host);
                if let Some(engine) = self.recorded.fleet.engines.get(host) {
                    engine.set_faults(|faults| faults.down = true);
                    engine.crash();
                }
            }
            Fault::EntryDies => {
                self.recorded.remove_process(host);
                self.recorded.fleet.crash_host(host);
            }
            Fault::AgentStops | Fault::EntryStops => self.stop_process(host),
            Fault::EngineCrashes => self.recorded.fleet.engines[host].crash(),
            Fault::EngineCold => {
                self.record(host.as_str(), Observation::TurnedCold);
                self.recorded.fleet.engines[host].turn_cold();
            }
            Fault::ServiceCrashes => {
                self.recorded.fleet.plain.set_faults(|faults| faults.crash_after_run = 1);
            }
            Fault::ChunksCorrupt => self.recorded.fleet.origin.corrupt_next(3),
            Fault::ChunksStall => self.recorded.fleet.origin.set_faults(|faults| {
                faults.stall_next = 2;
                faults.stall = Duration::from_millis(500);
            }),
            Fault::PoisonRequest => self.send_poison_request(),
            Fault::ConnectionsSilent => {
                self.record_endpoint_lost(host);
                self.recorded.fleet.peer_proxies[host].blackhole_connections();
            }
            Fault::LinkStalls => {
                self.record_endpoint_lost(host);
                self.recorded.fleet.peer_proxies[host].set_partitioned(true);
            }
            Fault::ZoneOffAll => self.isolate_zone(active.zone),
            _ => {}
        }
    }

    fn inject_platform_fault(&mut self, active: &ActiveFault) {
        let fleet = &self.recorded.fleet;
        match active.fault {
            Fault::PlatformDown => fleet.platform.set_faults(|faults| faults.down = true),
            Fault::PlatformSlow => {
                fleet.platform.set_faults(|faults| faults.delay = Duration::from_millis(400));
            }
            Fault::AnswersLost => fleet.platform.set_faults(|faults| faults.lose_answers = 4),
            Fault::WatchGaps => fleet.platform.set_faults(|faults| faults.watch_gaps = 4),
            Fault::ListLags => {
                fleet.platform.set_faults(|faults| faults.hosts_lag = Duration::from_secs(2));
            }
            Fault::ZoneOffPlatform | Fault::ZoneOffAll => {
                fleet.set_zone_partitioned(active.zone, true);
            }
            _ => {}
        }
    }

    fn inject_config_change(&mut self, active: &ActiveFault) {
        match active.fault {
            Fault::VersionChanges => {
                self.recorded.switch_version();
                self.publish();
            }
            Fault::ZoneOut => self.take_zone_out(active.zone),
            Fault::OperatorsRace => self.publish_concurrently(),
            _ => {}
        }
    }

    fn publish(&self) -> bool {
        self.recorded.publish(0, &self.recorded.config).is_some()
    }

    /// Publishes different limits as two operators at the same time.
    fn publish_concurrently(&mut self) {
        let base = self.recorded.fleet.platform.base();
        let mut configs = [self.recorded.config.clone(), self.recorded.config.clone()];
        for config in &mut configs {
            config.limits.queue_len = self.rng.random_range(500..2_000);
        }
        thread::scope(|scope| {
            for (n, config) in (1..).zip(&configs) {
                let (recorder, base) = (&self.recorded.recorder, &base);
                scope.spawn(move || publish_and_record(recorder, base, n, config));
            }
        });
    }

    /// Takes a zone out of service and records it as closed once the change is in force in every
    /// reachable process. Records nothing if the platform rejected the change, or if the zone itself
    /// is unreachable and therefore cannot receive it.
    fn take_zone_out(&mut self, zone: &'static str) {
        self.recorded.set_zone_state(zone, ZoneState::Out);
        if !self.publish() || self.unreachable_zones.contains(zone) {
            return;
        }
        let unreachable: Vec<&str> = self.unreachable_zones.iter().copied().collect();
        if self.recorded.wait_settled(&unreachable).is_some() {
            self.record(PLAIN_HOST, Observation::ZoneClosed(zone.into()));
            self.send_calls();
        }
    }

    /// Sends requests that are guaranteed to follow the event just recorded, independent of the
    /// progress of the callers.
    fn send_calls(&self) {
        for n in 0..CALLS_AFTER_CLOSING {
            self.recorded.call(RequestKind::Lookup(2), n, None);
        }
    }

    fn isolate_zone(&mut self, zone: &'static str) {
        self.unreachable_zones.insert(zone);
        let fleet = &self.recorded.fleet;
        let entries = fleet.entries.iter().map(|(host, entry)| (host, entry.peers_addr()));
        let agents = fleet.agents.iter().map(|(host, agent)| (host, agent.peers_addr()));
        let (inside, outside): (Vec<_>, Vec<_>) =
            entries.chain(agents).partition(|(host, _)| fleet.zone_of(host) == Some(zone));
        for (host, proxy) in &fleet.peer_proxies {
            let others = if fleet.zone_of(host) == Some(zone) { &outside } else { &inside };
            proxy.set_partitioned_peers(others.iter().map(|(_, address)| *address));
        }
        for host in fleet.agents.keys() {
            self.record_endpoint_lost(host);
        }
    }

    /// Sends a request that crashes every engine that runs it, and retries it.
    fn send_poison_request(&mut self) {
        for engine in self.recorded.fleet.engines.values() {
            engine.set_faults(|faults| faults.poison.clone_from(&self.poison_work));
        }
        let (caller, work) =
            (self.recorded.caller(Process::Caller(CALLERS)), self.poison_work.clone());
        let Ok(client) = Client::new() else {
            return;
        };
        for n in 0..MAX_ATTEMPTS {
            caller.call(&client, RequestKind::Lookup(2), n, Some(&work));
        }
    }

    /// Shuts a process down gracefully in the order of the platform: lists the host as leaving, removes
    /// an entry from the load balancer, then stops the process.
    fn stop_process(&mut self, host: &HostName) {
        if host.as_str().is_empty() {
            return;
        }
        self.recorded.remove_process(host);
        self.recorded.recorder.record_invocation(Process::Operator(0), Op::Stop(host.clone()));
        let fleet = &mut self.recorded.fleet;
        fleet.unlist_host(host, true);
        let (entry, agent) = (fleet.entries.remove(host), fleet.agents.remove(host));
        let operators = entry.as_ref().map(Entry::operators_addr);
        let operators = operators.or(agent.as_ref().map(Agent::operators_addr));
        thread::scope(|scope| {
            scope.spawn(move || {
                if let Some(entry) = entry {
                    entry.stop();
                }
                if let Some(agent) = agent {
                    agent.stop();
                }
            });
            let is_closed = || operators.is_none_or(|operators| !is_ready(operators));
            if wait_until(PROGRESS_TIMEOUT, is_closed).is_some() {
                self.record(host.as_str(), Observation::HostClosed(host.clone()));
            }
        });
        self.recorded.recorder.record_return(Process::Operator(0), Return::Stopped(host.clone()));
        self.send_calls();
    }

    fn revert_faults(&mut self) -> Result<()> {
        let fleet = &self.recorded.fleet;
        fleet.platform.set_faults(|faults| *faults = Default::default());
        fleet.origin.set_faults(|faults| *faults = Default::default());
        fleet.plain.set_faults(|faults| *faults = Default::default());
        for engine in fleet.engines.values() {
            engine.set_faults(|faults| *faults = Default::default());
        }
        for (zone, _) in ZONES {
            fleet.set_zone_partitioned(zone, false);
        }
        for proxy in fleet.peer_proxies.values() {
            proxy.set_partitioned(false);
            proxy.set_partitioned_peers([]);
        }
        for active in std::mem::take(&mut self.active_faults) {
            self.revert_fault(&active)?;
        }
        self.recorded.fleet.publish_hosts();
        self.recorded.update_processes();
        Ok(())
    }

    fn revert_fault(&mut self, active: &ActiveFault) -> Result<()> {
        let fleet = &mut self.recorded.fleet;
        let is_running =
            |host: &HostName| fleet.entries.contains_key(host) || fleet.agents.contains_key(host);
        match active.fault {
            Fault::HostDies | Fault::EntryDies | Fault::AgentStops | Fault::EntryStops
                if !active.host.as_str().is_empty() && !is_running(&active.host) =>
            {
                fleet.start_host(&active.host)?;
            }
            Fault::ZoneOut => {
                let reopen = Op::Reopen(active.zone.into());
                self.recorded.recorder.record_invocation(Process::Operator(0), reopen);
                self.recorded.set_zone_state(active.zone, ZoneState::In);
            }
            _ => {}
        }
        Ok(())
    }
}

/// Sends the requests of one caller in turn, each until it ran or [`MAX_ATTEMPTS`] are used up.
fn run_caller(caller: &Caller, seed: u64, completed: &AtomicU64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let Ok(client) = Client::new() else {
        return;
    };
    for index in 0..REQUESTS_PER_CALLER {
        let is_booking = rng.random_bool(0.3);
        let tokens = rng.random_range(1..=MAX_TOKENS);
        let kind = if is_booking { RequestKind::Booking } else { RequestKind::Lookup(tokens) };
        let work = format!("work-{seed:x}-{index}");
        for _ in 0..MAX_ATTEMPTS {
            let outcome = caller.call(&client, kind, rng.random_range(0..64), Some(&work));
            if outcome == Some(Outcome::Ran) {
                break;
            }
            thread::sleep(RETRY_DELAY);
        }
        completed.fetch_add(1, Ordering::AcqRel);
    }
}
