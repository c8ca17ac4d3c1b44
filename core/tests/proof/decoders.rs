use std::sync::LazyLock;

use mastichaven_core::Code;
use mastichaven_core::Config;
use mastichaven_core::Manifest;
use mastichaven_core::ids::Digest;
use mastichaven_core::manifest::Chunk;
use mastichaven_core::manifest::MAX_CHUNK_BYTES;
use mastichaven_core::manifest::MAX_CHUNKS;
use mastichaven_core::plan::Plan;
use mastichaven_core::wire;
use mastichaven_core::wire::Reply;
use mastichaven_core::wire::RequestMessage;
use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::corpus;

/// Bytes before the tag of the body of a [`RequestMessage`]: an empty host, incarnation 0 and
/// generation 0.
const REQUEST_HEADER_LEN: usize = 3;

/// Bytes before the tag of the body of a [`Reply`]: generation 0.
const REPLY_HEADER_LEN: usize = 1;

static REQUESTS: LazyLock<Vec<Vec<u8>>> =
    LazyLock::new(|| corpus::encoded::<RequestMessage>(REQUEST_HEADER_LEN));

static REPLIES: LazyLock<Vec<Vec<u8>>> =
    LazyLock::new(|| corpus::encoded::<Reply>(REPLY_HEADER_LEN));

/// The largest varint of postcard, a count that no message can hold.
const HUGE_COUNT: [u8; 10] = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01];

fn config(cases: u32) -> ProptestConfig {
    let seed = RngSeed::Fixed(0x6d61_7374);
    ProptestConfig { cases, rng_seed: seed, failure_persistence: None, ..ProptestConfig::default() }
}

/// Asserts that decoding returns a message or [`Code::BadMessage`], and that the message encodes to
/// no more bytes than the input, so memory is bounded by the length of the input.
fn assert_bounded<T: DeserializeOwned + Serialize>(bytes: &[u8]) {
    match wire::decode::<T>(bytes) {
        Ok(message) => {
            assert!(wire::encode(&message).len() <= bytes.len() + wire::LEN_BYTES);
        }
        Err(code) => assert_eq!(code, Code::BadMessage),
    }
}

/// A modification of a valid message.
#[derive(Clone, Copy, Debug)]
enum Damage {
    Flip(u8),
    Truncate,
    ReplaceWithHugeCount,
    Append(u8),
}

fn damage(bytes: &mut Vec<u8>, at: Index, kind: Damage) {
    let at = at.index(bytes.len());
    match kind {
        Damage::Flip(mask) => bytes[at] ^= mask,
        Damage::Truncate => bytes.truncate(at),
        Damage::ReplaceWithHugeCount => {
            bytes.splice(at..=at, HUGE_COUNT);
        }
        Damage::Append(byte) => bytes.insert(at, byte),
    }
}

fn damage_sequence() -> impl Strategy<Value = Vec<(Index, Damage)>> {
    let kind = prop_oneof![
        any::<u8>().prop_map(Damage::Flip),
        Just(Damage::Truncate),
        Just(Damage::ReplaceWithHugeCount),
        any::<u8>().prop_map(Damage::Append),
    ];
    vec((any::<Index>(), kind), 1..4)
}

/// Guards the tests below against a corpus that lacks kinds of messages.
#[test]
fn corpus_covers_every_kind() {
    let (requests, replies) =
        (corpus::kinds(&REQUESTS, REQUEST_HEADER_LEN), corpus::kinds(&REPLIES, REPLY_HEADER_LEN));
    assert!(requests >= 6, "{requests} kinds of request");
    assert!(replies >= 7, "{replies} kinds of reply");
}

proptest! {
    #![proptest_config(config(4_000))]

    /// A faulty or foreign peer sends arbitrary bytes. A panic in the decoder would end the process
    /// and fail all requests on the host.
    #[test]
    fn decode_arbitrary_bytes(bytes in vec(any::<u8>(), 0..2_000)) {
        assert_bounded::<RequestMessage>(&bytes);
        assert_bounded::<Reply>(&bytes);
    }

    /// Bytes of a valid message are corrupted in memory or transit, or a peer sends a wrong count.
    /// Gigabytes allocated for a count without data would end the process.
    #[test]
    fn decode_damaged_messages(which in any::<Index>(), damage_sequence in damage_sequence()) {
        let mut request = REQUESTS[which.index(REQUESTS.len())].clone();
        let mut reply = REPLIES[which.index(REPLIES.len())].clone();
        for (at, kind) in damage_sequence {
            if !request.is_empty() { damage(&mut request, at, kind); }
            if !reply.is_empty() { damage(&mut reply, at, kind); }
        }
        assert_bounded::<RequestMessage>(&request);
        assert_bounded::<Reply>(&reply);
    }

    /// A length prefix is accepted up to [`wire::MAX_MESSAGE_LEN`] and refused above it.
    #[test]
    fn scan_len_any_prefix(prefix in any::<[u8; wire::LEN_BYTES]>()) {
        let len = u32::from_be_bytes(prefix) as usize;
        let expected = if len <= wire::MAX_MESSAGE_LEN { Ok(len) } else { Err(Code::BadMessage) };
        assert_eq!(wire::scan_len(prefix), expected);
    }

    /// A published manifest has the right digest but invalid content. A chunk with length 0 or of
    /// gigabytes would fail every host that pulls it.
    #[test]
    fn decode_arbitrary_manifest(
        bytes in vec(any::<u8>(), 0..400),
        chunks in vec((any::<[u8; 32]>(), any::<u32>()), 0..20),
        truncate in any::<Index>(),
    ) {
        let mut whole = Manifest::from_weights(b"weights", 4);
        whole.chunks = chunks
            .into_iter()
            .map(|(digest, len)| Chunk { digest: Digest(digest), len })
            .collect();
        let encoded = whole.encode();
        let cut = &encoded[..truncate.index(encoded.len())];
        for bytes in [&bytes[..], &encoded, cut] {
            match Manifest::decode(bytes, Digest::of(bytes)) {
                Ok(manifest) => {
                    let in_bounds = |c: &Chunk| {
                        c.len > 0 && c.len <= MAX_CHUNK_BYTES
                    };
                    assert!(manifest.chunks.iter().all(in_bounds));
                    assert!(manifest.chunks.len() <= MAX_CHUNKS);
                }
                Err(code) => assert_eq!(code, Code::BadManifest),
            }
            assert_eq!(Manifest::decode(bytes, Digest::of(b"other")), Err(Code::BadManifest));
        }
    }

    /// A configuration file has arbitrary content: other encodings, unknown keys, numbers out of
    /// range. It is parsed or refused without a panic.
    #[test]
    fn config_from_arbitrary_text(text in "\\PC{0,200}", key in "[a-z]{1,12}", number in any::<i64>()) {
        let _ = toml::from_str::<Config>(&text);
        let _ = toml::from_str::<Config>(&format!("[{key}.a]\n{key} = {number}\n"));
        let _ = toml::from_str::<Config>(&format!("[limits]\n{key} = {number}\n"));
        let _ = serde_json::from_str::<Config>(&text);
        let _ = serde_json::from_str::<Plan>(&text);
    }
}

/// A value is nested ten thousand levels deep. A parser with unbounded recursion would overflow the
/// stack, which no `Result` reports.
#[test]
fn config_from_deep_nesting() {
    const DEPTH: usize = 10_000;
    let array = format!("a = {}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let table = format!("a = {}{}", "{ a = ".repeat(DEPTH), "}".repeat(DEPTH));
    let header = format!("[{}a]", "a.".repeat(DEPTH));
    for text in [array, table, header] {
        assert!(toml::from_str::<Config>(&text).is_err());
    }
    let json = format!("{{\"zone\":{}{}}}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    assert!(serde_json::from_str::<Config>(&json).is_err());
    assert!(serde_json::from_str::<Plan>(&json).is_err());
}
