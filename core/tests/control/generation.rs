use bytes::Bytes;
use mastichaven_core::config::ZoneState;
use mastichaven_core::generation::FileList;
use mastichaven_core::generation::FileParts;
use mastichaven_core::generation::next_generation;
use mastichaven_core::generation::three_way;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Generation;
use mastichaven_core::spread::ApplyOutcome;
use mastichaven_core::spread::Files;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn parts(files: &[(&str, &str)]) -> FileParts {
    files.iter().map(|(name, text)| ((*name).into(), vec![Digest::of(text.as_bytes())])).collect()
}

// Two operators publish at the same time. Each has changed another file: both changes stand. Both
// have changed the same file: the second is refused and told which.
#[test]
fn three_way_racing_publishers() {
    let base = parts(&[("a", "1"), ("b", "1"), ("c", "1")]);
    let mine = parts(&[("a", "2"), ("b", "1"), ("d", "1")]);
    let theirs = parts(&[("a", "1"), ("b", "2"), ("c", "1")]);
    assert_eq!(three_way(&base, &mine, &theirs), Ok(parts(&[("a", "2"), ("b", "2"), ("d", "1")])),);
    let theirs = parts(&[("a", "3"), ("b", "1"), ("c", "2")]);
    assert_eq!(three_way(&base, &mine, &theirs), Err(vec!["a".into(), "c".into()]));
}

// The head was deleted, or the platform restored from an old copy. A number that was given before
// would be ignored by every process that has seen it, and the change would never be in force.
#[test]
fn next_generation_rises_without_the_head() {
    let before = next_generation(Generation(0), 1_000);
    assert!(next_generation(before, 1_000) > before);
    assert!(next_generation(Generation(0), 1_016) > before);
    assert!(next_generation(before, 0) > before);
}

fn offer(files: &mut Files, list: &FileList, from: u64, text: &str) -> ApplyOutcome {
    files.apply(&list.delta(Generation(from)), &[Bytes::copy_from_slice(text.as_bytes())])
}

const IN: &str = "[zone.serra]\nregion = 'sul'\n";
const OUT: &str = "[zone.serra]\nregion = 'sul'\nstate = 'out'\n";

// A message with an older generation arrives late, as after a partition. A zone that was taken
// out would get work again.
#[test]
fn offer_never_reverts() {
    let first = FileList::default().next(&parts(&[("a", IN)]), Generation(10));
    let second = first.next(&parts(&[("a", OUT)]), Generation(20));
    let mut files = Files::default();
    assert_eq!(offer(&mut files, &second, 0, OUT), ApplyOutcome::Applied(vec![]));
    assert_eq!(offer(&mut files, &first, 0, IN), ApplyOutcome::Stale);
    assert_eq!(files.list().generation, Generation(20));
    assert_eq!(files.config().zone[&"serra".into()].state, ZoneState::Out);
}

#[test]
fn offer_asks_for_what_is_missing() {
    let list = FileList::default().next(&parts(&[("a", IN)]), Generation(10));
    let mut files = Files::default();
    let ApplyOutcome::MissingParts(missing) = files.apply(&list.delta(Generation(0)), &[]) else {
        panic!("the part is not here");
    };
    assert_eq!(missing.len(), 1);
    let wrong = Bytes::from_static(b"another text");
    assert!(matches!(
        files.apply(&list.delta(Generation(0)), &[wrong]),
        ApplyOutcome::MissingParts(_)
    ));
    assert_eq!(files.list().generation, Generation(0), "nothing of it is in force");
    assert_eq!(offer(&mut files, &list, 0, IN), ApplyOutcome::Applied(vec![]));
}

// A process was cut off and missed generations. A delta that starts above what it has must not be
// applied, or files changed in between would stay old for good.
#[test]
fn offer_gap_needs_the_whole_list() {
    let first = FileList::default().next(&parts(&[("a", IN), ("b", "")]), Generation(10));
    let second = first.next(&parts(&[("a", OUT), ("b", "")]), Generation(20));
    let third = second.next(&parts(&[("a", OUT), ("b", "#")]), Generation(30));
    let mut files = Files::default();
    assert_eq!(
        files.apply(&first.delta(Generation(0)), &[IN.into(), Bytes::new()]),
        ApplyOutcome::Applied(vec![])
    );
    assert_eq!(offer(&mut files, &third, 20, "#"), ApplyOutcome::Gap);
    let both = [Bytes::from(OUT), Bytes::from("#")];
    assert_eq!(files.apply(&third.delta(Generation(10)), &both), ApplyOutcome::Applied(vec![]));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    // Whatever the history, a list brought up by deltas equals the list itself.
    #[test]
    fn apply_delta_equals_list(
        history in prop::collection::vec(prop::collection::btree_map(0u8..12, 0u8..3, 0..10), 1..12),
        seen in 0usize..12,
    ) {
        let mut lists = vec![FileList::default()];
        for (n, files) in history.iter().enumerate() {
            let files: FileParts = files
                .iter()
                .map(|(name, v)| (format!("f{name}").into(), vec![Digest::of(&[*v])]))
                .collect();
            let last = lists.last().unwrap();
            lists.push(last.next(&files, Generation(10 * (n as u64 + 1))));
        }
        let last = lists.last().unwrap();
        let old = &lists[seen % lists.len()];
        let next = old.apply(&last.delta(old.generation)).unwrap();
        prop_assert_eq!(next.files(), last.files());
        prop_assert_eq!(next.delta(old.generation), last.delta(old.generation));
    }
}
