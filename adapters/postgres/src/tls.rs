//! TLS with clients and servers, using rustls: reads certificates, keys and root certificates from configured files.
//!
//! Reference: PostgreSQL documentation, "SSL Session Encryption"; channel binding: RFC 5929, `tls-server-end-point`.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use rustls::crypto::{CryptoProvider, ring};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use serde::Deserialize;
use sha2::{Digest, Sha256, Sha384, Sha512};
use tokio_rustls::{TlsAcceptor, TlsConnector};

use crate::config_error::{ConfigError, TlsFileError, check_private};

/// TLS settings for connections from clients, `[postgres.tls]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientTls {
    /// PEM file with the node's certificate and the intermediate certificates.
    pub certificate: PathBuf,
    /// PEM file with the certificate's private key, with mode 0600.
    pub key: PathBuf,
    /// Whether clients without TLS are rejected; TLS is optional by default.
    #[serde(rename = "required", default)]
    pub is_required: bool,
}

/// TLS settings for connections to servers, `[postgres.server_tls]`. If present, TLS is required.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerTls {
    /// PEM file with the root certificates that issue the servers' certificates.
    pub roots: PathBuf,
    /// Host name that all server certificates have to be valid for.
    pub name: String,
}

/// Accepts TLS connections from clients.
#[derive(Clone)]
pub struct Acceptor {
    /// Performs the handshake.
    pub acceptor: TlsAcceptor,
    /// Channel binding data `tls-server-end-point` of the node's certificate.
    pub channel_binding: Vec<u8>,
    /// Whether clients without TLS are rejected; see [`ClientTls::is_required`].
    pub is_required: bool,
}

impl ClientTls {
    /// Reads the certificate and the key.
    ///
    /// # Errors
    /// [`ConfigError`] if a file cannot be read or is invalid, or the key file is accessible by others.
    pub fn acceptor(&self) -> Result<Acceptor, ConfigError> {
        let chain = read_certificates(&self.certificate)?;
        check_private(&self.key)?;
        let key = PrivateKeyDer::from_pem_file(&self.key)
            .map_err(|error| TlsFileError::from(error).at(&self.key))?;
        let channel_binding = tls_server_end_point(&chain[0]);
        let config = ServerConfig::builder_with_provider(crypto_provider())
            .with_safe_default_protocol_versions()
            .and_then(|config| config.with_no_client_auth().with_single_cert(chain, key))
            .map_err(|error| TlsFileError::from(error).at(&self.certificate))?;
        Ok(Acceptor {
            acceptor: TlsAcceptor::from(Arc::new(config)),
            channel_binding,
            is_required: self.is_required,
        })
    }
}

/// Opens TLS connections to servers.
#[derive(Clone)]
pub struct Connector {
    /// Performs the handshake.
    pub connector: TlsConnector,
    /// Host name that the server certificates have to be valid for.
    pub server_name: ServerName<'static>,
}

impl ServerTls {
    /// Reads the root certificates.
    ///
    /// # Errors
    /// [`ConfigError`] if the file cannot be read or is invalid, or the name is not a valid host name.
    pub fn connector(&self) -> Result<Connector, ConfigError> {
        let at_roots = |error: rustls::Error| TlsFileError::from(error).at(&self.roots);
        let mut roots = RootCertStore::empty();
        for certificate in read_certificates(&self.roots)? {
            roots.add(certificate).map_err(at_roots)?;
        }
        let server_name = ServerName::try_from(self.name.clone())?;
        let config = ClientConfig::builder_with_provider(crypto_provider())
            .with_safe_default_protocol_versions()
            .map_err(at_roots)?
            .with_root_certificates(roots)
            .with_no_client_auth();
        Ok(Connector {
            connector: TlsConnector::from(Arc::new(config)),
            server_name,
        })
    }
}

fn crypto_provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

/// Reads the certificates of a PEM file; an error if the file contains none.
fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, ConfigError> {
    let certificates = CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|error| TlsFileError::from(error).at(path))?;
    if certificates.is_empty() {
        return Err(TlsFileError::NoCertificate.at(path));
    }
    Ok(certificates)
}

/// The channel binding data `tls-server-end-point` (RFC 5929) of a certificate in DER: the certificate's hash, using
/// the hash function of the certificate's signature algorithm, or SHA-256 in place of MD5 and SHA-1.
pub fn tls_server_end_point(certificate: &[u8]) -> Vec<u8> {
    let is_signed_by = |oid: &[u8]| certificate.windows(oid.len()).any(|window| window == oid);
    if is_signed_by(signature_oid::RSA_SHA384) || is_signed_by(signature_oid::ECDSA_SHA384) {
        Sha384::digest(certificate).to_vec()
    } else if is_signed_by(signature_oid::RSA_SHA512) || is_signed_by(signature_oid::ECDSA_SHA512) {
        Sha512::digest(certificate).to_vec()
    } else {
        Sha256::digest(certificate).to_vec()
    }
}

/// DER-encoded object identifiers of signature algorithms (RFC 8017, RFC 5758).
mod signature_oid {
    pub(super) const RSA_SHA384: &[u8] = &[0x2a, 0x86, 0x48, 0x86, 0xf7, 0x0d, 0x01, 0x01, 0x0c];
    pub(super) const RSA_SHA512: &[u8] = &[0x2a, 0x86, 0x48, 0x86, 0xf7, 0x0d, 0x01, 0x01, 0x0d];
    pub(super) const ECDSA_SHA384: &[u8] = &[0x2a, 0x86, 0x48, 0xce, 0x3d, 0x04, 0x03, 0x03];
    pub(super) const ECDSA_SHA512: &[u8] = &[0x2a, 0x86, 0x48, 0xce, 0x3d, 0x04, 0x03, 0x04];
}
