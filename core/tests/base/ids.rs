//! Tests of names and digests.

use mastichaven_core::ids::Digest;
use mastichaven_core::ids::is_valid_name;

#[test]
fn is_valid_name_checks_characters_and_length() {
    let cases = [("rota-3.1", true), ("", false), ("-a", false), ("A", false), ("a b", false)];
    for (name, valid) in cases {
        assert_eq!(is_valid_name(name), valid, "{name:?}");
    }
}

#[test]
fn from_hex_of_to_hex_round_trips() {
    let digest = Digest::of(b"weights");
    assert_eq!(Digest::from_hex(&digest.to_hex()), Some(digest));
    assert_eq!(Digest::from_hex("00"), None);
}

#[test]
fn digest_serializes_as_hex_in_json_and_bytes_in_postcard() {
    let digest = Digest::of(b"weights");
    let text = serde_json::to_string(&digest).unwrap();
    assert_eq!(text, format!("\"{}\"", digest.to_hex()));
    assert_eq!(serde_json::from_str::<Digest>(&text).unwrap(), digest);
    assert!(serde_json::from_str::<Digest>("\"00\"").is_err());
    let bytes = postcard::to_stdvec(&digest).unwrap();
    assert_eq!(bytes, digest.0);
    assert_eq!(postcard::from_bytes::<Digest>(&bytes).unwrap(), digest);
}
