//! Settings of the programs: one TOML file each; unknown keys are rejected.

use std::fmt;
use std::fs;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use mastichaven_core::Code;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::RegionName;
use mastichaven_core::ids::ServiceName;
use mastichaven_core::ids::ZoneName;
use serde::Deserialize;
use serde::de::DeserializeOwned;

mod check;
mod locate;

pub use self::check::Problem;
pub use self::check::Validate;

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Maximum bytes of a settings file; a longer one is rejected.
pub const MAX_FILE_LEN: u64 = 1 << 20;

/// Error of a settings file, with its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// The numbered code.
    pub code: Code,
    /// Path as given on the command line.
    pub file: PathBuf,
    /// The line, from 1; 0 if the file cannot be read.
    pub line: usize,
    /// The key and the problem.
    pub detail: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SettingsError { code, file, line, detail } = self;
        write!(f, "{}:{line}: E{} {detail}", file.display(), code.number())
    }
}

/// Files of mutual TLS.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// Certificate of this process.
    pub certificate: PathBuf,
    /// Its private key.
    pub key: PathBuf,
    /// Certificate authority of the fleet.
    pub ca: PathBuf,
}

/// Settings that every process has.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Name of its host; certificates and the platform's list of hosts use the same.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Address to bind for peers (UDP).
    pub peers: SocketAddr,
    /// Address announced to peers if it differs from the bound one: behind network address
    /// translation, or bound to all addresses of the host.
    #[serde(default)]
    pub advertised: Option<SocketAddr>,
    /// Address of the operators' port for health and state (TCP); loopback by default.
    #[serde(default = "default_operators")]
    pub operators: SocketAddr,
    /// StatsD address; without it no metrics are sent.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// Settings of `mastichaven-entry`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Host, location and addresses.
    pub place: Place,
    /// TLS files.
    pub tls: TlsFiles,
    /// Address to bind for callers (TCP).
    pub callers: SocketAddr,
    /// Addresses of peers to contact at start; the platform's list of hosts is read only while none
    /// of them replies.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Milliseconds that a stopping process keeps accepting requests after it reports not ready, so
    /// that the load balancer notices first.
    #[serde(default)]
    pub notice_ms: u64,
    /// The platform's object API, such as `http://10.0.0.1:7000`.
    pub platform: String,
    /// Milliseconds after which a stop aborts the remaining requests; without it, it waits for all.
    #[serde(default)]
    pub stop_deadline_ms: Option<u64>,
}

/// The endpoint that an agent serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "lowercase", tag = "kind")]
pub enum EndpointSettings {
    /// A model engine.
    Engine {
        /// Its base address, such as `http://127.0.0.1:5000`.
        address: String,
        /// Concurrent requests that it sustains when warm, as measured on this hardware.
        #[serde(default = "default_concurrent")]
        concurrent: u32,
    },
    /// A plain service.
    Plain {
        /// Its base address.
        address: String,
        /// Name of its service in the configuration.
        service: ServiceName,
    },
}

/// Settings of `mastichaven-agent`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Host, location and addresses.
    pub place: Place,
    /// TLS files.
    pub tls: TlsFiles,
    /// The endpoint on its host.
    pub endpoint: EndpointSettings,
    /// Addresses of peers to contact at start; the platform's list of hosts is read only while none
    /// of them replies.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The origin of weights, such as `http://10.0.0.2:7100`.
    pub origin: String,
    /// The platform's object API, read only while no peer is known.
    pub platform: String,
    /// Maximum bytes of stored chunks.
    #[serde(default = "default_store_bytes")]
    pub store_bytes: u64,
    /// Memory of the engine, in MiB; without it, any model is assumed to fit.
    #[serde(default)]
    pub memory_mib: u64,
    /// Folder that keeps chunks across restarts; without it, they are kept in memory.
    #[serde(default)]
    pub cache_folder: Option<PathBuf>,
    /// Limit of outgoing weights traffic in bytes per second; half of it applies while requests run.
    /// Unlimited if absent.
    #[serde(default)]
    pub link_bytes_per_second: Option<u64>,
    /// The region of the origin. Only hosts of this region download from it, so that its bytes do not
    /// cross a link between regions twice. If absent, hosts of every region do.
    #[serde(default)]
    pub origin_region: Option<RegionName>,
    /// Milliseconds after which a stop aborts the remaining requests; without it, it waits for all.
    #[serde(default)]
    pub stop_deadline_ms: Option<u64>,
}

fn default_operators() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn default_concurrent() -> u32 {
    16
}

fn default_store_bytes() -> u64 {
    1 << 30
}

/// Reads and checks a settings file.
pub fn load<T: Validate + DeserializeOwned>(file: &Path) -> Result<T> {
    let unreadable = |detail: String| SettingsError {
        code: Code::Unreadable,
        file: file.to_owned(),
        line: 0,
        detail,
    };
    let opened = fs::File::open(file).map_err(|e| unreadable(e.to_string()))?;
    let mut text = String::new();
    let mut bounded = opened.take(MAX_FILE_LEN + 1);
    bounded.read_to_string(&mut text).map_err(|e| unreadable(e.to_string()))?;
    if text.len() as u64 > MAX_FILE_LEN {
        return Err(unreadable(format!("longer than {MAX_FILE_LEN} bytes")));
    }
    parse(file, &text)
}

/// Reads and checks settings from `text`; `file` only names it in errors.
pub fn parse<T: Validate + DeserializeOwned>(file: &Path, text: &str) -> Result<T> {
    let error = |code, line, detail| SettingsError { code, file: file.to_owned(), line, detail };
    if let Err(e) = toml::from_str::<toml::Table>(text) {
        let line = locate::line_at(text, e.span().map_or(0, |span| span.start));
        return Err(error(Code::BadSyntax, line, e.message().replace('\n', ", ")));
    }
    let settings: T = toml::from_str(text).map_err(|e| {
        let found = locate::find_key(text, e.message(), e.span().map_or(0, |span| span.start));
        error(code_of(e.message()), found.line, format!("{}: {}", found.key, e.message()))
    })?;
    match settings.problem() {
        None => Ok(settings),
        Some(Problem { key, code, detail }) => {
            let line = locate::line_of(text, key);
            Err(error(code, line, format!("{key}: {detail}")))
        }
    }
}

fn code_of(message: &str) -> Code {
    if message.starts_with("unknown field") {
        Code::UnknownKey
    } else if message.starts_with("missing field") {
        Code::MissingKey
    } else {
        Code::BadValue
    }
}
