//! Experiment: failure detection time, false suspicions and traffic of the membership protocol.

use std::path::Path;
use std::time::Duration;

use mastichaven_bench::member_net::Net;
use mastichaven_core::members::Health;
use serde::Serialize;

use crate::figures;

/// Processes in the target deployment: 1,110 agents and 380 entries.
const TARGET_MEMBERS: usize = 1_490;

/// Availability zones of the target deployment.
const ZONES: usize = 8;

/// Fleet sizes that are simulated.
const SIZES: [usize; 3] = [50, 100, 200];

/// Time that the fleet is left to converge, and time for which it is then measured.
const SETTLE_DURATION: Duration = Duration::from_secs(60);
const MEASURE_DURATION: Duration = Duration::from_secs(60);

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

/// Runs the experiment for several sizes and extrapolates the traffic of the target linearly.
pub fn run(json: Option<&Path>) -> Result<(), String> {
    let rows: Vec<Figures> = SIZES.iter().map(|count| measure(*count)).collect();
    let (low, high) = (&rows[0], &rows[rows.len() - 1]);
    let slope = (high.bytes_a_second_at_rest - low.bytes_a_second_at_rest)
        / (high.members - low.members) as f64;
    let extrapolated = high.bytes_a_second_at_rest + slope * (TARGET_MEMBERS - high.members) as f64;
    let half_target = measure_idle_rate(TARGET_MEMBERS / 2);
    let all = serde_json::json!({
        "sizes": rows,
        "slope_bytes_a_second_a_member": slope,
        "target_members": TARGET_MEMBERS,
        "target_bytes_a_second_worked_out": extrapolated,
        "half_target_bytes_a_second_simulated": half_target,
    });
    figures::print_and_write(&all, json)
}

fn measure_idle_rate(count: usize) -> f64 {
    let mut net = Net::start(count, ZONES, 7);
    net.run(SETTLE_DURATION);
    let before = net.sent_bytes();
    net.run(MEASURE_DURATION / 2);
    bytes_per_member_second(net.sent_bytes() - before, count, MEASURE_DURATION / 2)
}

fn bytes_per_member_second(bytes: u64, count: usize, span: Duration) -> f64 {
    bytes as f64 / count as f64 / span.as_secs_f64()
}

fn measure(count: usize) -> Figures {
    let mut net = Net::start(count, ZONES, 7);
    let agreed = net.run_until(SETTLE_DURATION, Net::has_converged);
    net.run(SETTLE_DURATION);
    let before: Vec<u64> = net.nodes.iter().map(|node| node.sent_bytes).collect();
    net.run(MEASURE_DURATION);
    let sent = net.nodes.iter().zip(&before).map(|(node, before)| node.sent_bytes - before);
    let rates: Vec<f64> = sent.map(|bytes| bytes as f64 / MEASURE_DURATION.as_secs_f64()).collect();
    let highest = rates.iter().copied().fold(0.0, f64::max);

    let victim = count / 2 + 1;
    net.kill(victim);
    let suspected =
        net.run_until(MEASURE_DURATION, |net| net.count_observers(victim, Health::Suspect) > 0);
    let dead_everywhere = net
        .run_until(MEASURE_DURATION, |net| net.count_observers(victim, Health::Dead) == count - 1);
    let dead_everywhere = suspected.zip(dead_everywhere).map(|(suspected, dead)| suspected + dead);

    let before = net.sent_bytes();
    let rack: Vec<usize> = (1..=count / 10).collect();
    rack.iter().for_each(|index| net.kill(*index));
    let running = count - 1 - rack.len();
    let rack_dead = net.run_until(MEASURE_DURATION, |net| {
        rack.iter().all(|index| net.count_observers(*index, Health::Dead) == running)
    });
    let rack_bytes = net.sent_bytes() - before;
    rack.iter().for_each(|index| net.restart(*index, ZONES, 2));
    net.run(SETTLE_DURATION);

    let paused = Duration::from_secs(3);
    let paused_index = count / 2 + 2;
    net.nodes[paused_index].paused_until = net.now + paused;
    net.run(paused + Duration::from_secs(3));
    let dead_by = net.count_observers(paused_index, Health::Dead);
    let alive_again = net.run_until(MEASURE_DURATION, |net| {
        net.count_observers(paused_index, Health::Alive) >= count - 2
    });

    net.loss = 0.1;
    let (mut suspicions, mut deaths) = (0, 0);
    for _ in 0..60 {
        net.run(Duration::from_secs(1));
        for index in (0..count).filter(|index| *index != victim) {
            suspicions += usize::from(net.count_observers(index, Health::Suspect) > 0);
            deaths += usize::from(net.count_observers(index, Health::Dead) > 0);
        }
    }
    let seconds = |span: Option<Duration>| span.map(|span| span.as_secs_f64());
    Figures {
        members: count,
        seconds_to_agree_at_start: seconds(agreed),
        bytes_a_second_at_rest: rates.iter().sum::<f64>() / count as f64,
        bytes_a_second_at_rest_highest: highest,
        seconds_to_first_suspicion: seconds(suspected),
        seconds_to_dead_everywhere: seconds(dead_everywhere),
        bytes_a_second_while_a_rack_fails: rack_dead
            .map_or(0.0, |span| bytes_per_member_second(rack_bytes, running, span)),
        seconds_to_rack_dead_everywhere: seconds(rack_dead),
        paused_seconds: paused.as_secs_f64(),
        paused_process_declared_dead_by: dead_by,
        paused_process_alive_again_after_seconds: seconds(alive_again),
        loss: 0.1,
        loss_seconds: 60.0,
        loss_false_suspicions: suspicions,
        loss_false_deaths: deaths,
    }
}
