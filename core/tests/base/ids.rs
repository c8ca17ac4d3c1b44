//! Names and digests.

use mastichaven_core::ids::Digest;
use mastichaven_core::ids::is_valid_name;

#[test]
fn is_valid_name_cases() {
    let cases = [("rota-3.1", true), ("", false), ("-a", false), ("A", false), ("a b", false)];
    for (name, valid) in cases {
        assert_eq!(is_valid_name(name), valid, "{name:?}");
    }
}

#[test]
fn from_hex_reads_to_hex() {
    let digest = Digest::of(b"weights");
    assert_eq!(Digest::from_hex(&digest.to_hex()), Some(digest));
    assert_eq!(Digest::from_hex("00"), None);
}
