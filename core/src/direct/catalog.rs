//! Configuration of the direct path: routes indexed by host and path prefix, customers indexed by key.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use smol_str::SmolStr;

use super::priority::PriorityClass;
use super::work::EngineRates;
use crate::ids::CustomerName;
use crate::ids::Digest;
use crate::ids::RegionName;
use crate::ids::ServiceName;

/// How a request may be retried when its outcome is unknown.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RetryPolicy {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The response is an event stream that another endpoint can resume after the last event.
    Resumable,
}

/// A weighted target of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Split {
    /// Service that receives this part of the requests.
    pub service: ServiceName,
    /// Weight relative to the other splits of the route.
    pub weight: f64,
}

/// Routing of the requests with one host and path prefix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route in logs.
    pub name: SmolStr,
    /// Value of the caller's `Host` header, without a port.
    pub host: SmolStr,
    /// Path prefix; it begins and ends with a slash.
    pub prefix: SmolStr,
    /// How its requests may be retried.
    pub retry_policy: RetryPolicy,
    /// Whether the response is an event stream.
    pub is_stream: bool,
    /// Time without an event, also before the first one, after which callers abandon a stream; `None` for
    /// other responses.
    pub event_patience: Option<Duration>,
    /// Maximum time that a caller waits.
    pub timeout: Duration,
    /// Latency objective set by the operator.
    pub objective: Duration,
    /// Priority among routes; 0 is the highest.
    pub rank: u32,
    /// Maximum number of endpoints that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests without a key are accepted.
    pub allows_anonymous: bool,
    /// Regions that may serve the route; empty means all.
    pub allowed_regions: Vec<RegionName>,
    /// Target services with their weights.
    pub splits: Vec<Split>,
}

impl Route {
    /// Picks the service for a request by the random number `draw`, between 0 and 1.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: f64 = self.splits.iter().map(|split| split.weight).sum();
        let mut remaining = draw * total;
        for split in &self.splits {
            remaining -= split.weight;
            if remaining < 0.0 {
                return Some(&split.service);
            }
        }
        self.splits.last().map(|split| &split.service)
    }
}

/// A service and the properties that its endpoints share.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Unique name of the service.
    pub name: ServiceName,
    /// Capacity of a cold endpoint in requests per second; 0 means that endpoints need no slow start.
    pub cold_per_second: f64,
    /// Model that the endpoints run; `None` unless this is a model service.
    pub model: Option<ModelShape>,
    /// Origin of weights that this service provides; `None` if it provides none.
    pub origin: Option<Origin>,
}

/// Dimensions of a model and of the chunks into which its weights are divided.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ModelShape {
    /// Name of the model.
    pub name: SmolStr,
    /// Number of layers.
    pub layers: u32,
    /// Number of chunks of each version.
    pub chunks: u32,
    /// Size of a chunk in bytes.
    pub chunk_len: u32,
}

/// A server from which weights can be downloaded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Origin {
    /// Address at which the origin listens.
    pub address: SocketAddr,
    /// Availability zone of the origin.
    pub zone: crate::ids::ZoneName,
}

/// Settings that an endpoint's agent needs to maintain the weights of its service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ModelSetup {
    /// Dimensions of the model.
    pub model: ModelShape,
    /// Origin of the weights; `None` if none is configured.
    pub origin: Option<Origin>,
    /// Whether another endpoint can resume every interrupted stream of the service.
    pub is_resumable: bool,
}

impl ModelSetup {
    /// A 32-bit hash of the setup. Different setups collide with a probability of one in 4 billion.
    pub fn fingerprint(&self) -> u32 {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        let digest = Digest::of(&bytes);
        u32::from_le_bytes([digest.0[0], digest.0[1], digest.0[2], digest.0[3]])
    }
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub max_head_len: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_len: usize,
    /// Maximum time to receive a request head.
    pub head_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A customer, identified by its keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Customer {
    /// Name of the customer; it is passed on to endpoints.
    pub name: CustomerName,
    /// Priority of the customer's requests; `None` means that the route's rank applies.
    pub rank: Option<u32>,
    /// Regions that may serve the customer; empty means all.
    pub allowed_regions: Vec<RegionName>,
}

/// A configuration in the form in which entries replicate it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CatalogParts {
    /// Version of the configuration; a higher version is newer.
    pub version: u64,
    /// Routes of all hosts.
    pub routes: Vec<Route>,
    /// Services that routes refer to.
    pub services: Vec<Service>,
    /// Customers, each with its keys.
    pub customers: Vec<(Customer, Vec<SmolStr>)>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// Rates of the engines of services, where they are configured. Earlier releases send none.
    #[serde(deserialize_with = "deserialize_if_present")]
    pub rates: Vec<(ServiceName, EngineRates)>,
}

/// Deserializes the last field of a message; the default if the sender's message ends before it.
fn deserialize_if_present<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Default + Deserialize<'de>,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
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
    /// Pairs of ranks that occur for each service with several levels, the highest first.
    levels: HashMap<ServiceName, Vec<RankPair>>,
    rates: Vec<(ServiceName, EngineRates)>,
}

/// Rank of a customer, which takes precedence, and rank of a route.
type RankPair = (u32, u32);

/// Pairs of ranks that occur for each service whose routes have several ranks, the highest first.
/// O(routes x ranks of customers).
fn levels_of(routes: &[Route], customers: &[Customer]) -> HashMap<ServiceName, Vec<RankPair>> {
    let ranks: BTreeSet<u32> = customers.iter().filter_map(|customer| customer.rank).collect();
    let has_unranked = customers.is_empty() || customers.iter().any(|c| c.rank.is_none());
    let mut by_service: HashMap<ServiceName, BTreeSet<RankPair>> = HashMap::new();
    let mut route_ranks: HashMap<ServiceName, BTreeSet<u32>> = HashMap::new();
    for route in routes {
        for split in route.splits.iter().filter(|split| split.weight > 0.0) {
            route_ranks.entry(split.service.clone()).or_default().insert(route.rank);
            let pairs = by_service.entry(split.service.clone()).or_default();
            pairs.extend(ranks.iter().map(|rank| (*rank, route.rank)));
            if has_unranked || route.allows_anonymous {
                pairs.insert((route.rank, route.rank));
            }
        }
    }
    by_service.retain(|service, _| route_ranks.get(service).is_some_and(|ranks| ranks.len() > 1));
    by_service.into_iter().map(|(name, pairs)| (name, pairs.into_iter().collect())).collect()
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
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|n| std::cmp::Reverse(routes[*n as usize].prefix.len()));
        }
        let mut by_key = HashMap::new();
        let mut without_keys = Vec::with_capacity(customers.len());
        for (n, (customer, keys)) in customers.into_iter().enumerate() {
            without_keys.push(customer);
            by_key.extend(keys.into_iter().map(|key| (key, n as u32)));
        }
        let levels = levels_of(&routes, &without_keys);
        Catalog {
            version,
            routes,
            by_host,
            services,
            customers: without_keys,
            by_key,
            limits,
            levels,
            rates: Vec::new(),
        }
    }

    /// This configuration with the rates of the engines of services.
    pub fn with_rates(self, rates: Vec<(ServiceName, EngineRates)>) -> Catalog {
        Catalog { rates, ..self }
    }

    /// Rates of the engines of a service, if they are configured. O(services).
    pub fn rates(&self, service: &ServiceName) -> Option<EngineRates> {
        self.rates.iter().find(|(name, _)| name == service).map(|(_, rates)| *rates)
    }

    /// Indexes a configuration received from another entry. O(routes log routes + keys).
    pub fn from_parts(parts: CatalogParts) -> Catalog {
        let CatalogParts { version, routes, services, customers, limits, rates } = parts;
        Catalog::new(version, routes, services, customers, limits).with_rates(rates)
    }

    /// Returns the configuration without its indexes. O(routes + keys).
    pub fn to_parts(&self) -> CatalogParts {
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
            rates: self.rates.clone(),
        }
    }

    /// Version of the configuration; a higher version is newer.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Finds the route of `host` with the longest prefix of `path`. O(routes of the host).
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.by_host.get(host)?;
        let by_prefix_len = routes.iter().map(|n| &self.routes[*n as usize]);
        by_prefix_len.into_iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Finds the customer that owns `key`.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.by_key.get(key).map(|n| &self.customers[*n as usize])
    }

    /// Whether any customer is configured. Without customers, requests need no key.
    pub fn has_customers(&self) -> bool {
        !self.customers.is_empty()
    }

    /// Finds a service by name. O(services).
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Class of a call of `customer` on `route` among the levels of a service. There is one level
    /// unless the routes of the service have several ranks. O(levels).
    pub fn priority_class(
        &self,
        service: &ServiceName,
        route: &Route,
        customer: Option<&Customer>,
    ) -> PriorityClass {
        let Some(pairs) = self.levels.get(service) else {
            return PriorityClass::SINGLE;
        };
        let customer_rank = customer.and_then(|customer| customer.rank).unwrap_or(route.rank);
        let position = pairs.partition_point(|pair| *pair < (customer_rank, route.rank));
        PriorityClass::from_position(position, pairs.len())
    }

    /// Whether every route to `service` is resumable.
    pub fn has_only_resumable_routes(&self, service: &ServiceName) -> bool {
        let targets_service = |route: &&Route| route.splits.iter().any(|s| s.service == *service);
        let mut routes = self.routes.iter().filter(targets_service);
        routes.all(|route| route.retry_policy == RetryPolicy::Resumable)
    }

    /// Settings for the agents of a service's endpoints; `None` unless the service runs a model.
    pub fn model_setup(&self, service: &ServiceName) -> Option<ModelSetup> {
        let model = self.service(service)?.model.clone()?;
        let origin = self.origin().cloned();
        Some(ModelSetup { model, origin, is_resumable: self.has_only_resumable_routes(service) })
    }

    /// All services, in the order of the configuration.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.iter()
    }

    /// The first configured origin of weights; `None` if there is none.
    pub fn origin(&self) -> Option<&Origin> {
        self.services.iter().find_map(|service| service.origin.as_ref())
    }

    /// Limits on requests and connections of callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}
