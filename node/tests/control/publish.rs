use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::config::ZoneState;
use mastichaven_core::generation::FileParts;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Generation;
use mastichaven_core::platform::ObjectStore;
use mastichaven_core::spread::HEAD_KEY;
use mastichaven_node::accepted_config;
use mastichaven_node::documents::Documents;
use mastichaven_node::http_store::HttpStore;
use mastichaven_node::publish;
use mastichaven_node::publish::Base;
use mastichaven_node::publish::FileContents;
use mastichaven_node::publish::Options;
use mastichaven_node::publish::PublishError;
use mastichaven_standins::Platform;

const ZONES: &str = "[zone.lagoa]\nregion = 'sul'\n[zone.serra]\nregion = 'sul'\n";
const CUSTOMERS: &str = "[limits]\nqueue_len = 9\n";

fn contents(files: &[(&str, &str)]) -> FileContents {
    let bytes = |text: &str| Bytes::copy_from_slice(text.as_bytes());
    files.iter().map(|(name, text)| ((*name).into(), bytes(text))).collect()
}

fn base_of(contents: &FileContents) -> Base {
    let parts = contents.iter().map(|(name, bytes)| (name.clone(), vec![Digest::of(bytes)]));
    Base::Files(parts.collect::<FileParts>())
}

fn start() -> (Platform, HttpStore) {
    let platform = Platform::start("127.0.0.1:0").unwrap();
    let store = HttpStore::new(platform.base());
    (platform, store)
}

fn publish(store: &HttpStore, contents: &FileContents, base: Base) -> publish::Result<Generation> {
    publish::publish(store, contents, &Options::new(base)).map(|accepted| accepted.generation)
}

// Two operators publish at the same time. The second publication must not revert the change of the
// first, and must fail if both changed the same file in different ways.
#[test]
fn publish_concurrent_operators() {
    let (_platform, store) = start();
    let base = contents(&[("10.toml", ZONES), ("20.toml", CUSTOMERS)]);
    let first = publish(&store, &base, Base::Unknown).unwrap();
    let out = format!("{ZONES}state = 'out'\n");
    let zone_changed = contents(&[("10.toml", &out), ("20.toml", CUSTOMERS)]);
    let limits_changed = contents(&[("10.toml", ZONES), ("20.toml", "[limits]\nqueue_len = 5\n")]);
    let second = publish(&store, &zone_changed, base_of(&base)).unwrap();
    let third = publish(&store, &limits_changed, base_of(&base)).unwrap();
    assert!(first < second && second < third);

    let documents = Documents::default();
    assert_eq!(accepted_config::apply_latest(&store, &documents), Ok(true));
    let config = documents.in_force().config.clone();
    assert_eq!(config.limits.queue_len, 5);
    assert_eq!(config.zone[&"serra".into()].state, ZoneState::Out);

    let conflicting =
        contents(&[("10.toml", "[zone.lagoa]\nregion = 'sul'\n"), ("20.toml", CUSTOMERS)]);
    let refused = publish(&store, &conflicting, base_of(&base));
    assert_eq!(refused, Err(PublishError::Conflict(vec!["10.toml".into()])));
    assert!(publish(&store, &conflicting, Base::Accepted).unwrap() > third);
}

// One operator removes a zone that another one starts to use. Both folders are valid, but the merged
// configuration has a dangling reference.
#[test]
fn publish_invalid_merge() {
    let (_platform, store) = start();
    let model = "[model.m]\nserve = 'm1'\n[version.m1]\nmodel = 'm'\nmanifest = \
                 '00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff'\n";
    let base = contents(&[("10.toml", ZONES), ("20.toml", model)]);
    publish(&store, &base, Base::Unknown).unwrap();
    let zone_removed =
        contents(&[("10.toml", "[zone.lagoa]\nregion = 'sul'\n"), ("20.toml", model)]);
    publish(&store, &zone_removed, base_of(&base)).unwrap();
    let placed = format!("{model}[placement.m]\nmodel = 'm'\nreplicas = 1\nzones = ['serra']\n");
    let zone_used = contents(&[("10.toml", ZONES), ("20.toml", &placed)]);
    let refused = publish(&store, &zone_used, base_of(&base)).unwrap_err();
    assert_eq!(refused.code(), Code::DanglingReference);
}

// The platform executes a write but its answer is lost, for the first one, two or three writes of a
// publication. The publisher must not report an error, nor have its change accepted twice.
#[test]
fn publish_lost_answers() {
    let (platform, store) = start();
    let mut last = publish(&store, &contents(&[("10.toml", ZONES)]), Base::Accepted).unwrap();
    for lost in 1..=3 {
        let text = format!("{ZONES}[limits]\nqueue_len = {lost}\n");
        platform.set_faults(|faults| faults.lose_answers = lost);
        let generation = publish(&store, &contents(&[("10.toml", &text)]), Base::Accepted).unwrap();
        assert!(generation > last);
        let (_, head) = accepted_config::read_head(&store).unwrap().unwrap();
        assert_eq!(head.generation, generation);
        assert_eq!(head.receipts.len(), lost as usize + 1, "accepted once");
        last = generation;
    }
}

// A script empties the folder, or the publisher runs in the wrong one. Publishing it would remove
// every model.
#[test]
fn publish_empty_folder() {
    let (_platform, store) = start();
    let base = contents(&[("10.toml", ZONES)]);
    let first = publish(&store, &base, Base::Unknown).unwrap();
    for empty in [contents(&[]), contents(&[("10.toml", "# nothing\n")])] {
        let refused = publish(&store, &empty, base_of(&base));
        assert_eq!(refused, Err(PublishError::Empty));
    }
    let options = Options { allow_empty: true, ..Options::new(base_of(&base)) };
    let emptied = publish::publish(&store, &contents(&[]), &options).unwrap();
    assert!(emptied.generation > first);
}

// The head is deleted by mistake. The next generation must come in force everywhere, so its number
// must be higher, and the files of the merge base must not count as removed by others.
#[test]
fn publish_after_head_deleted() {
    let (_platform, store) = start();
    let files = contents(&[("10.toml", ZONES)]);
    let first = publish(&store, &files, Base::Unknown).unwrap();
    let documents = Documents::default();
    accepted_config::apply_latest(&store, &documents).unwrap();
    let head = store.get(HEAD_KEY).unwrap().unwrap();
    store.delete(HEAD_KEY, head.revision).unwrap();
    std::thread::sleep(std::time::Duration::from_millis(1_100));
    let changed = contents(&[("10.toml", &format!("{ZONES}state = 'out'\n"))]);
    let again = publish(&store, &changed, base_of(&files)).unwrap();
    assert!(again > first);
    assert_eq!(accepted_config::apply_latest(&store, &documents), Ok(true));
    assert_eq!(documents.in_force().config.zone.len(), 2);
}

// A file of several megabytes exceeds the maximum size of a value on the platform.
#[test]
fn publish_large_file() {
    let (_platform, store) = start();
    let mut large = String::from(ZONES);
    while large.len() < 2_500_000 {
        large.push_str("# a comment that makes the file longer than one value may be\n");
    }
    publish(&store, &contents(&[("10.toml", &large)]), Base::Unknown).unwrap();
    let documents = Documents::default();
    assert_eq!(accepted_config::apply_latest(&store, &documents), Ok(true));
    assert_eq!(documents.file_stats(), (1, large.len()));
}

// Without deletion, replaced objects would fill the platform: 5,400 changes a day each write a new
// file list.
#[test]
fn publish_deletes_unused_objects() {
    let (_platform, store) = start();
    for n in 0..40 {
        let text = format!("{ZONES}[limits]\nqueue_len = {}\n", n + 1);
        publish(&store, &contents(&[("10.toml", &text)]), Base::Accepted).unwrap();
    }
    let kept = store.list("config/").unwrap().len();
    assert!(kept < 40, "{kept} objects are left of 40 generations");
    let documents = Documents::default();
    assert_eq!(accepted_config::apply_latest(&store, &documents), Ok(true));
    assert_eq!(documents.in_force().config.limits.queue_len, 40);
}
