//! What the answers of the store change in what an entry knows.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::catalog::Catalog;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::replication::Update;
use mastichaven_core::ids::Revision;
use mastichaven_core::ids::ServiceName;
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

/// How long an endpoint is kept that may only have lapsed: less than the time after which one that has left
/// must get nothing more.
const LAPSE_FOR: Duration = Duration::from_millis(1_500);

impl StoreWatcher {
    /// Takes in a list that holds all changes up to `as_of`.
    pub(super) fn take_all(
        &mut self,
        objects: &[Object],
        as_of: Revision,
        unseen_for: Option<Duration>,
    ) {
        match self.kind {
            Kind::Config => objects.iter().for_each(|object| {
                self.take_config(object);
            }),
            Kind::Endpoints => self.take_endpoints(objects, as_of),
            Kind::Evacuations => {
                self.evacuated = objects.iter().map(|object| object.name.clone()).collect();
                self.set_evacuated(as_of);
            }
            Kind::Weights => {
                objects.iter().for_each(|object| self.take_weights(object, unseen_for))
            }
        }
        slog::info!(self.state.log, "listed"; "kind" => self.kind.as_str(),
            "objects" => objects.len());
    }

    /// Takes in what changed up to `as_of`.
    pub(super) fn take_changes(&mut self, changes: Vec<Change>, as_of: Revision) {
        let is_any = !changes.is_empty();
        self.take_each(changes, as_of);
        if is_any && self.kind == Kind::Endpoints {
            self.state.apply(Update::EndpointsProgress(as_of));
        }
        self.state.note_list();
    }

    fn take_each(&mut self, changes: Vec<Change>, as_of: Revision) {
        let now = self.state.now();
        if self.kind == Kind::Config {
            return self.take_newest_config(changes);
        }
        for change in changes {
            match (self.kind, change) {
                (Kind::Endpoints, Change::Put(object)) => self.put_endpoint(&object),
                (Kind::Endpoints, Change::Gone(name)) => {
                    let last = self.state.endpoints.borrow().revision_of(&name);
                    self.endpoint_gone(name, last.unwrap_or_default(), now);
                }
                (Kind::Evacuations, Change::Put(object)) => {
                    self.evacuated.insert(object.name);
                    self.set_evacuated(as_of);
                }
                (Kind::Evacuations, Change::Gone(name)) => {
                    self.evacuated.remove(&name);
                    self.set_evacuated(as_of);
                }
                (Kind::Weights, Change::Put(object)) => {
                    self.take_weights(&object, Some(Duration::ZERO))
                }
                (Kind::Weights, Change::Gone(_)) | (Kind::Config, _) => {}
            }
        }
    }

    /// Takes in the newest configuration of several; each may hold thousands of routes to be read.
    fn take_newest_config(&mut self, changes: Vec<Change>) {
        for change in changes.into_iter().rev() {
            if let Change::Put(object) = change
                && self.take_config(&object)
            {
                return;
            }
        }
    }

    /// Takes in a configuration; false if the object is none.
    fn take_config(&mut self, object: &Object) -> bool {
        let Some(catalog) = config::scan_config(object) else {
            slog::warn!(self.state.log, "configuration cannot be read"; "name" => object.name.as_str());
            return false;
        };
        self.state.apply(Update::Config(Box::new(catalog.to_parts())));
        true
    }

    fn take_endpoints(&mut self, objects: &[Object], as_of: Revision) {
        let now = self.state.now();
        let listed = objects.iter().filter_map(|object| self.scan_endpoint(object)).collect();
        let lapsed = if self.is_troubled(now) { self.missing_from(objects) } else { Vec::new() };
        lapsed.iter().for_each(|id| self.keep_lapsed(id.clone(), as_of, now));
        self.state.apply(Update::Endpoints { as_of, listed, lapsed });
    }

    /// Known endpoints that a list does not show.
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
        let listed = endpoints::scan_endpoint(object, layers_of);
        if listed.is_none() {
            slog::warn!(self.state.log, "endpoint entry cannot be read";
                "endpoint" => object.name.as_str(), "entry" => object.spec.to_string());
        }
        listed
    }

    fn put_endpoint(&self, object: &Object) {
        match self.scan_endpoint(object) {
            Some(listed) => self.state.apply(Update::EndpointPut(Box::new(listed))),
            None => {
                let id = object.name.clone();
                self.state.apply(Update::EndpointRemoved { id, last_revision: object.revision });
            }
        }
    }

    /// Whether the store was in trouble just now, so that endpoints may have lapsed.
    fn is_troubled(&self, now: Time) -> bool {
        self.trouble_until.is_some_and(|until| now < until)
    }

    /// An endpoint, whose entry was last changed at `last`, is no longer listed.
    fn endpoint_gone(&self, id: SmolStr, last: Revision, now: Time) {
        if self.is_troubled(now) {
            self.keep_lapsed(id, last, now);
        } else {
            self.state.apply(Update::EndpointRemoved { id, last_revision: last });
        }
    }

    /// Keeps an endpoint for a while whose entry, last changed at `last`, may only have lapsed.
    fn keep_lapsed(&self, id: SmolStr, last: Revision, now: Time) {
        let state = self.state.clone();
        slog::info!(state.log, "endpoint may have lapsed"; "endpoint" => id.as_str(),
            "last" => last.0);
        state.lapsed.borrow_mut().insert(id.clone(), now);
        spawn_local(async move {
            sleep(LAPSE_FOR).await;
            // Back meanwhile, or gone a second time with a later task to see to it.
            let is_still = state.lapsed.borrow().get(&id) == Some(&now);
            if is_still {
                state.lapsed.borrow_mut().remove(&id);
                state.apply(Update::EndpointRemoved { id, last_revision: last });
            }
        });
    }

    fn set_evacuated(&self, as_of: Revision) {
        let zones = self.evacuated.iter().map(ZoneName::new).collect();
        self.state.apply(Update::Evacuations { as_of, zones });
    }

    /// `ago` is `None` where nobody knows how long the version has been named.
    fn take_weights(&mut self, object: &Object, ago: Option<Duration>) {
        let Some(newest) = weights::scan_newest(object) else {
            slog::warn!(self.state.log, "weights cannot be read"; "name" => object.name.as_str());
            return;
        };
        let weights::Newest { model, version } = newest;
        self.state.apply(Update::Weights { model, version, age: ago });
    }
}
