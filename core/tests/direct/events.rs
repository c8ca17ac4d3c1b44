use mastichaven_core::direct::events::EventCutter;
use mastichaven_core::direct::events::MAX_EVENT_LEN;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::proptest;

// An endpoint crashes in the middle of an event. A caller that got the half event and then the whole
// one from the next endpoint would see it one and a half times.
#[test]
fn push_holds_back_a_half_event() {
    let mut cutter = EventCutter::default();
    let whole = cutter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap().unwrap();
    assert_eq!(&whole[..], b"id: 1\ndata: a\n\n");
    assert!(!cutter.is_at_boundary());
    cutter.drop_partial();
    assert_eq!(cutter.last_id().map(|id| id.as_str()), Some("1"));
    let next = cutter.push(b"id: 2\ndata: b\n\n").unwrap().unwrap();
    assert_eq!(&next[..], b"id: 2\ndata: b\n\n");
    assert_eq!(cutter.last_id().map(|id| id.as_str()), Some("2"));
    assert!(cutter.is_at_boundary());
}

// A faulty endpoint sends an event without an end, and would fill the entry's memory.
#[test]
fn push_refuses_an_event_without_end() {
    let mut cutter = EventCutter::default();
    let piece = vec![b'x'; MAX_EVENT_LEN / 2];
    assert!(cutter.push(&piece).is_ok());
    assert!(cutter.push(&piece).is_ok());
    assert!(cutter.push(&piece).is_err());
}

proptest! {
    // The network may cut the bytes anywhere, also inside the blank line.
    #[test]
    fn push_passes_all_events_however_they_are_cut(cuts in proptest::collection::vec(any::<u8>(), 1..40)) {
        let mut stream = Vec::new();
        for n in 0..20 {
            stream.extend_from_slice(format!("id: {n}\ndata: {}\n\n", "t".repeat(n)).as_bytes());
        }
        let mut cutter = EventCutter::default();
        let mut passed = Vec::new();
        let mut rest = &stream[..];
        for cut in cuts.iter().cycle() {
            let (piece, after) = rest.split_at(usize::from(*cut % 50 + 1).min(rest.len()));
            if let Some(events) = cutter.push(piece).unwrap() {
                passed.extend_from_slice(&events);
            }
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(passed, stream);
        prop_assert_eq!(cutter.last_id().map(|id| id.to_string()), Some("19".to_owned()));
    }
}
