//! The configuration of the direct path: routes by host and prefix, customers by key.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ids::CustomerName;
use crate::ids::Digest;
use crate::ids::RegionName;
use crate::ids::ServiceName;

/// What may be done again with a request whose outcome is not known.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Repeat {
    /// It may run any number of times.
    Idempotent,
    /// It may run once.
    Once,
    /// Its answer is a stream of events, which another endpoint may continue after the last one.
    Resumable,
}

/// A share of a route's requests that goes to one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Split {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the splits of the route.
    pub weight: f64,
}

/// Where the requests of one host and path prefix go.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// The name in logs.
    pub name: SmolStr,
    /// The caller's `Host`, without a port.
    pub host: SmolStr,
    /// Leading part of the path, which begins and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// The longest time a caller is kept waiting.
    pub timeout: Duration,
    /// The latency that the operator aims at.
    pub objective: Duration,
    /// Rank among routes; 0 goes first.
    pub rank: u32,
    /// Endpoints that one request may be sent to at most.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_open: bool,
    /// Regions that may serve it; empty means all.
    pub regions: Vec<RegionName>,
    /// The services, with their weights.
    pub splits: Vec<Split>,
}

impl Route {
    /// The service for a request that drew `draw` from 0 to 1.
    pub fn service(&self, draw: f64) -> Option<&ServiceName> {
        let total: f64 = self.splits.iter().map(|split| split.weight).sum();
        let mut left = draw * total;
        for split in &self.splits {
            left -= split.weight;
            if left < 0.0 {
                return Some(&split.service);
            }
        }
        self.splits.last().map(|split| &split.service)
    }
}

/// A service and how its endpoints behave.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Requests a second that a cold endpoint bears; 0 means that it is never cold.
    pub cold_per_second: f64,
    /// The model that its endpoints run, if it is one.
    pub model: Option<ModelShape>,
    /// Where weights come from, if this service is an origin of weights.
    pub origin: Option<Origin>,
}

/// How the weights of a model service are cut.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ModelShape {
    /// The model.
    pub name: SmolStr,
    /// Layers of the model.
    pub layers: u32,
    /// Chunks of a version.
    pub chunks: u32,
    /// Bytes of a chunk.
    pub chunk_len: u32,
}

/// An origin of weights.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Origin {
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone it stands in.
    pub zone: crate::ids::ZoneName,
}

/// What the agent of an endpoint has to know of its service to keep its weights.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ModelSetup {
    /// The model.
    pub model: ModelShape,
    /// Where its weights come from.
    pub origin: Option<Origin>,
    /// Whether another endpoint can go on with every stream that is cut off.
    pub is_resumable: bool,
}

impl ModelSetup {
    /// A number that two setups share only if they are the same, but for one case in 4 billion.
    pub fn id(&self) -> u32 {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        let digest = Digest::of(&bytes);
        u32::from_le_bytes([digest.0[0], digest.0[1], digest.0[2], digest.0[3]])
    }
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_len: usize,
    /// Bytes of a request's body.
    pub body_len: usize,
    /// Time for a head to arrive.
    pub head_timeout: Duration,
    /// Time a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Customer {
    /// Its name, which endpoints are told.
    pub name: CustomerName,
    /// Its rank, which goes before that of routes.
    pub rank: Option<u32>,
    /// Regions that may serve it; empty means all.
    pub regions: Vec<RegionName>,
}

/// What a configuration holds, as one entry passes it on to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CatalogParts {
    /// The version; a higher one is newer.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The customers with their keys.
    pub customers: Vec<(Customer, Vec<SmolStr>)>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
}

/// One version of the configuration, indexed for lookups.
#[derive(Clone, Debug)]
pub struct Catalog {
    version: u64,
    routes: Vec<Route>,
    by_host: HashMap<SmolStr, Vec<u32>>,
    services: Vec<Service>,
    customers: Vec<Customer>,
    by_key: HashMap<SmolStr, u32>,
    limits: CallerLimits,
}

impl Catalog {
    /// Indexes a configuration. O(routes log routes + keys).
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        customers: Vec<(Customer, Vec<SmolStr>)>,
        limits: CallerLimits,
    ) -> Catalog {
        let mut by_host: HashMap<SmolStr, Vec<u32>> = HashMap::new();
        for (n, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(n as u32);
        }
        for list in by_host.values_mut() {
            list.sort_by_key(|n| std::cmp::Reverse(routes[*n as usize].prefix.len()));
        }
        let mut by_key = HashMap::new();
        let mut names = Vec::with_capacity(customers.len());
        for (n, (customer, keys)) in customers.into_iter().enumerate() {
            names.push(customer);
            by_key.extend(keys.into_iter().map(|key| (key, n as u32)));
        }
        Catalog { version, routes, by_host, services, customers: names, by_key, limits }
    }

    /// Indexes parts that came from another entry.
    pub fn from_parts(parts: CatalogParts) -> Catalog {
        let CatalogParts { version, routes, services, customers, limits } = parts;
        Catalog::new(version, routes, services, customers, limits)
    }

    /// The parts of which it was made. O(routes + keys).
    pub fn parts(&self) -> CatalogParts {
        let mut customers: Vec<(Customer, Vec<SmolStr>)> =
            self.customers.iter().map(|customer| (customer.clone(), Vec::new())).collect();
        for (key, n) in &self.by_key {
            customers[*n as usize].1.push(key.clone());
        }
        CatalogParts {
            version: self.version,
            routes: self.routes.clone(),
            services: self.services.clone(),
            customers,
            limits: self.limits,
        }
    }

    /// Its version; a higher one is newer.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The route with the longest prefix of `path` among those of `host`. O(routes of the host).
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.by_host.get(host)?;
        let found = routes.iter().map(|n| &self.routes[*n as usize]);
        found.into_iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// The customer that holds `key`.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.by_key.get(key).map(|n| &self.customers[*n as usize])
    }

    /// Whether requests need a key at all.
    pub fn has_customers(&self) -> bool {
        !self.customers.is_empty()
    }

    /// The service of a name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Whether every request of a service can be continued at another endpoint.
    pub fn is_all_resumable(&self, service: &ServiceName) -> bool {
        let leads_there = |route: &&Route| route.splits.iter().any(|s| s.service == *service);
        let mut routes = self.routes.iter().filter(leads_there);
        routes.all(|route| route.repeat == Repeat::Resumable)
    }

    /// What agents of a service's endpoints have to know, if it runs a model.
    pub fn setup(&self, service: &ServiceName) -> Option<ModelSetup> {
        let model = self.service(service)?.model.clone()?;
        let origin = self.origin().cloned();
        Some(ModelSetup { model, origin, is_resumable: self.is_all_resumable(service) })
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.iter()
    }

    /// The origin of weights, if there is one.
    pub fn origin(&self) -> Option<&Origin> {
        self.services.iter().find_map(|service| service.origin.as_ref())
    }

    /// Bounds on what callers send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}
