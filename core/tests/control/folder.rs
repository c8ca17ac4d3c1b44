use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use mastichaven_core::Code;
use mastichaven_core::Config;
use mastichaven_core::check;
use mastichaven_core::config::ZoneState;
use mastichaven_core::folder;
use smol_str::SmolStr;

const KEY_DIGEST: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

fn load(files: &[(&str, &str)]) -> (Config, Vec<String>) {
    let mut problems = Vec::new();
    let mut parsed = Vec::new();
    for (name, text) in files {
        let (file, found) = folder::parse(name, text);
        problems.extend(found);
        parsed.push((SmolStr::new(name), Arc::new(file)));
    }
    let (merged, found) = check::merge(&parsed);
    problems.extend(found);
    problems.extend(check::check(&merged));
    (merged.config, problems.iter().map(ToString::to_string).collect())
}

// An operator makes several mistakes at once. If only one were reported at a time, each fix would
// need another run while the fleet keeps the old configuration.
#[test]
fn check_reports_everything_at_once() {
    let text = format!(
        r#"
[zone.lagoa]
region = "sul"
stat = "out"

[zone.serra]
region = "sul"
state = "gone"

[customer.coop]
key_digest = "{KEY_DIGEST}"
weight = 0
max_priority = "high"

[customer.Coop]
key_digest = "{KEY_DIGEST}"

[model.rota]
serve = "rota-2"

[version.rota-1]
model = "rota"

[placement.rota]
model = "rotta"
replicas = 9
max_replicas = 3
zones = ["lagoa", "seira"]

[service.rota]
kind = "model"
model = "rota"

[route.rota]
path = "v1"
service = "rotas"

[limits]
queue_len = 0
retry_shares = 0.1

[customers.x]
"#
    );
    let (config, problems) = load(&[("10-all.toml", &text)]);
    insta::assert_snapshot!(problems.join("\n"));
    assert_eq!(config.zone[&"lagoa".into()].state, ZoneState::In, "valid keys are kept");
}

#[test]
fn parse_reports_each_syntax_error() {
    let (_, problems) = folder::parse("a.toml", "[zone.a]\nregion = \n\n[zone.b\nregion = 'x'\n");
    let lines: Vec<usize> = problems.iter().map(|problem| problem.line).collect();
    assert!(lines.contains(&2) && lines.contains(&4), "{problems:?}");
}

// Two files define the same zone. Without an explicit override, the order of file names would decide
// whether the zone is out, which would go unnoticed until the zone receives requests.
#[test]
fn merge_of_duplicate_name_requires_override() {
    let base = ("10-zones.toml", "[zone.serra]\nregion = 'sul'\n");
    let without_override = ("20-out.toml", "[zone.serra]\nregion = 'sul'\nstate = 'out'\n");
    let (_, problems) = load(&[base, without_override]);
    assert_eq!(
        problems,
        ["20-out.toml:1: E204 zone.serra: also defined at 10-zones.toml:1; \
          write `override = true` here if this one is meant"]
    );
    let with_override =
        ("20-out.toml", "[zone.serra]\noverride = true\nregion = 'sul'\nstate = 'out'\n");
    let (config, problems) = load(&[base, with_override]);
    assert_eq!(problems, Vec::<String>::new());
    assert_eq!(config.zone[&"serra".into()].state, ZoneState::Out);
    let (_, problems) = load(&[with_override]);
    assert_eq!(problems.len(), 1, "an override that replaces nothing is reported");
}

#[test]
fn merge_of_limits_is_per_key() {
    let first = ("a.toml", "[limits]\nqueue_len = 7\n");
    let (config, problems) = load(&[first, ("b.toml", "[limits]\ndeadline_ms = 9\n")]);
    assert_eq!(problems, Vec::<String>::new());
    assert_eq!((config.limits.queue_len, config.limits.deadline_ms), (7, 9));
    let (_, problems) = load(&[first, ("b.toml", "[limits]\nqueue_len = 8\n")]);
    assert_eq!(problems.len(), 1);
}

/// Keys and defaults in each `### Kind:` table of docs/CONFIGURATION.md.
fn documented_defaults() -> BTreeMap<String, BTreeMap<String, String>> {
    let mut tables: BTreeMap<String, BTreeMap<String, String>> = BTreeMap::new();
    let mut kind = None;
    for line in include_str!("../../../docs/CONFIGURATION.md").lines() {
        if line.starts_with('#') {
            kind = line.strip_prefix("### Kind: ").map(str::to_owned);
        }
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        if let Some(kind) = &kind
            && cells.len() == 6
            && cells[1].starts_with('`')
        {
            let key = cells[1].trim_matches('`').to_owned();
            let default = cells[3].trim_matches('`').to_owned();
            tables.entry(kind.clone()).or_default().insert(key, default);
        }
    }
    tables
}

#[test]
fn documented_keys_match_config_types() {
    let documented = documented_defaults();
    let kinds = ["zone", "customer", "model", "version", "placement", "route", "limits"];
    for kind in kinds {
        let name = if kind == "limits" { "limits".to_owned() } else { format!("{kind}.x") };
        let (_, problems) = folder::parse("a.toml", &format!("[{name}]\nno_such_key = 1\n"));
        let unknown = problems.iter().find(|problem| problem.code == Code::UnknownKey).unwrap();
        let expected =
            unknown.detail.split_once("expected").expect("the error lists the expected keys").1;
        let keys: BTreeSet<&str> = expected.split('`').skip(1).step_by(2).collect();
        let found: BTreeSet<&str> = documented[kind].keys().map(String::as_str).collect();
        assert_eq!(found, keys, "kind {kind} of docs/CONFIGURATION.md");
    }
}

#[test]
fn documented_limits_match_defaults() {
    let written: Vec<String> = documented_defaults()["limits"]
        .iter()
        .map(|(key, value)| format!("{key} = {value}"))
        .collect();
    let limits: mastichaven_core::config::Limits = toml::from_str(&written.join("\n")).unwrap();
    assert_eq!(limits, Default::default());
}
