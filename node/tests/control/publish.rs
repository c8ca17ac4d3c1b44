use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::config::ZoneState;
use mastichaven_core::generation::FileParts;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Generation;
use mastichaven_core::platform::ObjectStore;
use mastichaven_core::spread::HEAD_KEY;
use mastichaven_node::accepted;
use mastichaven_node::documents::Documents;
use mastichaven_node::http_store::HttpStore;
use mastichaven_node::publish;
use mastichaven_node::publish::Base;
use mastichaven_node::publish::Options;
use mastichaven_node::publish::PublishError;
use mastichaven_node::publish::Texts;
use mastichaven_standins::Platform;

const ZONES: &str = "[zone.lagoa]\nregion = 'sul'\n[zone.serra]\nregion = 'sul'\n";
const CUSTOMERS: &str = "[limits]\nqueue_len = 9\n";

fn texts(files: &[(&str, &str)]) -> Texts {
    let bytes = |text: &str| Bytes::copy_from_slice(text.as_bytes());
    files.iter().map(|(name, text)| ((*name).into(), bytes(text))).collect()
}

fn base_of(texts: &Texts) -> Base {
    let parts = texts.iter().map(|(name, bytes)| (name.clone(), vec![Digest::of(bytes)]));
    Base::Files(parts.collect::<FileParts>())
}

fn start() -> (Platform, HttpStore) {
    let platform = Platform::start("127.0.0.1:0").unwrap();
    let store = HttpStore::new(platform.base());
    (platform, store)
}

fn publish(store: &HttpStore, texts: &Texts, base: Base) -> publish::Result<Generation> {
    publish::publish(store, texts, &Options::new(base)).map(|accepted| accepted.generation)
}

// Operators race each other. Whoever comes second must neither undo the first one's change nor
// be told that all is well when both changed the same file.
#[test]
fn publish_racing_operators() {
    let (_platform, store) = start();
    let base = texts(&[("10.toml", ZONES), ("20.toml", CUSTOMERS)]);
    let first = publish(&store, &base, Base::Unknown).unwrap();
    let out = format!("{ZONES}state = 'out'\n");
    let one = texts(&[("10.toml", &out), ("20.toml", CUSTOMERS)]);
    let other = texts(&[("10.toml", ZONES), ("20.toml", "[limits]\nqueue_len = 5\n")]);
    let second = publish(&store, &one, base_of(&base)).unwrap();
    let third = publish(&store, &other, base_of(&base)).unwrap();
    assert!(first < second && second < third);

    let documents = Documents::default();
    assert_eq!(accepted::take_in(&store, &documents), Ok(true));
    let config = documents.in_force().config.clone();
    assert_eq!(config.limits.queue_len, 5);
    assert_eq!(config.zone[&"serra".into()].state, ZoneState::Out);

    let clashing = texts(&[("10.toml", "[zone.lagoa]\nregion = 'sul'\n"), ("20.toml", CUSTOMERS)]);
    let refused = publish(&store, &clashing, base_of(&base));
    assert_eq!(refused, Err(PublishError::Clash(vec!["10.toml".into()])));
    assert!(publish(&store, &clashing, Base::Accepted).unwrap() > third);
}

// Each half is right by itself, but together a reference leads to nothing: one operator removes a
// zone that the other starts to use.
#[test]
fn publish_checks_what_racing_operators_make_together() {
    let (_platform, store) = start();
    let model = "[model.m]\nserve = 'm1'\n[version.m1]\nmodel = 'm'\nmanifest = \
                 '00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff'\n";
    let base = texts(&[("10.toml", ZONES), ("20.toml", model)]);
    publish(&store, &base, Base::Unknown).unwrap();
    let without = texts(&[("10.toml", "[zone.lagoa]\nregion = 'sul'\n"), ("20.toml", model)]);
    publish(&store, &without, base_of(&base)).unwrap();
    let placed = format!("{model}[placement.m]\nmodel = 'm'\nreplicas = 1\nzones = ['serra']\n");
    let using = texts(&[("10.toml", ZONES), ("20.toml", &placed)]);
    let refused = publish(&store, &using, base_of(&base)).unwrap_err();
    assert_eq!(refused.code(), Code::DanglingReference);
}

// The platform takes a write and its answer is lost, at each write of a publishing in turn. The
// publisher must neither report a failure that is none nor accept its change twice.
#[test]
fn publish_lost_answers() {
    let (platform, store) = start();
    let mut last = publish(&store, &texts(&[("10.toml", ZONES)]), Base::Accepted).unwrap();
    for lost in 1..=3 {
        let text = format!("{ZONES}[limits]\nqueue_len = {lost}\n");
        platform.set_faults(|faults| faults.lose_answers = lost);
        let generation = publish(&store, &texts(&[("10.toml", &text)]), Base::Accepted).unwrap();
        assert!(generation > last);
        let (_, head) = accepted::read_head(&store).unwrap().unwrap();
        assert_eq!(head.generation, generation);
        assert_eq!(head.receipts.len(), lost as usize + 1, "accepted once");
        last = generation;
    }
}

// A script empties the folder, or the publisher runs in the wrong one. Every model would go.
#[test]
fn publish_empty_folder_is_refused() {
    let (_platform, store) = start();
    let base = texts(&[("10.toml", ZONES)]);
    let first = publish(&store, &base, Base::Unknown).unwrap();
    for empty in [texts(&[]), texts(&[("10.toml", "# nothing\n")])] {
        let refused = publish(&store, &empty, base_of(&base));
        assert_eq!(refused, Err(PublishError::Empty));
    }
    let options = Options { allow_empty: true, ..Options::new(base_of(&base)) };
    let emptied = publish::publish(&store, &texts(&[]), &options).unwrap();
    assert!(emptied.generation > first);
}

// The head is deleted by mistake. The next publishing must be in force everywhere, so its number
// must rise, and the base file must not make everything look removed by others.
#[test]
fn publish_after_the_head_was_deleted() {
    let (_platform, store) = start();
    let files = texts(&[("10.toml", ZONES)]);
    let first = publish(&store, &files, Base::Unknown).unwrap();
    let documents = Documents::default();
    accepted::take_in(&store, &documents).unwrap();
    let head = store.get(HEAD_KEY).unwrap().unwrap();
    store.delete(HEAD_KEY, head.revision).unwrap();
    std::thread::sleep(std::time::Duration::from_millis(1_100));
    let changed = texts(&[("10.toml", &format!("{ZONES}state = 'out'\n"))]);
    let again = publish(&store, &changed, base_of(&files)).unwrap();
    assert!(again > first);
    assert_eq!(accepted::take_in(&store, &documents), Ok(true));
    assert_eq!(documents.in_force().config.zone.len(), 2);
}

// A file of several megabytes is larger than a value of the platform may be.
#[test]
fn publish_splits_large_files() {
    let (_platform, store) = start();
    let mut large = String::from(ZONES);
    while large.len() < 2_500_000 {
        large.push_str("# a comment that makes the file longer than one value may be\n");
    }
    publish(&store, &texts(&[("10.toml", &large)]), Base::Unknown).unwrap();
    let documents = Documents::default();
    assert_eq!(accepted::take_in(&store, &documents), Ok(true));
    assert_eq!(documents.files(), (1, large.len()));
}

// Replaced objects would fill the platform: 5,400 changes a day, each with a new file list.
#[test]
fn publish_deletes_what_was_replaced_long_ago() {
    let (_platform, store) = start();
    for n in 0..40 {
        let text = format!("{ZONES}[limits]\nqueue_len = {}\n", n + 1);
        publish(&store, &texts(&[("10.toml", &text)]), Base::Accepted).unwrap();
    }
    let kept = store.list("config/").unwrap().len();
    assert!(kept < 40, "{kept} objects are left of 40 generations");
    let documents = Documents::default();
    assert_eq!(accepted::take_in(&store, &documents), Ok(true));
    assert_eq!(documents.in_force().config.limits.queue_len, 40);
}
