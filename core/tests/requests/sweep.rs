use mastichaven_core::ids::Revision;
use mastichaven_core::sweep::Sweep;

const DAY: u64 = 86_400;

// A claim deleted too early would let a retry run its booking again; a claim never deleted would
// fill the platform.
#[test]
fn step_deletes_only_expired_claims() {
    let mut sweep = Sweep::default();
    let mut shards = std::collections::HashSet::new();
    for step in 0..3 * DAY / 10 {
        let now = 1_000_000 + step * 10;
        assert!(sweep.is_due(now));
        // One write a second on the platform.
        let deletion = sweep.step(now, Revision(now), DAY);
        assert!(!sweep.is_due(now + 9));
        let Some(deletion) = deletion else {
            assert!(step * 10 < DAY);
            continue;
        };
        assert!(deletion.below.0 + DAY <= now, "deletes nothing younger than a day");
        assert!(deletion.below.0 + DAY + 1_000 > now, "leaves nothing much older than a day");
        shards.insert(deletion.prefix);
    }
    assert_eq!(shards.len(), 4_096, "covers every shard");
    assert!(shards.contains("claim/0a7/"));
}
