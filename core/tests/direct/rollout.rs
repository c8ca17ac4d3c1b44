use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::rollout::Progress;
use mastichaven_core::direct::rollout::Situation;
use mastichaven_core::direct::rollout::may_load;
use mastichaven_core::direct::rollout::ready_in;

const BOUND: Duration = Duration::from_secs(8);

fn situation(rank: u32, hosts: u32) -> Situation {
    Situation {
        is_barred: false,
        staged: 2,
        named_at: Time::ZERO,
        held: Some(1),
        outdated_since: Time::ZERO,
        rank,
        hosts,
        bound: BOUND,
    }
}

fn first_load(situation: &Situation) -> Duration {
    let times = (0..10_000).map(Time::from_millis);
    let found = times.into_iter().find(|now| may_load(situation, *now));
    found.expect("loads at some time").since(Time::ZERO)
}

// 24 hosts get a version at about the same time. If all emptied at once, callers of the model would
// find nobody for about a second and a half.
#[test]
fn may_load_spreads_hosts_over_the_bound() {
    let turns: Vec<Duration> = (0..24).map(|rank| first_load(&situation(rank, 24))).collect();
    let away = Duration::from_millis(1_300);
    for from in &turns {
        let together = turns.iter().filter(|at| *at >= from && **at < *from + away).count();
        assert!(together <= 10, "{together} of 24 away at once");
    }
    assert!(turns.iter().all(|at| *at < BOUND.mul_f64(0.85)));
}

// A new endpoint has no weights and answers nobody. Waiting for a turn would only delay it.
#[test]
fn may_load_at_once_without_weights() {
    let empty = Situation { held: None, ..situation(23, 24) };
    assert!(may_load(&empty, Time::ZERO));
}

// Version 3 is named shortly after 2, before 2 was whole anywhere. A host that waited for its turn
// of version 3 would still hold version 1 after the bound of version 2.
#[test]
fn may_load_in_time_for_the_first_version_missed() {
    let named_at = Time::from_millis(4_000);
    let late = Situation { staged: 3, named_at, ..situation(23, 24) };
    assert!(first_load(&late) < BOUND);
}

#[test]
fn may_load_nothing_that_is_held() {
    let current = Situation { held: Some(2), ..situation(0, 24) };
    assert!(!may_load(&current, Time::from_millis(60_000)));
}

// Guards against seconds without any endpoint that may answer: a version was named while the store was away,
// entries send nothing to the older one any more, and hosts wait for their turns.
#[test]
fn may_load_at_once_when_entries_bar_what_is_held() {
    let waiting = situation(23, 24);
    assert!(!may_load(&waiting, waiting.named_at));
    assert!(may_load(&Situation { is_barred: true, ..waiting }, waiting.named_at));
}

// Guards against callers that are told a time from the first few chunks, which come before all links are busy.
#[test]
fn ready_in_follows_the_pace_of_chunks() {
    let load = Duration::from_millis(400);
    let elapsed = Duration::from_millis(600);
    let progress = Progress { chunks: 64, missing: 48, elapsed };
    assert_eq!(ready_in(&progress, load), Some(Duration::from_millis(2_200)));
    assert_eq!(ready_in(&Progress { missing: 0, ..progress }, load), Some(load));
    assert_eq!(ready_in(&Progress { missing: 62, ..progress }, load), None);
}
