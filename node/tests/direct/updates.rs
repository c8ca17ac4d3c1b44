use std::net::SocketAddr;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::catalog::CallerLimits;
use mastichaven_core::direct::catalog::Catalog;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::replication::Ages;
use mastichaven_core::direct::replication::Update;
use mastichaven_core::ids::Revision;
use mastichaven_core::ids::ServiceName;
use mastichaven_core::ids::ZoneName;
use mastichaven_node::direct::load_reports::NamedVersion;
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
    state_with(1)
}

/// The state of an entry whose fleet listens at `agent_port`; its seed is nowhere.
pub fn state_with(agent_port: u16) -> State {
    let mut cfg: DirectSettings = toml::from_str(SETTINGS).expect("complete settings");
    cfg.agent_port = agent_port;
    cfg.seeds = vec![SocketAddr::from(([127, 0, 0, 3], 1))];
    State::new(cfg, slog::Logger::root(slog::Discard, slog::o!()), 1)
}

pub fn listed(id: &str) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        revision: Revision(1),
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
    let listed = ids.iter().map(|id| listed(id)).collect();
    state.apply(Update::Endpoints { as_of: Revision(as_of), listed, lapsed: Vec::new() });
}

fn known(state: &State) -> Vec<String> {
    let mut ids: Vec<String> = state.endpoints.borrow().ids().map(|id| id.to_string()).collect();
    ids.sort();
    ids
}

fn apply_snapshot(from: &State, to: &State) {
    to.is_following.set(true);
    from.snapshot(None).into_iter().for_each(|update| to.apply(update));
}

// A parent that the store turned away keeps a lapsed endpoint, and a new follower sends requests there again.
#[test]
fn snapshot_does_not_bring_back_what_a_follower_saw_leave() {
    let (parent, follower) = (state(), state());
    for entry in [&parent, &follower] {
        apply_endpoints(entry, 1, &["i-left", "i-stays"]);
    }
    follower.apply(Update::EndpointRemoved { id: "i-left".into(), last_revision: Revision(1) });
    parent.lapsed.borrow_mut().insert("i-left".into(), Time::ZERO);
    apply_snapshot(&parent, &follower);
    assert_eq!(known(&follower), ["i-stays"]);
}

// A live endpoint whose entry lapsed during an outage is lost to the entries that follow.
#[test]
fn snapshot_keeps_lapsed_endpoints_that_a_follower_knows() {
    let (parent, follower) = (state(), state());
    apply_endpoints(&parent, 1, &["i-lapsed"]);
    apply_endpoints(&follower, 1, &["i-lapsed", "i-unknown"]);
    parent.lapsed.borrow_mut().insert("i-lapsed".into(), Time::ZERO);
    apply_snapshot(&parent, &follower);
    assert_eq!(known(&follower), ["i-lapsed"]);
}

// A parent cut off from the store lists an endpoint that has left, and a new follower sends requests there.
#[test]
fn snapshot_does_not_bring_back_what_an_older_list_still_shows() {
    let (parent, follower) = (state(), state());
    apply_endpoints(&parent, 3, &["i-left", "i-stays"]);
    apply_endpoints(&follower, 3, &["i-left", "i-stays"]);
    apply_endpoints(&follower, 5, &["i-stays"]);
    apply_snapshot(&parent, &follower);
    assert_eq!(known(&follower), ["i-stays"]);
}

// A new endpoint is lost to an older list.
#[test]
fn snapshot_keeps_what_an_older_list_does_not_show_yet() {
    let (parent, follower) = (state(), state());
    apply_endpoints(&parent, 3, &["i-stays"]);
    apply_endpoints(&follower, 5, &["i-new", "i-stays"]);
    apply_snapshot(&parent, &follower);
    assert_eq!(known(&follower), ["i-new", "i-stays"]);
}

// An older state brings a zone back that was taken out of service.
#[test]
fn snapshot_does_not_return_a_zone_that_an_older_state_shows_in_service() {
    let (parent, follower) = (state(), state());
    let zone = ZoneName::new("zone-a");
    parent.apply(Update::Evacuations { as_of: Revision(3), zones: Vec::new() });
    follower.apply(Update::Evacuations { as_of: Revision(5), zones: vec![zone.clone()] });
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

// An entry that starts takes requests before it knows which versions and zones are barred.
#[test]
fn knows_all_needs_all_that_decides_where_requests_go() {
    let state = state();
    configure(&state);
    let now = state.now();
    let age = Some(Duration::ZERO);
    let but_weights = Ages { config: age, endpoints: age, evacuations: age, weights: None };
    state.confirm(now, &but_weights);
    assert!(!state.knows_all());
    state.confirm(now, &Ages { weights: age, ..but_weights });
    assert!(state.knows_all());
}

// A report that waited on a full link makes a version look younger, and requests go to the older one too long.
#[test]
fn apply_report_dates_a_version_whose_report_was_long_under_way() {
    let state = state();
    state.apply(Update::Weights { model: "m".into(), version: 1, age: None });
    let named = NamedVersion { model: "m".into(), version: 2, known_for_ms: 200 };
    let msg = ReportMessage {
        port: 9,
        report: None,
        asked_us: Time::from_millis(8_500).as_micros(),
        held_us: 100_000,
        setup: 0,
        named: vec![named],
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    state.apply_report(&msg, address, Time::from_millis(10_000));
    let announced_at = state.versions.borrow()["m"].announced_at(2);
    assert_eq!(announced_at, Some(Time::from_millis(8_400)));
}

// A parent that started during an outage of the store cannot date a version; its followers barred the older
// weights at once and had nothing to answer from until the new ones were loaded.
#[test]
fn apply_dates_a_version_that_its_parent_cannot_date() {
    let state = state();
    let read_before = Ages { weights: Some(Duration::ZERO), ..Ages::default() };
    state.confirm(state.now(), &read_before);
    state.apply(Update::Weights { model: "m".into(), version: 3, age: None });
    assert_eq!(state.oldest_weights("m", state.now()), 0);
}

// An entry that has just started must not take a version for new that may have been named long ago.
#[test]
fn apply_takes_a_version_without_date_as_long_named_after_a_start() {
    let state = state();
    state.apply(Update::Weights { model: "m".into(), version: 3, age: None });
    assert_eq!(state.oldest_weights("m", state.now()), 3);
}
