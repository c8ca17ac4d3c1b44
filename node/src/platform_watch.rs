//! The thread that calls the platform on behalf of the control thread.
//!
//! On the relays of a zone it watches the accepted configuration and the plans; the first relay
//! also reads the host list and writes the status of the zone. On all other processes it makes no
//! calls once there is a peer, because the number of calls to the platform must not grow with the
//! number of processes in a zone. A process without peers reads the host list to find one, and the
//! accepted configuration.

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

use crate::accepted_config;
use crate::control::ControlNode;
use crate::status;
use crate::status::ZoneStatus;

/// Maximum wait of one watch call. Hosts are read and status is written between two calls.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// Interval at which all documents are listed again, in case the watch missed a change.
const LIST_INTERVAL: Duration = Duration::from_secs(60);

/// Minimum interval between writes of the status by the first relay of a zone.
const STATUS_INTERVAL: Duration = Duration::from_secs(10);

/// Interval at which other processes check whether they have become a relay, and mean delay after a
/// failed call.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Bounds of the delay between reads of the host list by a process without peers. The delay doubles
/// each time, so that a fleet that starts while the platform is slow does not overload it.
const MIN_DISCOVERY_DELAY: Duration = Duration::from_millis(500);
const MAX_DISCOVERY_DELAY: Duration = Duration::from_secs(5);

/// Maximum number of listed hosts that a process without peers contacts.
const MAX_CONTACTS: usize = 16;

/// Timeout of a survey of the zone.
const SURVEY_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of notifying an agent that its host is leaving.
const LEAVING_NOTICE_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts the thread; it ends with the process.
pub fn start<N: ControlNode>(node: &Arc<N>, store: Arc<dyn ObjectStore>) -> thread::JoinHandle<()> {
    let node = node.clone();
    let run = move || PlatformWatch::new(node, store).run();
    thread::Builder::new().name("platform".to_owned()).spawn(run).expect("thread can be created")
}

struct PlatformWatch<N> {
    node: Arc<N>,
    store: Arc<dyn ObjectStore>,
    /// Revision after which to watch; `None` if all documents must be listed first.
    after: Option<Revision>,
    listed_at: Time,
    status_written_at: Time,
    next_discovery: Time,
    discovery_delay: Duration,
    notified_leaving: HashSet<HostName>,
}

impl<N: ControlNode> PlatformWatch<N> {
    fn new(node: Arc<N>, store: Arc<dyn ObjectStore>) -> PlatformWatch<N> {
        PlatformWatch {
            node,
            store,
            after: None,
            listed_at: Time::ZERO,
            status_written_at: Time::ZERO,
            next_discovery: Time::ZERO,
            discovery_delay: MIN_DISCOVERY_DELAY,
            notified_leaving: HashSet::new(),
        }
    }

    fn run(mut self) {
        if self.node.member().role == HostRole::Entry {
            let _ = self.list_documents();
        }
        while !self.node.is_over() {
            if self.node.control().alive_peers() == 0 {
                self.discover_peers();
            }
            match self.node.control().relay_rank() {
                Some(rank) if self.node.member().role == HostRole::Entry => self.run_as_relay(rank),
                _ => {
                    self.after = None;
                    thread::sleep(RELAY_CHECK_INTERVAL);
                }
            }
        }
    }

    /// Contacts hosts of the host list. From the second attempt on, it also reads the documents
    /// from the platform, because a process may remain without peers.
    fn discover_peers(&mut self) {
        let now = self.node.clock().now();
        if now < self.next_discovery {
            return;
        }
        let jitter = rand::rng().random_range(0.5..1.5);
        self.next_discovery = now + self.discovery_delay.mul_f64(jitter);
        self.discovery_delay = (self.discovery_delay * 2).min(MAX_DISCOVERY_DELAY);
        let Ok(hosts) = self.store.hosts() else {
            return;
        };
        self.node.control().set_contacts(self.choose_contacts(&hosts));
        if now.as_millis() > 0 && self.discovery_delay > MIN_DISCOVERY_DELAY * 2 {
            let _ = self.list_documents();
        }
    }

    /// Up to [`MAX_CONTACTS`] listed hosts: entries of this zone, then other entries, then agents.
    fn choose_contacts(&self, hosts: &[ListedHost]) -> Vec<SocketAddr> {
        let me = self.node.member();
        let others = hosts.iter().filter(|listed| listed.name != me.host && !listed.leaving);
        let mut others: Vec<&ListedHost> = others.collect();
        others.sort_by_cached_key(|listed| {
            let other_zone = listed.zone != me.zone;
            (listed.role != HostRole::Entry, other_zone, rand::random::<u32>())
        });
        others.into_iter().take(MAX_CONTACTS).map(|listed| listed.address).collect()
    }

    fn run_as_relay(&mut self, rank: u32) {
        let now = self.node.clock().now();
        let due = self.after.is_none() || now.passed(self.listed_at, LIST_INTERVAL);
        let result = if due { self.list_documents() } else { self.watch_documents() };
        if result.is_err() {
            self.after = None;
            let pause = RELAY_CHECK_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.5));
            return thread::sleep(pause);
        }
        if rank == 0 && now.passed(self.status_written_at, STATUS_INTERVAL) {
            self.status_written_at = now;
            self.refresh_hosts();
            let _ = status::write(&*self.store, &self.zone_status());
        }
    }

    fn list_documents(&mut self) -> platform::Result<()> {
        let keys = self.store.list(SPREAD_PREFIX)?;
        let newest = keys.iter().map(|(_, revision)| *revision).max().unwrap_or_default();
        self.apply_newer(keys)?;
        self.after = Some(newest);
        self.listed_at = self.node.clock().now();
        Ok(())
    }

    fn watch_documents(&mut self) -> platform::Result<()> {
        let after = self.after.unwrap_or_default();
        let changes = match self.store.watch(SPREAD_PREFIX, after, WATCH_TIMEOUT) {
            Ok(changes) => changes,
            // The changes are no longer retained; the current documents are sufficient.
            Err(PlatformError::Compacted) => return self.list_documents(),
            Err(error) => return Err(error),
        };
        let mut keys: BTreeMap<SmolStr, Revision> = BTreeMap::new();
        for change in changes.changes.into_iter().filter(|change| !change.deleted) {
            keys.insert(change.key, change.revision);
        }
        self.apply_newer(keys.into_iter().collect())?;
        self.after = Some(changes.revision);
        Ok(())
    }

    /// Reads the documents among `keys` that are newer on the platform, puts them in force and
    /// reports them to the control thread, which forwards them.
    fn apply_newer(&mut self, keys: Vec<(SmolStr, Revision)>) -> platform::Result<()> {
        let documents = self.node.documents();
        let before = documents.generation();
        let known: BTreeMap<SmolStr, u64> = documents.revisions().into_iter().collect();
        let mut changed_keys = Vec::new();
        for (key, revision) in keys {
            if key == HEAD_KEY {
                let applied = accepted_config::apply_latest(&*self.store, documents);
                applied.map_err(|_| PlatformError::Unknown)?;
                continue;
            }
            if known.get(&key).is_some_and(|known| *known >= revision.0) {
                continue;
            }
            if let Some(object) = self.store.get(&key)? {
                let doc =
                    Doc { key: key.clone(), revision: object.revision.0, bytes: object.value };
                if documents.insert_plan(doc) {
                    changed_keys.push(key);
                }
            }
        }
        if documents.generation() > before || !changed_keys.is_empty() {
            self.node.control().notify_platform_update(before, changed_keys);
        }
        Ok(())
    }

    fn refresh_hosts(&mut self) {
        let Ok(hosts) = self.store.hosts() else {
            return;
        };
        self.node.control().set_contacts(hosts.iter().map(|listed| listed.address).collect());
        self.notify_leaving_agents(&hosts);
    }

    /// Notifies the agents of this zone when the platform starts or stops listing their host as
    /// leaving. A notice that is not acknowledged is repeated with the next host list.
    fn notify_leaving_agents(&mut self, hosts: &[ListedHost]) {
        let zone = self.node.member().zone;
        let agents = hosts.iter().filter(|h| h.zone == zone && h.role == HostRole::Agent);
        for listed in agents {
            if listed.leaving == self.notified_leaving.contains(&listed.name) {
                continue;
            }
            let request = self
                .node
                .make_request(RequestBody::Members(MembersRequest::HostLeaving(listed.leaving)));
            let acknowledged = self
                .node
                .transport()
                .call_unary(listed.address, &request, LEAVING_NOTICE_TIMEOUT)
                .is_ok();
            if acknowledged && listed.leaving {
                self.notified_leaving.insert(listed.name.clone());
            } else if acknowledged {
                self.notified_leaving.remove(&listed.name);
            }
        }
    }

    fn zone_status(&self) -> ZoneStatus {
        let me = self.node.member();
        let members = self.node.control().members();
        let zone_members: Vec<&Member> = members.iter().filter(|m| m.zone == me.zone).collect();
        let count = |role| zone_members.iter().filter(|member| member.role == role).count() as u32;
        let mut ready = BTreeMap::new();
        for member in zone_members.iter().filter(|member| !member.leaving) {
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
            survey: self.survey_zone(&me),
            entries: count(HostRole::Entry),
            agents: count(HostRole::Agent),
            ready,
            held_up: self.held_up_reasons(&zone_members, &me),
        }
    }

    fn survey_zone(&self, me: &Member) -> Survey {
        let request = self.node.make_request(RequestBody::Spread(SpreadRequest::Survey));
        let reply = self.node.transport().call_unary(me.address, &request, SURVEY_TIMEOUT);
        match reply.map(|reply| reply.body) {
            Ok(ReplyBody::Spread(SpreadReply::Survey(survey))) => survey,
            _ => Survey::of(self.node.documents().generation()),
        }
    }

    /// Reasons why planned replicas of this zone are not ready, at most [`MAX_REASONS`].
    fn held_up_reasons(&self, zone_members: &[&Member], me: &Member) -> Vec<String> {
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
            for member in
                zone_members.iter().filter(|member| plan.version_for(&member.host).is_some())
            {
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

/// Maximum number of reasons in one status object.
const MAX_REASONS: usize = 64;
