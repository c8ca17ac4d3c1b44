use std::fs;
use std::path::Path;
use std::path::PathBuf;

use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::generation::FileList;
use mastichaven_core::generation::FileParts;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Generation;
use mastichaven_core::spread::ApplyOutcome;
use mastichaven_node::documents::Documents;
use mastichaven_node::publish;
use mastichaven_node::settings;
use mastichaven_node::settings::AgentSettings;
use mastichaven_node::settings::EntrySettings;
use mastichaven_node::settings::Validate;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use serde::de::DeserializeOwned;

const SETTINGS: &str = r#"
callers = "127.0.0.1:8080"
platform = "http://127.0.0.1:7000"
[place]
host = "entry-1"
zone = "lagoa"
region = "sul"
peers = "127.0.0.1:7100"
[tls]
certificate = "c.pem"
key = "k.pem"
ca = "ca.pem"
"#;

const ZONE: &str = "[zone.serra]\nregion = 'sul'\nstate = 'out'\n";

fn cases(cases: u32) -> ProptestConfig {
    let seed = RngSeed::Fixed(0x6861_7665);
    ProptestConfig { cases, rng_seed: seed, failure_persistence: None, ..ProptestConfig::default() }
}

/// A rejection must name a line of the file, so that an operator finds the mistake.
fn assert_error_names_line<T: Validate + DeserializeOwned>(text: &str) {
    if let Err(error) = settings::parse::<T>(Path::new("settings.toml"), text) {
        let lines = text.matches('\n').count() + 1;
        assert!((1..=lines).contains(&error.line), "line {} of {lines}", error.line);
        assert!((200..300).contains(&error.code.number()), "{}", error.code);
    }
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("mastichaven-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the temporary folder is writable");
    folder
}

proptest! {
    #![proptest_config(cases(2_000))]

    /// An operator saves a partial file, or one in another format.
    #[test]
    fn parse_arbitrary_text(text in "(\\PC|\n){0,300}") {
        assert_error_names_line::<EntrySettings>(&text);
        assert_error_names_line::<AgentSettings>(&text);
    }

    /// An operator makes one mistake in a valid file.
    #[test]
    fn parse_corrupted_settings(at in any::<Index>(), len in 0_usize..20, with in "(\\PC|\n){0,8}") {
        let start = at.index(SETTINGS.len());
        let end = (start + len).min(SETTINGS.len());
        let mut text = SETTINGS.to_owned();
        text.replace_range(start..end, &with);
        assert_error_names_line::<EntrySettings>(&text);
    }

    /// A peer or the platform sends parts that are random or corrupt in one byte. They must not be
    /// applied, and the previous configuration stays in force.
    #[test]
    fn apply_config_with_corrupt_parts(
        noise in vec(any::<u8>(), 0..200),
        at in any::<Index>(),
        byte in any::<u8>(),
    ) {
        let documents = Documents::default();
        let list = |text: &str, generation| {
            let parts = vec![Digest::of(text.as_bytes())];
            let files = FileParts::from([("a.toml".into(), parts)]);
            FileList::default().with_files(&files, Generation(generation)).delta_since(Generation(0))
        };
        let zone_part = Bytes::from(ZONE);
        let first = documents.apply_config(&list("", 1), &[Bytes::new()]);
        assert_eq!(first, ApplyOutcome::Applied(vec![]));
        let mut corrupted = zone_part.to_vec();
        let at = at.index(corrupted.len());
        corrupted[at] = byte;
        for bytes in [noise, corrupted] {
            let is_intact = bytes == zone_part;
            let outcome = documents.apply_config(&list(ZONE, 2), &[bytes.into()]);
            assert_eq!(matches!(outcome, ApplyOutcome::MissingParts(_)), !is_intact);
            assert_eq!(documents.generation() == Generation(2), is_intact);
        }
    }
}

/// The folder contains a binary file, such as an editor's swap file with a wrong name. Publishing must
/// be rejected with a code, and no part of the file used.
#[test]
fn read_folder_with_binary_file() {
    let folder = folder("not-text");
    fs::write(folder.join("10-zones.toml"), b"[zone.a]\nregion = \"\xff\xfe\"\n").expect("written");
    let refused = publish::read_folder(&folder).and_then(|texts| publish::check(&texts));
    assert_eq!(refused.map(drop).map_err(|error| error.code()), Err(Code::BadSyntax));
    fs::remove_dir_all(&folder).expect("removed");
}

/// Values nested 10,000 levels deep would overflow the stack of a parser without a depth limit.
#[test]
fn parse_deeply_nested_value() {
    const DEPTH: usize = 10_000;
    let text = format!("{SETTINGS}a = {}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    assert!(settings::parse::<EntrySettings>(Path::new("settings.toml"), &text).is_err());
}
