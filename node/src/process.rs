//! Start and end of a program: arguments, incarnation, signals and exit code.

use std::io;
use std::panic;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bpaf::Args;
use bpaf::OptionParser;
use bpaf::ParseFailure;
use mastichaven_core::ids::Incarnation;
use mastichaven_platform::SETTINGS_VARIABLE;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::consts::SIGUSR1;
use signal_hook::iterator::Signals;

/// Number of low-order random bits of an incarnation.
const RANDOM_BITS: u32 = 24;

/// Line width of help texts, in columns.
const HELP_COLUMNS: usize = 100;

/// Creates an incarnation: Unix seconds in the high-order bits, random low-order bits.
pub fn new_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    let random = u64::from(rand::random::<u32>() >> (32 - RANDOM_BITS));
    Incarnation((now.as_secs() << RANDOM_BITS) | random)
}

/// Capacity of the queue of received signals; further ones are dropped, as a repeated signal adds
/// nothing.
const SIGNAL_QUEUE_LEN: usize = 4;

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SignalAction {
    Stop,
    Dump,
}

/// Receiver of the signals of this process.
pub struct ProcessSignals {
    rx: flume::Receiver<SignalAction>,
}

impl ProcessSignals {
    /// Blocks until SIGTERM or SIGINT arrives; calls `dump` for each SIGUSR1 until then.
    pub fn wait_for_stop(&self, dump: impl Fn()) {
        while let Ok(SignalAction::Dump) = self.rx.recv() {
            dump();
        }
    }
}

/// Handles SIGTERM, SIGINT and SIGUSR1. The handler stays installed, so that a second SIGTERM does
/// not abort requests in flight.
pub fn signals() -> io::Result<ProcessSignals> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGUSR1])?;
    let (tx, rx) = flume::bounded(SIGNAL_QUEUE_LEN);
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for signal in signals.forever() {
            let action = if signal == SIGUSR1 { SignalAction::Dump } else { SignalAction::Stop };
            let _ = tx.try_send(action);
        }
    })?;
    Ok(ProcessSignals { rx })
}

/// Exit code for invalid arguments.
pub const EXIT_USAGE: u8 = 2;

/// Exit code for rejected settings or configuration; a restart does not help.
pub const EXIT_REFUSED: u8 = 3;

/// Why a program exits with an error.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// A run-time failure; a restart may succeed.
    Failed(String),
    /// Rejected settings or configuration; see [`EXIT_REFUSED`].
    Refused(String),
}

impl Failure {
    /// Wraps the text of `error` as a run-time failure.
    pub fn failed(error: impl ToString) -> Failure {
        Failure::Failed(error.to_string())
    }

    /// Wraps the text of `error` as rejected settings or configuration.
    pub fn refused(error: impl ToString) -> Failure {
        Failure::Refused(error.to_string())
    }
}

/// Returns the settings file: `given`, or else the value of the platform's environment variable.
pub fn settings_file(given: Option<PathBuf>) -> std::result::Result<PathBuf, Failure> {
    let from_env = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let missing =
        || Failure::refused(format!("no settings file given, {SETTINGS_VARIABLE} not set"));
    given.or_else(from_env).ok_or_else(missing)
}

/// Runs a program whose tasks share one thread.
///
/// If one task panicked, the others would continue without it, for example without configuration
/// updates. So a panic aborts the process, and its supervisor restarts it.
pub fn run_local(
    program: impl Future<Output = io::Result<()>>,
) -> std::result::Result<(), Failure> {
    let default_hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        default_hook(info);
        std::process::abort();
    }));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Failure::failed)?;
    tokio::task::LocalSet::new().block_on(&runtime, program).map_err(Failure::failed)
}

/// Parses the command line, runs the program and returns its exit code.
///
/// 0: success, `--help` and `--version`; 1: run-time failure; 2: invalid arguments; 3: settings or
/// configuration rejected.
pub fn run_program<T>(
    name: &str,
    arguments: &OptionParser<T>,
    run: impl FnOnce(T) -> std::result::Result<(), Failure>,
) -> ExitCode {
    let parsed = match arguments.run_inner(Args::current_args()) {
        Ok(parsed) => parsed,
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            return match failure {
                ParseFailure::Stderr(_) => EXIT_USAGE.into(),
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
            };
        }
    };
    match run(parsed) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Failed(error)) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
        Err(Failure::Refused(error)) => {
            eprintln!("{name}: {error}");
            EXIT_REFUSED.into()
        }
    }
}
