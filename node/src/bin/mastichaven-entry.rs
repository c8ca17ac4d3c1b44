//! `mastichaven-entry SETTINGS`: runs one entry until it is told to stop.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use mastichaven_node::entry::Entry;
use mastichaven_node::process;
use mastichaven_node::settings;
use mastichaven_node::settings::EntrySettings;
use mastichaven_node::telemetry::Telemetry;
use mastichaven_node::tls::Material;

/// Runs one entry until SIGTERM or SIGINT; then it finishes every request in progress and ends.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Arguments {
    /// The settings file (TOML)
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    match run(&arguments().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mastichaven-entry: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), String> {
    let settings: EntrySettings =
        settings::load(&arguments.settings).map_err(|error| error.to_string())?;
    let tls = &settings.tls;
    let material =
        Material::load(&tls.certificate, &tls.key, &tls.ca).map_err(|error| error.to_string())?;
    let telemetry = Telemetry::start(settings.place.statsd);
    let stop = process::stop_signal().map_err(|error| error.to_string())?;
    let entry = Entry::start(settings, &material, telemetry, process::new_incarnation())
        .map_err(|code| code.to_string())?;
    stop.wait();
    entry.stop();
    Ok(())
}
