//! Why the section `[postgres]` can't be used, and reading of the private files that it names.

use std::path::{Path, PathBuf};

use badgerpost_balancer::SettingsError;
use badgerpost_settings::ObjectError;
use badgerpost_settings::private_file::{self, PrivateFileError};
use rustls::pki_types::InvalidDnsNameError;

/// Why the section can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file that it names can't be read.
    #[error("postgres: {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// Others than the owner may access a file with secrets.
    #[error("postgres: {}: others may read it; its mode must be 0600", .0.display())]
    AccessibleByOthers(PathBuf),
    /// A line of the users' file is malformed.
    #[error("postgres: {}:{line}: {problem}", path.display())]
    Users {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wrong. Never the line itself, which may be a secret.
        problem: UserLineError,
    },
    /// A certificate or a key can't be used.
    #[error("postgres: {}: {problem}", path.display())]
    Tls {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        problem: TlsFileError,
    },
    /// The name of the servers' certificates is not a host name.
    #[error("postgres: server_tls.name: {0}")]
    ServerName(#[from] InvalidDnsNameError),
    /// There is no login for the servers.
    #[error("postgres: there must be a [[postgres.login]]")]
    NoLogin,
    /// There is no class, or nothing says where the servers are.
    #[error("postgres: there must be a [[postgres.class]], and a [[postgres.server]] or discovery")]
    NoClassOrServer,
    /// The settings object that is made of the section can't be read.
    #[error("postgres: {0}")]
    SettingsObject(#[from] ObjectError),
    /// The balancer can't work with the settings.
    #[error("postgres: {0}")]
    Settings(#[from] SettingsError),
    /// The system gives no random numbers.
    #[error("postgres: the system has no random numbers")]
    Random,
}

/// What is wrong with a line of the users' file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UserLineError {
    /// It has no space between a name and a verifier.
    #[error("a name and a verifier")]
    NoVerifier,
    /// What follows the name is no verifier of a supported kind.
    #[error("only SCRAM-SHA-256 verifiers are taken, no passwords, no md5")]
    UnsupportedVerifier,
}

/// What is wrong with a file with certificates or a key.
#[derive(Debug, thiserror::Error)]
pub enum TlsFileError {
    /// It is not PEM.
    #[error("{0}")]
    Pem(#[from] rustls::pki_types::pem::Error),
    /// It holds no certificate.
    #[error("no certificate in it")]
    NoCertificate,
    /// The TLS library can't use what it holds.
    #[error("{0}")]
    Unusable(#[from] rustls::Error),
}

impl TlsFileError {
    /// The same with the file's path.
    pub(crate) fn at(self, path: &Path) -> ConfigError {
        ConfigError::Tls {
            path: path.to_owned(),
            problem: self,
        }
    }
}

/// Reads a file that only its owner may access.
pub(crate) fn read_private(path: &Path) -> Result<String, ConfigError> {
    private_file::read(path).map_err(|error| private_file_error(path, error))
}

/// Checks that only its owner may access a file.
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
