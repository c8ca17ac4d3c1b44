//! `mastichaven-standins`: runs one stand-in as a process, for manual tests of the programs.

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
use mastichaven_standins::origin::random_weights;

/// Runs one stand-in until it is terminated.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Arguments {
    /// The platform's object API and host list
    #[bpaf(command)]
    Platform {
        /// Address to listen on, such as 127.0.0.1:7000
        #[bpaf(argument("ADDRESS"))]
        listen: String,
        /// JSON file with the list of hosts
        #[bpaf(argument("FILE"))]
        hosts: PathBuf,
    },
    /// The origin of weights; prints the manifest digest of each of its versions
    #[bpaf(command)]
    Origin {
        /// Address to listen on
        #[bpaf(argument("ADDRESS"))]
        listen: String,
        /// Bandwidth of its link in bytes per second
        #[bpaf(argument("RATE"), fallback(4_000_000.0))]
        rate: f64,
        /// Versions of pseudorandom bytes, the same for each seed
        #[bpaf(argument("SEED:BYTES"))]
        random: Vec<String>,
        /// Files to serve as versions
        #[bpaf(positional("WEIGHTS"))]
        weights: Vec<PathBuf>,
    },
    /// A model engine
    #[bpaf(command)]
    Engine {
        /// Address to listen on
        #[bpaf(argument("ADDRESS"))]
        listen: String,
    },
    /// A plain service that counts how often each booking ran
    #[bpaf(command)]
    Plain {
        /// Address to listen on
        #[bpaf(argument("ADDRESS"))]
        listen: String,
    },
}

/// Length of the chunks of a version in bytes.
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
            park_forever();
        }
        Arguments::Origin { listen, rate, random, weights } => {
            let origin = Origin::start(&listen, rate)?;
            for text in random {
                let weights = parse_random_weights(&text)
                    .ok_or_else(|| std::io::Error::other(format!("{text}: not SEED:BYTES")))?;
                let manifest = origin.put(&weights, CHUNK_LEN);
                println!("{} random {text}", manifest.digest().to_hex());
            }
            for file in weights {
                let manifest = origin.put(&std::fs::read(&file)?, CHUNK_LEN);
                println!("{} {}", manifest.digest().to_hex(), file.display());
            }
            park_forever();
        }
        Arguments::Engine { listen } => {
            let _engine = Engine::start(&listen, EngineProfile::default(), random_start_id())?;
            park_forever();
        }
        Arguments::Plain { listen } => {
            let _plain = Plain::start(&listen, random_start_id())?;
            park_forever();
        }
    }
    Ok(())
}

/// Parses `SEED:BYTES` and generates that many bytes.
fn parse_random_weights(text: &str) -> Option<Vec<u8>> {
    let (seed, len) = text.split_once(':')?;
    Some(random_weights(seed.parse().ok()?, len.parse().ok()?))
}

fn random_start_id() -> u64 {
    rand::random::<u64>() >> 16
}

fn park_forever() {
    loop {
        thread::park();
    }
}
