//! The example deployments and the pages that refer to them.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use mastichaven_core::Config;
use mastichaven_core::Manifest;
use mastichaven_core::config::Service;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::platform::HostRole;
use mastichaven_core::platform::ListedHost;
use mastichaven_node::publish;
use mastichaven_node::settings;
use mastichaven_node::settings::AgentSettings;
use mastichaven_node::settings::EndpointSettings;
use mastichaven_node::settings::EntrySettings;
use mastichaven_node::settings::Place;
use mastichaven_standins::origin::random_weights;

const NAMES: [&str; 2] = ["associacao", "skyline"];

/// Bytes of the example models and of their chunks, as the documented walk-through creates them.
const MODEL_BYTES: usize = 4 << 20;
const CHUNK_BYTES: u32 = 64 << 10;

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples")
}

fn config(name: &str) -> Config {
    publish::check(&publish::read_folder(&examples().join(name)).unwrap()).unwrap()
}

#[test]
fn example_folders_declare_documented_deployments() {
    let deployments = [("associacao", 14), ("skyline", 9)];
    for (name, replicas) in deployments {
        let config = config(name);
        assert_eq!(config.zone.len(), 3, "{name}");
        assert_eq!(config.customer.len(), 10, "{name}");
        assert_eq!(config.placement.values().map(|p| p.replicas).sum::<u32>(), replicas, "{name}");
        let plain = |idempotent: bool| {
            let of_kind = |service: &&Service| matches!(service, Service::Plain { idempotent: i, .. } if *i == idempotent);
            config.service.values().filter(of_kind).count()
        };
        assert_eq!((plain(true), plain(false)), (1, 1), "{name}");
        for (customer, declared) in &config.customer {
            let digest = Digest::of(format!("example-{customer}").as_bytes()).to_hex();
            assert_eq!(declared.key_digest, digest, "{name}: {customer}");
        }
    }
}

#[test]
fn example_versions_match_walkthrough_weights() {
    let seeds = [
        ("associacao", "rota-2026-03", 1),
        ("associacao", "rota-2026-02", 2),
        ("skyline", "summary-2026-05", 3),
        ("skyline", "summary-2026-04", 4),
    ];
    for (name, version, seed) in seeds {
        let manifest = Manifest::from_weights(&random_weights(seed, MODEL_BYTES), CHUNK_BYTES);
        let declared = config(name).version[&version.into()].clone();
        assert_eq!(declared.manifest, manifest.digest().to_hex(), "{version}");
    }
}

fn assert_location_matches(name: &str, place: &Place, role: HostRole, hosts: &[ListedHost]) {
    let listed = hosts.iter().find(|listed| listed.name == place.host).expect("the host is listed");
    assert_eq!((listed.role, &listed.zone, &listed.region), (role, &place.zone, &place.region));
    assert_eq!(listed.address, place.peers);
    assert_eq!(config(name).zone[&place.zone].region, place.region);
}

#[test]
fn example_settings_match_hosts_and_config() {
    for name in NAMES {
        let folder = examples().join("settings").join(name);
        let hosts = fs::read(folder.join("hosts.json")).unwrap();
        let hosts: Vec<ListedHost> = serde_json::from_slice(&hosts).unwrap();
        let mut found = BTreeSet::new();
        for file in fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().path()) {
            if file.extension().is_none_or(|extension| extension != "toml") {
                continue;
            }
            let host = HostName::new(file.file_stem().unwrap().to_str().unwrap());
            if host.as_str().starts_with("entry-") {
                let entry: EntrySettings = settings::load(&file).unwrap();
                assert_location_matches(name, &entry.place, HostRole::Entry, &hosts);
            } else {
                let agent: AgentSettings = settings::load(&file).unwrap();
                assert_location_matches(name, &agent.place, HostRole::Agent, &hosts);
                if let EndpointSettings::Plain { service, .. } = &agent.endpoint {
                    assert!(config(name).service.contains_key(service), "{service}");
                }
            }
            found.insert(host);
        }
        let listed: BTreeSet<HostName> = hosts.iter().map(|listed| listed.name.clone()).collect();
        assert_eq!(found, listed, "{name}");
    }
}

#[test]
fn architecture_page_names_existing_files() {
    // A renamed file would leave a dead reference in the page.
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let page = fs::read_to_string(root.join("docs/ARCHITECTURE.md")).unwrap();
    let named: BTreeSet<&str> =
        page.split('`').skip(1).step_by(2).filter(|text| text.ends_with(".rs")).collect();
    assert!(named.len() > 40, "only {} files are named", named.len());
    for file in named {
        assert!(root.join(file).exists(), "docs/ARCHITECTURE.md names {file}");
    }
}
