//! `mastichaven-ctl`: checks and publishes configuration, shows state, makes certificates.

use std::fmt;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;

use bpaf::Bpaf;
use mastichaven_core::ids::HostName;
use mastichaven_node::folder_publisher::FolderPublisher;
use mastichaven_node::http_store::HttpStore;
use mastichaven_node::publish;
use mastichaven_node::publish::Base;
use mastichaven_node::status;
use mastichaven_node::tls::DevelopmentCa;
use mastichaven_node::tls::Role;

/// Operators' tool of mastichaven.
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
    /// Makes a certificate authority and certificates for development
    #[bpaf(command)]
    Certs {
        /// Folder the PEM files are written to
        out: PathBuf,
        /// Hosts as ROLE:NAME, where ROLE is entry, agent or ctl
        #[bpaf(positional("ROLE:NAME"), some("name at least one host"))]
        hosts: Vec<String>,
    },
}

/// What a folder was made from.
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
    match run(arguments().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mastichaven-ctl: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: Arguments) -> Result<(), String> {
    match arguments {
        Arguments::Check { folder } => {
            let texts = publish::read_folder(&folder).map_err(|error| error.to_string())?;
            publish::check(&texts).map_err(|error| error.to_string())?;
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
            let accepted = publisher.once(base).map_err(|error| error.to_string())?;
            println!("{accepted}");
        }
        Arguments::Status { platform } => {
            let store = HttpStore::new(platform);
            let report = status::report(&store).map_err(|code| code.to_string())?;
            print!("{report}");
        }
        Arguments::Dump { address } => {
            let response = minreq::get(format!("http://{address}/dump"))
                .with_timeout(5)
                .send()
                .map_err(|error| error.to_string())?;
            print!("{}", response.as_str().map_err(|error| error.to_string())?);
        }
        Arguments::Certs { out, hosts } => make_certificates(&out, &hosts)?,
    }
    Ok(())
}

fn make_certificates(out: &Path, hosts: &[String]) -> Result<(), String> {
    let text = |error: std::io::Error| error.to_string();
    fs::create_dir_all(out).map_err(text)?;
    let ca = DevelopmentCa::generate().map_err(|error| error.to_string())?;
    fs::write(out.join("ca.pem"), ca.pem()).map_err(text)?;
    for host in hosts {
        let (role, name) = scan_host(host).ok_or_else(|| format!("{host}: not ROLE:NAME"))?;
        let issued = ca.issue(&name, role, 365).map_err(|error| error.to_string())?;
        fs::write(out.join(format!("{name}.pem")), issued.certificate).map_err(text)?;
        fs::write(out.join(format!("{name}.key.pem")), issued.key).map_err(text)?;
    }
    Ok(())
}

fn scan_host(text: &str) -> Option<(Role, HostName)> {
    let (role, name) = text.split_once(':')?;
    let role = match role {
        "entry" => Role::Entry,
        "agent" => Role::Agent,
        "ctl" => Role::Ctl,
        _ => return None,
    };
    Some((role, HostName::new(name)))
}
