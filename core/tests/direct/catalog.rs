use std::time::Duration;

use mastichaven_core::direct::catalog::CallerLimits;
use mastichaven_core::direct::catalog::Catalog;
use mastichaven_core::direct::catalog::CatalogParts;
use mastichaven_core::direct::catalog::Customer;
use mastichaven_core::direct::catalog::RetryPolicy;
use mastichaven_core::direct::catalog::Route;
use mastichaven_core::direct::catalog::Split;
use mastichaven_core::direct::work::EngineRates;
use mastichaven_core::direct::work::Work;
use mastichaven_core::ids::CustomerName;
use mastichaven_core::ids::ServiceName;
use smol_str::SmolStr;

fn route(name: &str, host: &str, prefix: &str, retry_policy: RetryPolicy) -> Route {
    let split = |service, weight| Split { service: ServiceName::new(service), weight };
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        retry_policy,
        is_stream: false,
        event_patience: None,
        timeout: Duration::from_secs(4),
        objective: Duration::from_millis(300),
        rank: 1,
        max_attempts: 2,
        allows_anonymous: false,
        allowed_regions: Vec::new(),
        splits: vec![split("old", 9.0), split("new", 1.0)],
    }
}

fn catalog(routes: Vec<Route>) -> Catalog {
    let limits = CallerLimits {
        max_head_len: 16_384,
        max_body_len: 1 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let customer =
        |name| Customer { name: CustomerName::new(name), rank: None, allowed_regions: vec![] };
    let keys = |keys: &[&str]| keys.iter().map(SmolStr::new).collect();
    let customers =
        vec![(customer("crews"), keys(&["a", "b"])), (customer("members"), keys(&["c"]))];
    Catalog::new(7, routes, Vec::new(), customers, limits)
}

#[test]
fn route_prefers_longest_prefix() {
    let catalog = catalog(vec![
        route("short", "h", "/a/", RetryPolicy::Idempotent),
        route("long", "h", "/a/b/", RetryPolicy::Idempotent),
        route("other", "i", "/a/b/c/", RetryPolicy::Idempotent),
    ]);
    let found = |host, path| catalog.route(host, path).map(|route| route.name.as_str());
    assert_eq!(found("h", "/a/b/c"), Some("long"));
    assert_eq!(found("h", "/a/x"), Some("short"));
    assert_eq!(found("h", "/a"), None);
    assert_eq!(found("j", "/a/b/"), None);
}

#[test]
fn pick_service_by_weight() {
    let route = route("r", "h", "/", RetryPolicy::Idempotent);
    let service = |draw| route.pick_service(draw).map(|name| name.as_str().to_owned());
    assert_eq!(service(0.0).as_deref(), Some("old"));
    assert_eq!(service(0.89).as_deref(), Some("old"));
    assert_eq!(service(0.91).as_deref(), Some("new"));
    assert_eq!(service(1.0).as_deref(), Some("new"));
}

#[test]
fn customer_by_any_of_its_keys() {
    let catalog = catalog(Vec::new());
    let name = |key| catalog.customer(key).map(|customer| customer.name.as_str().to_owned());
    assert_eq!(name("a").as_deref(), Some("crews"));
    assert_eq!(name("b").as_deref(), Some("crews"));
    assert_eq!(name("c").as_deref(), Some("members"));
    assert_eq!(name("d"), None);
}

// Guards against lost responses at each new version: an agent aborts running streams only if entries can resume
// all of them at another endpoint.
#[test]
fn has_only_resumable_routes_requires_all_routes() {
    let service = ServiceName::new("old");
    let one = catalog(vec![route("r", "h", "/a/", RetryPolicy::Resumable)]);
    assert!(one.has_only_resumable_routes(&service));
    let mixed = catalog(vec![
        route("r", "h", "/a/", RetryPolicy::Resumable),
        route("s", "h", "/b/", RetryPolicy::AtMostOnce),
    ]);
    assert!(!mixed.has_only_resumable_routes(&service));
}

/// Level and levels of a call on each of the routes, by a customer of `rank`.
fn classes(catalog: &Catalog, rank: Option<u32>, routes: &[Route]) -> Vec<(u8, u8)> {
    let name = CustomerName::new("c");
    let customer = Customer { name, rank, allowed_regions: vec![] };
    let class_of = |route: &Route| {
        let class = catalog.priority_class(&ServiceName::new("old"), route, Some(&customer));
        (class.level, class.levels)
    };
    routes.iter().map(class_of).collect()
}

fn ranked_catalog(route_ranks: &[u32], customer_ranks: &[Option<u32>]) -> (Catalog, Vec<Route>) {
    let ranked =
        |rank: &u32| Route { rank: *rank, ..route("r", "h", "/", RetryPolicy::Idempotent) };
    let routes: Vec<Route> = route_ranks.iter().map(ranked).collect();
    let mut parts = catalog(routes.clone()).to_parts();
    parts.customers = customer_ranks
        .iter()
        .map(|rank| {
            let name = CustomerName::new("c");
            (Customer { name, rank: *rank, allowed_regions: vec![] }, Vec::new())
        })
        .collect();
    (Catalog::from_parts(parts), routes)
}

// A service would be given levels that no caller has, or order routes before customers.
#[test]
fn priority_class_orders_customers_before_routes() {
    let (catalog, routes) = ranked_catalog(&[0, 1, 2], &[Some(0), Some(1), Some(1)]);
    assert_eq!(classes(&catalog, Some(0), &routes), [(0, 6), (1, 6), (2, 6)]);
    assert_eq!(classes(&catalog, Some(1), &routes), [(3, 6), (4, 6), (5, 6)]);
    let (unranked, routes) = ranked_catalog(&[0, 2], &[None]);
    assert_eq!(classes(&unranked, None, &routes), [(0, 2), (1, 2)]);
}

// Deployments with routes of one rank are served as before, though a customer has a higher rank.
#[test]
fn priority_class_is_single_with_routes_of_one_rank() {
    let (catalog, routes) = ranked_catalog(&[1, 1], &[Some(0), Some(1), None]);
    assert_eq!(classes(&catalog, Some(0), &routes), [(0, 1), (0, 1)]);
    assert_eq!(classes(&catalog, Some(1), &routes), [(0, 1), (0, 1)]);
}

// Entries replicate the configuration in parts. A customer whose key is lost in the conversion would be rejected
// by some entries and served by others.
#[test]
fn to_parts_round_trip() {
    let first = catalog(vec![route("r", "h", "/a/", RetryPolicy::AtMostOnce)]);
    let again = Catalog::from_parts(first.to_parts());
    assert_eq!(again.version(), first.version());
    assert!(again.route("h", "/a/x").is_some() && again.has_customers());
    for key in ["a", "b", "c", "d"] {
        assert_eq!(again.customer(key), first.customer(key));
    }
}

// During an upgrade, entries of both releases replicate the configuration to each other.
#[test]
fn rates_are_optional_in_replicated_form() {
    let usual = Work { prompt: 500, answer: 80 };
    let rates = EngineRates {
        step_ms: 8.0,
        per_seq_ms: 0.5,
        context_per_k: 0.2,
        read_per_s: 10_000.0,
        pairs_per_m: 2.0,
        chunk: 512,
        stride: 4,
        usual,
    };
    let service = ServiceName::new("old");
    let with = catalog(Vec::new()).with_rates(vec![(service.clone(), rates)]);
    let parts = with.to_parts();
    let bytes = postcard::to_stdvec(&parts).unwrap();
    let decoded: CatalogParts = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(Catalog::from_parts(decoded).rates(&service), Some(rates));
    let CatalogParts { version, routes, services, customers, limits, .. } = parts;
    let earlier = postcard::to_stdvec(&(version, routes, services, customers, limits)).unwrap();
    assert!(bytes.starts_with(&earlier), "an earlier release reads what it knows");
    let decoded: CatalogParts = postcard::from_bytes(&earlier).unwrap();
    assert!(decoded.rates.is_empty());
}
