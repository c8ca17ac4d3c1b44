use std::io;

use mastichaven_node::direct::peers;

/// Decodes a message.
fn read(bytes: &[u8]) -> io::Result<Vec<String>> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().build().expect("runtime can be created");
    runtime.block_on(peers::read(&mut &bytes[..]))
}

fn routes(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("host{n}.example/path{n}/ to the writers, 6000 ms")).collect()
}

#[test]
fn read_round_trips_short_and_long_messages() {
    for count in [0, 1, 5_000] {
        let bytes = peers::encode(&routes(count)).expect("encoded");
        assert_eq!(read(&bytes).expect("decoded"), routes(count));
    }
}

// A configuration with thousands of routes is sent to all entries of a region at once.
// Uncompressed, it saturates the link of the parent, and its followers detach because they receive
// no pongs in time.
#[test]
fn encode_compresses_long_messages() {
    let uncompressed = postcard::to_stdvec(&routes(5_000)).expect("encoded").len();
    let compressed = peers::encode(&routes(5_000)).expect("encoded").len();
    assert!(compressed * 3 < uncompressed, "{compressed} of {uncompressed} bytes");
}

// A faulty or foreign peer sends a message that claims a length of gigabytes. No memory may be
// allocated for it.
#[test]
fn read_rejects_excessive_decompressed_len() {
    let mut bytes = peers::encode(&routes(5_000)).expect("encoded");
    bytes[4..8].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_eq!(read(&bytes).expect_err("refused").kind(), io::ErrorKind::InvalidData);
}
