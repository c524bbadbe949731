//! The node's logins at the servers, and the choice of the login for a client's transactions.

use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::config_error::{ConfigError, read_private};

/// A login at the servers, as configured in `[[postgres.login]]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Login {
    /// User name with which the node logs in.
    pub user: String,
    /// File that contains the password and nothing else, with mode 0600. Absent if the servers request no password.
    pub password_file: Option<PathBuf>,
    /// User names of the clients that use this login. If absent, all clients that no other login lists.
    pub clients: Option<Vec<String>>,
}

/// The credentials of a login.
#[derive(Clone)]
pub struct Credentials {
    /// User name with which the node logs in.
    pub user: String,
    /// The password; `None` if no password file is configured.
    pub password: Option<String>,
}

/// Index of a login in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoginId(usize);

struct LoginEntry {
    credentials: Credentials,
    clients: Option<Vec<String>>,
}

/// All configured logins, with their passwords.
pub struct Logins(Vec<LoginEntry>);

impl Logins {
    /// Reads the password files of the configured logins.
    ///
    /// # Errors
    /// [`ConfigError`] if a password file cannot be read or is accessible by others.
    pub fn read(logins: &[Login]) -> Result<Self, ConfigError> {
        logins
            .iter()
            .map(LoginEntry::read)
            .collect::<Result<_, _>>()
            .map(Self)
    }

    /// The login for a client: the first login that lists the client's user name, otherwise the first login without a
    /// list of clients.
    pub fn for_client(&self, user: &str) -> Option<LoginId> {
        let lists_client = |login: &LoginEntry| {
            let mut clients = login.clients.iter().flatten();
            clients.any(|client| client == user)
        };
        self.0
            .iter()
            .position(lists_client)
            .or_else(|| self.0.iter().position(|login| login.clients.is_none()))
            .map(LoginId)
    }

    /// The credentials of a login; `None` if the index is out of range.
    pub fn get(&self, login: LoginId) -> Option<&Credentials> {
        self.0.get(login.0).map(|login| &login.credentials)
    }
}

impl LoginEntry {
    fn read(login: &Login) -> Result<Self, ConfigError> {
        let password_file = login.password_file.as_deref();
        Ok(Self {
            credentials: Credentials {
                user: login.user.clone(),
                password: password_file.map(read_password).transpose()?,
            },
            clients: login.clients.clone(),
        })
    }
}

/// Reads a password file and removes the trailing line break.
fn read_password(path: &Path) -> Result<String, ConfigError> {
    let text = read_private(path)?;
    Ok(text.trim_end_matches(['\r', '\n']).to_owned())
}

#[cfg(test)]
mod tests;
