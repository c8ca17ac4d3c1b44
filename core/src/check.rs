//! Second pass over a configuration folder: merging and validation of all files.
//!
//! [`merge`] combines the files in the order of their names. A name that two files define without
//! `override = true` is a problem, because the order of file names would silently decide between
//! them. [`check`] validates references and ranges. Both report all problems at once.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry as Slot;
use std::sync::Arc;

use smol_str::SmolStr;

use crate::code::Code;
use crate::config::Config;
use crate::config::Limits;
use crate::config::Service;
use crate::folder::Entry;
use crate::folder::Kind;
use crate::folder::LIMITS_TABLE;
use crate::folder::ParsedFile;
use crate::folder::Problem;
use crate::folder::Value;
use crate::folder::suggest;
use crate::ids::CustomerName;
use crate::ids::Digest;
use crate::ids::ModelName;
use crate::ids::RegionName;
use crate::ids::ServiceName;
use crate::ids::VersionName;
use crate::ids::ZoneName;
use crate::ids::is_valid_name;

/// Maximum number of replicas of one placement.
pub const MAX_REPLICAS: u32 = 10_000;

/// The merged files of a folder.
#[derive(Clone, Debug, Default)]
pub struct Merged {
    /// Merged configuration; the last definition of a name wins.
    pub config: Config,
    sources: BTreeMap<(Kind, SmolStr), Source>,
    limit_lines: BTreeMap<SmolStr, (SmolStr, usize)>,
}

#[derive(Clone, Debug)]
struct Source {
    file: SmolStr,
    parsed: Arc<ParsedFile>,
    entry: usize,
}

impl Source {
    fn entry(&self) -> &Entry {
        &self.parsed.entries[self.entry]
    }
}

/// Merges `files`, which must be in the order of their names. O(n log n) in the entries.
pub fn merge(files: &[(SmolStr, Arc<ParsedFile>)]) -> (Merged, Vec<Problem>) {
    let mut merged = Merged::default();
    let mut problems = Vec::new();
    let mut limits = toml::Table::new();
    for (file, parsed) in files {
        for (index, entry) in parsed.entries.iter().enumerate() {
            let source = Source { file: file.clone(), parsed: parsed.clone(), entry: index };
            problems.extend(record_definition(&mut merged.sources, source));
            insert_value(&mut merged.config, entry);
        }
        for (key, (value, line)) in &parsed.limits.keys {
            if let Some((other, at)) = merged.limit_lines.get(key)
                && !parsed.limits.overrides
            {
                let path = format!("{LIMITS_TABLE}.{key}");
                problems.push(duplicate_name(file, *line, path, other, *at));
            }
            merged.limit_lines.insert(key.clone(), (file.clone(), *line));
            limits.insert(key.to_string(), value.clone());
        }
    }
    merged.config.limits = limits.try_into().unwrap_or_default();
    (merged, problems)
}

fn record_definition(
    sources: &mut BTreeMap<(Kind, SmolStr), Source>,
    source: Source,
) -> Option<Problem> {
    let entry = source.entry();
    let path = format!("{}.{}", entry.kind.as_str(), entry.name);
    let (file, line, overrides) = (source.file.clone(), entry.line, entry.overrides);
    match sources.entry((entry.kind, entry.name.clone())) {
        Slot::Vacant(slot) => {
            slot.insert(source);
            overrides.then(|| Problem {
                file,
                line,
                key: path,
                code: Code::DanglingReference,
                detail: "`override = true`, but no earlier file defines this name".to_owned(),
                suggestion: "remove the line, or name the file later in the order".to_owned(),
            })
        }
        Slot::Occupied(mut slot) => {
            let old = slot.insert(source);
            (!overrides).then(|| duplicate_name(&file, line, path, &old.file, old.entry().line))
        }
    }
}

fn duplicate_name(file: &SmolStr, line: usize, key: String, other: &SmolStr, at: usize) -> Problem {
    Problem {
        file: file.clone(),
        line,
        key,
        code: Code::DuplicateName,
        detail: format!("also defined at {other}:{at}"),
        suggestion: "write `override = true` here if this one is meant".to_owned(),
    }
}

fn insert_value(config: &mut Config, entry: &Entry) {
    let name = &entry.name;
    match entry.value.clone() {
        Value::Zone(zone) => drop(config.zone.insert(ZoneName(name.clone()), zone)),
        Value::Customer(it) => drop(config.customer.insert(CustomerName(name.clone()), it)),
        Value::Model(model) => drop(config.model.insert(ModelName(name.clone()), model)),
        Value::Version(it) => drop(config.version.insert(VersionName(name.clone()), it)),
        Value::Placement(it) => drop(config.placement.insert(name.clone(), it)),
        Value::Service(it) => drop(config.service.insert(ServiceName(name.clone()), it)),
        Value::Route(route) => drop(config.route.insert(name.clone(), route)),
    }
}

/// Validates all references and ranges. O(n log n) in the entries.
pub fn check(merged: &Merged) -> Vec<Problem> {
    let mut checker = Checker { merged, problems: Vec::new() };
    checker.check_zones();
    checker.check_customers();
    checker.check_models();
    checker.check_placements();
    checker.check_services();
    checker.check_limits();
    let mut problems = checker.problems;
    problems.sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
    problems
}

struct Checker<'a> {
    merged: &'a Merged,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    fn report(
        &mut self,
        at: (Kind, &str),
        key: &str,
        code: Code,
        detail: String,
        suggestion: impl Into<String>,
    ) {
        let (kind, name) = at;
        let Some(source) = self.merged.sources.get(&(kind, SmolStr::new(name))) else {
            return;
        };
        self.problems.push(Problem {
            file: source.file.clone(),
            line: source.entry().line_of(key),
            key: format!("{}.{name}.{key}", kind.as_str()),
            code,
            detail,
            suggestion: suggestion.into(),
        });
    }

    fn check_reference<'k>(
        &mut self,
        at: (Kind, &str),
        key: &str,
        to: (Kind, &str),
        mut names: impl Iterator<Item = &'k str> + Clone,
    ) {
        let (kind, name) = to;
        if names.clone().any(|known| known == name) {
            return;
        }
        let suggestion = match names.next() {
            None => format!("define [{}.{name}]", kind.as_str()),
            Some(first) => {
                let known: Vec<&str> = std::iter::once(first).chain(names).collect();
                suggest(Some(name), &known)
            }
        };
        let detail = format!("there is no {} `{name}`", kind.as_str());
        self.report(at, key, Code::DanglingReference, detail, suggestion);
    }

    fn check_range(&mut self, at: (Kind, &str), key: &str, value: f64, low: f64, high: f64) {
        if !(low..=high).contains(&value) {
            let detail = format!("{value} is out of range");
            self.report(at, key, Code::BadValue, detail, format!("write {low} to {high}"));
        }
    }

    fn check_digest(&mut self, at: (Kind, &str), key: &str, value: &str) {
        if Digest::from_hex(value).is_none() {
            let detail = format!("`{value}` is not a blake3 digest");
            self.report(at, key, Code::BadValue, detail, "write 64 hexadecimal digits");
        }
    }

    fn check_zones(&mut self) {
        let merged = self.merged;
        for (name, zone) in &merged.config.zone {
            let RegionName(region) = &zone.region;
            if !is_valid_name(region) {
                let detail = format!("`{region}` is no name");
                self.report((Kind::Zone, name.as_str()), "region", Code::BadName, detail, "");
            }
        }
    }

    fn check_customers(&mut self) {
        let merged = self.merged;
        let mut keys: BTreeMap<&str, &str> = BTreeMap::new();
        for (name, customer) in &merged.config.customer {
            let at = (Kind::Customer, name.as_str());
            self.check_digest(at, "key_digest", &customer.key_digest);
            if let Some(other) = keys.insert(&customer.key_digest, name.as_str()) {
                let detail = format!("customer `{other}` has the same key");
                self.report(at, "key_digest", Code::DuplicateName, detail, "give each its own key");
            }
            self.check_range(at, "weight", f64::from(customer.weight), 1.0, 1_000.0);
            self.check_range(at, "requests_per_second", customer.requests_per_second, 1e-3, 1e6);
            self.check_range(at, "concurrent", f64::from(customer.concurrent), 1.0, 1e6);
            self.check_range(at, "max_priority", f64::from(customer.max_priority), 0.0, 9.0);
        }
    }

    fn check_models(&mut self) {
        let config = &self.merged.config;
        for (name, model) in &config.model {
            let at = (Kind::Model, name.as_str());
            let of_model = config.version.iter().filter(|(_, version)| version.model == *name);
            let names = of_model.map(|(version, _)| version.as_str());
            self.check_reference(at, "serve", (Kind::Version, model.serve.as_str()), names);
        }
        for (name, version) in &config.version {
            let at = (Kind::Version, name.as_str());
            let names = config.model.keys().map(ModelName::as_str);
            self.check_reference(at, "model", (Kind::Model, version.model.as_str()), names);
            self.check_digest(at, "manifest", &version.manifest);
        }
    }

    fn check_placements(&mut self) {
        let config = &self.merged.config;
        let mut placed: BTreeMap<&ModelName, &str> = BTreeMap::new();
        for (name, placement) in &config.placement {
            let at = (Kind::Placement, name.as_str());
            let names = config.model.keys().map(ModelName::as_str);
            self.check_reference(at, "model", (Kind::Model, placement.model.as_str()), names);
            if let Some(other) = placed.insert(&placement.model, name) {
                let detail = format!("placement `{other}` places the same model");
                self.report(at, "model", Code::DuplicateName, detail, "keep one of them");
            }
            for zone in &placement.zones {
                let names = config.zone.keys().map(ZoneName::as_str);
                self.check_reference(at, "zones", (Kind::Zone, zone.as_str()), names);
            }
            let max_replicas = f64::from(MAX_REPLICAS);
            self.check_range(at, "replicas", f64::from(placement.replicas), 0.0, max_replicas);
            if let Some(max) = placement.max_replicas {
                let min_replicas = f64::from(placement.replicas);
                self.check_range(at, "max_replicas", f64::from(max), min_replicas, max_replicas);
            }
            for host in placement.pin.iter().filter(|host| placement.exclude.contains(host)) {
                let detail = format!("host `{host}` is in `pin` and in `exclude`");
                self.report(at, "pin", Code::BadValue, detail, "keep it in one of them");
            }
        }
    }

    fn check_services(&mut self) {
        let config = &self.merged.config;
        for (name, service) in &config.service {
            let at = (Kind::Service, name.as_str());
            match service {
                Service::Model { model, .. } => {
                    let names = config.model.keys().map(ModelName::as_str);
                    self.check_reference(at, "model", (Kind::Model, model.as_str()), names);
                }
                Service::Plain { concurrent, .. } => {
                    self.check_range(at, "concurrent", f64::from(*concurrent), 1.0, 1e5);
                }
            }
        }
        let mut paths: BTreeMap<(&str, Option<&str>), &str> = BTreeMap::new();
        for (name, route) in &config.route {
            let at = (Kind::Route, name.as_str());
            let names = config.service.keys().map(ServiceName::as_str);
            self.check_reference(at, "service", (Kind::Service, route.service.as_str()), names);
            if !route.path.starts_with('/') {
                let detail = format!("`{}` does not begin with `/`", route.path);
                self.report(at, "path", Code::BadValue, detail, format!("write `/{}`", route.path));
            }
            if let Some(other) = paths.insert((&route.path, route.model.as_deref()), name) {
                let detail = format!("route `{other}` has the same path and model");
                self.report(at, "path", Code::DuplicateName, detail, "keep one of them");
            }
        }
    }

    fn check_limits(&mut self) {
        for (key, value, low, high) in limit_ranges(&self.merged.config.limits) {
            if (low..=high).contains(&value) {
                continue;
            }
            let Some((file, line)) = self.merged.limit_lines.get(key) else {
                continue;
            };
            self.problems.push(Problem {
                file: file.clone(),
                line: *line,
                key: format!("{LIMITS_TABLE}.{key}"),
                code: Code::BadValue,
                detail: format!("{value} is out of range"),
                suggestion: format!("write {low} to {high}"),
            });
        }
    }
}

/// Keys of `limits` with their values and the lowest and highest value allowed.
fn limit_ranges(limits: &Limits) -> [(&'static str, f64, f64, f64); 10] {
    let hour = 3_600_000.0;
    [
        ("queue_len", f64::from(limits.queue_len), 1.0, 1e6),
        ("deadline_ms", limits.deadline_ms as f64, 1.0, hour),
        ("first_byte_ms", limits.first_byte_ms as f64, 1.0, hour),
        ("between_bytes_ms", limits.between_bytes_ms as f64, 1.0, hour),
        ("retry_share", limits.retry_share, 0.0, 1.0),
        ("body_bytes", limits.body_bytes as f64, 1.0, f64::from(64 << 20)),
        ("eject_share", limits.eject_share, 0.0, 1.0),
        ("quarantine_ms", limits.quarantine_ms as f64, 0.0, 24.0 * hour),
        ("claim_seconds", limits.claim_seconds as f64, 1.0, 30.0 * 86_400.0),
        ("origin_copies", limits.origin_copies, 1.0, 10_000.0),
    ]
}
