//! One round: callers at work while one or two faults come about, then everything mended.

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
use mastichaven_proof::Op;
use mastichaven_proof::Process;
use mastichaven_proof::Return;
use mastichaven_proof::Seen;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::caller::Client;
use super::caller::Kind;
use super::table::Fault;
use super::table::Pair;
use super::world::Caller;
use super::world::PLAIN;
use super::world::World;
use super::world::ZONES;
use super::world::is_ready;
use super::world::publish_recorded;
use crate::fleet::Result;
use crate::fleet::wait_until;

/// Caller threads of a round.
const CALLERS: u32 = 4;

/// Works each caller asks for in a round.
const WORKS: u64 = 6;

/// Calls for one work at most.
const SENDS: usize = 3;

/// Tokens of a lookup's answer at most.
const MAX_TOKENS: u32 = 12;

/// Calls of the round itself after a zone or a host has been closed.
const CALLS_AFTER: usize = 6;

/// How long a caller waits before it sends a work again.
const RESEND_AFTER: Duration = Duration::from_millis(60);

/// How long a round waits for its callers to get on before it brings a fault about.
const PROGRESS_LIMIT: Duration = Duration::from_secs(60);

/// How long a stalled link or a silent platform stays so, beyond the time callers need.
const HOLD: Duration = Duration::from_millis(150);

/// What a fault that is there needs to be mended.
struct Active {
    fault: Fault,
    host: HostName,
    zone: &'static str,
}

/// One round of a world.
pub struct Round<'a> {
    world: &'a mut World,
    rng: ChaCha8Rng,
    active: Vec<Active>,
    /// Zones that cannot be told anything at present.
    unreached: BTreeSet<&'static str>,
    poison: String,
}

/// Runs a round; an error says that the fleet did not become whole again.
pub fn run(world: &mut World, pair: Pair, seed: u64) -> Result<()> {
    let mark = |world: &World, text: String| {
        world.recorder.seen(Process::Operator(0), Seen::Injected(text.into()));
    };
    mark(world, format!("{pair:?} seed {seed}"));
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let poison = format!("poison-{seed}-{}", rng.random::<u32>());
    let round = Round { world, rng, active: Vec::new(), unreached: BTreeSet::new(), poison };
    round.run(pair)
}

impl Round<'_> {
    fn run(mut self, pair: Pair) -> Result<()> {
        let done = Arc::new(AtomicU64::new(0));
        let all = u64::from(CALLERS) * WORKS;
        let callers: Vec<_> = (0..CALLERS).map(|n| self.spawn_caller(n, &done)).collect();
        for fault in [Some(pair.first), pair.second].into_iter().flatten() {
            let at = done.load(Ordering::Acquire) + self.rng.random_range(0..all / 3);
            wait_until(PROGRESS_LIMIT, || done.load(Ordering::Acquire) >= at.min(all))
                .ok_or("the callers do not get on")?;
            self.bring_about(fault)?;
        }
        for caller in callers {
            caller.join().map_err(|_| "a caller panicked")?;
        }
        thread::sleep(HOLD);
        self.mend()?;
        self.world.settle()?;
        self.world.wait_whole()
    }

    fn spawn_caller(&mut self, n: u32, done: &Arc<AtomicU64>) -> thread::JoinHandle<()> {
        let caller = self.world.caller(Process::Caller(n));
        let (seed, done) = (self.rng.random(), done.clone());
        thread::spawn(move || work(&caller, seed, &done))
    }

    fn seen(&self, host: &str, seen: Seen) {
        self.world.recorder.seen(Process::Host(host.into()), seen);
    }

    fn some_host(&mut self, prefix: &str) -> HostName {
        let fleet = &self.world.fleet;
        let hosts: Vec<HostName> = fleet
            .agents
            .keys()
            .chain(fleet.entries.keys())
            .filter(|host| host.as_str().starts_with(prefix) && !self.is_broken(host))
            .cloned()
            .collect();
        if hosts.is_empty() {
            return HostName::default();
        }
        hosts[self.rng.random_range(0..hosts.len())].clone()
    }

    fn some_engine(&mut self) -> HostName {
        let hosts: Vec<HostName> = self.world.fleet.engines.keys().cloned().collect();
        hosts[self.rng.random_range(0..hosts.len())].clone()
    }

    fn is_broken(&self, host: &HostName) -> bool {
        self.active.iter().any(|active| active.host == *host)
    }

    fn bring_about(&mut self, fault: Fault) -> Result<()> {
        let mut active = Active { fault, host: HostName::default(), zone: ZONES[0].0 };
        active.zone = ZONES[self.rng.random_range(0..ZONES.len())].0;
        match fault {
            Fault::HostDies | Fault::AgentStops => active.host = self.some_host("agent-"),
            Fault::EntryDies | Fault::EntryStops => active.host = self.some_host("entry-"),
            Fault::ConnectionsSilent | Fault::LinkStalls => active.host = self.some_host(""),
            Fault::EngineCrashes | Fault::EngineCold => active.host = self.some_engine(),
            _ => {}
        }
        self.break_processes(&active);
        self.break_platform(&active);
        self.change_config(&active);
        self.active.push(active);
        Ok(())
    }

    /// The events of an endpoint whose host or way fails.
    fn lose(&self, host: &HostName) {
        let booking = host.as_str().starts_with("agent-booking");
        self.seen(if booking { PLAIN } else { host.as_str() }, Seen::Lost);
    }

    fn break_processes(&mut self, active: &Active) {
        let host = &active.host;
        match active.fault {
            Fault::HostDies => {
                self.world.forget(host);
                self.lose(host);
                self.world.fleet.crash_host(host);
                if let Some(engine) = self.world.fleet.engines.get(host) {
                    engine.set_faults(|faults| faults.down = true);
                    engine.crash();
                }
            }
            Fault::EntryDies => {
                self.world.forget(host);
                self.world.fleet.crash_host(host);
            }
            Fault::AgentStops | Fault::EntryStops => self.stop(host),
            Fault::EngineCrashes => self.world.fleet.engines[host].crash(),
            Fault::EngineCold => {
                self.seen(host.as_str(), Seen::TurnedCold);
                self.world.fleet.engines[host].turn_cold();
            }
            Fault::ServiceCrashes => {
                self.world.fleet.plain.set_faults(|faults| faults.crash_after_run = 1);
            }
            Fault::ChunksCorrupt => self.world.fleet.origin.corrupt_next(3),
            Fault::ChunksStall => self.world.fleet.origin.set_faults(|faults| {
                faults.stall_next = 2;
                faults.stall = Duration::from_millis(500);
            }),
            Fault::PoisonRequest => self.poison(),
            Fault::ConnectionsSilent => {
                self.lose(host);
                self.world.fleet.peer_proxies[host].blackhole_connections();
            }
            Fault::LinkStalls => {
                self.lose(host);
                self.world.fleet.peer_proxies[host].set_partitioned(true);
            }
            Fault::ZoneOffAll => self.cut_zone(active.zone),
            _ => {}
        }
    }

    fn break_platform(&mut self, active: &Active) {
        let fleet = &self.world.fleet;
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

    fn change_config(&mut self, active: &Active) {
        match active.fault {
            Fault::VersionChanges => {
                self.world.change_version();
                self.publish();
            }
            Fault::ZoneOut => self.take_out(active.zone),
            Fault::OperatorsRace => self.race(),
            _ => {}
        }
    }

    fn publish(&self) -> bool {
        self.world.publish(0, &self.world.config).is_some()
    }

    /// Two operators write different limits at once.
    fn race(&mut self) {
        let base = self.world.fleet.platform.base();
        let mut configs = [self.world.config.clone(), self.world.config.clone()];
        for config in &mut configs {
            config.limits.queue_len = self.rng.random_range(500..2_000);
        }
        thread::scope(|scope| {
            for (n, config) in (1..).zip(&configs) {
                let (recorder, base) = (&self.world.recorder, &base);
                scope.spawn(move || publish_recorded(recorder, base, n, config));
            }
        });
    }

    /// Takes a zone out. The event that closes it needs every reachable process to know; while the
    /// platform refuses the change there is nothing to know yet, and a zone that nobody reaches
    /// cannot be told.
    fn take_out(&mut self, zone: &'static str) {
        self.world.set_zone(zone, ZoneState::Out);
        if !self.publish() || self.unreached.contains(zone) {
            return;
        }
        let unreached: Vec<&str> = self.unreached.iter().copied().collect();
        if self.world.wait_settled(&unreached).is_some() {
            self.seen(PLAIN, Seen::ZoneClosed(zone.into()));
            self.call_all();
        }
    }

    /// Calls that are sure to come after what has just been recorded, whatever the callers do.
    fn call_all(&self) {
        for n in 0..CALLS_AFTER {
            self.world.call(Kind::Lookup(2), n, None);
        }
    }

    fn cut_zone(&mut self, zone: &'static str) {
        self.unreached.insert(zone);
        let fleet = &self.world.fleet;
        let entries = fleet.entries.iter().map(|(host, entry)| (host, entry.peers_addr()));
        let agents = fleet.agents.iter().map(|(host, agent)| (host, agent.peers_addr()));
        let (inside, outside): (Vec<_>, Vec<_>) =
            entries.chain(agents).partition(|(host, _)| fleet.zone_of(host) == Some(zone));
        for (host, proxy) in &fleet.peer_proxies {
            let others = if fleet.zone_of(host) == Some(zone) { &outside } else { &inside };
            proxy.set_partitioned_peers(others.iter().map(|(_, address)| *address));
        }
        for host in fleet.agents.keys() {
            self.lose(host);
        }
    }

    /// A request that crashes every engine, which its caller sends again and again.
    fn poison(&mut self) {
        for engine in self.world.fleet.engines.values() {
            engine.set_faults(|faults| faults.poison.clone_from(&self.poison));
        }
        let (caller, work) = (self.world.caller(Process::Caller(CALLERS)), self.poison.clone());
        let Ok(client) = Client::new() else {
            return;
        };
        for n in 0..SENDS {
            caller.call(&client, Kind::Lookup(2), n, Some(&work));
        }
    }

    /// A planned stop, as the platform does it: the host is listed as leaving, the balancer takes
    /// an entry out, then the process is told.
    fn stop(&mut self, host: &HostName) {
        if host.as_str().is_empty() {
            return;
        }
        self.world.forget(host);
        self.world.recorder.invoke(Process::Operator(0), Op::Stop(host.clone()));
        let fleet = &mut self.world.fleet;
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
            let closed = || operators.is_none_or(|operators| !is_ready(operators));
            if wait_until(PROGRESS_LIMIT, closed).is_some() {
                self.seen(host.as_str(), Seen::HostClosed(host.clone()));
            }
        });
        self.world.recorder.ret(Process::Operator(0), Return::Stopped(host.clone()));
        self.call_all();
    }

    fn mend(&mut self) -> Result<()> {
        let fleet = &self.world.fleet;
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
        for active in std::mem::take(&mut self.active) {
            self.mend_one(&active)?;
        }
        self.world.fleet.publish_hosts();
        self.world.refresh();
        Ok(())
    }

    fn mend_one(&mut self, active: &Active) -> Result<()> {
        let fleet = &mut self.world.fleet;
        let runs =
            |host: &HostName| fleet.entries.contains_key(host) || fleet.agents.contains_key(host);
        match active.fault {
            Fault::HostDies | Fault::EntryDies | Fault::AgentStops | Fault::EntryStops
                if !active.host.as_str().is_empty() && !runs(&active.host) =>
            {
                fleet.start_host(&active.host)?;
            }
            Fault::ZoneOut => {
                let reopen = Op::Reopen(active.zone.into());
                self.world.recorder.invoke(Process::Operator(0), reopen);
                self.world.set_zone(active.zone, ZoneState::In);
            }
            _ => {}
        }
        Ok(())
    }
}

/// Asks for works until the round's share is done; each until it ran or there is no hope.
fn work(caller: &Caller, seed: u64, done: &AtomicU64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let Ok(client) = Client::new() else {
        return;
    };
    for index in 0..WORKS {
        let booking = rng.random_bool(0.3);
        let tokens = rng.random_range(1..=MAX_TOKENS);
        let kind = if booking { Kind::Booking } else { Kind::Lookup(tokens) };
        let work = format!("work-{seed:x}-{index}");
        for _ in 0..SENDS {
            let outcome = caller.call(&client, kind, rng.random_range(0..64), Some(&work));
            if outcome == Some(Outcome::Ran) {
                break;
            }
            thread::sleep(RESEND_AFTER);
        }
        done.fetch_add(1, Ordering::AcqRel);
    }
}
