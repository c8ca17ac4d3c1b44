use std::time::Duration;

use mastichaven_bench::member_net::Net;
use mastichaven_core::members::Health;

const COUNT: usize = 60;
const ZONES: usize = 3;
const MINUTE: Duration = Duration::from_secs(60);

fn settled() -> Net {
    let mut net = Net::start(COUNT, ZONES, 1);
    assert!(net.run_until(MINUTE, Net::agrees).is_some(), "they find each other from three seeds");
    net.run(Duration::from_secs(10));
    net
}

// A host loses power. Until the others know, plans count on it.
#[test]
fn tick_silent_member_is_dead_everywhere() {
    let mut net = settled();
    net.kill(17);
    let all = |net: &Net| net.thinking(17, Health::Dead) == COUNT - 1;
    assert!(net.run_until(Duration::from_secs(30), all).is_some());
    net.restart(17, ZONES, 2);
    assert!(net.run_until(MINUTE, Net::agrees).is_some(), "its next life is known everywhere");
}

// A host that is taken away says so; nobody waits for a timeout.
#[test]
fn leave_is_known_soon() {
    let mut net = settled();
    net.leave(17);
    let all = |net: &Net| net.thinking(17, Health::Left) == COUNT - 1;
    let took = net.run_until(MINUTE, all).expect("all know");
    assert!(took < Duration::from_secs(3), "{took:?}");
}

// A process is paused for three seconds, as when its host swaps. It refutes the suspicion when it
// goes on; otherwise its model would be placed elsewhere and its weights pulled once more. It must
// not in turn suspect everybody that was silent for it.
#[test]
fn tick_paused_member_is_not_declared_dead() {
    let mut net = settled();
    net.nodes[17].paused_until = net.now + Duration::from_secs(3);
    for _ in 0..20 {
        net.run(Duration::from_secs(1));
        for index in 0..COUNT {
            assert_eq!(net.thinking(index, Health::Dead), 0, "{index} is thought dead");
        }
    }
    assert_eq!(net.thinking(17, Health::Suspect), 0);
}

// A tenth of all packets is lost, as on a bad switch, and nobody dies.
#[test]
fn tick_loss_kills_nobody() {
    let mut net = settled();
    net.loss = 0.1;
    for _ in 0..30 {
        net.run(Duration::from_secs(1));
        for index in 0..COUNT {
            assert_eq!(net.thinking(index, Health::Dead), 0, "{index} is thought dead");
        }
    }
}

// One process loses its link. It must not declare the whole fleet dead, nor tell that when the
// link is back.
#[test]
fn tick_cut_off_process_declares_nobody_dead() {
    let mut net = settled();
    net.nodes[17].side = 1;
    net.run(MINUTE);
    for index in (0..COUNT).filter(|index| *index != 17) {
        assert_eq!(net.thinking(index, Health::Dead), 0, "{index} is thought dead");
    }
    net.nodes[17].side = 0;
    assert!(net.run_until(MINUTE, Net::agrees).is_some());
}

// A zone is cut off from the others for two minutes and comes back. Both sides think entries of
// the other side dead meanwhile; afterwards all must know all again without an operator.
#[test]
fn tick_partition_heals() {
    let mut net = settled();
    for index in (0..COUNT).filter(|index| index / 4 % ZONES == 1) {
        net.nodes[index].side = 1;
    }
    net.run(MINUTE * 2);
    net.nodes.iter_mut().for_each(|node| node.side = 0);
    assert!(net.run_until(MINUTE * 3, Net::agrees).is_some());
}

// A host restarts every ten seconds. Plans would follow it each time; it is kept back until it
// stays.
#[test]
fn members_flapping_host_is_kept_back() {
    let mut net = settled();
    for life in 2..6 {
        net.kill(17);
        net.run(Duration::from_secs(2));
        net.restart(17, ZONES, life);
        net.run(Duration::from_secs(8));
    }
    let shown = |net: &Net| {
        let members = net.nodes[0].membership.members(net.now);
        members.iter().any(|member| member.host.as_str() == "agent-17")
    };
    assert_eq!(net.nodes[0].membership.health(&"agent-17".into()), Some(Health::Alive));
    assert!(!shown(&net));
    assert!(net.run_until(MINUTE * 3, shown).is_some(), "it is shown once it stays");
}
