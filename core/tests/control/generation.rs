use bytes::Bytes;
use mastichaven_core::config::ZoneState;
use mastichaven_core::generation::FileList;
use mastichaven_core::generation::FileParts;
use mastichaven_core::generation::next_generation;
use mastichaven_core::generation::three_way_merge;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Generation;
use mastichaven_core::spread::ApplyOutcome;
use mastichaven_core::spread::Files;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn parts(files: &[(&str, &str)]) -> FileParts {
    files.iter().map(|(name, text)| ((*name).into(), vec![Digest::of(text.as_bytes())])).collect()
}

// Two operators publish at the same time. Changes to different files must both be kept. If both
// change the same file, the second publisher is refused with the name of the file.
#[test]
fn three_way_merge_of_concurrent_publishers() {
    let base = parts(&[("a", "1"), ("b", "1"), ("c", "1")]);
    let mine = parts(&[("a", "2"), ("b", "1"), ("d", "1")]);
    let theirs = parts(&[("a", "1"), ("b", "2"), ("c", "1")]);
    assert_eq!(
        three_way_merge(&base, &mine, &theirs),
        Ok(parts(&[("a", "2"), ("b", "2"), ("d", "1")])),
    );
    let theirs = parts(&[("a", "3"), ("b", "1"), ("c", "2")]);
    assert_eq!(three_way_merge(&base, &mine, &theirs), Err(vec!["a".into(), "c".into()]));
}

// The head was deleted, or the platform was restored from an old backup. Processes ignore a
// generation number that they have seen before, so a reused number would never take effect.
#[test]
fn next_generation_without_head_increases() {
    let before = next_generation(Generation(0), 1_000);
    assert!(next_generation(before, 1_000) > before);
    assert!(next_generation(Generation(0), 1_016) > before);
    assert!(next_generation(before, 0) > before);
}

fn offer(files: &mut Files, list: &FileList, from: u64, text: &str) -> ApplyOutcome {
    files.apply(&list.delta_since(Generation(from)), &[Bytes::copy_from_slice(text.as_bytes())])
}

const ZONE_IN: &str = "[zone.serra]\nregion = 'sul'\n";
const ZONE_OUT: &str = "[zone.serra]\nregion = 'sul'\nstate = 'out'\n";

// A message with an older generation arrives late, as after a network partition. Applying it would
// send requests to a zone that was taken out.
#[test]
fn offer_of_older_generation_is_ignored() {
    let first = FileList::default().with_files(&parts(&[("a", ZONE_IN)]), Generation(10));
    let second = first.with_files(&parts(&[("a", ZONE_OUT)]), Generation(20));
    let mut files = Files::default();
    assert_eq!(offer(&mut files, &second, 0, ZONE_OUT), ApplyOutcome::Applied(vec![]));
    assert_eq!(offer(&mut files, &first, 0, ZONE_IN), ApplyOutcome::Stale);
    assert_eq!(files.list().generation, Generation(20));
    assert_eq!(files.config().zone[&"serra".into()].state, ZoneState::Out);
}

#[test]
fn offer_without_parts_reports_missing_parts() {
    let list = FileList::default().with_files(&parts(&[("a", ZONE_IN)]), Generation(10));
    let mut files = Files::default();
    let ApplyOutcome::MissingParts(missing) = files.apply(&list.delta_since(Generation(0)), &[])
    else {
        panic!("the part should be missing");
    };
    assert_eq!(missing.len(), 1);
    let wrong = Bytes::from_static(b"another text");
    assert!(matches!(
        files.apply(&list.delta_since(Generation(0)), &[wrong]),
        ApplyOutcome::MissingParts(_)
    ));
    assert_eq!(files.list().generation, Generation(0), "no part of the offer takes effect");
    assert_eq!(offer(&mut files, &list, 0, ZONE_IN), ApplyOutcome::Applied(vec![]));
}

// A process was cut off and missed generations. A delta that starts after its own generation must
// not be applied, or files changed in between would stay stale.
#[test]
fn offer_with_delta_gap_requires_older_delta() {
    let first =
        FileList::default().with_files(&parts(&[("a", ZONE_IN), ("b", "")]), Generation(10));
    let second = first.with_files(&parts(&[("a", ZONE_OUT), ("b", "")]), Generation(20));
    let third = second.with_files(&parts(&[("a", ZONE_OUT), ("b", "#")]), Generation(30));
    let mut files = Files::default();
    assert_eq!(
        files.apply(&first.delta_since(Generation(0)), &[ZONE_IN.into(), Bytes::new()]),
        ApplyOutcome::Applied(vec![])
    );
    assert_eq!(offer(&mut files, &third, 20, "#"), ApplyOutcome::Gap);
    let both = [Bytes::from(ZONE_OUT), Bytes::from("#")];
    assert_eq!(
        files.apply(&third.delta_since(Generation(10)), &both),
        ApplyOutcome::Applied(vec![])
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    // For any history, applying a delta to an older list yields the latest list.
    #[test]
    fn apply_delta_yields_latest_list(
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
            lists.push(last.with_files(&files, Generation(10 * (n as u64 + 1))));
        }
        let last = lists.last().unwrap();
        let old = &lists[seen % lists.len()];
        let next = old.apply_delta(&last.delta_since(old.generation)).unwrap();
        prop_assert_eq!(next.files(), last.files());
        prop_assert_eq!(next.delta_since(old.generation), last.delta_since(old.generation));
    }
}
