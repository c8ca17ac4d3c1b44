use std::io;

use mastichaven_node::direct::peers;

/// What comes out of a message's bytes.
fn read(bytes: &[u8]) -> io::Result<Vec<String>> {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(peers::read(&mut &bytes[..]))
}

fn routes(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("host{n}.example/path{n}/ to the writers, 6000 ms")).collect()
}

#[test]
fn read_gives_back_short_and_long_messages() {
    for count in [0, 1, 5_000] {
        let bytes = peers::frame(&routes(count)).expect("encoded");
        assert_eq!(read(&bytes).expect("decoded"), routes(count));
    }
}

// A configuration of thousands of routes goes to all entries of a region at once. Sent as it is, it fills
// the link of the entry that watches, and the others take that one for dead.
#[test]
fn frame_packs_long_messages() {
    let whole = postcard::to_stdvec(&routes(5_000)).expect("encoded").len();
    let packed = peers::frame(&routes(5_000)).expect("encoded").len();
    assert!(packed * 3 < whole, "{packed} of {whole} bytes");
}

// A peer that is broken, or not one of ours, claims a message of gigabytes. Room for it must not be made.
#[test]
fn read_refuses_what_claims_to_be_huge() {
    let mut bytes = peers::frame(&routes(5_000)).expect("encoded");
    bytes[4..8].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_eq!(read(&bytes).expect_err("refused").kind(), io::ErrorKind::InvalidData);
}
