//! Experiment: detection time, false suspicions and bytes of the membership.

use std::path::Path;
use std::time::Duration;

use mastichaven_bench::member_net::Net;
use mastichaven_core::members::Health;
use serde::Serialize;

use crate::figures;

/// Members of the target: 1,110 agents and 380 entries.
const TARGET: usize = 1_490;

/// Zones of the target.
const ZONES: usize = 8;

const SIZES: [usize; 3] = [50, 100, 200];

/// How long the fleet is left alone before it is measured, and measured.
const SETTLE: Duration = Duration::from_secs(60);
const QUIET: Duration = Duration::from_secs(60);

#[derive(Debug, Serialize)]
struct Figures {
    members: usize,
    seconds_to_agree_at_start: Option<f64>,
    bytes_a_second_at_rest: f64,
    bytes_a_second_at_rest_highest: f64,
    seconds_to_first_suspicion: Option<f64>,
    seconds_to_dead_everywhere: Option<f64>,
    bytes_a_second_while_a_rack_fails: f64,
    seconds_to_rack_dead_everywhere: Option<f64>,
    paused_seconds: f64,
    paused_process_declared_dead_by: usize,
    paused_process_alive_again_after_seconds: Option<f64>,
    loss: f64,
    loss_seconds: f64,
    loss_false_suspicions: usize,
    loss_false_deaths: usize,
}

/// Runs it for several sizes and works out the target's from the slope.
pub fn run(json: Option<&Path>) -> Result<(), String> {
    let rows: Vec<Figures> = SIZES.iter().map(|count| measure(*count)).collect();
    let (low, high) = (&rows[0], &rows[rows.len() - 1]);
    let slope = (high.bytes_a_second_at_rest - low.bytes_a_second_at_rest)
        / (high.members - low.members) as f64;
    let worked_out = high.bytes_a_second_at_rest + slope * (TARGET - high.members) as f64;
    let target = measure_rest(TARGET / 2);
    let all = serde_json::json!({
        "sizes": rows,
        "slope_bytes_a_second_a_member": slope,
        "target_members": TARGET,
        "target_bytes_a_second_worked_out": worked_out,
        "half_target_bytes_a_second_simulated": target,
    });
    figures::print_and_write(&all, json)
}

fn measure_rest(count: usize) -> f64 {
    let mut net = Net::start(count, ZONES, 7);
    net.run(SETTLE);
    let before = net.sent();
    net.run(QUIET / 2);
    rate(net.sent() - before, count, QUIET / 2)
}

fn rate(bytes: u64, count: usize, span: Duration) -> f64 {
    bytes as f64 / count as f64 / span.as_secs_f64()
}

fn measure(count: usize) -> Figures {
    let mut net = Net::start(count, ZONES, 7);
    let agreed = net.run_until(SETTLE, Net::agrees);
    net.run(SETTLE);
    let before: Vec<u64> = net.nodes.iter().map(|node| node.sent).collect();
    net.run(QUIET);
    let sent = net.nodes.iter().zip(&before).map(|(node, before)| node.sent - before);
    let each: Vec<f64> = sent.map(|bytes| bytes as f64 / QUIET.as_secs_f64()).collect();
    let highest = each.iter().copied().fold(0.0, f64::max);

    let victim = count / 2 + 1;
    net.kill(victim);
    let suspected = net.run_until(QUIET, |net| net.thinking(victim, Health::Suspect) > 0);
    let buried = net.run_until(QUIET, |net| net.thinking(victim, Health::Dead) == count - 1);
    let buried = suspected.zip(buried).map(|(suspected, buried)| suspected + buried);

    let before = net.sent();
    let rack: Vec<usize> = (1..=count / 10).collect();
    rack.iter().for_each(|index| net.kill(*index));
    let up = count - 1 - rack.len();
    let rack_dead = net
        .run_until(QUIET, |net| rack.iter().all(|index| net.thinking(*index, Health::Dead) == up));
    let rack_bytes = net.sent() - before;
    rack.iter().for_each(|index| net.restart(*index, ZONES, 2));
    net.run(SETTLE);

    let paused = Duration::from_secs(3);
    let sleeper = count / 2 + 2;
    net.nodes[sleeper].paused_until = net.now + paused;
    net.run(paused + Duration::from_secs(3));
    let dead_by = net.thinking(sleeper, Health::Dead);
    let back = net.run_until(QUIET, |net| net.thinking(sleeper, Health::Alive) >= count - 2);

    net.loss = 0.1;
    let (mut suspicions, mut deaths) = (0, 0);
    for _ in 0..60 {
        net.run(Duration::from_secs(1));
        for index in (0..count).filter(|index| *index != victim) {
            suspicions += usize::from(net.thinking(index, Health::Suspect) > 0);
            deaths += usize::from(net.thinking(index, Health::Dead) > 0);
        }
    }
    let seconds = |span: Option<Duration>| span.map(|span| span.as_secs_f64());
    Figures {
        members: count,
        seconds_to_agree_at_start: seconds(agreed),
        bytes_a_second_at_rest: each.iter().sum::<f64>() / count as f64,
        bytes_a_second_at_rest_highest: highest,
        seconds_to_first_suspicion: seconds(suspected),
        seconds_to_dead_everywhere: seconds(buried),
        bytes_a_second_while_a_rack_fails: rack_dead.map_or(0.0, |span| rate(rack_bytes, up, span)),
        seconds_to_rack_dead_everywhere: seconds(rack_dead),
        paused_seconds: paused.as_secs_f64(),
        paused_process_declared_dead_by: dead_by,
        paused_process_alive_again_after_seconds: seconds(back),
        loss: 0.1,
        loss_seconds: 60.0,
        loss_false_suspicions: suspicions,
        loss_false_deaths: deaths,
    }
}
