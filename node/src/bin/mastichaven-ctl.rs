//! `mastichaven-ctl`: checks and publishes configuration, shows state, makes certificates.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use mastichaven_core::ids::HostName;
use mastichaven_node::http_store::HttpStore;
use mastichaven_node::publish;
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
        out: PathBuf,
        /// Hosts as ROLE:NAME, where ROLE is entry, agent or ctl
        #[bpaf(positional("ROLE:NAME"), some("name at least one host"))]
        hosts: Vec<String>,
    },
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
            publish::read_folder(&folder).map_err(|error| error.to_string())?;
            println!("{}: ok", folder.display());
        }
        Arguments::Publish { platform, folder } => {
            let config = publish::read_folder(&folder).map_err(|error| error.to_string())?;
            let generation = publish::publish(&HttpStore::new(platform), &config)
                .map_err(|error| error.to_string())?;
            println!("accepted as generation {generation}");
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
