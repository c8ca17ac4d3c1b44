//! `mastichaven-agent SETTINGS`: runs one agent until it is stopped.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use mastichaven_node::agent::Agent;
use mastichaven_node::direct;
use mastichaven_node::direct::settings::DirectSettings;
use mastichaven_node::process;
use mastichaven_node::process::Failure;
use mastichaven_node::settings;
use mastichaven_node::settings::AgentSettings;
use mastichaven_node::telemetry::Telemetry;
use mastichaven_node::tls::Material;

/// Runs one agent until SIGTERM or SIGINT; then it finishes every request in progress and ends.
///
/// SIGUSR1 writes its whole state to the log. Exit codes: 0 stopped as asked, 1 failed, 2 wrong
/// arguments, 3 settings refused.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Arguments {
    /// Run on the direct path, between callers and endpoints without any other process
    direct: bool,

    /// The settings file (TOML); docs/CONFIGURATION.md lists its keys. When left out, the platform's
    /// variable names it
    #[bpaf(positional("SETTINGS"), optional)]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    process::run_program("mastichaven-agent", &arguments(), run)
}

fn run(arguments: Arguments) -> Result<(), Failure> {
    let file = process::settings_file(arguments.settings)?;
    if arguments.direct {
        let settings: DirectSettings = settings::load(&file).map_err(Failure::refused)?;
        return process::run_local(direct::agent::run(settings));
    }
    let settings: AgentSettings = settings::load(&file).map_err(Failure::refused)?;
    let tls = &settings.tls;
    let material = Material::load(&tls.certificate, &tls.key, &tls.ca).map_err(Failure::refused)?;
    let telemetry = Telemetry::start(&settings.place.host, settings.place.statsd);
    let signals = process::signals().map_err(Failure::failed)?;
    let agent = Agent::start(settings, &material, telemetry, process::new_incarnation())
        .map_err(Failure::failed)?;
    signals.wait_for_stop(|| agent.log_dump());
    agent.stop();
    Ok(())
}
