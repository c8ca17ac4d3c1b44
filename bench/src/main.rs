//! `mastichaven-bench`: the whole path on stand-ins, and experiments.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;

mod demo;
mod figures;
mod members;

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
}

fn main() -> ExitCode {
    let result = match arguments().run() {
        Arguments::Demo { json } => demo::run(json.as_deref()),
        Arguments::Members { json } => members::run(json.as_deref()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mastichaven-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
