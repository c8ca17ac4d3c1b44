//! The target's deployment as a folder: written, read, merged and checked, with time and memory.

use std::fmt::Write;
use std::fs;
use std::path::Path;
use std::time::Instant;

use mastichaven_core::ids::Digest;
use mastichaven_node::publish;
use serde::Serialize;

use crate::fleet::Result;

/// Availability zones and their regions.
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

/// Models, each with two versions, a placement, a service and a route in a file of its own.
const MODELS: usize = 60;

/// Files of customers, and customers in each.
const CUSTOMER_FILES: usize = 40;
const CUSTOMERS_A_FILE: usize = 25;

/// Replicas of each model: all of them fill the target's 1,100 runners.
const REPLICAS: usize = 1_100 / MODELS;

/// Times the folder is read; the figures are of the fastest.
const ROUNDS: usize = 5;

/// What the folder costs a process.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Files.
    pub files: usize,
    /// Bytes of all files.
    pub bytes: usize,
    /// Bytes of the largest file, which is what one change sends at most.
    pub largest_file: usize,
    /// Milliseconds to read the files.
    pub read_ms: f64,
    /// Milliseconds to parse, merge and check all of them.
    pub check_ms: f64,
    /// Bytes of resident memory that the merged configuration and its texts added.
    pub memory: u64,
}

/// Writes the folder below `out` and measures it.
pub fn run(out: &Path) -> Result<Report> {
    write(out).map_err(|e| e.to_string())?;
    let before = resident()?;
    let mut report = measure(out)?;
    for _ in 1..ROUNDS {
        let again = measure(out)?;
        report.read_ms = report.read_ms.min(again.read_ms);
        report.check_ms = report.check_ms.min(again.check_ms);
    }
    let texts = publish::read_folder(out).map_err(|e| e.to_string())?;
    let config = publish::check(&texts).map_err(|e| e.to_string())?;
    report.memory = resident()?.saturating_sub(before);
    if config.customer.len() != CUSTOMER_FILES * CUSTOMERS_A_FILE || config.model.len() != MODELS {
        return Err("the folder does not say what was written".to_owned());
    }
    Ok(report)
}

fn measure(out: &Path) -> Result<Report> {
    let begun = Instant::now();
    let texts = publish::read_folder(out).map_err(|e| e.to_string())?;
    let read_ms = begun.elapsed().as_secs_f64() * 1_000.0;
    let begun = Instant::now();
    publish::check(&texts).map_err(|e| e.to_string())?;
    let check_ms = begun.elapsed().as_secs_f64() * 1_000.0;
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

fn write(out: &Path) -> std::io::Result<()> {
    fs::create_dir_all(out)?;
    let mut zones = String::new();
    for (zone, region) in ZONES {
        let _ = writeln!(zones, "[zone.{zone}]\nregion = \"{region}\"\nstate = \"in\"\n");
    }
    fs::write(out.join("10-zones.toml"), zones)?;
    for file in 0..CUSTOMER_FILES {
        fs::write(out.join(format!("20-customers-{file:02}.toml")), customers(file))?;
    }
    for n in 0..MODELS {
        fs::write(out.join(format!("30-model-{n:02}.toml")), model(n))?;
    }
    Ok(())
}

fn customers(file: usize) -> String {
    let mut text = String::new();
    for n in 0..CUSTOMERS_A_FILE {
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

fn model(n: usize) -> String {
    let manifest = |version: usize| Digest::of(format!("{n}/{version}").as_bytes()).to_hex();
    format!(
        "[model.model-{n:02}]\nserve = \"model-{n:02}.2\"\nmemory_mib = 16384\n\n\
         [version.\"model-{n:02}.1\"]\nmodel = \"model-{n:02}\"\nmanifest = \"{}\"\n\n\
         [version.\"model-{n:02}.2\"]\nmodel = \"model-{n:02}\"\nmanifest = \"{}\"\n\n\
         [placement.model-{n:02}]\nmodel = \"model-{n:02}\"\nreplicas = {REPLICAS}\n\n\
         [service.model-{n:02}]\nkind = \"model\"\nmodel = \"model-{n:02}\"\n\n\
         [route.model-{n:02}]\npath = \"/v1/chat/completions\"\nmodel = \"model-{n:02}\"\n\
         service = \"model-{n:02}\"\n",
        manifest(1),
        manifest(2)
    )
}

/// Resident memory of this process, in bytes.
fn resident() -> Result<u64> {
    let status = fs::read_to_string("/proc/self/status").map_err(|e| e.to_string())?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).ok_or("no VmRSS")?;
    let kib = line.trim().trim_end_matches(" kB").parse::<u64>().map_err(|e| e.to_string())?;
    Ok(kib * 1_024)
}
