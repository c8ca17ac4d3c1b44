//! Converts lists and changes from the store to updates of the entry's state.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::catalog::Catalog;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::replication::AnnouncementAge;
use mastichaven_core::direct::replication::Update;
use mastichaven_core::direct::store_clock::LastRead;
use mastichaven_core::ids::ServiceName;
use mastichaven_core::ids::StorePosition;
use mastichaven_core::ids::ZoneName;
use mastichaven_platform::config;
use mastichaven_platform::endpoints;
use mastichaven_platform::objects::Change;
use mastichaven_platform::objects::Kind;
use mastichaven_platform::objects::Object;
use mastichaven_platform::weights;
use smol_str::SmolStr;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::StoreWatcher;

/// Time for which a possibly lapsed endpoint is kept. It is less than the removal bound, within
/// which an endpoint that has left must stop receiving requests.
const LAPSED_ENDPOINT_TTL: Duration = Duration::from_millis(1_500);

impl StoreWatcher {
    /// Applies a list that includes all changes up to `as_of`. `last_read` is
    /// what was known before.
    pub(super) fn apply_objects(
        &mut self,
        objects: &[Object],
        as_of: StorePosition,
        last_read: LastRead,
    ) {
        match self.kind {
            Kind::Config => objects.iter().for_each(|object| {
                self.apply_config_object(object);
            }),
            Kind::Endpoints => self.apply_endpoint_list(objects, as_of),
            Kind::Evacuations => {
                self.evacuated = objects.iter().map(|object| object.name.clone()).collect();
                self.apply_evacuations(as_of);
            }
            Kind::Weights => {
                objects.iter().for_each(|object| self.apply_weights_object(object, last_read))
            }
        }
        slog::info!(self.state.log, "listed"; "kind" => self.kind.as_str(),
            "objects" => objects.len());
    }

    /// Applies the changes up to `as_of`. `last_read` is
    /// what was known before.
    pub(super) fn apply_changes(
        &mut self,
        changes: Vec<Change>,
        as_of: StorePosition,
        last_read: LastRead,
    ) {
        let has_changes = !changes.is_empty();
        self.apply_each(changes, as_of, last_read);
        if has_changes && self.kind == Kind::Endpoints {
            self.state.apply(Update::EndpointsProgress(as_of));
        }
        self.state.record_endpoints_freshness();
    }

    fn apply_each(&mut self, changes: Vec<Change>, as_of: StorePosition, last_read: LastRead) {
        let now = self.state.now();
        if self.kind == Kind::Config {
            return self.apply_newest_config(changes);
        }
        for change in changes {
            match (self.kind, change) {
                (Kind::Endpoints, Change::Put(object)) => self.apply_endpoint_put(&object),
                (Kind::Endpoints, Change::Deleted(name)) => {
                    let last_revision = self.state.endpoints.borrow().revision_of(&name);
                    self.apply_endpoint_deletion(name, last_revision.unwrap_or_default(), now);
                }
                (Kind::Evacuations, Change::Put(object)) => {
                    self.evacuated.insert(object.name);
                    self.apply_evacuations(as_of);
                }
                (Kind::Evacuations, Change::Deleted(name)) => {
                    self.evacuated.remove(&name);
                    self.apply_evacuations(as_of);
                }
                (Kind::Weights, Change::Put(object)) => {
                    self.apply_weights_object(&object, last_read)
                }
                (Kind::Weights, Change::Deleted(_)) | (Kind::Config, _) => {}
            }
        }
    }

    /// Applies only the newest of several configurations, as parsing thousands of routes is
    /// expensive.
    fn apply_newest_config(&mut self, changes: Vec<Change>) {
        for change in changes.into_iter().rev() {
            if let Change::Put(object) = change
                && self.apply_config_object(&object)
            {
                return;
            }
        }
    }

    /// Applies a configuration. Returns false if the object cannot be parsed.
    fn apply_config_object(&mut self, object: &Object) -> bool {
        let Some(catalog) = config::parse_config(object) else {
            slog::warn!(self.state.log, "cannot parse configuration"; "name" => object.name.as_str());
            return false;
        };
        self.state.apply(Update::Config(Box::new(catalog.to_parts())));
        true
    }

    fn apply_endpoint_list(&mut self, objects: &[Object], as_of: StorePosition) {
        let now = self.state.now();
        let listed = objects.iter().filter_map(|object| self.scan_endpoint(object)).collect();
        let lapsed =
            if self.is_in_outage_grace(now) { self.missing_from(objects) } else { Vec::new() };
        lapsed.iter().for_each(|id| self.keep_lapsed(id.clone(), as_of, now));
        self.state.apply(Update::Endpoints { as_of, listed, lapsed });
    }

    /// Known endpoints that are missing from a list.
    fn missing_from(&self, objects: &[Object]) -> Vec<SmolStr> {
        let listed: HashSet<&SmolStr> = objects.iter().map(|object| &object.name).collect();
        let endpoints = self.state.endpoints.borrow();
        endpoints.ids().filter(|id| !listed.contains(id)).cloned().collect()
    }

    fn scan_endpoint(&self, object: &Object) -> Option<EndpointRecord> {
        let catalog: Option<Rc<Catalog>> = self.state.catalog.borrow().clone();
        let layers_of = |service: &ServiceName| {
            let service = catalog.as_ref()?.service(service)?;
            service.model.as_ref().map(|model| model.layers)
        };
        self.state.lapsed.borrow_mut().remove(&object.name);
        let record = endpoints::parse_endpoint(object, layers_of);
        if record.is_none() {
            slog::warn!(self.state.log, "cannot parse endpoint record";
                "endpoint" => object.name.as_str(), "entry" => object.spec.to_string());
        }
        record
    }

    fn apply_endpoint_put(&self, object: &Object) {
        match self.scan_endpoint(object) {
            Some(record) => self.state.apply(Update::EndpointPut(Box::new(record))),
            None => {
                let id = object.name.clone();
                self.state.apply(Update::EndpointRemoved { id, last_revision: object.revision });
            }
        }
    }

    /// Whether a store outage has ended so recently that missing endpoints may only have lapsed.
    fn is_in_outage_grace(&self, now: Time) -> bool {
        self.outage_grace_until.is_some_and(|until| now < until)
    }

    /// Handles the deletion of an endpoint's record, which was last changed at `last_revision`.
    fn apply_endpoint_deletion(&self, id: SmolStr, last_revision: StorePosition, now: Time) {
        if self.is_in_outage_grace(now) {
            self.keep_lapsed(id, last_revision, now);
        } else {
            self.state.apply(Update::EndpointRemoved { id, last_revision });
        }
    }

    /// Keeps an endpoint for [`LAPSED_ENDPOINT_TTL`] whose record, last changed at `last_revision`,
    /// may only have lapsed.
    fn keep_lapsed(&self, id: SmolStr, last_revision: StorePosition, now: Time) {
        let state = self.state.clone();
        slog::info!(state.log, "endpoint may have lapsed"; "endpoint" => id.as_str(),
            "last" => last_revision.to_string());
        state.lapsed.borrow_mut().insert(id.clone(), now);
        spawn_local(async move {
            sleep(LAPSED_ENDPOINT_TTL).await;
            // Otherwise the endpoint has returned, or it has lapsed again and a later task removes
            // it.
            let is_current = state.lapsed.borrow().get(&id) == Some(&now);
            if is_current {
                state.lapsed.borrow_mut().remove(&id);
                state.apply(Update::EndpointRemoved { id, last_revision });
            }
        });
    }

    fn apply_evacuations(&self, as_of: StorePosition) {
        let zones = self.evacuated.iter().map(ZoneName::new).collect();
        self.state.apply(Update::Evacuations { as_of, zones });
    }

    fn apply_weights_object(&mut self, object: &Object, last_read: LastRead) {
        let Some(newest) = weights::parse_newest_version(object) else {
            slog::warn!(self.state.log, "cannot parse weights version"; "name" => object.name.as_str());
            return;
        };
        let weights::NewestVersion { model, version } = newest;
        let now = self.state.now();
        let store_clock = self.state.store_clock.borrow();
        let announcement = store_clock.date(object.revision, last_read, now);
        drop(store_clock);
        let age = announcement.map(|announcement| AnnouncementAge::new(announcement, now));
        self.state.apply(Update::Weights { model, version, age });
    }
}
