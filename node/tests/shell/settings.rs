//! Settings files: rejected values, the reported position, and the documented keys and defaults.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;

use mastichaven_core::Code;
use mastichaven_node::settings;
use mastichaven_node::settings::AgentSettings;
use mastichaven_node::settings::EntrySettings;
use mastichaven_node::settings::Validate;
use serde::de::DeserializeOwned;

const ENTRY: &str = r#"callers = "127.0.0.1:8080"
platform = "http://127.0.0.1:7000"

[place]
host = "entry-1"
zone = "lagoa"
region = "sul"
peers = "127.0.0.1:8000"

[tls]
certificate = "a.pem"
key = "a.key.pem"
ca = "ca.pem"
"#;

const AGENT: &str = r#"origin = "http://127.0.0.1:7100"
platform = "http://127.0.0.1:7000"

[place]
host = "agent-1"
zone = "lagoa"
region = "sul"
peers = "127.0.0.1:8000"

[tls]
certificate = "a.pem"
key = "a.key.pem"
ca = "ca.pem"

[endpoint]
kind = "engine"
address = "http://127.0.0.1:5000"
"#;

const PLAIN: &str = r#"
kind = "plain"
address = "http://127.0.0.1:5000"
service = "booking"
"#;

fn parse_error<T: Validate + DeserializeOwned>(text: &str) -> String {
    let settings = settings::parse::<T>(Path::new("x.toml"), text);
    settings.err().map_or_else(|| panic!("accepted: {text}"), |error| error.to_string())
}

#[test]
fn parse_entry_errors_name_line_code_and_key() {
    // An operator mistypes a setting. The process must exit and report the position instead of running
    // with an unintended default.
    let cases = [
        ("zone = \"lagoa\"", "zone = 7", "x.toml:6: E203 place.zone: invalid type"),
        ("zone =", "zoen =", "x.toml:6: E201 place.zoen: unknown field"),
        ("zone = \"lagoa\"\n", "", "x.toml:4: E210 place.zone: missing field"),
        ("zone = \"lagoa\"", "zone = \"Lagoa\"", "x.toml:6: E209 place.zone: \"Lagoa\""),
        ("zone = \"lagoa\"", "zone = \"lagoa", "x.toml:6: E202 "),
        ("127.0.0.1:8080", "localhost:8080", "x.toml:1: E203 callers: invalid socket address"),
        ("127.0.0.1:8000", "0.0.0.0:8000", "x.toml:8: E203 place.peers: 0.0.0.0:8000"),
        ("http://127", "127", "x.toml:2: E203 platform: \"127.0.0.1:7000\" is not http://IP:PORT"),
        ("callers =", "stop_deadline_ms = 1\ncallers =", "x.toml:1: E203 stop_deadline_ms: 1 is"),
    ];
    assert!(settings::parse::<EntrySettings>(Path::new("x.toml"), ENTRY).is_ok());
    for (old, new, expected) in cases {
        let error = parse_error::<EntrySettings>(&ENTRY.replacen(old, new, 1));
        assert!(error.starts_with(expected), "{new:?} gave {error}");
    }
}

#[test]
fn parse_agent_errors_name_line_code_and_key() {
    let cases = [
        ("\"engine\"", "\"motor\"", "x.toml:16: E203 endpoint.kind: unknown variant"),
        ("address =", "adress =", "x.toml:17: E201 endpoint.adress: unknown field"),
        ("origin =", "store_bytes = 1\norigin =", "x.toml:1: E203 store_bytes: 1 is not within"),
    ];
    assert!(settings::parse::<AgentSettings>(Path::new("x.toml"), AGENT).is_ok());
    for (old, new, expected) in cases {
        let error = parse_error::<AgentSettings>(&AGENT.replacen(old, new, 1));
        assert!(error.starts_with(expected), "{new:?} gave {error}");
    }
}

#[test]
fn load_of_missing_file_is_unreadable() {
    let error = settings::load::<EntrySettings>(Path::new("/nonexistent.toml")).unwrap_err();
    assert_eq!((error.code, error.line), (Code::Unreadable, 0));
}

/// The keys of a table, as the parser lists them when it rejects an unknown key.
fn accepted_keys<T: Validate + DeserializeOwned>(text: &str) -> BTreeSet<String> {
    let error = parse_error::<T>(text);
    let (_, expected) = error.split_once("expected").unwrap();
    expected.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

/// Key and default of each table row, by heading of the page.
fn documented() -> BTreeMap<String, BTreeMap<String, String>> {
    let page = include_str!("../../../docs/CONFIGURATION.md");
    let mut tables: BTreeMap<String, BTreeMap<String, String>> = BTreeMap::new();
    let mut heading = String::new();
    for line in page.lines() {
        if let Some(text) = line.strip_prefix("### Settings: ") {
            heading = text.to_owned();
        } else if line.starts_with('#') {
            heading.clear();
        }
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        if !heading.is_empty() && cells.len() > 4 && cells[1].starts_with('`') {
            let key = cells[1].trim_matches('`').to_owned();
            tables.entry(heading.clone()).or_default().insert(key, cells[3].to_owned());
        }
    }
    tables
}

#[test]
fn documented_keys_match_parser() {
    let unknown = |text: &str| format!("unknown_key = 1\n{text}");
    let in_table = |text: &str, table: &str| {
        text.replacen(&format!("[{table}]"), &format!("[{table}]\nunknown_key = 1"), 1)
    };
    let plain = AGENT.split_once("[endpoint]").unwrap().0.to_owned() + "[endpoint]" + PLAIN;
    let tables = [
        ("entry", accepted_keys::<EntrySettings>(&unknown(ENTRY))),
        ("agent", accepted_keys::<AgentSettings>(&unknown(AGENT))),
        ("place", accepted_keys::<EntrySettings>(&in_table(ENTRY, "place"))),
        ("tls", accepted_keys::<EntrySettings>(&in_table(ENTRY, "tls"))),
        ("endpoint", accepted_keys::<AgentSettings>(&in_table(&plain, "endpoint"))),
    ];
    let documented = documented();
    for (table, mut keys) in tables {
        if table == "endpoint" {
            keys.insert("kind".to_owned());
        }
        let found: BTreeSet<String> = documented[table].keys().cloned().collect();
        assert_eq!(found, keys, "table {table} of docs/CONFIGURATION.md");
    }
}

#[test]
fn documented_defaults_match_parser() {
    let documented = documented();
    let default_of = |table: &str| -> Vec<(String, String)> {
        let rows = documented[table].iter();
        let given = rows.filter(|(_, default)| default.starts_with('`'));
        given.map(|(key, default)| (key.clone(), default.trim_matches('`').to_owned())).collect()
    };
    let mut written = AGENT.to_owned();
    for (key, default) in default_of("place") {
        written = written.replacen("[place]", &format!("[place]\n{key} = {default}"), 1);
    }
    for (key, default) in default_of("agent") {
        written = format!("{key} = {default}\n{written}");
    }
    let parse = |text: &str| settings::parse::<AgentSettings>(Path::new("x.toml"), text).unwrap();
    assert_ne!(written, AGENT);
    assert_eq!(parse(&written), parse(AGENT));
    let mut written = ENTRY.to_owned();
    for (key, default) in default_of("entry") {
        written = format!("{key} = {default}\n{written}");
    }
    let parse = |text: &str| settings::parse::<EntrySettings>(Path::new("x.toml"), text).unwrap();
    assert_eq!(parse(&written), parse(ENTRY));
}
