//! Experiment: time and memory to read, merge and check the configuration folder of the target
//! deployment.

use std::fmt::Write;
use std::fs;
use std::path::Path;
use std::time::Instant;

use mastichaven_core::ids::Digest;
use mastichaven_node::publish;
use serde::Serialize;

use crate::fleet::Result;

/// Availability zones, each with its region.
const ZONES: [(&str, &str); 8] = [
    ("lagoa", "sul"),
    ("serra", "sul"),
    ("litoral", "sul"),
    ("kartli", "georgia"),
    ("kakheti", "georgia"),
    ("adjara", "georgia"),
    ("porto", "norte"),
    ("minho", "norte"),
];

/// Number of models. Each has a file with two versions, a placement, a service and a route.
const MODELS: usize = 60;

/// Number of customer files, and of customers in each.
const CUSTOMER_FILES: usize = 40;
const CUSTOMERS_PER_FILE: usize = 25;

/// Replicas of each model; together they fill the 1,100 engines of the target.
const REPLICAS_PER_MODEL: usize = 1_100 / MODELS;

/// Number of measurements; the report has the shortest times.
const ROUNDS: usize = 5;

/// Size of the folder, and the time and memory that a process needs for it.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Number of files.
    pub files: usize,
    /// Size of all files in bytes.
    pub bytes: usize,
    /// Size of the largest file in bytes, the most that a change of one file sends.
    pub largest_file: usize,
    /// Time to read the files, in milliseconds.
    pub read_ms: f64,
    /// Time to parse, merge and check all files, in milliseconds.
    pub check_ms: f64,
    /// Resident memory that the merged configuration and the texts of its files add, in bytes.
    pub memory: u64,
}

/// Writes the folder to `out` and measures it. Fails if the configuration that is read back has
/// another number of customers or models.
pub fn run(out: &Path) -> Result<Report> {
    write_folder(out).map_err(|e| e.to_string())?;
    let before = resident_bytes()?;
    let mut report = measure(out)?;
    for _ in 1..ROUNDS {
        let repeat = measure(out)?;
        report.read_ms = report.read_ms.min(repeat.read_ms);
        report.check_ms = report.check_ms.min(repeat.check_ms);
    }
    let texts = publish::read_folder(out).map_err(|e| e.to_string())?;
    let config = publish::check(&texts).map_err(|e| e.to_string())?;
    report.memory = resident_bytes()?.saturating_sub(before);
    if config.customer.len() != CUSTOMER_FILES * CUSTOMERS_PER_FILE || config.model.len() != MODELS
    {
        return Err(
            "the configuration read back has another number of customers or models".to_owned()
        );
    }
    Ok(report)
}

fn measure(out: &Path) -> Result<Report> {
    let started = Instant::now();
    let texts = publish::read_folder(out).map_err(|e| e.to_string())?;
    let read_ms = started.elapsed().as_secs_f64() * 1_000.0;
    let started = Instant::now();
    publish::check(&texts).map_err(|e| e.to_string())?;
    let check_ms = started.elapsed().as_secs_f64() * 1_000.0;
    let lens = || texts.values().map(|text| text.len());
    Ok(Report {
        files: texts.len(),
        bytes: lens().sum(),
        largest_file: lens().max().unwrap_or(0),
        read_ms,
        check_ms,
        memory: 0,
    })
}

fn write_folder(out: &Path) -> std::io::Result<()> {
    fs::create_dir_all(out)?;
    let mut zones = String::new();
    for (zone, region) in ZONES {
        let _ = writeln!(zones, "[zone.{zone}]\nregion = \"{region}\"\nstate = \"in\"\n");
    }
    fs::write(out.join("10-zones.toml"), zones)?;
    for file in 0..CUSTOMER_FILES {
        fs::write(out.join(format!("20-customers-{file:02}.toml")), customers_file(file))?;
    }
    for n in 0..MODELS {
        fs::write(out.join(format!("30-model-{n:02}.toml")), model_file(n))?;
    }
    Ok(())
}

fn customers_file(file: usize) -> String {
    let mut text = String::new();
    for n in 0..CUSTOMERS_PER_FILE {
        let name = format!("customer-{file:02}-{n:02}");
        let digest = Digest::of(name.as_bytes()).to_hex();
        let _ = writeln!(
            text,
            "[customer.{name}]\nkey_digest = \"{digest}\"\nweight = 2\n\
             requests_per_second = 20.0\nconcurrent = 40\n"
        );
    }
    text
}

fn model_file(n: usize) -> String {
    let manifest = |version: usize| Digest::of(format!("{n}/{version}").as_bytes()).to_hex();
    format!(
        "[model.model-{n:02}]\nserve = \"model-{n:02}.2\"\nmemory_mib = 16384\n\n\
         [version.\"model-{n:02}.1\"]\nmodel = \"model-{n:02}\"\nmanifest = \"{}\"\n\n\
         [version.\"model-{n:02}.2\"]\nmodel = \"model-{n:02}\"\nmanifest = \"{}\"\n\n\
         [placement.model-{n:02}]\nmodel = \"model-{n:02}\"\nreplicas = {REPLICAS_PER_MODEL}\n\n\
         [service.model-{n:02}]\nkind = \"model\"\nmodel = \"model-{n:02}\"\n\n\
         [route.model-{n:02}]\npath = \"/v1/chat/completions\"\nmodel = \"model-{n:02}\"\n\
         service = \"model-{n:02}\"\n",
        manifest(1),
        manifest(2)
    )
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> Result<u64> {
    let status = fs::read_to_string("/proc/self/status").map_err(|e| e.to_string())?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .ok_or("/proc/self/status has no VmRSS line")?;
    let kib = line.trim().trim_end_matches(" kB").parse::<u64>().map_err(|e| e.to_string())?;
    Ok(kib * 1_024)
}
