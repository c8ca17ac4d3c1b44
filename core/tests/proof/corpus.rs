//! A corpus of valid messages of every kind, found by decoding, so that new enum variants are
//! included without a change here.

use std::collections::BTreeSet;

use mastichaven_core::wire;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Variant tags tried at each level; more than any enum has variants.
const MAX_KINDS: u8 = 24;

/// Number of bytes after the tags of a candidate; zeros decode as empty or absent fields.
const FILL_LEN: usize = 512;

/// Encodings of valid messages of type `T`, without the length prefix.
///
/// `header_len` bytes precede the tag of the outer enum.
pub fn encoded<T: DeserializeOwned + Serialize>(header_len: usize) -> Vec<Vec<u8>> {
    let mut messages = BTreeSet::new();
    for outer in 0..MAX_KINDS {
        for inner in 0..MAX_KINDS {
            for fill in [0, 1] {
                let mut bytes = vec![0; header_len];
                bytes.extend([outer, inner]);
                bytes.extend([fill; FILL_LEN]);
                if let Ok(message) = wire::decode::<T>(&bytes) {
                    messages.insert(wire::encode(&message)[wire::LEN_BYTES..].to_vec());
                }
            }
        }
    }
    messages.into_iter().collect()
}

/// Number of distinct bytes at index `tag`, which is the number of kinds in the corpus.
pub fn kinds(messages: &[Vec<u8>], tag: usize) -> usize {
    messages.iter().filter_map(|bytes| bytes.get(tag)).collect::<BTreeSet<_>>().len()
}
