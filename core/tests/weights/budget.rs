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

    // Two halves of a cut zone, or hundreds of agents with stale lists, each hold themselves
    // responsible for the same chunks and pay in any order. Above the limit the origin's link would
    // be full for everybody else.
    #[test]
    fn grants_stay_under_hard_limit(
        tries in proptest::collection::vec(0usize..64, 0..600),
        copies in 0.0f64..3.0,
    ) {
        const LEN: u64 = 1_000;
        let mut first = FirstPulls::default();
        let mut repeats = Repeats::default();
        let limit = repeats_limit(64 * LEN, copies);
        let mut pulled = 0;
        let mut wanted = std::collections::BTreeSet::new();
        for index in tries {
            // One shard holds every sixteenth chunk; 64 of them make up this version.
            let granted = first.grant(index * 16) || repeats.grant(LEN, limit);
            pulled += u64::from(granted) * LEN;
            // A chunk's first pull is never refused, whatever was spent on others.
            assert!(granted || !wanted.insert(index));
            wanted.insert(index);
        }
        assert!(pulled as f64 <= 64.0 * LEN as f64 * copies.max(1.0));
    }
}
