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
use mastichaven_core::wire::Ask;
use mastichaven_core::wire::Reply;
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

/// Bytes before the tag of an ask's body: an empty host, incarnation 0, generation 0.
const ASK_HEAD: usize = 3;

/// Bytes before the tag of a reply's body: generation 0.
const REPLY_HEAD: usize = 1;

static ASKS: LazyLock<Vec<Vec<u8>>> = LazyLock::new(|| corpus::encoded::<Ask>(ASK_HEAD));

static REPLIES: LazyLock<Vec<Vec<u8>>> = LazyLock::new(|| corpus::encoded::<Reply>(REPLY_HEAD));

/// The largest number postcard writes, a count that no message can hold.
const HUGE_COUNT: [u8; 10] = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01];

fn cases(cases: u32) -> ProptestConfig {
    let seed = RngSeed::Fixed(0x6d61_7374);
    ProptestConfig { cases, rng_seed: seed, failure_persistence: None, ..ProptestConfig::default() }
}

/// Decoding ends with the message or with the numbered code, and what it gives is no larger than
/// what came, so that memory is bounded by the bytes of the message.
fn assert_bounded<T: DeserializeOwned + Serialize>(bytes: &[u8]) {
    match wire::decode::<T>(bytes) {
        Ok(message) => {
            assert!(wire::encode(&message).len() <= bytes.len() + wire::LEN_BYTES);
        }
        Err(code) => assert_eq!(code, Code::BadMessage),
    }
}

/// How a valid message is damaged.
#[derive(Clone, Copy, Debug)]
enum Damage {
    Flip(u8),
    Truncate,
    Count,
    Append(u8),
}

fn damage(bytes: &mut Vec<u8>, at: Index, how: Damage) {
    let at = at.index(bytes.len());
    match how {
        Damage::Flip(mask) => bytes[at] ^= mask,
        Damage::Truncate => bytes.truncate(at),
        Damage::Count => {
            bytes.splice(at..=at, HUGE_COUNT);
        }
        Damage::Append(byte) => bytes.insert(at, byte),
    }
}

fn damages() -> impl Strategy<Value = Vec<(Index, Damage)>> {
    let how = prop_oneof![
        any::<u8>().prop_map(Damage::Flip),
        Just(Damage::Truncate),
        Just(Damage::Count),
        any::<u8>().prop_map(Damage::Append),
    ];
    vec((any::<Index>(), how), 1..4)
}

/// The corpus covers the kinds of message that exist, or the tests below prove little.
#[test]
fn corpus_every_kind() {
    let (asks, replies) = (corpus::kinds(&ASKS, ASK_HEAD), corpus::kinds(&REPLIES, REPLY_HEAD));
    assert!(asks >= 6, "{asks} kinds of ask");
    assert!(replies >= 7, "{replies} kinds of reply");
}

proptest! {
    #![proptest_config(cases(4_000))]

    /// A peer with a broken sender, or none of ours at all, sends anything. A process that panics
    /// on it takes every caller's request on that host with it.
    #[test]
    fn decode_any_bytes(bytes in vec(any::<u8>(), 0..2_000)) {
        assert_bounded::<Ask>(&bytes);
        assert_bounded::<Reply>(&bytes);
    }

    /// Memory or the link changes some bytes of a message that was valid, or a peer lies about a
    /// count. Whole gigabytes set aside for a count of nothing would end the process.
    #[test]
    fn decode_damaged_messages(which in any::<Index>(), damages in damages()) {
        let mut ask = ASKS[which.index(ASKS.len())].clone();
        let mut reply = REPLIES[which.index(REPLIES.len())].clone();
        for (at, how) in damages {
            if !ask.is_empty() { damage(&mut ask, at, how); }
            if !reply.is_empty() { damage(&mut reply, at, how); }
        }
        assert_bounded::<Ask>(&ask);
        assert_bounded::<Reply>(&reply);
    }

    /// A length in front of a message is believed up to the bound and refused above it.
    #[test]
    fn scan_len_any_prefix(prefix in any::<[u8; wire::LEN_BYTES]>()) {
        let len = u32::from_be_bytes(prefix) as usize;
        let expected = if len <= wire::MAX_MESSAGE_LEN { Ok(len) } else { Err(Code::BadMessage) };
        assert_eq!(wire::scan_len(prefix), expected);
    }

    /// The origin or a peer gives a manifest that has the right digest and is still nonsense,
    /// because whoever published it made it so. Accepting a chunk of no length or of gigabytes
    /// would stop every host that is to pull it.
    #[test]
    fn decode_hostile_manifest(
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

    /// An operator's file holds anything: other encodings, keys of another program, numbers out of
    /// range. It is read or refused, and never ends the program that reads it.
    #[test]
    fn config_any_text(text in "\\PC{0,200}", key in "[a-z]{1,12}", number in any::<i64>()) {
        let _ = toml::from_str::<Config>(&text);
        let _ = toml::from_str::<Config>(&format!("[{key}.a]\n{key} = {number}\n"));
        let _ = toml::from_str::<Config>(&format!("[limits]\n{key} = {number}\n"));
        let _ = serde_json::from_str::<Config>(&text);
        let _ = serde_json::from_str::<Plan>(&text);
    }
}

/// Somebody nests a value ten thousand deep. A reader that recurses without a bound overflows its
/// stack, which no `Result` catches.
#[test]
fn config_deep_nesting() {
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
