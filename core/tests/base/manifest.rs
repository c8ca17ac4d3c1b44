//! Tests of manifest encoding.

use mastichaven_core::Code;
use mastichaven_core::Manifest;

#[test]
fn decode_of_encoded_manifest_round_trips() {
    let manifest = Manifest::from_weights(&[7; 10], 4);
    assert_eq!(manifest.chunks.len(), 3);
    assert_eq!(manifest.len(), 10);
    let bytes = manifest.encode();
    assert_eq!(Manifest::decode(&bytes, manifest.digest()), Ok(manifest));
}

#[test]
fn decode_with_digest_mismatch_fails() {
    let manifest = Manifest::from_weights(&[7; 10], 4);
    let mut bytes = manifest.encode();
    bytes[3] ^= 1;
    assert_eq!(Manifest::decode(&bytes, manifest.digest()), Err(Code::BadManifest));
}
