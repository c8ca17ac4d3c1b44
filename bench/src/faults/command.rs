//! The subcommand `mastichaven-bench faults`.

use std::fs;
use std::path::PathBuf;

use bpaf::Bpaf;

use super::Report;
use super::covers_all_promises;
use super::run_all;
use super::split_pairs;
use super::table::Pair;
use super::table::all_pairs;
use crate::fleet::Result;

/// Number and selection of the runs, and the output file.
#[derive(Bpaf, Clone, Debug)]
pub struct Options {
    /// Number of runs over all pairs, each shuffled with its own seed
    #[bpaf(argument("N"), fallback(1))]
    seeds: u64,
    /// Seed of the first run; later runs count up from it
    #[bpaf(argument("SEED"), fallback(1))]
    first_seed: u64,
    /// Fleets that run the pairs of a seed at the same time
    #[bpaf(argument("N"), fallback(6))]
    fleets: usize,
    /// Run only rounds whose fault names contain this text
    #[bpaf(argument("TEXT"), optional)]
    only: Option<String>,
    /// Run only rounds with a single fault
    alone: bool,
    /// Also write the figures to this file
    #[bpaf(argument("FILE"), optional)]
    json: Option<PathBuf>,
}

/// Runs all seeds and prints the merged report. Returns an error if a promise was broken or not
/// exercised, or if a fleet did not recover.
pub fn run(options: &Options) -> Result<()> {
    let is_selected = |pair: &Pair| {
        let matches_name = |only: &String| format!("{pair:?}").contains(only.as_str());
        (!options.alone || pair.second.is_none()) && options.only.as_ref().is_none_or(matches_name)
    };
    let pairs: Vec<Pair> = all_pairs().into_iter().filter(is_selected).collect();
    let mut report = Report::default();
    for seed in options.first_seed..options.first_seed + options.seeds {
        println!("seed {seed}: {} rounds in {} fleets", pairs.len(), options.fleets);
        let shares = split_pairs(pairs.clone(), seed, options.fleets);
        let run = run_all(&shares, seed * 1_000_000)?;
        println!("  {} calls, {} events, {} breaches", run.calls, run.events, run.found.len());
        report.merge(run);
    }
    let text = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?;
    println!("{text}");
    if let Some(file) = &options.json {
        fs::write(file, format!("{text}\n")).map_err(|e| e.to_string())?;
    }
    if !report.stuck.is_empty() || !report.found.is_empty() {
        let (found, stuck) = (report.found.len(), report.stuck.len());
        return Err(format!("{found} breaches; {stuck} fleets did not recover"));
    }
    if covers_all_promises(&report) {
        Ok(())
    } else {
        Err("a promise was not exercised".to_owned())
    }
}
