use mastichaven_core::ids::Revision;
use mastichaven_core::sweep::Sweep;

const DAY: u64 = 86_400;

// A claim deleted too early would let a resend run its booking again; one never deleted would fill
// the platform.
#[test]
fn step_expires_only_what_is_older_than_claims_are_kept() {
    let mut sweep = Sweep::default();
    let mut shards = std::collections::HashSet::new();
    for step in 0..3 * DAY / 10 {
        let now = 1_000_000 + step * 10;
        assert!(sweep.is_due(now));
        // The platform's number grows by one a second.
        let below = sweep.step(now, Revision(now), DAY);
        assert!(!sweep.is_due(now + 9));
        let Some(below) = below else {
            assert!(step * 10 < DAY);
            continue;
        };
        assert!(below.below.0 + DAY <= now, "nothing younger than a day");
        assert!(below.below.0 + DAY + 1_000 > now, "nothing much older stays");
        shards.insert(below.prefix);
    }
    assert_eq!(shards.len(), 4_096, "each shard has its turn");
    assert!(shards.contains("claim/0a7/"));
}
