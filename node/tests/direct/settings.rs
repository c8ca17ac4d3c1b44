//! Validation of the direct path's settings.

use std::path::Path;

use mastichaven_node::direct::settings::DirectSettings;
use mastichaven_node::settings;

use super::updates::SETTINGS;

// A limit out of range would let every entry treat its state as stale.
#[test]
fn parse_rejects_limits_out_of_range() {
    let cases = [
        ("leave_ms = 2000", "leave_ms = 0"),
        ("leave_ms = 2000", "leave_ms = 90000"),
        ("key_revocation_ms = 5000", "key_revocation_ms = 10"),
        ("stop_s = 8.0", "stop_s = 0.0"),
        ("repeat_ratio = 0.2", "repeat_ratio = -1.0"),
        ("repeat_window_s = 10.0", "repeat_window_s = 0.0"),
        ("zone = \"zone-a\"", "zone = \"zone-b\""),
    ];
    let parse = |text: &str| settings::parse::<DirectSettings>(Path::new("entry.toml"), text);
    assert!(parse(SETTINGS).is_ok());
    for (good, bad) in cases {
        assert!(parse(&SETTINGS.replacen(good, bad, 1)).is_err(), "{bad}");
    }
}
