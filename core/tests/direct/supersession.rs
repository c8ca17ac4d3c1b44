use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::supersession::EndReason;
use mastichaven_core::direct::supersession::INITIAL_LOAD_TIME;
use mastichaven_core::direct::supersession::Supersession;
use mastichaven_core::swarm::DownloadStatus;

const CHUNKS: usize = 64;
const BOUND: Duration = Duration::from_secs(10);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn status(missing: usize, arrivals_per_s: Option<f64>) -> Option<DownloadStatus> {
    Some(DownloadStatus { chunks: CHUNKS, missing, available: CHUNKS - missing, arrivals_per_s })
}

/// A newer version was announced at 0 s, so the older one serves until 8.2 s.
fn supersession(older: Option<DownloadStatus>, newest: Option<DownloadStatus>) -> Supersession {
    Supersession {
        older,
        newest,
        superseded_at: Some(at(0)),
        load_time: INITIAL_LOAD_TIME,
        bound: BOUND,
    }
}

// Guards against a download that goes on although its version could not serve any more.
#[test]
fn end_reason_is_too_late_without_time_to_load_and_serve() {
    let older = supersession(status(20, Some(10.0)), None);
    assert_eq!(older.end_reason(at(4_700)), None);
    assert_eq!(older.end_reason(at(4_701)), Some(EndReason::TooLate));
    let complete = supersession(status(0, None), None);
    assert_eq!(complete.end_reason(at(6_700)), None);
    assert_eq!(complete.end_reason(at(6_701)), Some(EndReason::TooLate));
    let unknown = Supersession { superseded_at: None, ..complete };
    assert_eq!(unknown.end_reason(at(0)), Some(EndReason::TooLate));
}

// Guards against requests for a version that only an unavailable origin could complete.
#[test]
fn end_reason_without_arrivals_requires_two_thirds_of_chunks() {
    assert!(supersession(status(21, None), None).is_useful(at(0)));
    let fewer = supersession(status(22, None), None);
    assert_eq!(fewer.end_reason(at(0)), Some(EndReason::TooFewChunks));
    let unknown = supersession(None, status(10, Some(20.0)));
    assert_eq!(unknown.end_reason(at(0)), Some(EndReason::TooFewChunks));
}

// Guards against the loss of a version that neighbours hold while the origin is unavailable.
#[test]
fn end_reason_counts_chunks_of_neighbours() {
    let older = status(CHUNKS, None).map(|status| DownloadStatus { available: 50, ..status });
    assert_eq!(supersession(older, status(CHUNKS, None)).end_reason(at(0)), None);
}

// Guards against an older version that takes the origin's bandwidth from the newest one.
#[test]
fn end_reason_compares_expected_times() {
    let older = status(16, Some(4.0));
    assert!(supersession(older, status(48, Some(8.0))).is_useful(at(0)));
    let newest_first = supersession(older, status(48, Some(16.0)));
    assert_eq!(newest_first.end_reason(at(0)), Some(EndReason::NewestExpectedFirst));
    let stalled = supersession(status(1, None), status(60, Some(1.0)));
    assert_eq!(stalled.end_reason(at(0)), Some(EndReason::NewestExpectedFirst));
    assert!(supersession(status(1, None), status(60, None)).is_useful(at(0)));
    let begun = supersession(status(50, Some(30.0)), None);
    assert_eq!(begun.end_reason(at(0)), Some(EndReason::TooFewChunks));
}
