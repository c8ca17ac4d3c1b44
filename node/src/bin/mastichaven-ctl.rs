//! `mastichaven-ctl`: checks and publishes configuration, shows state, makes certificates.

use std::fs;
use std::io;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use mastichaven_core::Code;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::is_valid_name;
use mastichaven_node::http_store::HttpStore;
use mastichaven_node::process;
use mastichaven_node::process::Failure;
use mastichaven_node::publish;
use mastichaven_node::tls::DevelopmentCa;
use mastichaven_node::tls::Role;

/// Permissions of a private key's file.
const KEY_MODE: u32 = 0o600;

/// Seconds a process may take to show its state.
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
        /// The folder
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
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

fn main() -> ExitCode {
    process::run_program("mastichaven-ctl", &arguments(), run)
}

fn run(arguments: Arguments) -> Result<(), Failure> {
    match arguments {
        Arguments::Check { folder } => {
            publish::read_folder(&folder).map_err(Failure::refused)?;
            println!("{}: ok", folder.display());
        }
        Arguments::Publish { platform, folder } => {
            let config = publish::read_folder(&folder).map_err(Failure::refused)?;
            let generation =
                publish::publish(&HttpStore::new(platform), &config).map_err(Failure::failed)?;
            println!("accepted as generation {generation}");
        }
        Arguments::Dump { address } => {
            let response = minreq::get(format!("http://{address}/dump"))
                .with_timeout(DUMP_TIMEOUT_SECONDS)
                .send()
                .map_err(Failure::failed)?;
            print!("{}", response.as_str().map_err(Failure::failed)?);
        }
        Arguments::Certs { out, days, hosts } => make_certificates(&out, days, &hosts)?,
    }
    Ok(())
}

fn make_certificates(out: &Path, days: u32, hosts: &[String]) -> Result<(), Failure> {
    let hosts: Vec<(Role, HostName)> = hosts
        .iter()
        .map(|host| {
            scan_host(host).ok_or_else(|| {
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

/// Writes a private key that its owner alone may read.
fn write_key(file: &Path, key: &str) -> io::Result<()> {
    let _ = fs::remove_file(file);
    let mut f = fs::OpenOptions::new().create_new(true).write(true).mode(KEY_MODE).open(file)?;
    f.write_all(key.as_bytes())
}

fn scan_host(text: &str) -> Option<(Role, HostName)> {
    let (role, name) = text.split_once(':')?;
    let role = match role {
        "entry" => Role::Entry,
        "agent" => Role::Agent,
        "ctl" => Role::Ctl,
        _ => return None,
    };
    is_valid_name(name).then(|| (role, HostName::new(name)))
}
