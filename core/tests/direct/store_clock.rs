use mastichaven_core::Time;
use mastichaven_core::direct::store_clock::LastRead;
use mastichaven_core::direct::store_clock::StoreClock;
use mastichaven_core::direct::versions::Announcement;
use mastichaven_core::ids::StorePosition;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn position(revision: u64) -> StorePosition {
    StorePosition::new(1, revision)
}

const READ: LastRead = LastRead { confirmed_at: None, has_failed: false };
const FAILED: LastRead = LastRead { has_failed: true, ..READ };

fn confirmed(ms: u64) -> LastRead {
    LastRead { confirmed_at: Some(at(ms)), ..READ }
}

fn between(earliest_ms: u64, latest_ms: u64) -> Option<Announcement> {
    Some(Announcement::between(at(earliest_ms), at(latest_ms)))
}

// A version is dated by the arrival of an answer that the store held back, so that requests begin on the older one
// after its bound.
#[test]
fn date_is_after_last_read_without_the_change() {
    let mut clock = StoreClock::default();
    assert_eq!(clock.date(position(5), READ, at(1_000)), None);
    clock.record_read(position(3), at(900), at(910));
    // Reads of several kinds end in any order.
    clock.record_read(position(4), at(800), at(920));
    assert_eq!(clock.date(position(5), READ, at(1_500)), between(900, 1_500));
    assert_eq!(clock.date(position(5), confirmed(1_000), at(1_500)), between(1_000, 1_500));
    assert_eq!(clock.date(position(3), READ, at(1_500)), None);
    assert_eq!(clock.date(position(3), confirmed(850), at(1_500)), between(850, 910));
}

// The watch of versions gets no answer for seconds while reads of other kinds do.
#[test]
fn date_is_before_first_read_with_the_change() {
    let mut clock = StoreClock::default();
    clock.record_read(position(4), at(900), at(910));
    clock.record_read(position(6), at(1_700), at(1_810));
    clock.record_read(position(6), at(2_600), at(2_710));
    assert_eq!(clock.date(position(5), FAILED, at(5_600)), between(900, 1_810));
}

// A version that is first read after an outage is dated to before it, which excludes all endpoints without it.
#[test]
fn date_in_outage_is_its_end() {
    let mut clock = StoreClock::default();
    clock.record_read(position(4), at(900), at(910));
    clock.record_read(position(6), at(5_400), at(5_410));
    assert_eq!(clock.date(position(5), FAILED, at(5_600)), between(5_410, 5_410));
    assert_eq!(clock.date(position(7), FAILED, at(9_000)), between(9_000, 9_000));
    // Answers that are late are no outage.
    assert_eq!(clock.date(position(5), READ, at(5_600)), between(900, 5_410));
}

#[test]
fn date_forgets_old_reads_only() {
    let mut clock = StoreClock::default();
    for n in 1..1_000 {
        clock.record_read(position(n), at(n), at(n));
    }
    assert_eq!(clock.date(position(990), READ, at(1_000)), between(989, 990));
    assert_eq!(clock.date(position(2), READ, at(1_000)), None);
}
