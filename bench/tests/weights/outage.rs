use std::time::Duration;

use mastichaven_bench::fleet::Fleet;
use mastichaven_bench::fleet::Layout;
use mastichaven_bench::fleet::wait_until;
use mastichaven_core::ids::HostName;

const TIMEOUT: Duration = Duration::from_secs(90);

// A replica's host crashes during a long outage of the platform, when no planner can write a plan.
// If the zone did not load the model on a candidate of the last plan, one replica would have to
// serve all callers for hours.
#[test]
fn candidate_loads_model_while_platform_is_down() {
    let zones = vec![("lagoa", "sul")];
    let layout = Layout { zones, engines: 3, ..Layout::default() };
    let mut fleet = Fleet::start(&layout).unwrap();
    let bytes = mastichaven_standins::origin::random_weights(1, 256 << 10);
    let weights = mastichaven_core::ids::Digest::of(&bytes);
    let manifest = fleet.origin.put(&bytes, mastichaven_bench::fleet::CHUNK_LEN);
    let mut config = fleet.configuration(&manifest).unwrap();
    config.placement.get_mut("rota").unwrap().replicas = 2;
    fleet.publish(&config).unwrap();
    assert!(wait_until(TIMEOUT, || fleet.replicas(weights) == 2).is_some());
    let find_host = |fleet: &Fleet, has_weights: bool| -> HostName {
        let found =
            fleet.engines.iter().find(|(_, e)| (e.weights() == Some(weights)) == has_weights);
        found.unwrap().0.clone()
    };
    let (victim, candidate) = (find_host(&fleet, true), find_host(&fleet, false));
    // Gives the candidate time to read the plan that names it before the platform goes down.
    std::thread::sleep(Duration::from_secs(3));
    fleet.platform.set_faults(|faults| faults.down = true);
    fleet.crash_host(&victim);
    let took = wait_until(TIMEOUT, || fleet.engines[&candidate].weights() == Some(weights));
    assert!(took.is_some(), "the candidate did not load the model");
    fleet.platform.set_faults(|faults| faults.down = false);
    fleet.stop();
}

// Three entries compete for the planner's lease, and the answers to writes of the lease and the
// plan are lost. A plan written twice or by two planners would move replicas back and forth.
#[test]
fn plan_one_order_per_engine_with_lost_write_answers() {
    let zones = vec![("lagoa", "sul")];
    let layout = Layout { zones, entries: 3, engines: 3, ..Layout::default() };
    let fleet = Fleet::start(&layout).unwrap();
    fleet.platform.set_faults(|faults| faults.lose_answers = 6);
    let weights = fleet.serve_model(256 << 10, TIMEOUT).unwrap();
    let orders = |fleet: &Fleet| fleet.engines.values().map(|e| e.counts().orders).sum::<u64>();
    assert_eq!(
        (fleet.replicas(weights), orders(&fleet)),
        (3, 3),
        "not one replica and one load order per engine"
    );
    fleet.stop();
}
