//! `mastichaven-standins`: runs one stand-in as a process, for trying the programs by hand.

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;

use bpaf::Bpaf;
use mastichaven_core::platform::ListedHost;
use mastichaven_standins::Engine;
use mastichaven_standins::EngineProfile;
use mastichaven_standins::Origin;
use mastichaven_standins::Plain;
use mastichaven_standins::Platform;

/// Runs one stand-in until it is ended.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Arguments {
    /// The platform's object API and host list
    #[bpaf(command)]
    Platform {
        /// Address to listen on, such as 127.0.0.1:7000
        listen: String,
        /// JSON file with the list of hosts
        hosts: PathBuf,
    },
    /// The origin of weights, with one version of random bytes a seed
    #[bpaf(command)]
    Origin {
        /// Address to listen on
        listen: String,
        /// Bytes a second its link passes
        #[bpaf(fallback(4_000_000.0))]
        rate: f64,
        /// Files whose bytes are versions
        #[bpaf(positional("WEIGHTS"))]
        weights: Vec<PathBuf>,
    },
    /// A model engine
    #[bpaf(command)]
    Engine {
        /// Address to listen on
        listen: String,
    },
    /// A plain service
    #[bpaf(command)]
    Plain {
        /// Address to listen on
        listen: String,
    },
}

/// Bytes of a chunk.
const CHUNK_LEN: u32 = 64 << 10;

fn main() -> ExitCode {
    match run(arguments().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mastichaven-standins: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: Arguments) -> std::io::Result<()> {
    match arguments {
        Arguments::Platform { listen, hosts } => {
            let platform = Platform::start(&listen)?;
            let hosts: Vec<ListedHost> = serde_json::from_slice(&std::fs::read(hosts)?)?;
            platform.set_hosts(hosts);
            wait();
        }
        Arguments::Origin { listen, rate, weights } => {
            let origin = Origin::start(&listen, rate)?;
            for file in weights {
                let manifest = origin.put(&std::fs::read(&file)?, CHUNK_LEN);
                println!("{} {}", manifest.digest().to_hex(), file.display());
            }
            wait();
        }
        Arguments::Engine { listen } => {
            let _engine = Engine::start(&listen, EngineProfile::default(), start_id())?;
            wait();
        }
        Arguments::Plain { listen } => {
            let _plain = Plain::start(&listen, start_id())?;
            wait();
        }
    }
    Ok(())
}

fn start_id() -> u64 {
    rand::random::<u64>() >> 16
}

fn wait() {
    loop {
        thread::park();
    }
}
