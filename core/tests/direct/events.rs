use mastichaven_core::direct::events::EventSplitter;
use mastichaven_core::direct::events::MAX_EVENT_LEN;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::proptest;

// Guards against a caller that receives part of an event twice: an endpoint crashes in the middle of the event,
// and the next endpoint sends the complete event again.
#[test]
fn push_holds_back_incomplete_event() {
    let mut splitter = EventSplitter::default();
    let first = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap().unwrap();
    assert_eq!(&first[..], b"id: 1\ndata: a\n\n");
    assert!(!splitter.is_at_boundary());
    splitter.drop_partial();
    assert_eq!(splitter.last_id().map(|id| id.as_str()), Some("1"));
    let next = splitter.push(b"id: 2\ndata: b\n\n").unwrap().unwrap();
    assert_eq!(&next[..], b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id().map(|id| id.as_str()), Some("2"));
    assert!(splitter.is_at_boundary());
}

// Guards against unbounded memory use if a faulty endpoint sends an event without an end.
#[test]
fn push_rejects_unterminated_event() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; MAX_EVENT_LEN / 2];
    assert!(splitter.push(&chunk).is_ok());
    assert!(splitter.push(&chunk).is_ok());
    assert!(splitter.push(&chunk).is_err());
}

proptest! {
    // The network may split the stream at any byte, including inside the blank line.
    #[test]
    fn push_is_independent_of_split_points(chunk_lens in proptest::collection::vec(any::<u8>(), 1..40)) {
        let mut stream = Vec::new();
        for n in 0..20 {
            stream.extend_from_slice(format!("id: {n}\ndata: {}\n\n", "t".repeat(n)).as_bytes());
        }
        let mut splitter = EventSplitter::default();
        let mut output = Vec::new();
        let mut rest = &stream[..];
        for chunk_len in chunk_lens.iter().cycle() {
            let (chunk, after) = rest.split_at(usize::from(*chunk_len % 50 + 1).min(rest.len()));
            if let Some(events) = splitter.push(chunk).unwrap() {
                output.extend_from_slice(&events);
            }
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(output, stream);
        prop_assert_eq!(splitter.last_id().map(|id| id.to_string()), Some("19".to_owned()));
    }
}
