//! `mastichaven-bench`: the whole path on stand-ins, and experiments.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use mastichaven_bench::bookings;
use mastichaven_bench::bookings::Options;
use mastichaven_bench::capacity;
use mastichaven_bench::demo;
use mastichaven_bench::demo::DemoLimits;
use mastichaven_bench::faults;
use mastichaven_bench::load;
use mastichaven_bench::report;
use mastichaven_bench::service;
use mastichaven_bench::target;
use serde::Serialize;

mod figures;
mod members;
mod spread;
mod weights;

/// Runs the whole path or an experiment in one process, on stand-ins over loopback.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Arguments {
    /// The whole path: publish, spread weights, answer requests, take a zone out and back
    #[bpaf(command)]
    Demo {
        /// Also write the figures to this file
        #[bpaf(argument("FILE"), optional)]
        json: Option<PathBuf>,
    },
    /// Membership: detection time, false suspicions, bytes a second and their slope
    #[bpaf(command)]
    Members {
        /// Also write the figures to this file
        #[bpaf(argument("FILE"), optional)]
        json: Option<PathBuf>,
    },
    /// A change in force in every process, by the real control code over loopback QUIC
    #[bpaf(command)]
    Spread {
        /// Processes
        #[bpaf(argument("N"), fallback(200))]
        processes: usize,
        /// Also write the figures to this file
        #[bpaf(argument("FILE"), optional)]
        json: Option<PathBuf>,
    },
    /// The target's deployment as a folder: time and memory to read, merge and check it
    #[bpaf(command)]
    Config {
        /// Where the folder is written
        #[bpaf(argument("FOLDER"), fallback(PathBuf::from("out/target")))]
        out: PathBuf,
        /// Also write the figures to this file
        #[bpaf(argument("FILE"), optional)]
        json: Option<PathBuf>,
    },
    /// Service second by second while a zone leaves and returns
    #[bpaf(command)]
    Zone {
        /// Also write the figures to this file
        #[bpaf(argument("FILE"), optional)]
        json: Option<PathBuf>,
    },
    /// Service while every entry and every agent is restarted in turn
    #[bpaf(command)]
    Restart {
        /// Also write the figures to this file
        #[bpaf(argument("FILE"), optional)]
        json: Option<PathBuf>,
    },
    /// Load against the usual ways of balancing, overload, a flood, and what an entry costs
    #[bpaf(command)]
    Load {
        /// Seconds of each run of requests
        #[bpaf(argument("SECONDS"), fallback(3))]
        seconds: u64,
        /// Also write the figures to this file
        #[bpaf(argument("FILE"), optional)]
        json: Option<PathBuf>,
    },
    /// What an idle fleet costs as it grows, by role
    #[bpaf(command)]
    Capacity {
        /// Also write the figures to this file
        #[bpaf(argument("FILE"), optional)]
        json: Option<PathBuf>,
    },
    /// One page of plots and figures from the files that experiments wrote
    #[bpaf(command)]
    Report(#[bpaf(external(report::options))] report::Options),
    /// Faults alone and in pairs against whole fleets, whose histories are checked
    #[bpaf(command)]
    Faults(#[bpaf(external(faults::command::options))] faults::command::Options),
    /// Time and bytes until every host has a version: ways side by side, and the swarm under faults
    #[bpaf(command)]
    Weights(#[bpaf(external(weights::options))] weights::Options),
    /// Bookings that may not be repeated, under every fault at once
    #[bpaf(command)]
    Bookings {
        /// Bookings
        #[bpaf(argument("N"), fallback(4_000))]
        bookings: usize,
        /// Seed of the faults
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Breaks nothing, to measure platform calls a booking
        quiet: bool,
        /// Also write the figures to this file
        #[bpaf(argument("FILE"), optional)]
        json: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let result = match arguments().run() {
        Arguments::Bookings { bookings, seed, quiet, json } => {
            run_bookings(Options { bookings, seed, faults: !quiet }, json.as_deref())
        }
        Arguments::Load { seconds, json } => run_load(seconds, json.as_deref()),
        Arguments::Demo { json } => demo::run(DemoLimits::default(), json.as_deref()),
        Arguments::Capacity { json } => capacity::run(json.as_deref()),
        Arguments::Report(options) => report::run(&options),
        Arguments::Spread { processes, json } => spread::run(processes, json.as_deref()),
        Arguments::Config { out, json } => {
            target::run(&out).and_then(|report| show(&report, json.as_deref()))
        }
        Arguments::Zone { json } => run_zone(json.as_deref()),
        Arguments::Restart { json } => run_restart(json.as_deref()),
        Arguments::Members { json } => members::run(json.as_deref()),
        Arguments::Faults(options) => faults::command::run(&options),
        Arguments::Weights(options) => weights::run(&options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mastichaven-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_bookings(options: Options, json: Option<&Path>) -> Result<(), String> {
    let report = bookings::run(options)?;
    show(&report, json)?;
    if report.is_clean() { Ok(()) } else { Err("a promise was broken".to_owned()) }
}

fn run_load(seconds: u64, json: Option<&Path>) -> Result<(), String> {
    let report = load::run(seconds)?;
    show(&report, json)?;
    let missed = report.missed();
    if missed.is_empty() { Ok(()) } else { Err(missed.join("; ")) }
}

fn run_zone(json: Option<&Path>) -> Result<(), String> {
    let report = service::zone()?;
    show(&report, json)?;
    let kept =
        report.fell_over == 0 && report.callers.cut_off == 0 && report.callers.ran_twice == 0;
    if kept { Ok(()) } else { Err("a promise was broken".to_owned()) }
}

fn run_restart(json: Option<&Path>) -> Result<(), String> {
    let report = service::restart()?;
    show(&report, json)?;
    let kept =
        report.fell_over == 0 && report.callers.cut_off == 0 && report.callers.ran_twice == 0;
    if kept { Ok(()) } else { Err("a promise was broken".to_owned()) }
}

fn show(report: &impl Serialize, json: Option<&Path>) -> Result<(), String> {
    let text = serde_json::to_string_pretty(report).map_err(|e| e.to_string())?;
    println!("{text}");
    match json {
        Some(file) => std::fs::write(file, text + "\n").map_err(|e| e.to_string()),
        None => Ok(()),
    }
}
