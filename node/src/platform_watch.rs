//! The thread that calls the platform for control.
//!
//! On the relays of a zone it watches the accepted configuration and the plans, reads the list of
//! hosts, and writes the zone's status. On all others it is silent once a peer is known: calls to
//! the platform must not grow with the processes of a zone. A process that knows nobody reads the
//! list of hosts, and what is accepted, to find its first peer.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use mastichaven_core::Time;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::Revision;
use mastichaven_core::members::Member;
use mastichaven_core::members::MembersRequest;
use mastichaven_core::members::Serving;
use mastichaven_core::platform;
use mastichaven_core::platform::HostRole;
use mastichaven_core::platform::ListedHost;
use mastichaven_core::platform::ObjectStore;
use mastichaven_core::platform::PlatformError;
use mastichaven_core::spread::Doc;
use mastichaven_core::spread::HEAD_KEY;
use mastichaven_core::spread::SPREAD_PREFIX;
use mastichaven_core::spread::SpreadReply;
use mastichaven_core::spread::SpreadRequest;
use mastichaven_core::spread::Survey;
use mastichaven_core::wire::ReplyBody;
use mastichaven_core::wire::RequestBody;
use rand::RngExt;
use smol_str::SmolStr;

use crate::accepted;
use crate::control::Controlled;
use crate::status;
use crate::status::ZoneStatus;

/// How long a watch waits; hosts are read and status is written in between.
const WATCH: Duration = Duration::from_secs(4);

/// Everything is listed again this often, in case the watch missed something.
const LIST_INTERVAL: Duration = Duration::from_secs(60);

/// Status is written this often by the first relay of a zone.
const STATUS_INTERVAL: Duration = Duration::from_secs(10);

/// How often a process that is no relay looks whether it has become one.
const IDLE: Duration = Duration::from_millis(500);

/// How long a process that knows nobody waits before it reads the list of hosts, at first and at
/// most. It doubles, so that a fleet that starts while the platform is slow does not press it.
const FIRST_LOOK: Duration = Duration::from_millis(500);
const MAX_LOOK: Duration = Duration::from_secs(5);

/// Peers that a process on its own greets from the list.
const MAX_HINTS: usize = 16;

/// How long a survey of the zone may take.
const SURVEY_TIMEOUT: Duration = Duration::from_secs(5);

/// How long an agent may take to note that its host leaves.
const NOTE_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts the thread.
pub fn start<N: Controlled>(node: &Arc<N>, store: Arc<dyn ObjectStore>) -> thread::JoinHandle<()> {
    let node = node.clone();
    let run = move || Watch::new(node, store).run();
    thread::Builder::new()
        .name("platform".to_owned())
        .spawn(run)
        .expect("the system gives a thread")
}

struct Watch<N> {
    node: Arc<N>,
    store: Arc<dyn ObjectStore>,
    /// The revision to watch after; everything is listed again when there is none.
    after: Option<Revision>,
    listed_at: Time,
    status_at: Time,
    look_at: Time,
    look: Duration,
    told_leaving: HashSet<HostName>,
}

impl<N: Controlled> Watch<N> {
    fn new(node: Arc<N>, store: Arc<dyn ObjectStore>) -> Watch<N> {
        Watch {
            node,
            store,
            after: None,
            listed_at: Time::ZERO,
            status_at: Time::ZERO,
            look_at: Time::ZERO,
            look: FIRST_LOOK,
            told_leaving: HashSet::new(),
        }
    }

    fn run(mut self) {
        if self.node.member().role == HostRole::Entry {
            let _ = self.list();
        }
        while !self.node.is_over() {
            if self.node.control().alive() == 0 {
                self.look_for_peers();
            }
            match self.node.control().relay_rank() {
                Some(rank) if self.node.member().role == HostRole::Entry => self.relay(rank),
                _ => {
                    self.after = None;
                    thread::sleep(IDLE);
                }
            }
        }
    }

    /// Alone, the list of hosts is the only way to a peer. An agent also reads what is accepted,
    /// because it may stay alone.
    fn look_for_peers(&mut self) {
        let now = self.node.clock().now();
        if now < self.look_at {
            return;
        }
        let jitter = rand::rng().random_range(0.5..1.5);
        self.look_at = now + self.look.mul_f64(jitter);
        self.look = (self.look * 2).min(MAX_LOOK);
        let Ok(hosts) = self.store.hosts() else {
            return;
        };
        self.node.control().hint(self.nearest(&hosts));
        if now.as_millis() > 0 && self.look > FIRST_LOOK * 2 {
            let _ = self.list();
        }
    }

    /// A few hosts of the list to greet: entries of this zone, then other entries, then agents.
    fn nearest(&self, hosts: &[ListedHost]) -> Vec<SocketAddr> {
        let me = self.node.member();
        let others = hosts.iter().filter(|listed| listed.name != me.host && !listed.leaving);
        let mut others: Vec<&ListedHost> = others.collect();
        others.sort_by_cached_key(|listed| {
            let far = listed.zone != me.zone;
            (listed.role != HostRole::Entry, far, rand::random::<u32>())
        });
        others.into_iter().take(MAX_HINTS).map(|listed| listed.address).collect()
    }

    fn relay(&mut self, rank: u32) {
        let now = self.node.clock().now();
        let due = self.after.is_none() || now.passed(self.listed_at, LIST_INTERVAL);
        let result = if due { self.list() } else { self.watch() };
        if result.is_err() {
            self.after = None;
            let pause = IDLE.mul_f64(rand::rng().random_range(0.5..1.5));
            return thread::sleep(pause);
        }
        if rank == 0 && now.passed(self.status_at, STATUS_INTERVAL) {
            self.status_at = now;
            self.read_hosts();
            let _ = status::write(&*self.store, &self.status());
        }
    }

    fn list(&mut self) -> platform::Result<()> {
        let keys = self.store.list(SPREAD_PREFIX)?;
        let newest = keys.iter().map(|(_, revision)| *revision).max().unwrap_or_default();
        self.take_in(keys)?;
        self.after = Some(newest);
        self.listed_at = self.node.clock().now();
        Ok(())
    }

    fn watch(&mut self) -> platform::Result<()> {
        let after = self.after.unwrap_or_default();
        let changes = match self.store.watch(SPREAD_PREFIX, after, WATCH) {
            Ok(changes) => changes,
            // The history is gone: what is there now is all that matters.
            Err(PlatformError::Compacted) => return self.list(),
            Err(error) => return Err(error),
        };
        let mut keys: BTreeMap<SmolStr, Revision> = BTreeMap::new();
        for change in changes.changes.into_iter().filter(|change| !change.deleted) {
            keys.insert(change.key, change.revision);
        }
        self.take_in(keys.into_iter().collect())?;
        self.after = Some(changes.revision);
        Ok(())
    }

    /// Reads what is newer on the platform than here, and has it passed on.
    fn take_in(&mut self, keys: Vec<(SmolStr, Revision)>) -> platform::Result<()> {
        let documents = self.node.documents();
        let before = documents.generation();
        let known: BTreeMap<SmolStr, u64> = documents.revisions().into_iter().collect();
        let mut learned = Vec::new();
        for (key, revision) in keys {
            if key == HEAD_KEY {
                let taken = accepted::take_in(&*self.store, documents);
                taken.map_err(|_| PlatformError::Unknown)?;
                continue;
            }
            if known.get(&key).is_some_and(|known| *known >= revision.0) {
                continue;
            }
            if let Some(object) = self.store.get(&key)? {
                let doc =
                    Doc { key: key.clone(), revision: object.revision.0, bytes: object.value };
                if documents.offer(doc) {
                    learned.push(key);
                }
            }
        }
        if documents.generation() > before || !learned.is_empty() {
            self.node.control().learned(before, learned);
        }
        Ok(())
    }

    fn read_hosts(&mut self) {
        let Ok(hosts) = self.store.hosts() else {
            return;
        };
        self.node.control().hint(hosts.iter().map(|listed| listed.address).collect());
        self.tell_leaving(&hosts);
    }

    /// Tells agents of this zone whose host the platform is about to take away, and takes that
    /// back when the platform does.
    fn tell_leaving(&mut self, hosts: &[ListedHost]) {
        let zone = self.node.member().zone;
        let agents = hosts.iter().filter(|h| h.zone == zone && h.role == HostRole::Agent);
        for listed in agents {
            if listed.leaving == self.told_leaving.contains(&listed.name) {
                continue;
            }
            let ask =
                self.node.ask(RequestBody::Members(MembersRequest::HostLeaving(listed.leaving)));
            let noted =
                self.node.transport().call_unary(listed.address, &ask, NOTE_TIMEOUT).is_ok();
            if noted && listed.leaving {
                self.told_leaving.insert(listed.name.clone());
            } else if noted {
                self.told_leaving.remove(&listed.name);
            }
        }
    }

    fn status(&self) -> ZoneStatus {
        let me = self.node.member();
        let members = self.node.control().members();
        let of_zone: Vec<&Member> = members.iter().filter(|m| m.zone == me.zone).collect();
        let count = |role| of_zone.iter().filter(|member| member.role == role).count() as u32;
        let mut ready = BTreeMap::new();
        for member in of_zone.iter().filter(|member| !member.leaving) {
            if let Serving::Model { model, version, .. } = &member.serving {
                *ready.entry(SmolStr::new(format!("{model}@{version}"))).or_default() += 1;
            }
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        ZoneStatus {
            zone: me.zone.clone(),
            relay: me.host.clone(),
            unix_seconds: now.as_secs(),
            generation: self.node.documents().generation(),
            survey: self.survey(&me),
            entries: count(HostRole::Entry),
            agents: count(HostRole::Agent),
            ready,
            held_up: self.held_up(&of_zone, &me),
        }
    }

    fn survey(&self, me: &Member) -> Survey {
        let ask = self.node.ask(RequestBody::Spread(SpreadRequest::Survey));
        let reply = self.node.transport().call_unary(me.address, &ask, SURVEY_TIMEOUT);
        match reply.map(|reply| reply.body) {
            Ok(ReplyBody::Spread(SpreadReply::Survey(survey))) => survey,
            _ => Survey::of(self.node.documents().generation()),
        }
    }

    /// Hosts that a plan wants ready in this zone and that are not, with the reason.
    fn held_up(&self, of_zone: &[&Member], me: &Member) -> Vec<String> {
        let documents = self.node.documents();
        let in_force = documents.in_force();
        let mut reasons = Vec::new();
        for model in in_force.config.model.keys() {
            let Some((_, plan)) = documents.plan(model) else {
                let placed = in_force.config.placement.values().any(|p| p.model == *model);
                if placed {
                    reasons.push(format!("{model}: no plan yet"));
                }
                continue;
            };
            for member in of_zone.iter().filter(|member| plan.version_for(&member.host).is_some()) {
                let wanted = plan.version_for(&member.host);
                let reason = match &member.serving {
                    Serving::Model { version, .. } if Some(*version) == wanted => continue,
                    Serving::Model { version, .. } => format!("still serves {version}"),
                    Serving::Nothing => "loads or has no engine".to_owned(),
                    Serving::Plain { .. } => "is a plain service".to_owned(),
                };
                reasons.push(format!("{model} on {}: {reason}", member.host));
            }
        }
        if in_force.generation.0 == 0 {
            reasons.push(format!("{}: no configuration in force", me.host));
        }
        reasons.truncate(MAX_REASONS);
        reasons
    }
}

/// Reasons in one status object at most.
const MAX_REASONS: usize = 64;
