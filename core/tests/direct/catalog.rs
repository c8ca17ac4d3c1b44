use std::time::Duration;

use mastichaven_core::direct::catalog::CallerLimits;
use mastichaven_core::direct::catalog::Catalog;
use mastichaven_core::direct::catalog::Customer;
use mastichaven_core::direct::catalog::Repeat;
use mastichaven_core::direct::catalog::Route;
use mastichaven_core::direct::catalog::Split;
use mastichaven_core::ids::CustomerName;
use mastichaven_core::ids::ServiceName;
use smol_str::SmolStr;

fn route(name: &str, host: &str, prefix: &str, repeat: Repeat) -> Route {
    let split = |service, weight| Split { service: ServiceName::new(service), weight };
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        repeat,
        is_stream: false,
        timeout: Duration::from_secs(4),
        objective: Duration::from_millis(300),
        rank: 1,
        max_attempts: 2,
        is_open: false,
        regions: Vec::new(),
        splits: vec![split("old", 9.0), split("new", 1.0)],
    }
}

fn catalog(routes: Vec<Route>) -> Catalog {
    let limits = CallerLimits {
        head_len: 16_384,
        body_len: 1 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let customer = |name| Customer { name: CustomerName::new(name), rank: None, regions: vec![] };
    let keys = |keys: &[&str]| keys.iter().map(SmolStr::new).collect();
    let customers =
        vec![(customer("crews"), keys(&["a", "b"])), (customer("members"), keys(&["c"]))];
    Catalog::new(7, routes, Vec::new(), customers, limits)
}

#[test]
fn route_takes_the_longest_prefix() {
    let catalog = catalog(vec![
        route("short", "h", "/a/", Repeat::Idempotent),
        route("long", "h", "/a/b/", Repeat::Idempotent),
        route("other", "i", "/a/b/c/", Repeat::Idempotent),
    ]);
    let found = |host, path| catalog.route(host, path).map(|route| route.name.as_str());
    assert_eq!(found("h", "/a/b/c"), Some("long"));
    assert_eq!(found("h", "/a/x"), Some("short"));
    assert_eq!(found("h", "/a"), None);
    assert_eq!(found("j", "/a/b/"), None);
}

#[test]
fn service_follows_the_weights() {
    let route = route("r", "h", "/", Repeat::Idempotent);
    let service = |draw| route.service(draw).map(|name| name.as_str().to_owned());
    assert_eq!(service(0.0).as_deref(), Some("old"));
    assert_eq!(service(0.89).as_deref(), Some("old"));
    assert_eq!(service(0.91).as_deref(), Some("new"));
    assert_eq!(service(1.0).as_deref(), Some("new"));
}

#[test]
fn customer_is_found_by_each_key() {
    let catalog = catalog(Vec::new());
    let name = |key| catalog.customer(key).map(|customer| customer.name.as_str().to_owned());
    assert_eq!(name("a").as_deref(), Some("crews"));
    assert_eq!(name("b").as_deref(), Some("crews"));
    assert_eq!(name("c").as_deref(), Some("members"));
    assert_eq!(name("d"), None);
}

// An agent that cuts off what runs relies on entries to continue it elsewhere. One route whose
// answers cannot be continued would lose its callers' answers at each new version.
#[test]
fn is_all_resumable_needs_every_route() {
    let service = ServiceName::new("old");
    let one = catalog(vec![route("r", "h", "/a/", Repeat::Resumable)]);
    assert!(one.is_all_resumable(&service));
    let mixed = catalog(vec![
        route("r", "h", "/a/", Repeat::Resumable),
        route("s", "h", "/b/", Repeat::Once),
    ]);
    assert!(!mixed.is_all_resumable(&service));
}

// An entry passes its configuration on in parts. A customer whose key went astray on the way would be
// refused by some entries and served by others.
#[test]
fn parts_make_the_same_catalog() {
    let first = catalog(vec![route("r", "h", "/a/", Repeat::Once)]);
    let again = Catalog::from_parts(first.parts());
    assert_eq!(again.version(), first.version());
    assert!(again.route("h", "/a/x").is_some() && again.has_customers());
    for key in ["a", "b", "c", "d"] {
        assert_eq!(again.customer(key), first.customer(key));
    }
}
