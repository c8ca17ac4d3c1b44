//! Applies updates from the store or a parent to the state of an entry.

use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::catalog::Catalog;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::endpoint_table::EndpointTable;
use mastichaven_core::direct::replication::Ages;
use mastichaven_core::direct::replication::AnnouncementAge;
use mastichaven_core::direct::replication::Update;
use mastichaven_core::direct::replication::time_before;
use mastichaven_core::direct::versions::Announcement;
use mastichaven_core::direct::versions::Versions;
use mastichaven_core::ids::ServiceName;
use mastichaven_core::ids::StorePosition;
use mastichaven_core::ids::ZoneName;
use mastichaven_platform::objects::Kind;
use smol_str::SmolStr;

use super::state::State;

impl State {
    /// Applies an update and forwards it to the followers of this entry.
    pub fn apply(&self, update: Update) {
        if !self.is_outdated(&update) {
            self.publisher.publish(&update);
        }
        match update {
            Update::Config(parts) => self.apply_config(Catalog::from_parts(*parts)),
            Update::Endpoints { as_of, listed, lapsed } => {
                self.apply_endpoints(as_of, listed, &lapsed);
            }
            Update::EndpointPut(listed) => self.apply_endpoint(*listed),
            Update::EndpointRemoved { id, last_revision } => {
                self.remove_endpoint(&id, last_revision)
            }
            Update::EndpointsProgress(as_of) => self.endpoints.borrow_mut().advance_as_of(as_of),
            Update::Evacuations { as_of, zones } => self.apply_evacuations(as_of, &zones),
            Update::Weights { model, version, age } => {
                let now = self.now();
                let announcement = age.map(|age| age.announcement(now, now));
                self.apply_weights(&model, version, announcement, now);
            }
        }
    }

    /// Whether the update contains nothing new. Followers date versions of weights by the updates
    /// they receive, so an object that is rewritten must not be forwarded as a new announcement.
    fn is_outdated(&self, update: &Update) -> bool {
        match update {
            Update::Weights { model, version, .. } => {
                let versions = self.versions.borrow();
                versions.get(model).is_some_and(|versions| versions.newest() >= *version)
            }
            Update::Config(parts) => {
                self.config_version().is_some_and(|current| current >= parts.version)
            }
            Update::Endpoints { as_of, .. } => {
                let current = self.endpoints.borrow().as_of();
                current != StorePosition::default() && *as_of <= current && self.is_following.get()
            }
            _ => false,
        }
    }

    /// A snapshot of the state for a new follower that has version `config` of the configuration.
    pub fn snapshot(&self, config: Option<u64>) -> Vec<Update> {
        let now = self.now();
        let mut all = Vec::new();
        let is_newer = |catalog: &&Rc<Catalog>| Some(catalog.version()) != config;
        if let Some(catalog) = self.catalog.borrow().as_ref().filter(is_newer) {
            all.push(Update::Config(Box::new(catalog.to_parts())));
        }
        let endpoints = self.endpoints.borrow();
        let zones = endpoints.evacuated().cloned().collect();
        all.push(Update::Evacuations { as_of: endpoints.evacuated_as_of(), zones });
        all.push(self.endpoint_list(&endpoints, now));
        for (model, versions) in self.versions.borrow().iter() {
            all.extend(versions.announcements().map(|(version, announcement)| Update::Weights {
                model: model.clone(),
                version,
                age: announcement.map(|announcement| AnnouncementAge::new(announcement, now)),
            }));
        }
        all
    }

    /// The endpoint list, with lapsed endpoints listed separately.
    ///
    /// A parent that cannot read the store keeps lapsed endpoints for a while. A new follower may
    /// have newer information, because it saw one of them leave. If the snapshot listed that
    /// endpoint like any other, the follower would send requests to it again, seconds after it has
    /// left.
    fn endpoint_list(&self, endpoints: &EndpointTable, now: Time) -> Update {
        let lapsed = self.lapsed.borrow();
        let is_listed = |listed: &EndpointRecord| !lapsed.contains_key(&listed.id);
        Update::Endpoints {
            as_of: endpoints.as_of(),
            listed: endpoints.records(now).filter(is_listed).collect(),
            lapsed: lapsed.keys().cloned().collect(),
        }
    }

    /// Ages of this entry's state.
    pub fn ages(&self) -> Ages {
        let now = self.now();
        let age = |kind| self.confirmed_at.borrow().get(&kind).map(|at| now.since(*at));
        Ages {
            config: age(Kind::Config),
            endpoints: age(Kind::Endpoints),
            evacuations: age(Kind::Evacuations),
            weights: age(Kind::Weights),
        }
    }

    /// Renews the confirmation of all kinds by the `ages` that the parent reported in response to a
    /// ping sent at `pinged_at`.
    pub fn confirm(&self, pinged_at: Time, ages: &Ages) {
        let read_at = |age: Option<Duration>| age.and_then(|age| time_before(pinged_at, age));
        if let Some(at) = read_at(ages.config) {
            self.freshness.borrow_mut().confirm(at);
        }
        let kinds = [
            (Kind::Config, ages.config),
            (Kind::Endpoints, ages.endpoints),
            (Kind::Evacuations, ages.evacuations),
            (Kind::Weights, ages.weights),
        ];
        let mut confirmed_at = self.confirmed_at.borrow_mut();
        confirmed_at
            .extend(kinds.into_iter().filter_map(|(kind, age)| Some((kind, read_at(age)?))));
        drop(confirmed_at);
        self.record_endpoints_freshness();
    }

    /// Applies a configuration unless it is older than the current one. The store and a parent may
    /// deliver them out of order.
    fn apply_config(&self, catalog: Catalog) {
        let mut current = self.catalog.borrow_mut();
        if current.as_ref().is_some_and(|current| current.version() >= catalog.version()) {
            return;
        }
        slog::info!(self.log, "configuration in force"; "version" => catalog.version());
        let (max_body_len, available) =
            (catalog.limits().max_body_len, self.callers.limits().max_request_len());
        if max_body_len > available {
            slog::warn!(self.log, "longest bodies exceed the memory for requests";
                "max_body_bytes" => max_body_len, "available_bytes" => available);
        }
        let models = |catalog: &Catalog| -> Vec<(ServiceName, u32)> {
            let engines = catalog
                .services()
                .filter_map(|service| Some((service.name.clone(), service.model.as_ref()?.layers)));
            engines.collect()
        };
        if current.as_ref().is_some_and(|current| models(current) != models(&catalog)) {
            // The endpoint records were parsed with the previous models, so they must be listed
            // again.
            self.must_relist_endpoints.set(true);
        }
        *current = Some(Rc::new(catalog));
        self.config_applied.notify_one();
    }

    /// Source of the updates that are currently applied, for logs.
    fn source(&self) -> &'static str {
        if self.is_following.get() { "parent" } else { "store" }
    }

    fn apply_endpoints(&self, as_of: StorePosition, all: Vec<EndpointRecord>, lapsed: &[SmolStr]) {
        let known_as_of = self.endpoints.borrow().as_of();
        if as_of.era() > known_as_of.era() && known_as_of != StorePosition::default() {
            slog::warn!(self.log, "store came back from a copy"; "from" => self.source(),
                "as_of" => as_of.to_string(), "known_as_of" => known_as_of.to_string());
            self.metrics.count("store_eras");
        }
        slog::info!(self.log, "endpoint list received"; "from" => self.source(), "as_of" => as_of.to_string(),
            "known_as_of" => known_as_of.to_string(), "listed" => all.len(),
            "lapsed" => format!("{lapsed:?}"));
        let changed = self.changed_endpoints(&all);
        let Some(removed) = self.endpoints.borrow_mut().replace_all(as_of, all, lapsed, self.now())
        else {
            return;
        };
        removed.iter().for_each(|id| self.log_removed(id, as_of));
        changed.iter().for_each(|listed| self.log_listed(listed));
        self.notify_capacity_changed();
    }

    /// Endpoints of a list that are new or changed.
    fn changed_endpoints(&self, all: &[EndpointRecord]) -> Vec<EndpointRecord> {
        let endpoints = self.endpoints.borrow();
        let is_changed =
            |listed: &&EndpointRecord| endpoints.revision_of(&listed.id) != Some(listed.revision);
        all.iter().filter(is_changed).cloned().collect()
    }

    fn log_listed(&self, listed: &EndpointRecord) {
        slog::info!(self.log, "endpoint listed"; "endpoint" => listed.id.as_str(),
            "from" => self.source(), "revision" => listed.revision.to_string(),
            "service" => listed.service.as_str(), "zone" => listed.zone.as_str(),
            "draining" => listed.is_draining,
            "weights" => listed.weights.first().map_or(0, |(_, version)| *version),
            "cold_ms" => listed.cold_remaining.as_millis() as u64);
    }

    fn apply_endpoint(&self, listed: EndpointRecord) {
        self.log_listed(&listed);
        let id = listed.id.clone();
        if !self.endpoints.borrow_mut().upsert(listed, self.now()) {
            slog::info!(self.log, "ignored outdated endpoint update"; "endpoint" => id.as_str());
        }
        self.notify_capacity_changed();
    }

    fn log_removed(&self, id: &str, last_revision: StorePosition) {
        slog::info!(self.log, "endpoint removed"; "endpoint" => id, "from" => self.source(),
            "last" => last_revision.to_string());
    }

    fn remove_endpoint(&self, id: &str, last_revision: StorePosition) {
        self.log_removed(id, last_revision);
        self.endpoints.borrow_mut().remove(id, last_revision, self.now());
    }

    fn apply_evacuations(&self, as_of: StorePosition, zones: &[ZoneName]) {
        let all = zones.iter().cloned().collect();
        let is_applied = self.endpoints.borrow_mut().set_evacuated(all, as_of, self.now());
        slog::info!(self.log, "zones out of service"; "zones" => format!("{zones:?}"),
            "from" => self.source(), "as_of" => as_of.to_string(), "taken" => is_applied);
    }

    /// Ends the time for which what is known from an earlier era of the store holds.
    pub fn expire_earlier_era(&self) {
        let mut endpoints = self.endpoints.borrow_mut();
        if endpoints.take_relist_due(self.now()) {
            self.must_relist_endpoints.set(true);
        }
        let expired = endpoints.expire_evacuated(self.now());
        if !expired.is_empty() {
            slog::info!(self.log, "zones back in service, as nobody took them out again";
                "zones" => format!("{expired:?}"));
            let (as_of, zones) = (endpoints.evacuated_as_of(), endpoints.evacuated());
            self.publisher.publish(&Update::Evacuations { as_of, zones: zones.cloned().collect() });
            self.notify_capacity_changed();
        }
    }

    /// An announcement that this entry hears of now: the store had not made it at the last confirmed read. `None`
    /// before the first one.
    pub(super) fn new_announcement(&self, now: Time) -> Option<Announcement> {
        let confirmed_at = self.confirmed_at.borrow().get(&Kind::Weights).copied()?;
        Some(Announcement::between(confirmed_at, now))
    }

    /// `told` is what the sender knows of the announcement; `None` if the time is unknown.
    fn apply_weights(&self, model: &SmolStr, version: u64, told: Option<Announcement>, now: Time) {
        // A read of the store confirms what was known before it, so its own changes are dated by the reader.
        let own = self.new_announcement(now).filter(|_| self.is_following.get());
        let announcement = match (told, own) {
            (Some(told), Some(own)) => Some(told.narrowed_by(own)),
            (told, own) => told.or(own),
        };
        let mut by_model = self.versions.borrow_mut();
        let is_new = match (by_model.get_mut(model), announcement) {
            (Some(versions), _) if self.is_following.get() && versions.newest() >= version => {
                if let Some(told) = told {
                    versions.merge_announcement(version, told);
                }
                false
            }
            (Some(versions), _) => versions.record_announcement(version, announcement),
            // No version was announced at the last read of the store, so any older version may
            // serve. A parent that has just started does not have that information.
            (None, Some(announcement)) => {
                let mut versions = Versions::new(0);
                versions.record_announcement(version, announcement);
                by_model.insert(model.clone(), versions);
                true
            }
            (None, None) => {
                by_model.insert(model.clone(), Versions::new(version));
                true
            }
        };
        drop(by_model);
        if is_new {
            self.log_announced(model, version, announcement, self.source());
            self.requests_due.notify_one();
        }
    }

    /// Logs a new version of weights.
    pub(super) fn log_announced(
        &self,
        model: &str,
        version: u64,
        announcement: Option<Announcement>,
        from: &str,
    ) {
        let ms = |duration: Duration| i64::try_from(duration.as_millis()).unwrap_or(i64::MAX);
        let age = announcement.map_or(-1, |announced| ms(self.now().since(announced.latest())));
        let uncertainty = announcement.map_or(-1, |announced| ms(announced.uncertainty()));
        slog::info!(self.log, "weights announced"; "model" => model, "version" => version,
            "age_ms" => age, "uncertainty_ms" => uncertainty, "from" => from);
    }
}
