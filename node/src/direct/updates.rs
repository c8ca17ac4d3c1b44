//! What an entry takes in, whether the store or another entry told it.

use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::catalog::Catalog;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::endpoint_table::EndpointTable;
use mastichaven_core::direct::replication::Ages;
use mastichaven_core::direct::replication::Update;
use mastichaven_core::direct::replication::time_before;
use mastichaven_core::direct::versions::Versions;
use mastichaven_core::ids::Revision;
use mastichaven_core::ids::ServiceName;
use mastichaven_core::ids::ZoneName;
use mastichaven_platform::objects::Kind;
use smol_str::SmolStr;

use super::state::State;

impl State {
    /// Applies an update and passes it on to the entries that follow this one.
    pub fn apply(&self, update: Update) {
        if !self.is_old(&update) {
            self.publisher.publish(&update);
        }
        match update {
            Update::Config(parts) => self.apply_config(Catalog::from_parts(*parts)),
            Update::Endpoints { as_of, listed, lapsed } => {
                self.apply_endpoints(as_of, listed, &lapsed);
            }
            Update::EndpointPut(listed) => self.apply_endpoint(*listed),
            Update::EndpointRemoved { id, last_revision } => self.endpoint_gone(&id, last_revision),
            Update::EndpointsProgress(as_of) => self.endpoints.borrow_mut().advance_as_of(as_of),
            Update::Evacuations { as_of, zones } => self.apply_evacuated(as_of, &zones),
            Update::Weights { model, version, age } => {
                let now = self.now();
                let announced_at = age.map(|age| time_before(now, age).unwrap_or_default());
                self.apply_weights(&model, version, announced_at);
            }
        }
    }

    /// Whether the update says nothing that is not known. Followers date versions of weights by what they
    /// are told, and an object that is written again was not named again.
    fn is_old(&self, update: &Update) -> bool {
        match update {
            Update::Weights { model, version, .. } => {
                let versions = self.versions.borrow();
                versions.get(model).is_some_and(|versions| versions.newest() >= *version)
            }
            Update::Config(parts) => {
                self.config_version().is_some_and(|known| known >= parts.version)
            }
            Update::Endpoints { as_of, .. } => {
                let known = self.endpoints.borrow().as_of();
                known != Revision::default() && *as_of <= known && self.is_following.get()
            }
            _ => false,
        }
    }

    /// All that is known now, for an entry that begins to follow this one and has the version `config` of
    /// the configuration.
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
        all.push(self.listed_endpoints(&endpoints, now));
        for (model, versions) in self.versions.borrow().iter() {
            let named = versions.ages(now);
            all.extend(named.map(|(version, age)| Update::Weights {
                model: model.clone(),
                version,
                age,
            }));
        }
        all
    }

    /// The endpoints, those apart that this entry keeps though the store no longer lists them.
    ///
    /// A parent that was turned away by the store keeps lapsed endpoints for a while. An entry that
    /// starts to follow it then may know better, as it heard in time that one of them has left. Were
    /// it told of that endpoint as of any other, it would send requests there again, seconds late.
    fn listed_endpoints(&self, endpoints: &EndpointTable, now: Time) -> Update {
        let lapsed = self.lapsed.borrow();
        let is_listed = |listed: &EndpointRecord| !lapsed.contains_key(&listed.id);
        Update::Endpoints {
            as_of: endpoints.as_of(),
            listed: endpoints.records(now).filter(is_listed).collect(),
            lapsed: lapsed.keys().cloned().collect(),
        }
    }

    /// How old what this entry knows is.
    pub fn ages(&self) -> Ages {
        let now = self.now();
        let age = |kind| self.confirmed.borrow().get(&kind).map(|at| now.since(*at));
        Ages {
            config: age(Kind::Config),
            endpoints: age(Kind::Endpoints),
            evacuations: age(Kind::Evacuations),
            weights: age(Kind::Weights),
        }
    }

    /// The parent reported how old its knowledge is, in answer to what it was asked at `asked`.
    pub fn confirm(&self, asked: Time, ages: &Ages) {
        let seen = |age: Option<Duration>| age.and_then(|age| time_before(asked, age));
        if let Some(at) = seen(ages.config) {
            self.freshness.borrow_mut().confirm(at);
        }
        let kinds = [
            (Kind::Config, ages.config),
            (Kind::Endpoints, ages.endpoints),
            (Kind::Evacuations, ages.evacuations),
            (Kind::Weights, ages.weights),
        ];
        let mut confirmed = self.confirmed.borrow_mut();
        confirmed.extend(kinds.into_iter().filter_map(|(kind, age)| Some((kind, seen(age)?))));
        drop(confirmed);
        self.note_list();
    }

    /// A configuration never gives way to an older one, whichever way either came.
    fn apply_config(&self, catalog: Catalog) {
        let mut current = self.catalog.borrow_mut();
        if current.as_ref().is_some_and(|current| current.version() >= catalog.version()) {
            return;
        }
        slog::info!(self.log, "configuration in force"; "version" => catalog.version());
        let models = |catalog: &Catalog| -> Vec<(ServiceName, u32)> {
            let engines = catalog
                .services()
                .filter_map(|service| Some((service.name.clone(), service.model.as_ref()?.layers)));
            engines.collect()
        };
        if current.as_ref().is_some_and(|current| models(current) != models(&catalog)) {
            // The endpoints were read with other models in mind; they are listed again.
            self.are_models_new.set(true);
        }
        *current = Some(Rc::new(catalog));
        self.configured.notify_one();
    }

    /// Where what is taken in now comes from, for logs.
    fn source(&self) -> &'static str {
        if self.is_following.get() { "parent" } else { "store" }
    }

    fn apply_endpoints(&self, as_of: Revision, all: Vec<EndpointRecord>, lapsed: &[SmolStr]) {
        let known_as_of = self.endpoints.borrow().as_of();
        slog::info!(self.log, "endpoint list received"; "from" => self.source(), "as_of" => as_of.0,
            "known_as_of" => known_as_of.0, "listed" => all.len(),
            "lapsed" => format!("{lapsed:?}"));
        let changed = self.changed_among(&all);
        let Some(gone) = self.endpoints.borrow_mut().replace_all(as_of, all, lapsed, self.now())
        else {
            return;
        };
        gone.iter().for_each(|id| self.log_gone(id, as_of));
        changed.iter().for_each(|listed| self.log_listed(listed));
        self.freed.notify_waiters();
    }

    /// Endpoints of a list that this entry does not know, or knows as they were before.
    fn changed_among(&self, all: &[EndpointRecord]) -> Vec<EndpointRecord> {
        let endpoints = self.endpoints.borrow();
        let is_changed =
            |listed: &&EndpointRecord| endpoints.revision_of(&listed.id) != Some(listed.revision);
        all.iter().filter(is_changed).cloned().collect()
    }

    fn log_listed(&self, listed: &EndpointRecord) {
        slog::info!(self.log, "endpoint listed"; "endpoint" => listed.id.as_str(),
            "from" => self.source(), "revision" => listed.revision.0,
            "service" => listed.service.as_str(), "zone" => listed.zone.as_str(),
            "draining" => listed.is_draining,
            "weights" => listed.weights.first().map_or(0, |(_, version)| *version),
            "cold_ms" => listed.cold_remaining.as_millis() as u64);
    }

    fn apply_endpoint(&self, listed: EndpointRecord) {
        self.log_listed(&listed);
        let id = listed.id.clone();
        if !self.endpoints.borrow_mut().upsert(listed, self.now()) {
            slog::info!(self.log, "older update of an endpoint ignored"; "endpoint" => id.as_str());
        }
        self.freed.notify_waiters();
    }

    fn log_gone(&self, id: &str, last: Revision) {
        slog::info!(self.log, "endpoint gone"; "endpoint" => id, "from" => self.source(),
            "last" => last.0);
    }

    fn endpoint_gone(&self, id: &str, last: Revision) {
        self.log_gone(id, last);
        self.endpoints.borrow_mut().remove(id, last);
    }

    fn apply_evacuated(&self, as_of: Revision, zones: &[ZoneName]) {
        let all = zones.iter().cloned().collect();
        let is_taken = self.endpoints.borrow_mut().set_evacuated(all, as_of);
        slog::info!(self.log, "zones out of service"; "zones" => format!("{zones:?}"),
            "from" => self.source(), "as_of" => as_of.0, "taken" => is_taken);
    }

    /// Whether this entry has known all versions of weights before, be it from the store or a parent.
    fn has_read_weights(&self) -> bool {
        self.confirmed.borrow().contains_key(&Kind::Weights)
    }

    /// `announced_at` is `None` where nobody knows how long the version has been named.
    fn apply_weights(&self, model: &SmolStr, version: u64, announced_at: Option<Time>) {
        let mut known = self.versions.borrow_mut();
        let is_new = match (known.get_mut(model), announced_at) {
            (Some(versions), Some(at))
                if self.is_following.get() && versions.newest() >= version =>
            {
                versions.backfill_announced_at(version, at);
                versions.record_announced_after(version, at);
                false
            }
            (Some(versions), _) => {
                versions.record_announcement(version, announced_at.unwrap_or(self.now()))
            }
            // None was named when the store was read before, so any older one may answer. A parent that
            // has just started does not know that.
            (None, _) if announced_at.is_some() || self.has_read_weights() => {
                let mut versions = Versions::new(0);
                versions.record_announcement(version, announced_at.unwrap_or(self.now()));
                known.insert(model.clone(), versions);
                true
            }
            (None, _) => {
                known.insert(model.clone(), Versions::new(version));
                true
            }
        };
        drop(known);
        if !is_new {
            return;
        }
        let age = announced_at.map_or(-1, |at| self.now().since(at).as_millis() as i64);
        slog::info!(self.log, "weights named"; "model" => model.as_str(), "version" => version,
            "age_ms" => age, "from" => self.source());
        self.named.notify_one();
    }
}
