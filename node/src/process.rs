//! What a program does once: its arguments, its incarnation, its signals and its exit code.

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

/// Bits of an incarnation that are random.
const RANDOM_BITS: u32 = 24;

/// Columns of help texts.
const HELP_WIDTH: usize = 100;

/// A fresh incarnation: seconds of the wall clock above, random bits below.
pub fn new_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    let random = u64::from(rand::random::<u32>() >> (32 - RANDOM_BITS));
    Incarnation((now.as_secs() << RANDOM_BITS) | random)
}

/// Signals waiting to be acted on; more of the same kind add nothing.
const SIGNAL_RING: usize = 4;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Asked {
    Stop,
    Dump,
}

/// The signals of this process.
pub struct ProcessSignals {
    rx: flume::Receiver<Asked>,
}

impl ProcessSignals {
    /// Blocks until SIGTERM or SIGINT has come; calls `dump` for each SIGUSR1 until then.
    pub fn wait_for_stop(&self, dump: impl Fn()) {
        while let Ok(Asked::Dump) = self.rx.recv() {
            dump();
        }
    }
}

/// Catches SIGTERM, SIGINT and SIGUSR1; a second SIGTERM does not cut requests off either.
pub fn signals() -> io::Result<ProcessSignals> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGUSR1])?;
    let (tx, rx) = flume::bounded(SIGNAL_RING);
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for signal in signals.forever() {
            let asked = if signal == SIGUSR1 { Asked::Dump } else { Asked::Stop };
            let _ = tx.try_send(asked);
        }
    })?;
    Ok(ProcessSignals { rx })
}

/// Exit code when the arguments are wrong.
pub const EXIT_USAGE: u8 = 2;

/// Exit code when settings or configuration are refused; trying again will not help.
pub const EXIT_REFUSED: u8 = 3;

/// Why a program ends without success.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// It failed at run time; it may work later.
    Failed(String),
    /// Its settings or a configuration are refused.
    Refused(String),
}

impl Failure {
    /// A failure at run time.
    pub fn failed(error: impl ToString) -> Failure {
        Failure::Failed(error.to_string())
    }

    /// Settings or configuration that are refused.
    pub fn refused(error: impl ToString) -> Failure {
        Failure::Refused(error.to_string())
    }
}

/// The settings file: the one given, or the one that the platform's variable names.
pub fn settings_file(given: Option<PathBuf>) -> std::result::Result<PathBuf, Failure> {
    let named = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let missing =
        || Failure::refused(format!("no settings file given, {SETTINGS_VARIABLE} not set"));
    given.or_else(named).ok_or_else(missing)
}

/// Runs a program whose tasks all share one thread.
///
/// A task that panics would leave the others running without it, for example without news of the
/// configuration. So a panic ends the process, and whoever runs it starts it again.
pub fn run_local(
    program: impl Future<Output = io::Result<()>>,
) -> std::result::Result<(), Failure> {
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        print(info);
        std::process::abort();
    }));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Failure::failed)?;
    tokio::task::LocalSet::new().block_on(&runtime, program).map_err(Failure::failed)
}

/// Reads the command line, runs the program and gives its exit code.
///
/// 0: success, `--help` and `--version`; 1: failed at run time; 2: wrong arguments; 3: settings or
/// configuration refused.
pub fn run_program<T>(
    name: &str,
    arguments: &OptionParser<T>,
    run: impl FnOnce(T) -> std::result::Result<(), Failure>,
) -> ExitCode {
    let parsed = match arguments.run_inner(Args::current_args()) {
        Ok(parsed) => parsed,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
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
