use std::time::Duration;

use mastichaven_core::direct::catalog::CallerLimits;
use mastichaven_core::direct::catalog::Catalog;
use mastichaven_core::direct::catalog::Customer;
use mastichaven_core::direct::catalog::RetryPolicy;
use mastichaven_core::direct::catalog::Route;
use mastichaven_core::direct::catalog::Split;
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
