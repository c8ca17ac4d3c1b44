//! `mastichaven-bench`: an end-to-end demonstration and experiments on stand-ins.

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

/// Runs an end-to-end demonstration or an experiment in one process, on stand-ins over loopback
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Arguments {
    /// Run end to end: publish, distribute weights, serve requests, take a zone out of service and back
    #[bpaf(command)]
    Demo {
        /// Also write the figures to this file
        #[bpaf(argument("FILE"), optional)]
        json: Option<PathBuf>,
    },
    /// Measure membership: failure detection time, false suspicions, bytes per second and their slope
    #[bpaf(command)]
    Members {
        /// Also write the figures to this file
        #[bpaf(argument("FILE"), optional)]
        json: Option<PathBuf>,
    },
    /// Measure how a configuration change reaches every process, with the real control code over
    /// loopback QUIC
    #[bpaf(command)]
    Spread {
        /// Number of processes that receive the change
        #[bpaf(argument("N"), fallback(200))]
        processes: usize,
        /// Also write the figures to this file
        #[bpaf(argument("FILE"), optional)]
        json: Option<PathBuf>,
    },
    /// Generate the target deployment as a folder; measure time and memory to read, merge and
    /// check it
    #[bpaf(command)]
    Config {
        /// Folder to write the configuration to
        #[bpaf(argument("FOLDER"), fallback(PathBuf::from("out/target")))]
        out: PathBuf,
        /// Also write the figures to this file
        #[bpaf(argument("FILE"), optional)]
        json: Option<PathBuf>,
    },
    /// Measure service second by second while a zone is taken out of service and brought back
    #[bpaf(command)]
    Zone {
        /// Also write the figures to this file
        #[bpaf(argument("FILE"), optional)]
        json: Option<PathBuf>,
    },
    /// Measure service while every entry and every agent is restarted in turn
    #[bpaf(command)]
    Restart {
        /// Also write the figures to this file
        #[bpaf(argument("FILE"), optional)]
        json: Option<PathBuf>,
    },
    /// Compare load balancing with common policies; measure overload, a flood from one customer, and
    /// the cost of an entry
    #[bpaf(command)]
    Load {
        /// Duration of each load run in seconds
        #[bpaf(argument("SECONDS"), fallback(3))]
        seconds: u64,
        /// Also write the figures to this file
        #[bpaf(argument("FILE"), optional)]
        json: Option<PathBuf>,
    },
    /// Measure the resources that an idle fleet uses as it grows, by role
    #[bpaf(command)]
    Capacity {
        /// Also write the figures to this file
        #[bpaf(argument("FILE"), optional)]
        json: Option<PathBuf>,
    },
    /// Write one page of plots and figures from the JSON files of experiments
    #[bpaf(command)]
    Report(#[bpaf(external(report::options))] report::Options),
    /// Inject faults into whole fleets, alone and in pairs, and check the recorded histories
    #[bpaf(command)]
    Faults(#[bpaf(external(faults::command::options))] faults::command::Options),
    /// Compare ways of weight distribution by time and bytes until every host has a version, and run
    /// the swarm under faults
    #[bpaf(command)]
    Weights(#[bpaf(external(weights::options))] weights::Options),
    /// Send non-idempotent bookings while all faults are active
    #[bpaf(command)]
    Bookings {
        /// Number of bookings
        #[bpaf(argument("N"), fallback(4_000))]
        bookings: usize,
        /// Seed of the faults
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Inject no faults, to measure platform calls per booking
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
            target::run(&out).and_then(|report| print_report(&report, json.as_deref()))
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
    print_report(&report, json)?;
    if report.is_clean() { Ok(()) } else { Err("a promise was broken".to_owned()) }
}

fn run_load(seconds: u64, json: Option<&Path>) -> Result<(), String> {
    let report = load::run(seconds)?;
    print_report(&report, json)?;
    let missed = report.missed();
    if missed.is_empty() { Ok(()) } else { Err(missed.join("; ")) }
}

fn run_zone(json: Option<&Path>) -> Result<(), String> {
    let report = service::zone()?;
    print_report(&report, json)?;
    let is_clean =
        report.fell_over == 0 && report.callers.cut_off == 0 && report.callers.ran_twice == 0;
    if is_clean { Ok(()) } else { Err("a promise was broken".to_owned()) }
}

fn run_restart(json: Option<&Path>) -> Result<(), String> {
    let report = service::restart()?;
    print_report(&report, json)?;
    let is_clean =
        report.fell_over == 0 && report.callers.cut_off == 0 && report.callers.ran_twice == 0;
    if is_clean { Ok(()) } else { Err("a promise was broken".to_owned()) }
}

fn print_report(report: &impl Serialize, json: Option<&Path>) -> Result<(), String> {
    let text = serde_json::to_string_pretty(report).map_err(|e| e.to_string())?;
    println!("{text}");
    match json {
        Some(file) => std::fs::write(file, text + "\n").map_err(|e| e.to_string()),
        None => Ok(()),
    }
}
