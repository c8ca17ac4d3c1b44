use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::Time;
use mastichaven_core::direct::handover::AnswerTime;
use mastichaven_core::direct::handover::EventsDiffer;
use mastichaven_core::direct::handover::HANDOVER_LEAD;
use mastichaven_core::direct::handover::Overlap;
use mastichaven_core::direct::handover::oldest_without_bound_before;
use mastichaven_core::direct::handover::search_start;
use mastichaven_core::direct::versions::Announcement;
use mastichaven_core::direct::versions::VersionLimits;
use mastichaven_core::direct::versions::Versions;

const LIMITS: VersionLimits = VersionLimits {
    send_for: Duration::from_secs(6),
    begin_within: Duration::from_secs(8),
    min_begin_time: Duration::ZERO,
};

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

fn events(ids: impl IntoIterator<Item = u32>) -> Bytes {
    ids.into_iter().map(|id| format!("id: {id}\ndata: {id}\n\n")).collect::<String>().into()
}

// Guards against streams that begin on weights whose bound cuts them off, though newer ones could answer, and against
// streams that are kept from weights that last long enough.
#[test]
fn oldest_without_bound_skips_weights_that_end_before() {
    let mut versions = Versions::new(1);
    versions.record_announcement(2, Announcement::at(at(10)));
    versions.record_announcement(3, Announcement::at(at(14)));
    let oldest = |seconds| oldest_without_bound_before(&versions, &LIMITS, at(seconds));
    assert_eq!([oldest(18), oldest(19), oldest(22), oldest(23)], [1, 2, 2, 3]);
}

// Guards against a first estimate that never gives way to what answers take, and one beyond the caller's deadline.
#[test]
fn expected_end_follows_recent_answers() {
    let mut answer_time = AnswerTime::default();
    assert_eq!(answer_time.expected_end(at(10), at(20)), at(12));
    assert_eq!(answer_time.expected_end(at(10), at(11)), at(11));
    for _ in 0..50 {
        answer_time.record(Duration::from_secs(4));
    }
    let end = answer_time.expected_end(at(10), at(20));
    assert!(at(14).since(end) < Duration::from_millis(50), "{end:?}");
}

// Guards against handovers of streams whose caller leaves at about the same time as the endpoint stops.
#[test]
fn search_starts_before_stop_that_comes_before_deadline() {
    assert_eq!(search_start(at(8), at(10)), Some(at(8).saturating_sub(HANDOVER_LEAD)));
    assert_eq!(search_start(at(8), at(8)), None);
    assert_eq!(search_start(at(9), at(8)), None);
}

// Guards against events that are relayed twice or left out when one endpoint takes over from another.
#[test]
fn overlap_skips_exactly_what_was_relayed() {
    let mut overlap = Overlap::new("3".into());
    overlap.record_relayed(&events([4]));
    assert_eq!(overlap.begin(), "4");
    assert!(overlap.is_repeated());
    overlap.record_relayed(&events([5, 6]));
    assert_eq!(overlap.skip_repeated(&events([5])), Ok(None));
    overlap.record_relayed(&events([7]));
    assert_eq!(overlap.skip_repeated(&": idle\n\n".into()), Ok(None));
    assert_eq!(overlap.skip_repeated(&events([6, 7])), Ok(None));
    assert_eq!(overlap.skip_repeated(&events([8, 9])), Ok(Some(events([8, 9]))));
    overlap.record_relayed(&events([8]));
    assert_eq!(overlap.skip_repeated(&events([8, 9])), Ok(Some(events([9]))));
    assert_eq!(overlap.repeated(), 4);
}

// Guards against a mixture of the events of endpoints that divide the same answer differently.
#[test]
fn overlap_rejects_other_ids() {
    let mut overlap = Overlap::new("3".into());
    overlap.record_relayed(&events([4, 5]));
    assert_eq!(overlap.skip_repeated(&events([4, 6])), Err(EventsDiffer));
}
