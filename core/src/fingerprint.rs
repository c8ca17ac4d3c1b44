//! Fingerprints by which requests, their traits and processes of endpoints are recognized.
//!
//! A trait is what a request may have in common with others: the whole request, or a part of its prompt. Any trait
//! can be the cause of crashes, so all of them have the same type, and a new kind needs only a new constructor.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Digest;
use crate::swarm::topology::key_of;

/// Length of the digest in a [`Fingerprint`], in bytes.
const FINGERPRINT_LEN: usize = 16;

/// Purposes of the keys of fingerprints, which keep them apart from each other and from other digests.
const REQUEST_CONTEXT: &str = "mastichaven request fingerprint";
const PROMPT_PART_CONTEXT: &str = "mastichaven prompt part fingerprint";
const MANY_PARTS_CONTEXT: &str = "mastichaven many parts fingerprint";

/// Customer of traits that requests of several customers have in common.
pub const SHARED_CUSTOMER: u32 = 0;

/// Identifies a trait of a request across requests.
///
/// The digest of a whole request is keyed with the customer, so that nobody can make a request that is taken for one
/// of another customer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint {
    customer: u32,
    digest: [u8; FINGERPRINT_LEN],
}

impl Fingerprint {
    /// The fingerprint of a request that consists of `parts`, sent by `customer`; anonymous callers share the
    /// empty name.
    pub fn new(customer: &str, parts: &[&[u8]]) -> Fingerprint {
        let key = blake3::derive_key(REQUEST_CONTEXT, customer.as_bytes());
        Fingerprint { customer: customer_of(&key), digest: digest_of(&key, parts) }
    }

    /// [`Fingerprint::new`] for a request whose last part is a body in `segments`, however it is divided.
    pub fn with_body<'a>(
        customer: &str,
        parts: &[&[u8]],
        segments: impl Iterator<Item = &'a [u8]> + Clone,
    ) -> Fingerprint {
        let key = blake3::derive_key(REQUEST_CONTEXT, customer.as_bytes());
        let mut hasher = blake3::Hasher::new_keyed(&key);
        parts.iter().for_each(|part| update_part(&mut hasher, part));
        let len: usize = segments.clone().map(<[u8]>::len).sum();
        hasher.update(&(len as u64).to_le_bytes());
        for segment in segments {
            hasher.update(segment);
        }
        Fingerprint { customer: customer_of(&key), digest: truncate(&hasher) }
    }

    /// The fingerprint of the part `id` of prompts for `model`, whoever sends them.
    pub fn of_prompt_part(model: &str, id: &str) -> Fingerprint {
        let key = blake3::derive_key(PROMPT_PART_CONTEXT, model.as_bytes());
        Fingerprint { customer: SHARED_CUSTOMER, digest: digest_of(&key, &[id.as_bytes()]) }
    }

    /// The fingerprint of prompts of `customer` that have more parts than are told apart.
    pub fn of_many_parts(customer: &str) -> Fingerprint {
        let key = blake3::derive_key(MANY_PARTS_CONTEXT, customer.as_bytes());
        Fingerprint { customer: customer_of(&key), digest: digest_of(&key, &[]) }
    }

    /// The customer that the trait belongs to, or [`SHARED_CUSTOMER`].
    pub fn customer(&self) -> u32 {
        self.customer
    }
}

fn customer_of(key: &[u8; 32]) -> u32 {
    let [a, b, c, d, ..] = *key;
    u32::from_le_bytes([a, b, c, d])
}

fn digest_of(key: &[u8; 32], parts: &[&[u8]]) -> [u8; FINGERPRINT_LEN] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    parts.iter().for_each(|part| update_part(&mut hasher, part));
    truncate(&hasher)
}

fn update_part(hasher: &mut blake3::Hasher, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes()).update(part);
}

fn truncate(hasher: &blake3::Hasher) -> [u8; FINGERPRINT_LEN] {
    let mut digest = [0; FINGERPRINT_LEN];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..FINGERPRINT_LEN]);
    digest
}

impl From<Digest> for Fingerprint {
    /// The fingerprint of a request whose customer is unknown.
    fn from(request: Digest) -> Fingerprint {
        let mut digest = [0; FINGERPRINT_LEN];
        digest.copy_from_slice(&request.0[..FINGERPRINT_LEN]);
        let [.., a, b, c, d] = request.0;
        Fingerprint { customer: u32::from_le_bytes([a, b, c, d]), digest }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.digest.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Identifies a process of an endpoint, which ends at most once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ProcessKey(u64);

impl ProcessKey {
    /// Key of the process of the endpoint `id` that started at `started_ms`.
    pub fn new(id: &str, started_ms: u64) -> ProcessKey {
        ProcessKey(key_of(Digest::of(format!("{id} {started_ms}").as_bytes())))
    }
}
