//! `mastichaven-bench`: the whole path on stand-ins, and experiments.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use mastichaven_bench::faults;

mod demo;

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
    /// Faults alone and in pairs against whole fleets, whose histories are checked
    #[bpaf(command)]
    Faults(#[bpaf(external(faults::command::options))] faults::command::Options),
}

fn main() -> ExitCode {
    let result = match arguments().run() {
        Arguments::Demo { json } => demo::run(json.as_deref()),
        Arguments::Faults(options) => faults::command::run(&options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mastichaven-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
