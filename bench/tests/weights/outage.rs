use std::time::Duration;

use mastichaven_bench::fleet::Fleet;
use mastichaven_bench::fleet::Layout;
use mastichaven_bench::fleet::wait_until;
use mastichaven_core::ids::HostName;

const LIMIT: Duration = Duration::from_secs(90);

// The platform is down for long and a replica's host dies. No planner can write a plan; without the
// zone helping itself from the plan's candidates, its callers would wait on one replica for hours.
#[test]
fn candidate_stands_in_while_platform_is_down() {
    let zones = vec![("lagoa", "sul")];
    let layout = Layout { zones, engines: 3, ..Layout::default() };
    let mut fleet = Fleet::start(&layout).unwrap();
    let bytes = mastichaven_standins::origin::random_weights(1, 256 << 10);
    let weights = mastichaven_core::ids::Digest::of(&bytes);
    let manifest = fleet.origin.put(&bytes, mastichaven_bench::fleet::CHUNK_LEN);
    let mut config = fleet.configuration(&manifest).unwrap();
    config.placement.get_mut("rota").unwrap().replicas = 2;
    fleet.publish(&config).unwrap();
    assert!(wait_until(LIMIT, || fleet.replicas(weights) == 2).is_some());
    let holds = |fleet: &Fleet, wanted: bool| -> HostName {
        let found = fleet.engines.iter().find(|(_, e)| (e.weights() == Some(weights)) == wanted);
        found.unwrap().0.clone()
    };
    let (victim, spare) = (holds(&fleet, true), holds(&fleet, false));
    // The candidate must have read the plan that names it before the platform goes.
    std::thread::sleep(Duration::from_secs(3));
    fleet.platform.set_faults(|faults| faults.down = true);
    fleet.crash_host(&victim);
    let took = wait_until(LIMIT, || fleet.engines[&spare].weights() == Some(weights));
    assert!(took.is_some(), "the spare host did not step in");
    fleet.platform.set_faults(|faults| faults.down = false);
    fleet.stop();
}

// The answers to writes of the lease and the plan are lost, with three entries that would plan. A
// plan written twice or by two planners would move replicas back and forth.
#[test]
fn plan_settles_when_answers_are_lost() {
    let zones = vec![("lagoa", "sul")];
    let layout = Layout { zones, entries: 3, engines: 3, ..Layout::default() };
    let fleet = Fleet::start(&layout).unwrap();
    fleet.platform.set_faults(|faults| faults.lose_answers = 6);
    let weights = fleet.serve_model(256 << 10, LIMIT).unwrap();
    let orders = |fleet: &Fleet| fleet.engines.values().map(|e| e.counts().orders).sum::<u64>();
    assert_eq!((fleet.replicas(weights), orders(&fleet)), (3, 3), "one order an engine");
    fleet.stop();
}
