use std::net::SocketAddr;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::catalog::CallerLimits;
use mastichaven_core::direct::catalog::Catalog;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::replication::Ages;
use mastichaven_core::direct::replication::Update;
use mastichaven_core::ids::ServiceName;
use mastichaven_core::ids::StorePosition;
use mastichaven_core::ids::ZoneName;
use mastichaven_node::direct::load_reports::AnnouncedVersion;
use mastichaven_node::direct::load_reports::ReportMessage;
use mastichaven_node::direct::settings::DirectSettings;
use mastichaven_node::direct::state::State;

pub const SETTINGS: &str = r#"
host = "entry-1"
ip = "127.0.0.1"
zone = "zone-a"
store = "127.0.0.1:1"
agent_port = 1
metrics_port = 2
[regions]
zone-a = "region-a"
[bounds]
key_revocation_ms = 5000
weights_ms = 3000
leave_ms = 2000
stop_s = 8.0
repeat_ratio = 0.2
repeat_slack = 100.0
repeat_window_s = 10.0
[limits]
descriptors = 1000
memory_mb = 200
"#;

fn state() -> State {
    state_with_agent_port(1)
}

/// Creates the state of an entry in a fleet that listens on `agent_port`. Its only seed is
/// unreachable.
pub fn state_with_agent_port(agent_port: u16) -> State {
    let mut cfg: DirectSettings = toml::from_str(SETTINGS).expect("complete settings");
    cfg.agent_port = agent_port;
    cfg.seeds = vec![SocketAddr::from(([127, 0, 0, 3], 1))];
    State::new(cfg, slog::Logger::root(slog::Discard, slog::o!()), 1)
}

pub fn endpoint_record(id: &str) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        revision: StorePosition::new(0, 1),
        service: ServiceName::new("writer"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: ZoneName::new("zone-a"),
        slots: 16,
        is_draining: false,
        cold_remaining: Duration::ZERO,
        weights: Vec::new(),
        is_engine: false,
        started_ms: 1,
    }
}

fn apply_endpoints(state: &State, as_of: u64, ids: &[&str]) {
    let listed = ids.iter().map(|id| endpoint_record(id)).collect();
    state.apply(Update::Endpoints {
        as_of: StorePosition::new(0, as_of),
        listed,
        lapsed: Vec::new(),
    });
}

fn endpoint_ids(state: &State) -> Vec<String> {
    let mut ids: Vec<String> = state.endpoints.borrow().ids().map(|id| id.to_string()).collect();
    ids.sort();
    ids
}

fn apply_snapshot(from: &State, to: &State) {
    to.is_following.set(true);
    from.snapshot(None).into_iter().for_each(|update| to.apply(update));
}

// A parent that cannot read the store keeps a lapsed endpoint, and a new follower that saw it leave
// sends requests to it again.
#[test]
fn snapshot_does_not_restore_endpoint_removed_at_follower() {
    let (parent, follower) = (state(), state());
    for entry in [&parent, &follower] {
        apply_endpoints(entry, 1, &["i-left", "i-stays"]);
    }
    follower.apply(Update::EndpointRemoved {
        id: "i-left".into(),
        last_revision: StorePosition::new(0, 1),
    });
    parent.lapsed.borrow_mut().insert("i-left".into(), Time::ZERO);
    apply_snapshot(&parent, &follower);
    assert_eq!(endpoint_ids(&follower), ["i-stays"]);
}

// The followers drop a live endpoint whose record lapsed during a store outage.
#[test]
fn snapshot_keeps_lapsed_endpoints_of_follower() {
    let (parent, follower) = (state(), state());
    apply_endpoints(&parent, 1, &["i-lapsed"]);
    apply_endpoints(&follower, 1, &["i-lapsed", "i-unknown"]);
    parent.lapsed.borrow_mut().insert("i-lapsed".into(), Time::ZERO);
    apply_snapshot(&parent, &follower);
    assert_eq!(endpoint_ids(&follower), ["i-lapsed"]);
}

// A parent that is partitioned from the store lists an endpoint that has left, and a new follower
// sends requests to it.
#[test]
fn older_snapshot_does_not_restore_removed_endpoint() {
    let (parent, follower) = (state(), state());
    apply_endpoints(&parent, 3, &["i-left", "i-stays"]);
    apply_endpoints(&follower, 3, &["i-left", "i-stays"]);
    apply_endpoints(&follower, 5, &["i-stays"]);
    apply_snapshot(&parent, &follower);
    assert_eq!(endpoint_ids(&follower), ["i-stays"]);
}

// A follower drops a new endpoint that an older snapshot does not list yet.
#[test]
fn older_snapshot_keeps_newer_endpoint() {
    let (parent, follower) = (state(), state());
    apply_endpoints(&parent, 3, &["i-stays"]);
    apply_endpoints(&follower, 5, &["i-new", "i-stays"]);
    apply_snapshot(&parent, &follower);
    assert_eq!(endpoint_ids(&follower), ["i-new", "i-stays"]);
}

// An older snapshot returns a zone to service that has been taken out since.
#[test]
fn older_snapshot_does_not_return_zone_to_service() {
    let (parent, follower) = (state(), state());
    let zone = ZoneName::new("zone-a");
    parent.apply(Update::Evacuations { as_of: StorePosition::new(0, 3), zones: Vec::new() });
    follower
        .apply(Update::Evacuations { as_of: StorePosition::new(0, 5), zones: vec![zone.clone()] });
    apply_snapshot(&parent, &follower);
    let evacuated: Vec<ZoneName> = follower.endpoints.borrow().evacuated().cloned().collect();
    assert_eq!(evacuated, [zone]);
}

fn configure(state: &State) {
    let limits = CallerLimits {
        max_head_len: 1 << 10,
        max_body_len: 1 << 10,
        head_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let parts = Catalog::new(1, Vec::new(), Vec::new(), Vec::new(), limits).to_parts();
    state.apply(Update::Config(Box::new(parts)));
}

// An entry that starts accepts requests before it has the versions and zones that it must exclude.
#[test]
fn is_synced_requires_every_kind() {
    let state = state();
    configure(&state);
    let now = state.now();
    let age = Some(Duration::ZERO);
    let without_weights = Ages { config: age, endpoints: age, evacuations: age, weights: None };
    state.confirm(now, &without_weights);
    assert!(!state.is_synced());
    state.confirm(now, &Ages { weights: age, ..without_weights });
    assert!(state.is_synced());
}

// A report that was delayed by a saturated link makes a version look younger than it is, so
// requests are sent to the older one past the bound.
#[test]
fn apply_report_dates_version_of_delayed_report() {
    let state = state();
    state.apply(Update::Weights { model: "m".into(), version: 1, age: None });
    let announced = AnnouncedVersion { model: "m".into(), version: 2, seen_for_ms: 200 };
    let msg = ReportMessage {
        port: 9,
        report: None,
        request_sent_us: Time::from_millis(8_500).as_micros(),
        held_us: 100_000,
        setup: 0,
        announced: vec![announced],
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    state.apply_report(&msg, address, Time::from_millis(10_000));
    let announcement = state.versions.borrow()["m"].announcement(2).expect("a date");
    assert_eq!(announcement.earliest(), Time::from_millis(8_400));
}

// A parent that started during a store outage cannot date a version. Its followers exclude the
// older weights at once and have no endpoint that may serve until the new weights are loaded.
#[test]
fn apply_dates_version_without_age_after_earlier_read() {
    let state = state();
    state.is_following.set(true);
    let earlier_read = Ages { weights: Some(Duration::ZERO), ..Ages::default() };
    state.confirm(state.now(), &earlier_read);
    state.apply(Update::Weights { model: "m".into(), version: 3, age: None });
    assert_eq!(state.oldest_allowed_version("m", state.now()), 0);
}

// An entry that has just started treats a version as new that may have been announced long ago.
#[test]
fn apply_treats_version_without_age_as_old_after_start() {
    let state = state();
    state.apply(Update::Weights { model: "m".into(), version: 3, age: None });
    assert_eq!(state.oldest_allowed_version("m", state.now()), 3);
}
