use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_standins::direct::endpoint::Queue;

use super::fixture::Entry;
use super::fixture::Site;
use super::fixture::until;

/// Time from the arrival of a request at an endpoint until it begins.
const RUN_TIME: Duration = Duration::from_millis(100);

/// Time after which reports no longer describe the load of an endpoint.
const STALE_AFTER: Duration = Duration::from_millis(600);

/// Callers of each route, more than the endpoint has places.
const CALLERS: usize = 6;

/// Sends requests of [`CALLERS`] callers to each path for `duration`. Returns the share of those to
/// each path that were answered.
fn send_for(entry: &Entry, paths: [&str; 2], duration: Duration) -> [f64; 2] {
    let ends_at = Instant::now() + duration;
    let call = |path: &str, caller: usize| {
        let (mut sent, mut answered) = (0, 0);
        while Instant::now() < ends_at {
            sent += 1;
            let id = format!("{path}{caller}-{sent}");
            let response = entry.send_request(path, &id, "key-1").expect("a response");
            assert!([200, 503].contains(&response.status), "{response:?}");
            assert!(response.status == 200 || response.retry_after.is_some(), "{response:?}");
            answered += u32::from(response.status == 200);
        }
        (sent, answered)
    };
    thread::scope(|scope| {
        let start = |path| {
            let callers = (0..CALLERS).map(|caller| scope.spawn(move || call(path, caller)));
            callers.collect::<Vec<_>>()
        };
        paths.map(start).map(|callers| {
            let counts = callers.into_iter().map(|caller| caller.join().expect("a caller"));
            let (sent, answered) = counts.fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1));
            f64::from(answered) / f64::from(sent.max(1))
        })
    })
}

// Without levels, callers of all routes are refused alike. Operators must find in the log and the counters which rank
// was refused while another was served.
#[test]
fn calls_of_higher_rank_are_served_first() {
    let site = Site::start_unconfigured();
    site.configure_ranked(1, &["key-1"], "desk");
    let desk = site.start_endpoint("i-1", "desk", None);
    desk.set_queue(Queue { wait: RUN_TIME, ..Queue::default() });
    let entry = site.start_entry("ranked");
    let [high, low] = send_for(&entry, ["/lookup/urgent/a", "/lookup/a"], Duration::from_secs(4));
    assert!(high > low && low > 0.0, "{high} and {low}");
    let count = |name| entry.counter(name);
    assert!(count("admitted_level_0") > 0 && count("admitted_level_1") > 0);
    assert!(count("refused_level_1") > count("refused_level_0"));
    assert!(count("floor_admissions") > 0);
    let runs = desk.runs();
    let mut urgencies = runs.iter().map(|run| (run.path.as_str(), run.urgency));
    assert!(urgencies.all(|(path, urgency)| match path {
        "/lookup/urgent/a" => urgency == Some(1),
        // Those that the floor admits are treated like the highest level.
        _ => matches!(urgency, Some(1 | 3)),
    }));
    until("the refusals are logged", || {
        let log = entry.program.log();
        let mut refused = log.lines().filter(|line| line.contains("all endpoints full"));
        refused.any(|line| line.contains("\"level\":1") && line.contains("\"levels\":2"))
    });
}

// The reports of an endpoint end while it is full. The order of the ranks must not depend on them.
#[test]
fn calls_of_higher_rank_are_served_first_without_reports() {
    let site = Site::start_unconfigured();
    site.configure_ranked(1, &["key-1"], "writer");
    let writer = site.start_endpoint("i-1", "writer", Some(1));
    writer.set_queue(Queue { wait: RUN_TIME, ..Queue::default() });
    let agent = site.start_agent("ranked-agent", &writer);
    let entry = site.start_entry("ranked-stale");
    let paths = ["/stream/urgent/a", "/stream/a"];
    until("served", || entry.send_request(paths[0], "a", "key-1").is_ok_and(|r| r.status == 200));
    until("reported", || entry.dump()["endpoints"][0]["report_age_ms"].is_u64());
    let [high, low] = send_for(&entry, paths, Duration::from_secs(2));
    assert!(high > low, "with reports: {high} and {low}");
    agent.signal("STOP");
    thread::sleep(STALE_AFTER);
    let [high, low] = send_for(&entry, paths, Duration::from_secs(4));
    assert!(high > low && low > 0.0, "without reports: {high} and {low}");
}

// Deployments with routes of one rank tell endpoints no priority and have one level in the log.
#[test]
fn calls_of_one_rank_have_no_levels() {
    let site = Site::start();
    let desk = site.start_endpoint("i-1", "desk", None);
    desk.set_queue(Queue { wait: RUN_TIME, ..Queue::default() });
    let entry = site.start_entry("unranked");
    send_for(&entry, ["/booking/a", "/lookup/a"], Duration::from_secs(1));
    assert!(desk.runs().iter().all(|run| run.urgency.is_none()));
    assert_eq!(entry.counter("refused_level_0") + entry.counter("admitted_level_0"), 0);
    until("the refusals are logged", || {
        let log = entry.program.log();
        log.lines().any(|line| line.contains("all endpoints full") && line.contains("\"levels\":1"))
    });
}
