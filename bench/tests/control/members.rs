use std::time::Duration;

use mastichaven_bench::member_net::Net;
use mastichaven_core::members::Health;

const MEMBERS: usize = 60;
const ZONES: usize = 3;
const MINUTE: Duration = Duration::from_secs(60);

fn converged_net() -> Net {
    let mut net = Net::start(MEMBERS, ZONES, 1);
    assert!(net.run_until(MINUTE, Net::has_converged).is_some(), "not converged from three seeds");
    net.run(Duration::from_secs(10));
    net
}

// A host loses power. Until all members have declared it dead, plans still place replicas on it.
#[test]
fn tick_crashed_member_declared_dead_by_all() {
    let mut net = converged_net();
    net.kill(17);
    let all = |net: &Net| net.count_observers(17, Health::Dead) == MEMBERS - 1;
    assert!(net.run_until(Duration::from_secs(30), all).is_some());
    net.restart(17, ZONES, 2);
    assert!(
        net.run_until(MINUTE, Net::has_converged).is_some(),
        "the next incarnation is not alive in every view"
    );
}

// A host that is removed announces that it leaves, so no member has to wait for a timeout.
#[test]
fn leave_disseminated_without_timeout() {
    let mut net = converged_net();
    net.leave(17);
    let all = |net: &Net| net.count_observers(17, Health::Left) == MEMBERS - 1;
    let took = net.run_until(MINUTE, all).expect("some members did not receive the announcement");
    assert!(took < Duration::from_secs(3), "{took:?}");
}

// A process is paused for three seconds, as when its host swaps. It must refute the suspicion when
// it resumes, or its model would be placed elsewhere and its weights pulled again. It must not
// suspect the members whose heartbeats it missed during the pause.
#[test]
fn tick_paused_member_refutes_suspicion() {
    let mut net = converged_net();
    net.nodes[17].paused_until = net.now + Duration::from_secs(3);
    for _ in 0..20 {
        net.run(Duration::from_secs(1));
        for index in 0..MEMBERS {
            assert_eq!(net.count_observers(index, Health::Dead), 0, "{index} was declared dead");
        }
    }
    assert_eq!(net.count_observers(17, Health::Suspect), 0);
}

// A tenth of all packets is lost, as on a faulty switch. No running member may be declared dead.
#[test]
fn tick_packet_loss_no_false_deaths() {
    let mut net = converged_net();
    net.loss = 0.1;
    for _ in 0..30 {
        net.run(Duration::from_secs(1));
        for index in 0..MEMBERS {
            assert_eq!(net.count_observers(index, Health::Dead), 0, "{index} was declared dead");
        }
    }
}

// One process loses its link. It must not declare all other members dead, nor spread such updates
// once its link is back.
#[test]
fn tick_isolated_process_spreads_no_false_deaths() {
    let mut net = converged_net();
    net.nodes[17].partition = 1;
    net.run(MINUTE);
    for index in (0..MEMBERS).filter(|index| *index != 17) {
        assert_eq!(net.count_observers(index, Health::Dead), 0, "{index} was declared dead");
    }
    net.nodes[17].partition = 0;
    assert!(net.run_until(MINUTE, Net::has_converged).is_some());
}

// A zone is partitioned from the others for two minutes. Each side declares entries of the other
// dead; after the partition heals, all views must converge without an operator.
#[test]
fn tick_partition_heals() {
    let mut net = converged_net();
    for index in (0..MEMBERS).filter(|index| index / 4 % ZONES == 1) {
        net.nodes[index].partition = 1;
    }
    net.run(MINUTE * 2);
    net.nodes.iter_mut().for_each(|node| node.partition = 0);
    assert!(net.run_until(MINUTE * 3, Net::has_converged).is_some());
}

// A host restarts every ten seconds. Each restart would change the plans, so the host is not listed
// until it stays up.
#[test]
fn members_flapping_host_withheld_until_stable() {
    let mut net = converged_net();
    for incarnation in 2..6 {
        net.kill(17);
        net.run(Duration::from_secs(2));
        net.restart(17, ZONES, incarnation);
        net.run(Duration::from_secs(8));
    }
    let is_listed = |net: &Net| {
        let members = net.nodes[0].membership.members(net.now);
        members.iter().any(|member| member.host.as_str() == "agent-17")
    };
    assert_eq!(net.nodes[0].membership.health(&"agent-17".into()), Some(Health::Alive));
    assert!(!is_listed(&net));
    assert!(net.run_until(MINUTE * 3, is_listed).is_some(), "a stable host is not listed");
}
