//! Mutual TLS between the project's processes: certificates, and what a peer's certificate allows.
//!
//! Every certificate of the fleet carries three DNS names: one common to all (checked by the TLS
//! library), one for the role and one for the host. The role decides which requests a peer may send,
//! so that an endpoint host cannot impersonate an entry.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use mastichaven_core::Code;
use mastichaven_core::ids::HostName;
use mastichaven_core::wire::RequestBody;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use rustls::server::WebPkiClientVerifier;
use serde::Deserialize;
use serde::Serialize;
use x509_parser::extensions::GeneralName;

/// Result of reading, checking or issuing TLS material.
pub type Result<T> = std::result::Result<T, TlsError>;

/// The DNS name that every certificate of a fleet carries.
pub const PEER_NAME: &str = "peer.mastichaven";

/// ALPN protocol name that both sides of a connection must offer.
pub const ALPN: &[u8] = b"mastichaven/1";

/// Interval of keep-alives on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1_000);

/// A connection that receives nothing for this long is closed.
const IDLE_TIMEOUT_MS: u32 = 4_000;

/// Idle timeout of a connection that carries only control messages.
const CONTROL_IDLE_TIMEOUT_MS: u32 = 60_000;

/// Concurrent streams that one peer may open.
const MAX_STREAMS: u32 = 1_024;

/// Why TLS material cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TlsError {
    /// The file cannot be read.
    Unreadable(PathBuf),
    /// The content is malformed or the TLS library rejects it.
    Invalid(String),
}

impl TlsError {
    /// The numbered code of this error.
    pub fn code(&self) -> Code {
        Code::BadTls
    }
}

impl std::fmt::Display for TlsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            TlsError::Unreadable(path) => write!(f, "{}: {}", self.code(), path.display()),
            TlsError::Invalid(why) => write!(f, "{}: {why}", self.code()),
        }
    }
}

/// Role of a process, as named by its certificate.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry host.
    Entry,
    /// An agent on an endpoint host.
    Agent,
    /// An operator's tool.
    Ctl,
}

impl Role {
    fn dns_name(self) -> &'static str {
        match self {
            Role::Entry => "role-entry.mastichaven",
            Role::Agent => "role-agent.mastichaven",
            Role::Ctl => "role-ctl.mastichaven",
        }
    }

    fn from_dns_name(name: &str) -> Option<Role> {
        [Role::Entry, Role::Agent, Role::Ctl].into_iter().find(|role| role.dns_name() == name)
    }

    /// Whether a peer of this role may send `body`.
    ///
    /// Only entries may send requests for endpoints and platform calls: a stolen agent certificate
    /// must not be enough to use another agent's endpoint or to write to the platform.
    pub fn may_send(self, body: &RequestBody) -> bool {
        match body {
            RequestBody::Run(_)
            | RequestBody::Void(_)
            | RequestBody::Relay(_)
            | RequestBody::Suspect(_) => self == Role::Entry,
            RequestBody::Weights(_) => self != Role::Ctl,
            RequestBody::Members(_) | RequestBody::Spread(_) => true,
        }
    }

    /// The role that a peer must have to reply to `body`; `None` if any peer may.
    ///
    /// A certificate proves a role but no address, and addresses come unverified from gossip. Without
    /// this check an agent's certificate would be enough to reply in place of the platform.
    pub fn responder(body: &RequestBody) -> Option<Role> {
        match body {
            RequestBody::Run(_) | RequestBody::Void(_) | RequestBody::Weights(_) => {
                Some(Role::Agent)
            }
            RequestBody::Relay(_) => Some(Role::Entry),
            _ => None,
        }
    }
}

/// Host and role that a peer's certificate names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Its host.
    pub host: HostName,
    /// Its role.
    pub role: Role,
}

/// Certificate chain, key and certificate authority of one process, in memory.
#[derive(Debug)]
pub struct Material {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    ca: CertificateDer<'static>,
}

impl Material {
    /// Reads the three PEM files of a process.
    pub fn load(certificate: &Path, key: &Path, ca: &Path) -> Result<Material> {
        Material::from_pem(&read(certificate)?, &read(key)?, &read(ca)?)
    }

    /// Reads certificate, key and certificate authority from PEM texts.
    pub fn from_pem(certificate: &str, key: &str, ca: &str) -> Result<Material> {
        let invalid = |what: &str| TlsError::Invalid(what.to_owned());
        let chain = CertificateDer::pem_slice_iter(certificate.as_bytes())
            .collect::<std::result::Result<Vec<_>, _>>()
            .map_err(|_| invalid("certificate is not PEM"))?;
        let key =
            PrivateKeyDer::from_pem_slice(key.as_bytes()).map_err(|_| invalid("key is not PEM"))?;
        let ca = CertificateDer::from_pem_slice(ca.as_bytes())
            .map_err(|_| invalid("certificate authority is not PEM"))?;
        Ok(Material { chain, key, ca })
    }

    fn roots(&self) -> Result<Arc<RootCertStore>> {
        let mut roots = RootCertStore::empty();
        roots.add(self.ca.clone()).map_err(|e| TlsError::Invalid(e.to_string()))?;
        Ok(Arc::new(roots))
    }

    /// Configuration for accepting QUIC connections; clients must present a certificate of the fleet.
    pub fn server_config(&self) -> Result<quinn::ServerConfig> {
        let invalid = |e: String| TlsError::Invalid(e);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(self.roots()?, provider.clone())
            .build()
            .map_err(|e| invalid(e.to_string()))?;
        let mut tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| invalid(e.to_string()))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|e| invalid(e.to_string()))?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        let quic = QuicServerConfig::try_from(tls).map_err(|e| invalid(e.to_string()))?;
        let mut config = quinn::ServerConfig::with_crypto(Arc::new(quic));
        config.transport_config(Arc::new(control_transport_config()));
        Ok(config)
    }

    /// Configuration for opening QUIC connections.
    pub fn client_config(&self) -> Result<quinn::ClientConfig> {
        let invalid = |e: String| TlsError::Invalid(e);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| invalid(e.to_string()))?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|e| invalid(e.to_string()))?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        let quic = QuicClientConfig::try_from(tls).map_err(|e| invalid(e.to_string()))?;
        let mut config = quinn::ClientConfig::new(Arc::new(quic));
        config.transport_config(Arc::new(transport_config()));
        Ok(config)
    }
}

/// Parameters of control connections: heartbeats are their only traffic, and keep-alives between
/// them would cost more bytes than the heartbeats.
///
/// The accepting side has these parameters too; the connecting side sets the stricter ones that its
/// traffic class needs.
pub(crate) fn control_transport_config() -> quinn::TransportConfig {
    let idle = quinn::IdleTimeout::from(quinn::VarInt::from_u32(CONTROL_IDLE_TIMEOUT_MS));
    let mut config = transport_config();
    config.keep_alive_interval(None).max_idle_timeout(Some(idle));
    config
}

fn transport_config() -> quinn::TransportConfig {
    let mut config = quinn::TransportConfig::default();
    config
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .max_idle_timeout(Some(quinn::IdleTimeout::from(quinn::VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .max_concurrent_bidi_streams(MAX_STREAMS.into())
        .max_concurrent_uni_streams(0u8.into());
    config
}

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|_| TlsError::Unreadable(path.to_owned()))
}

/// Reads host and role from the first certificate of a verified chain.
pub fn parse_identity(chain: &[CertificateDer<'_>]) -> Option<Identity> {
    let (_, certificate) = x509_parser::parse_x509_certificate(chain.first()?).ok()?;
    let names = certificate.subject_alternative_name().ok()??;
    let mut role = None;
    let mut host = None;
    for name in &names.value.general_names {
        let GeneralName::DNSName(name) = name else {
            continue;
        };
        role = role.or(Role::from_dns_name(name));
        let named = name.strip_prefix("host-").and_then(|rest| rest.strip_suffix(".mastichaven"));
        host = host.or(named.map(HostName::new));
    }
    Some(Identity { host: host?, role: role? })
}

/// A certificate authority for development and tests.
pub struct DevelopmentCa {
    certificate: rcgen::Certificate,
    issuer: Issuer<'static, KeyPair>,
}

/// Certificate and key of one process, as PEM texts.
#[derive(Clone, Debug)]
pub struct Issued {
    /// Certificate.
    pub certificate: String,
    /// Private key.
    pub key: String,
}

impl DevelopmentCa {
    /// Generates a self-signed certificate authority with a new key.
    pub fn generate() -> Result<DevelopmentCa> {
        let invalid = |e: rcgen::Error| TlsError::Invalid(e.to_string());
        let mut params = CertificateParams::new(Vec::new()).map_err(invalid)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        let key = KeyPair::generate().map_err(invalid)?;
        let certificate = params.self_signed(&key).map_err(invalid)?;
        Ok(DevelopmentCa { certificate, issuer: Issuer::new(params, key) })
    }

    /// The certificate of the authority itself, as PEM text.
    pub fn pem(&self) -> String {
        self.certificate.pem()
    }

    /// Issues a certificate for `host` in `role` that expires in `days` days; a negative number gives
    /// one that has expired.
    pub fn issue(&self, host: &HostName, role: Role, days: i64) -> Result<Issued> {
        let invalid = |e: rcgen::Error| TlsError::Invalid(e.to_string());
        let names = vec![
            PEER_NAME.to_owned(),
            role.dns_name().to_owned(),
            format!("host-{host}.mastichaven"),
        ];
        let mut params = CertificateParams::new(names).map_err(invalid)?;
        let day = Duration::from_secs(86_400);
        let yesterday = std::time::SystemTime::now() - day;
        let span = day * u32::try_from(days.unsigned_abs()).unwrap_or(u32::MAX);
        let end = if days < 0 { yesterday - span } else { yesterday + day + span };
        params.not_before = (yesterday - span - day).into();
        params.not_after = end.into();
        let key = KeyPair::generate().map_err(invalid)?;
        let certificate = params.signed_by(&key, &self.issuer).map_err(invalid)?;
        Ok(Issued { certificate: certificate.pem(), key: key.serialize_pem() })
    }

    /// Issues a certificate that is valid for a year, and loads it.
    pub fn material(&self, host: &HostName, role: Role) -> Result<Material> {
        let issued = self.issue(host, role, 365)?;
        Material::from_pem(&issued.certificate, &issued.key, &self.pem())
    }
}
