//! Valid messages of every kind, found by decoding, so that a new variant joins by itself.

use std::collections::BTreeSet;

use mastichaven_core::wire;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Kinds of message tried at each level; more than any enum has.
const MAX_KINDS: u8 = 24;

/// Bytes that follow the tags of a tried message; zeros decode as empty or absent fields.
const TAIL_LEN: usize = 512;

/// Encoded messages of type `T` without their length, each decodable.
///
/// `head_len` bytes stand before the tag of the outer enum.
pub fn encoded<T: DeserializeOwned + Serialize>(head_len: usize) -> Vec<Vec<u8>> {
    let mut found = BTreeSet::new();
    for outer in 0..MAX_KINDS {
        for inner in 0..MAX_KINDS {
            for fill in [0, 1] {
                let mut bytes = vec![0; head_len];
                bytes.extend([outer, inner]);
                bytes.extend([fill; TAIL_LEN]);
                if let Ok(message) = wire::decode::<T>(&bytes) {
                    found.insert(wire::encode(&message)[wire::LEN_BYTES..].to_vec());
                }
            }
        }
    }
    found.into_iter().collect()
}

/// The number of different bytes at `tag`, which is the number of kinds that were found.
pub fn kinds(messages: &[Vec<u8>], tag: usize) -> usize {
    messages.iter().filter_map(|bytes| bytes.get(tag)).collect::<BTreeSet<_>>().len()
}
