//! TLS on both sides, by rustls: the node's certificate for clients, and what it asks of servers.
//!
//! Source: PostgreSQL documentation, "SSL Session Encryption"; channel binding: RFC 5929, `tls-server-end-point`.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use serde::Deserialize;
use sha2::{Digest, Sha256, Sha384, Sha512};
use tokio_rustls::{TlsAcceptor, TlsConnector};

use crate::config::ConfigError;

/// TLS towards clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientTls {
    /// The node's certificate and those up to the root, in PEM.
    pub certificate: PathBuf,
    /// Its key, in PEM. Nobody else may read the file.
    pub key: PathBuf,
    /// Clients that don't ask for TLS are turned away.
    #[serde(default)]
    pub required: bool,
}

/// TLS towards servers: always required where it is set.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerTls {
    /// The roots that the servers' certificates lead to, in PEM.
    pub roots: PathBuf,
    /// The name that their certificates are for.
    pub name: String,
}

fn wrong(path: &Path, problem: impl std::fmt::Display) -> ConfigError {
    ConfigError::Wrong(format!("{}: {problem}", path.display()))
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, ConfigError> {
    let read = CertificateDer::pem_file_iter(path).map_err(|error| wrong(path, error))?;
    let all = read
        .collect::<Result<Vec<_>, _>>()
        .map_err(|error| wrong(path, error))?;
    if all.is_empty() {
        Err(wrong(path, "no certificate in it"))
    } else {
        Ok(all)
    }
}

/// What clients are offered.
#[derive(Clone)]
pub struct Acceptor {
    /// The handshake.
    pub tls: TlsAcceptor,
    /// The channel's binding.
    pub binding: Vec<u8>,
    /// Clients must ask for it.
    pub required: bool,
}

impl ClientTls {
    /// Reads the certificate and the key.
    pub fn acceptor(&self) -> Result<Acceptor, ConfigError> {
        let chain = certificates(&self.certificate)?;
        crate::config::check_private(&self.key)?;
        let key =
            PrivateKeyDer::from_pem_file(&self.key).map_err(|error| wrong(&self.key, error))?;
        let binding = end_point(&chain[0]);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .and_then(|config| config.with_no_client_auth().with_single_cert(chain, key))
            .map_err(|error| wrong(&self.certificate, error))?;
        Ok(Acceptor {
            tls: TlsAcceptor::from(Arc::new(config)),
            binding,
            required: self.required,
        })
    }
}

/// How servers are reached.
#[derive(Clone)]
pub struct Connector {
    /// The handshake.
    pub tls: TlsConnector,
    /// The name that their certificates are for.
    pub name: ServerName<'static>,
}

impl ServerTls {
    /// Reads the roots.
    pub fn connector(&self) -> Result<Connector, ConfigError> {
        let mut roots = RootCertStore::empty();
        for certificate in certificates(&self.roots)? {
            roots
                .add(certificate)
                .map_err(|error| wrong(&self.roots, error))?;
        }
        let name = ServerName::try_from(self.name.clone());
        let name = name.map_err(|error| ConfigError::Wrong(format!("server_tls.name: {error}")))?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|error| wrong(&self.roots, error))?
            .with_root_certificates(roots)
            .with_no_client_auth();
        Ok(Connector {
            tls: TlsConnector::from(Arc::new(config)),
            name,
        })
    }
}

/// The binding of a channel to its server's certificate: its hash, by the function of its signature or, where that is a
/// weaker one, by SHA-256.
pub fn end_point(certificate: &[u8]) -> Vec<u8> {
    const RSA_384: &[u8] = &[0x2a, 0x86, 0x48, 0x86, 0xf7, 0x0d, 0x01, 0x01, 0x0c];
    const RSA_512: &[u8] = &[0x2a, 0x86, 0x48, 0x86, 0xf7, 0x0d, 0x01, 0x01, 0x0d];
    const ECDSA_384: &[u8] = &[0x2a, 0x86, 0x48, 0xce, 0x3d, 0x04, 0x03, 0x03];
    const ECDSA_512: &[u8] = &[0x2a, 0x86, 0x48, 0xce, 0x3d, 0x04, 0x03, 0x04];
    let signed_by = |oid: &[u8]| certificate.windows(oid.len()).any(|window| window == oid);
    if signed_by(RSA_384) || signed_by(ECDSA_384) {
        Sha384::digest(certificate).to_vec()
    } else if signed_by(RSA_512) || signed_by(ECDSA_512) {
        Sha512::digest(certificate).to_vec()
    } else {
        Sha256::digest(certificate).to_vec()
    }
}
