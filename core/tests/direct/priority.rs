//! Admission by rank while capacity is scarce.

mod fleet;

use std::time::Duration;

use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::endpoint_table::Requirements;
use mastichaven_core::direct::endpoint_table::Unavailable;
use mastichaven_core::direct::priority::Admission;
use mastichaven_core::direct::priority::AdmissionStats;
use mastichaven_core::direct::priority::PriorityClass;
use mastichaven_core::direct::priority::Reservation;
use mastichaven_core::direct::retry_after::ReturnSlice;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::ServiceName;

use self::fleet::Callers;
use self::fleet::Fleet;
use self::fleet::Outcome;
use super::endpoint_table::ROUND_TRIP;
use super::endpoint_table::address;
use super::endpoint_table::now;
use super::endpoint_table::record;
use super::endpoint_table::report_shared_by;
use super::endpoint_table::rng;
use super::endpoint_table::table_on;

/// First second that is checked; counts and reports are complete by then.
const WARM: usize = 2;
const SECONDS: usize = 20;
/// Share of the requests served in time below which capacity is scarce.
const SCARCE_BELOW: f64 = 0.95;

fn fleet(entries: usize, engines: u8, levels: u8) -> Fleet {
    Fleet { entries, engines, levels, report_delay_ms: 0, restart: None }
}

/// Callers of all entries at each level, with the same load.
fn callers(entries: usize, levels: u8, load: f64) -> Vec<Callers> {
    let of_level = |level| Callers {
        entries: 0..entries,
        level,
        customer: None,
        load: load / f64::from(levels),
    };
    (0..levels).map(of_level).collect()
}

fn shares(outcome: &Outcome) -> Vec<f64> {
    outcome.groups.iter().map(|group| group.share(WARM..SECONDS)).collect()
}

fn summary(outcome: &Outcome) -> String {
    let mean = outcome.mean(WARM..SECONDS);
    format!("served {:.3?}, mean {mean:.3}, slots {:.3}", shares(outcome), outcome.slots_in_use)
}

/// Asserts that each level is served at least as often as the next one, less 5 in 100, and over
/// 0.25 of the mean, and the first one at least as often as the last in each second of scarcity.
fn assert_ordered(name: &str, outcome: &Outcome) {
    eprintln!("{name}: {}", summary(outcome));
    let shares = shares(outcome);
    let mean = outcome.mean(WARM..SECONDS);
    assert!(shares.is_sorted_by(|high, low| *high >= low - 0.05), "{name}: {shares:?}");
    assert!(shares.iter().all(|share| *share > 0.25 * mean), "{name}: {shares:?} of {mean}");
    let (first, last) = (&outcome.groups[0], &outcome.groups[outcome.groups.len() - 1]);
    let is_scarce = |second: &usize| outcome.mean(*second..second + 1) < SCARCE_BELOW;
    for second in (WARM..SECONDS).filter(is_scarce) {
        let [first, last] = [first, last].map(|group| group.share(second..second + 1));
        assert!(first >= last, "{name}: second {second}: {first} and {last}");
    }
}

// At 1.5 times the capacity, low ranks take the places as soon as they are free, and high ranks are refused as often.
// The rule must also hold while reports are up to 0.4 s old.
#[test]
fn admission_serves_ranks_in_order_under_overload() {
    for (entries, engines) in [(1, 8), (8, 8), (40, 40)] {
        for report_delay_ms in [0, 100, 300] {
            let fleet = Fleet { report_delay_ms, ..fleet(entries, engines, 3) };
            let outcome = fleet::run(&fleet, &callers(entries, 3, 1.5), SECONDS);
            assert_ordered(&format!("{entries} entries, reports {report_delay_ms} ms"), &outcome);
        }
    }
}

// Places that no higher level needs stay idle while low levels are refused.
#[test]
fn admission_leaves_no_capacity_idle() {
    for (entries, engines) in [(1, 8), (8, 8), (40, 40)] {
        let outcome = fleet::run(&fleet(entries, engines, 3), &callers(entries, 3, 0.9), SECONDS);
        assert!(outcome.groups[2].share(WARM..SECONDS) > 0.9, "{}", summary(&outcome));
        let low = [Callers { entries: 0..entries, level: 2, customer: None, load: 1.5 }];
        let outcome = fleet::run(&fleet(entries, engines, 3), &low, SECONDS);
        assert!(outcome.slots_in_use > 0.93, "{}", summary(&outcome));
    }
}

// Entries do not tell each other whom they serve. An entry with callers of low ranks only takes the places from those
// with callers of high ranks, or is left with nothing itself.
#[test]
fn admission_serves_high_ranks_of_other_entries_first() {
    for (entries, engines) in [(2, 8), (40, 40)] {
        for high_load in [0.3, 0.75, 1.5] {
            let of_entries =
                |entries, level, load| Callers { entries, level, customer: None, load };
            let callers = [
                of_entries(0..entries / 2, 0, high_load),
                of_entries(entries / 2..entries, 2, 0.75),
            ];
            let outcome = fleet::run(&fleet(entries, engines, 3), &callers, SECONDS);
            assert_ordered(&format!("{entries} entries, high load {high_load}"), &outcome);
        }
    }
}

// A customer of a raised rank that sends ten times its usual load takes the places of everybody else.
#[test]
fn admission_bounds_customer_with_tenfold_load() {
    for (entries, engines) in [(1, 8), (8, 8), (40, 40)] {
        let of = |customer, level, load| Callers {
            entries: 0..entries,
            level,
            customer: Some(customer),
            load,
        };
        let callers = [
            of("tenfold", 0, 0.4),
            of("raised-1", 0, 0.04),
            of("raised-2", 0, 0.04),
            of("other-1", 1, 0.44),
            of("other-2", 1, 0.44),
        ];
        let outcome = fleet::run(&fleet(entries, engines, 2), &callers, SECONDS);
        let share = |n: usize| outcome.groups[n].share(WARM..SECONDS);
        let text = format!("{entries} entries: {}", summary(&outcome));
        eprintln!("{text}");
        assert!(share(1).min(share(2)) > 0.9, "{text}");
        assert!(outcome.slots_in_use > 0.93, "{text}");
        assert!(share(3).min(share(4)) > 0.5 * outcome.mean(WARM..SECONDS), "{text}");
    }
}

// An entry that starts has no counts and no reports. It must neither take the places of high ranks nor refuse its own
// low ranks for good.
#[test]
fn admission_holds_while_entry_starts() {
    let fleet = Fleet { restart: Some((0, 8_000)), ..fleet(2, 8, 3) };
    let outcome = fleet::run(&fleet, &callers(2, 3, 1.5), SECONDS);
    assert_ordered("restart", &outcome);
}

// Deployments with routes of one rank are served by the same endpoints as before levels were introduced. The
// fingerprints are of the choices of the release before, with the same random draws.
#[test]
fn admission_with_one_level_chooses_as_before() {
    let fingerprint = |entries, engines, load| {
        let outcome = fleet::run(&fleet(entries, engines, 1), &callers(entries, 1, load), 5);
        let digest = Digest::of(&outcome.chosen);
        (outcome.chosen.len(), u32::from_le_bytes(digest.0[..4].try_into().expect("four bytes")))
    };
    let fingerprints = [(1, 0.8), (1, 1.5), (8, 0.8), (8, 1.5)]
        .map(|(entries, load)| fingerprint(entries, 8, load));
    assert_eq!(
        fingerprints,
        [(399, 1413488556), (506, 3673130251), (389, 2903333294), (526, 842287161)]
    );
}

#[test]
fn one_level_changes_nothing() {
    let class = PriorityClass::SINGLE;
    let mut stats = AdmissionStats::default();
    for ms in 0..100 {
        stats.record_request(class, None, now(ms));
        stats.record_wait(class, &Admission::default(), now(ms));
        stats.record_turn_refusal(class, now(ms));
    }
    assert_eq!(stats.admission(class, None, now(100)), Admission::default());
    assert_eq!(Admission::default().reservation.places(12, 2, true), 0);
    assert_eq!(class.urgency(), None);
    let slice = stats.return_slice(class, now(100));
    assert_eq!(slice, ReturnSlice::WHOLE);
    assert!([0.0, 0.1, 0.37, 0.999].iter().all(|draw| slice.map(*draw) == *draw));
}

fn class(level: u8) -> PriorityClass {
    PriorityClass { level, levels: 3 }
}

/// Counts of an entry whose calls of the highest level all have to wait, and are half of all.
fn scarce_stats() -> AdmissionStats {
    let mut stats = AdmissionStats::default();
    for ms in 0..10 {
        stats.record_request(class(0), None, now(ms));
        stats.record_wait(class(0), &Admission::default(), now(ms));
        stats.record_admission(class(0), None, now(ms));
        stats.record_request(class(2), None, now(ms));
        stats.record_admission(class(2), None, now(ms));
    }
    stats
}

// Without a bound on the reservation, plain services and small engines would refuse low levels always.
#[test]
fn reservation_leaves_free_three_eighths_at_engines_and_queue_places_elsewhere() {
    let stats = scarce_stats();
    let places = |level, slots, is_engine| {
        stats.admission(class(level), None, now(20)).reservation.places(slots, 2, is_engine)
    };
    assert_eq!([0, 1, 2].map(|level| places(level, 12, true)), [0, 2, 5]);
    assert_eq!([0, 1, 2].map(|level| places(level, 6, false)), [0, 1, 2]);
    assert_eq!(places(2, 1, true), 2);
}

// Under lasting overload the reservation would leave a level with nothing.
#[test]
fn level_below_floor_is_exempt_until_it_has_caught_up() {
    let mut stats = AdmissionStats::default();
    for ms in 0..30 {
        stats.record_request(class(2), None, now(ms));
        if ms < 10 {
            stats.record_request(class(0), None, now(ms));
            stats.record_admission(class(0), None, now(ms));
        }
    }
    let admission = stats.admission(class(2), None, now(30));
    assert!(admission.is_exempt && admission.level == 0);
    assert_eq!(admission.reservation, Reservation::NONE);
    (0..5).for_each(|_| stats.record_admission(class(2), None, now(30)));
    assert!(!stats.admission(class(2), None, now(30)).is_exempt);
    assert!(!stats.admission(class(2), None, now(9_000)).is_exempt);
}

// Low levels take the turns at cold endpoints before the highest one, whose calls were refused for lack of them. A
// level with few calls must not keep the turns of all others either.
#[test]
fn turns_are_left_to_higher_level_for_a_moment() {
    let mut stats = AdmissionStats::default();
    stats.record_turn_refusal(class(1), now(100));
    let yields = |level, ms| stats.admission(class(level), None, now(ms)).yields_turns;
    assert_eq!([0, 1, 2].map(|level| yields(level, 150)), [false, false, true]);
    assert!(!yields(2, 200));
}

fn requirements(service: &ServiceName, admission: Admission) -> Requirements<'_> {
    Requirements {
        service,
        model: Some(("m", 1)),
        regions: [&[], &[]],
        tried: &[],
        cold_per_second: 36.0,
        is_late: false,
        reservation: admission.reservation,
        yields_turns: admission.yields_turns,
        work: None,
    }
}

// The turn for which a call of a higher level was refused goes to the next caller of any level.
#[test]
fn choose_leaves_turn_at_cold_endpoint_to_higher_level() {
    let mut table = table_on("entry-1");
    let cold_remaining = Duration::from_secs(5);
    table.upsert(EndpointRecord { cold_remaining, ..record(1, "lagoa") }, now(0));
    table.record_entry_count(1, true, now(0));
    let service = ServiceName::new("redator");
    let mut choose = |yields_turns, ms| {
        let admission = Admission { yields_turns, ..Admission::default() };
        table.choose(&requirements(&service, admission), now(ms), &mut rng())
    };
    let _ = choose(false, 0);
    assert_eq!(choose(true, 500), Err(Unavailable::Warming));
    assert!(choose(false, 500).is_ok());
    assert!(choose(true, 5_000).is_ok());
}

// A low level is refused while an endpoint has more places than are reserved, or takes one of those.
#[test]
fn choose_refuses_low_level_only_within_reservation() {
    let stats = scarce_stats();
    let service = ServiceName::new("redator");
    let mut table = table_on("entry-1");
    for n in [1, 2] {
        table.upsert(EndpointRecord { slots: 12, ..record(n, "lagoa") }, now(0));
    }
    // The lowest level leaves 5 of 14 places free, the next one 2.
    let mut is_admitted = |level, running| {
        for (n, running) in [(1, 14), (2, running)] {
            let report = report_shared_by(1, running);
            table.apply_report(address(n), &report, now(20), ROUND_TRIP, 0.5, now(20));
        }
        let admission = stats.admission(class(level), None, now(20));
        table.choose(&requirements(&service, admission), now(20), &mut rng()).is_ok()
    };
    assert_eq!([8, 9, 11, 13, 14].map(|n| is_admitted(2, n)), [true, false, false, false, false]);
    assert_eq!([8, 9, 11, 12, 14].map(|n| is_admitted(1, n)), [true, true, true, false, false]);
    assert_eq!([8, 9, 11, 13, 14].map(|n| is_admitted(0, n)), [true, true, true, true, false]);
}

// Endpoints order their queues by what they are told. Resumed streams come before all levels.
#[test]
fn urgency_follows_levels() {
    let urgency = |level| PriorityClass { level, levels: 6 }.urgency();
    assert_eq!([0, 1, 2, 3, 5].map(urgency), [1, 3, 5, 7, 7].map(Some));
}

// With many pairs of ranks, a level beyond the last one would have no counts.
#[test]
fn from_position_shares_levels_beyond_eight() {
    let classes: Vec<PriorityClass> =
        (0..20).map(|position| PriorityClass::from_position(position, 20)).collect();
    assert!(classes.is_sorted_by_key(|class| class.level));
    assert_eq!((classes[0].level, classes[19].level, classes[0].levels), (0, 7, 8));
}

// Refused callers of all levels would come back together, and those of high levels no earlier than the others.
#[test]
fn return_slices_divide_the_time_in_order() {
    let mut stats = scarce_stats();
    for ms in 10..18 {
        stats.record_request(class(1), None, now(ms));
    }
    let slices = [0, 1, 2].map(|level| stats.return_slice(class(level), now(20)));
    let end = |slice: ReturnSlice| slice.start + slice.width;
    assert_eq!(slices[0].start, 0.0);
    assert!((end(slices[0]) - slices[1].start).abs() < 1e-9);
    assert!((end(slices[1]) - slices[2].start).abs() < 1e-9);
    assert!((end(slices[2]) - 1.0).abs() < 1e-9);
    assert!(slices.iter().all(|slice| slice.width > 0.25), "{slices:?}");
}
