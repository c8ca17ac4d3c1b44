//! `mastichaven-bench faults`.

use std::fs;
use std::path::PathBuf;

use bpaf::Bpaf;

use super::Report;
use super::deal;
use super::is_covered;
use super::run_all;
use super::table::Pair;
use super::table::all_pairs;
use crate::fleet::Result;

/// How many runs, and where the figures go.
#[derive(Bpaf, Clone, Debug)]
pub struct Options {
    /// Orders of all pairs to run, each from its own seed
    #[bpaf(argument("N"), fallback(1))]
    seeds: u64,
    /// First seed
    #[bpaf(argument("SEED"), fallback(1))]
    first_seed: u64,
    /// Fleets that share the pairs of a seed at the same time
    #[bpaf(argument("N"), fallback(6))]
    fleets: usize,
    /// Run only rounds whose faults' names contain this
    #[bpaf(argument("TEXT"), optional)]
    only: Option<String>,
    /// Run only each fault alone
    alone: bool,
    /// Also write the figures to this file
    #[bpaf(argument("FILE"), optional)]
    json: Option<PathBuf>,
}

/// Runs the seeds; fails if a promise broke.
pub fn run(options: &Options) -> Result<()> {
    let wanted = |pair: &Pair| {
        let named = |only: &String| format!("{pair:?}").contains(only.as_str());
        (!options.alone || pair.second.is_none()) && options.only.as_ref().is_none_or(named)
    };
    let pairs: Vec<Pair> = all_pairs().into_iter().filter(wanted).collect();
    let mut report = Report::default();
    for seed in options.first_seed..options.first_seed + options.seeds {
        println!("seed {seed}: {} rounds in {} fleets", pairs.len(), options.fleets);
        let hands = deal(pairs.clone(), seed, options.fleets);
        let one = run_all(&hands, seed * 1_000_000)?;
        println!("  {} calls, {} events, {} breaches", one.calls, one.events, one.found.len());
        report.add(one);
    }
    let text = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?;
    println!("{text}");
    if let Some(file) = &options.json {
        fs::write(file, format!("{text}\n")).map_err(|e| e.to_string())?;
    }
    if !report.stuck.is_empty() || !report.found.is_empty() {
        let (found, stuck) = (report.found.len(), report.stuck.len());
        return Err(format!("{found} breaches; {stuck} fleets did not become whole again"));
    }
    if is_covered(&report) { Ok(()) } else { Err("a promise was not put to the test".to_owned()) }
}
