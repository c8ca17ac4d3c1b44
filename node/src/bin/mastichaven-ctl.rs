//! `mastichaven-ctl`: checks and publishes configuration, shows state and issues certificates.

use std::fmt;
use std::fs;
use std::io;
use std::io::Read;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;

use bpaf::Bpaf;
use mastichaven_core::Code;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::is_valid_name;
use mastichaven_node::direct::explain;
use mastichaven_node::folder_publisher::FolderPublisher;
use mastichaven_node::http_store::HttpStore;
use mastichaven_node::process;
use mastichaven_node::process::Failure;
use mastichaven_node::publish;
use mastichaven_node::publish::Base;
use mastichaven_node::publish::PublishError;
use mastichaven_node::status;
use mastichaven_node::tls::DevelopmentCa;
use mastichaven_node::tls::Role;

/// File mode of private keys: read and write for the owner only.
const KEY_FILE_MODE: u32 = 0o600;

/// Maximum bytes of a customer's key.
const MAX_KEY_BYTES: u64 = 4_096;

/// Seconds to wait for a process's dump.
const DUMP_TIMEOUT_SECONDS: u64 = 5;

/// Operators' tool of mastichaven.
///
/// Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 configuration refused.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Arguments {
    /// Checks a folder of configuration without publishing it
    #[bpaf(command)]
    Check {
        /// The folder
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Publishes a folder of configuration
    #[bpaf(command)]
    Publish {
        /// The platform's address, such as http://127.0.0.1:7000
        #[bpaf(argument("URL"))]
        platform: String,
        /// Publish again whenever the folder changes
        watch: bool,
        /// Accept a folder that declares nothing
        allow_empty: bool,
        /// What the folder was made from: `file` (the base file beside it) or `accepted` (the
        /// folder replaces whatever is accepted)
        #[bpaf(argument("BASE"), fallback(BaseChoice::File), display_fallback)]
        base: BaseChoice,
        /// The folder
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Shows generations in force by zone, ready replicas, and what is held up
    #[bpaf(command)]
    Status {
        /// The platform's address, such as http://127.0.0.1:7000
        platform: String,
    },
    /// Prints the whole state of a process
    #[bpaf(command)]
    Dump {
        /// Its operators' address, such as 127.0.0.1:9100
        #[bpaf(positional("ADDRESS"))]
        address: String,
    },
    /// Puts the log lines of one request in order and names its cause
    #[bpaf(command)]
    Explain {
        /// The request's id
        #[bpaf(positional("ID"))]
        id: String,
        /// Logs of entries on the direct path
        #[bpaf(positional("LOG"), some("name at least one log"))]
        logs: Vec<PathBuf>,
    },
    /// Counts how requests ended in logs of entries on the direct path
    #[bpaf(command)]
    Summarize {
        /// Logs of entries on the direct path
        #[bpaf(positional("LOG"), some("name at least one log"))]
        logs: Vec<PathBuf>,
    },
    /// Shows where the time of answered requests went, from logs of entries on the direct path
    #[bpaf(command)]
    Profile {
        /// Logs of entries on the direct path
        #[bpaf(positional("LOG"), some("name at least one log"))]
        logs: Vec<PathBuf>,
    },
    /// Prints the digest of a customer's key, read from standard input, for the configuration
    #[bpaf(command("key-digest"))]
    KeyDigest,
    /// Makes a certificate authority and certificates for development
    #[bpaf(command)]
    Certs {
        /// Folder the PEM files are written to
        #[bpaf(argument("FOLDER"))]
        out: PathBuf,
        /// Days for which the certificates are valid
        #[bpaf(argument("DAYS"), fallback(365))]
        days: u32,
        /// Hosts as ROLE:NAME, where ROLE is entry, agent or ctl
        #[bpaf(positional("ROLE:NAME"), some("name at least one host"))]
        hosts: Vec<String>,
    },
}

/// The base of the three-way merge that a publication uses.
#[derive(Clone, Copy, Debug)]
enum BaseChoice {
    File,
    Accepted,
}

impl fmt::Display for BaseChoice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BaseChoice::File => "file",
            BaseChoice::Accepted => "accepted",
        })
    }
}

impl FromStr for BaseChoice {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "file" => Ok(BaseChoice::File),
            "accepted" => Ok(BaseChoice::Accepted),
            _ => Err("write `file` or `accepted`"),
        }
    }
}

fn main() -> ExitCode {
    process::run_program("mastichaven-ctl", &arguments(), run)
}

fn read_logs(files: &[PathBuf]) -> Result<Vec<String>, Failure> {
    let read = |file: &PathBuf| {
        fs::read_to_string(file).map_err(|e| Failure::failed(format!("{}: {e}", file.display())))
    };
    files.iter().map(read).collect()
}

fn explain_request(id: &str, files: &[PathBuf]) -> Result<(), Failure> {
    let logs = read_logs(files)?;
    let explained = explain::explain(id, logs.iter().flat_map(|log| log.lines()));
    let Some(explained) = explained else {
        return Err(Failure::failed(format!("no line names {id}")));
    };
    for line in explained.lines {
        println!("{line}");
    }
    println!("{}", explained.cause);
    Ok(())
}

fn profile_requests(files: &[PathBuf]) -> Result<(), Failure> {
    let logs = read_logs(files)?;
    let steps = explain::profile(logs.iter().flat_map(|log| log.lines()));
    if steps.is_empty() {
        return Err(Failure::failed("no answered request was logged"));
    }
    println!("{:>10} {:>10} {:>10} {:>10}", "step", "p50 us", "p99 us", "mean us");
    for step in steps {
        let name = step.step.trim_end_matches("_us");
        println!("{name:>10} {:>10} {:>10} {:>10}", step.p50_us, step.p99_us, step.mean_us);
    }
    Ok(())
}

fn run(arguments: Arguments) -> Result<(), Failure> {
    match arguments {
        Arguments::Explain { id, logs } => explain_request(&id, &logs)?,
        Arguments::Summarize { logs } => {
            let logs = read_logs(&logs)?;
            let counts = explain::summarize(logs.iter().flat_map(|log| log.lines()));
            for ((status, reason), count) in counts {
                println!("{count:>8} {status} {reason}");
            }
        }
        Arguments::Profile { logs } => profile_requests(&logs)?,
        Arguments::Check { folder } => {
            let texts = publish::read_folder(&folder).map_err(Failure::refused)?;
            publish::check(&texts).map_err(Failure::refused)?;
            println!("{}: ok", folder.display());
        }
        Arguments::Publish { platform, watch, allow_empty, base, folder } => {
            let base = match base {
                BaseChoice::File => None,
                BaseChoice::Accepted => Some(Base::Accepted),
            };
            let store = HttpStore::new(platform);
            let publisher = FolderPublisher { store: &store, folder: &folder, allow_empty };
            if watch {
                publisher.watch(base);
            }
            let accepted = publisher.once(base).map_err(publish_failure)?;
            println!("{accepted}");
        }
        Arguments::Status { platform } => {
            let store = HttpStore::new(platform);
            let report = status::report(&store).map_err(Failure::failed)?;
            print!("{report}");
        }
        Arguments::Dump { address } => {
            let response = minreq::get(format!("http://{address}/dump"))
                .with_timeout(DUMP_TIMEOUT_SECONDS)
                .send()
                .map_err(Failure::failed)?;
            print!("{}", response.as_str().map_err(Failure::failed)?);
        }
        Arguments::KeyDigest => {
            let mut key = String::new();
            io::stdin().take(MAX_KEY_BYTES).read_to_string(&mut key).map_err(Failure::failed)?;
            println!("{}", Digest::of(key.trim().as_bytes()).to_hex());
        }
        Arguments::Certs { out, days, hosts } => make_certificates(&out, days, &hosts)?,
    }
    Ok(())
}

fn publish_failure(error: PublishError) -> Failure {
    match error {
        PublishError::Platform(_) => Failure::failed(error),
        _ => Failure::refused(error),
    }
}

fn make_certificates(out: &Path, days: u32, hosts: &[String]) -> Result<(), Failure> {
    let hosts: Vec<(Role, HostName)> = hosts
        .iter()
        .map(|host| {
            parse_host(host).ok_or_else(|| {
                Failure::refused(format!("{host}: E{} not ROLE:NAME", Code::BadArgument.number()))
            })
        })
        .collect::<Result<_, _>>()?;
    fs::create_dir_all(out).map_err(Failure::failed)?;
    let ca = DevelopmentCa::generate().map_err(Failure::failed)?;
    fs::write(out.join("ca.pem"), ca.pem()).map_err(Failure::failed)?;
    for (role, name) in &hosts {
        let issued = ca.issue(name, *role, i64::from(days)).map_err(Failure::failed)?;
        fs::write(out.join(format!("{name}.pem")), issued.certificate).map_err(Failure::failed)?;
        write_key(&out.join(format!("{name}.key.pem")), &issued.key).map_err(Failure::failed)?;
    }
    println!("{}: certificate authority and {} certificates", out.display(), hosts.len());
    Ok(())
}

/// Writes a private key with [`KEY_FILE_MODE`], replacing an older file.
fn write_key(file: &Path, key: &str) -> io::Result<()> {
    let _ = fs::remove_file(file);
    let mut f =
        fs::OpenOptions::new().create_new(true).write(true).mode(KEY_FILE_MODE).open(file)?;
    f.write_all(key.as_bytes())
}

fn parse_host(text: &str) -> Option<(Role, HostName)> {
    let (role, name) = text.split_once(':')?;
    let role = match role {
        "entry" => Role::Entry,
        "agent" => Role::Agent,
        "ctl" => Role::Ctl,
        _ => return None,
    };
    is_valid_name(name).then(|| (role, HostName::new(name)))
}
