//! The node's logins at the servers, and which of them the transactions of a client use.

use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::config_error::{ConfigError, read_private};

/// A login at the servers, as it is configured.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Login {
    /// The node's user at the servers.
    pub user: String,
    /// A file that holds only the user's password, if it has one. Only its owner may access it.
    pub password_file: Option<PathBuf>,
    /// The clients that use this login; if left out, all that no other login names.
    pub clients: Option<Vec<String>>,
}

/// With what the node logs in at a server.
#[derive(Clone)]
pub struct Credentials {
    /// The user.
    pub user: String,
    /// The user's password, if it has one.
    pub password: Option<String>,
}

/// The number of a login, in the order of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoginId(usize);

struct LoginEntry {
    credentials: Credentials,
    clients: Option<Vec<String>>,
}

/// All logins.
pub struct Logins(Vec<LoginEntry>);

impl Logins {
    /// Reads the passwords of configured logins.
    ///
    /// # Errors
    /// [`ConfigError`] if a password's file can't be read, or others than its owner may access it.
    pub fn read(logins: &[Login]) -> Result<Self, ConfigError> {
        logins
            .iter()
            .map(LoginEntry::read)
            .collect::<Result<_, _>>()
            .map(Self)
    }

    /// The login of a client: the first one that names it, otherwise the first one for all.
    pub fn for_client(&self, user: &str) -> Option<LoginId> {
        let names_client = |login: &LoginEntry| {
            let mut clients = login.clients.iter().flatten();
            clients.any(|client| client == user)
        };
        self.0
            .iter()
            .position(names_client)
            .or_else(|| self.0.iter().position(|login| login.clients.is_none()))
            .map(LoginId)
    }

    /// The credentials of a login.
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

/// The file's text without the end of its line.
fn read_password(path: &Path) -> Result<String, ConfigError> {
    let text = read_private(path)?;
    Ok(text.trim_end_matches(['\r', '\n']).to_owned())
}

#[cfg(test)]
mod tests;
