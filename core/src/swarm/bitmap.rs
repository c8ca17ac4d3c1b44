//! The set of chunks of a version that a host has.

use serde::Deserialize;
use serde::Serialize;

use crate::manifest::MAX_CHUNKS;

const WORD: usize = 64;

/// One bit a chunk, in manifest order. Bits beyond the end read as 0.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bitmap {
    words: Vec<u64>,
}

impl Bitmap {
    /// A bitmap of `len` zeros.
    pub fn zeros(len: usize) -> Bitmap {
        Bitmap { words: vec![0; len.div_ceil(WORD)] }
    }

    /// Whether bit `index` is set.
    pub fn get(&self, index: usize) -> bool {
        self.words.get(index / WORD).is_some_and(|word| word >> (index % WORD) & 1 == 1)
    }

    /// Sets bit `index`, growing up to [`MAX_CHUNKS`] bits. Returns whether the bit was 0 before;
    /// false for an index beyond that.
    pub fn set(&mut self, index: usize) -> bool {
        if index >= MAX_CHUNKS || self.get(index) {
            return false;
        }
        let word = index / WORD;
        if word >= self.words.len() {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= 1 << (index % WORD);
        true
    }

    /// The number of set bits.
    pub fn count(&self) -> usize {
        self.words.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// Whether this is a valid bitmap for a version of `len` chunks. A peer that sends a longer one
    /// is faulty or tries to exhaust this host's memory.
    pub fn fits(&self, len: usize) -> bool {
        self.words.len() <= len.div_ceil(WORD)
    }

    /// Upper bound of the encoded size in bytes.
    pub fn wire_len(&self) -> usize {
        self.words.len() * 10 + 4
    }
}
