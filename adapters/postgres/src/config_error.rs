//! Errors in the section `[postgres]`, and reading of the private files that the section names.

use std::path::{Path, PathBuf};

use badgerpost_balancer::SettingsError;
use badgerpost_settings::ObjectError;
use badgerpost_settings::private_file::{self, PrivateFileError};
use rustls::pki_types::InvalidDnsNameError;

/// An error in the section `[postgres]` or in a file that the section names.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file cannot be read.
    #[error("postgres: cannot read {}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A file with secrets is accessible by users other than its owner. Contains the file's path.
    #[error("postgres: {}: the file is accessible by other users; its mode must be 0600", .0.display())]
    AccessibleByOthers(PathBuf),
    /// A line of the users file is malformed.
    #[error("postgres: {}:{line}: {problem}", path.display())]
    Users {
        /// Path of the file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// What is wrong. Never contains the line itself, which may hold a secret.
        problem: UserLineError,
    },
    /// A file with certificates or a key is invalid.
    #[error("postgres: {}: {problem}", path.display())]
    Tls {
        /// Path of the file.
        path: PathBuf,
        /// What is wrong.
        problem: TlsFileError,
    },
    /// `server_tls.name` is not a valid host name.
    #[error("postgres: server_tls.name: {0}")]
    ServerName(#[from] InvalidDnsNameError),
    /// No login at the servers is configured.
    #[error("postgres: at least one [[postgres.login]] is required")]
    NoLogin,
    /// No class is configured, or neither servers nor discovery.
    #[error(
        "postgres: at least one [[postgres.class]] is required, and a [[postgres.server]] or postgres.discovery"
    )]
    NoClassOrServer,
    /// The settings object built from the section is invalid.
    #[error("postgres: {0}")]
    SettingsObject(#[from] ObjectError),
    /// The balancer rejects the settings.
    #[error("postgres: {0}")]
    Settings(#[from] SettingsError),
    /// The operating system returned no random bytes.
    #[error("postgres: the operating system returned no random bytes")]
    Random,
}

/// What is wrong with a line of the users file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UserLineError {
    /// The line has no space between a user name and a verifier.
    #[error("expected a user name, a space and a SCRAM-SHA-256 verifier")]
    NoVerifier,
    /// The text after the user name is not a supported verifier.
    #[error("only SCRAM-SHA-256 verifiers are supported, not passwords or MD5 hashes")]
    UnsupportedVerifier,
}

/// What is wrong with a file that holds certificates or a key.
#[derive(Debug, thiserror::Error)]
pub enum TlsFileError {
    /// The file cannot be read or is not valid PEM.
    #[error("{0}")]
    Pem(#[from] rustls::pki_types::pem::Error),
    /// The file contains no certificate.
    #[error("the file contains no certificate")]
    NoCertificate,
    /// The TLS library rejects the certificates or the key.
    #[error("{0}")]
    Unusable(#[from] rustls::Error),
}

impl TlsFileError {
    /// Adds the file's path to the error.
    pub(crate) fn at(self, path: &Path) -> ConfigError {
        ConfigError::Tls {
            path: path.to_owned(),
            problem: self,
        }
    }
}

/// Reads a file, which must be accessible by its owner only.
pub(crate) fn read_private(path: &Path) -> Result<String, ConfigError> {
    private_file::read(path).map_err(|error| private_file_error(path, error))
}

/// Checks that a file is accessible by its owner only.
pub(crate) fn check_private(path: &Path) -> Result<(), ConfigError> {
    private_file::check(path).map_err(|error| private_file_error(path, error))
}

fn private_file_error(path: &Path, error: PrivateFileError) -> ConfigError {
    let path = path.to_owned();
    match error {
        PrivateFileError::Unreadable(source) => ConfigError::Unreadable { path, source },
        PrivateFileError::AccessibleByOthers => ConfigError::AccessibleByOthers(path),
    }
}
