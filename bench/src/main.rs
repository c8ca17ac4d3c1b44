//! `mastichaven-bench`: the whole path on stand-ins, and experiments.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use mastichaven_bench::fleet;

mod demo;
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
    /// Time and bytes until every host has a version: ways side by side, and the swarm under faults
    #[bpaf(command)]
    Weights(#[bpaf(external(weights::options))] weights::Options),
}

fn main() -> ExitCode {
    let result = match arguments().run() {
        Arguments::Demo { json } => demo::run(json.as_deref()),
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
