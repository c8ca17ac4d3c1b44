//! Settings of the programs: one TOML file each, unknown keys refused.

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

/// Bytes of a settings file at most; a longer one is not read.
pub const MAX_FILE_LEN: u64 = 1 << 20;

/// Why a settings file cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// The numbered code.
    pub code: Code,
    /// The file.
    pub file: PathBuf,
    /// The line, from 1; 0 when the file cannot be read.
    pub line: usize,
    /// The key and what is wrong with it.
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

/// What every process is told.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Its host.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Where peers reach it (UDP).
    pub peers: SocketAddr,
    /// Address that peers are told, where it differs from the bound one: behind an address
    /// translation, or bound to all addresses of the host.
    #[serde(default)]
    pub advertised: Option<SocketAddr>,
    /// Where operators read health, state and metrics (TCP); loopback by default.
    #[serde(default = "default_operators")]
    pub operators: SocketAddr,
    /// StatsD address; no metrics are sent when left out.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// Settings of `mastichaven-entry`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Who and where it is.
    pub place: Place,
    /// TLS files.
    pub tls: TlsFiles,
    /// Where callers send requests (TCP).
    pub callers: SocketAddr,
    /// Addresses of peers to greet at start; the platform's list of hosts is read only while none
    /// of them answers.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Milliseconds that a stop goes on serving after it reports not ready, so that the balancer
    /// notices first.
    #[serde(default)]
    pub notice_ms: u64,
    /// The platform's object API, such as `http://10.0.0.1:7000`.
    pub platform: String,
    /// Milliseconds after which a stop cuts off what is left; waits for all when left out.
    #[serde(default)]
    pub stop_deadline_ms: Option<u64>,
}

/// What stands beside an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "lowercase", tag = "kind")]
pub enum EndpointSettings {
    /// A model engine.
    Engine {
        /// Its base address, such as `http://127.0.0.1:5000`.
        address: String,
        /// Requests it bears at once when warm; what this hardware has been measured to bear.
        #[serde(default = "default_concurrent")]
        concurrent: u32,
    },
    /// A plain service.
    Plain {
        /// Its base address.
        address: String,
        /// The service it is, as configured.
        service: ServiceName,
    },
}

/// Settings of `mastichaven-agent`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Who and where it is.
    pub place: Place,
    /// TLS files.
    pub tls: TlsFiles,
    /// The endpoint beside it.
    pub endpoint: EndpointSettings,
    /// Addresses of peers to greet at start; the platform's list of hosts is read only while none
    /// of them answers.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The origin of weights, such as `http://10.0.0.2:7100`.
    pub origin: String,
    /// The platform's object API, read only while no peer is known.
    pub platform: String,
    /// Bytes of chunks kept at most.
    #[serde(default = "default_store_bytes")]
    pub store_bytes: u64,
    /// Memory of the engine beside it, in MiB; it holds any model when left out.
    #[serde(default)]
    pub memory_mib: u64,
    /// Folder that keeps chunks across restarts; they are kept in memory when left out.
    #[serde(default)]
    pub cache_folder: Option<PathBuf>,
    /// Bytes a second that weights may fill of this host's outgoing link; half of it while live
    /// requests run. Unlimited when left out.
    #[serde(default)]
    pub link_bytes_per_second: Option<u64>,
    /// The region the origin stands in. Hosts of this region alone pull from it, so that its bytes
    /// do not cross a region link twice. When left out, hosts of every region do.
    #[serde(default)]
    pub origin_region: Option<RegionName>,
    /// Milliseconds after which a stop cuts off what is left; waits for all when left out.
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
        let found = locate::find(text, e.message(), e.span().map_or(0, |span| span.start));
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
