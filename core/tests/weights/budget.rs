use mastichaven_core::swarm::budget::FirstPulls;
use mastichaven_core::swarm::budget::Repeats;
use mastichaven_core::swarm::budget::repeats_limit;
use proptest::prelude::ProptestConfig;
use proptest::prelude::proptest;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    // Both sides of a partitioned zone, or hundreds of agents with stale host lists, own the same
    // chunks and request grants in any order. Above the limit, the origin's link would have no
    // capacity left for others.
    #[test]
    fn grants_stay_within_limit(
        attempts in proptest::collection::vec(0usize..64, 0..600),
        copies in 0.0f64..3.0,
    ) {
        const LEN: u64 = 1_000;
        let mut first = FirstPulls::default();
        let mut repeats = Repeats::default();
        let limit = repeats_limit(64 * LEN, copies);
        let mut pulled = 0;
        let mut requested = std::collections::BTreeSet::new();
        for index in attempts {
            // One shard holds every sixteenth chunk; this version consists of 64 of them.
            let granted = first.grant(index * 16) || repeats.grant(LEN, limit);
            pulled += u64::from(granted) * LEN;
            // The first pull of a chunk is never refused, whatever was granted for others.
            assert!(granted || !requested.insert(index));
            requested.insert(index);
        }
        assert!(pulled as f64 <= 64.0 * LEN as f64 * copies.max(1.0));
    }
}
