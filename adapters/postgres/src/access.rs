//! Who may come to which database, from where, and as whom the node goes on to the servers for them: the first rule that
//! fits counts, as in a server's `pg_hba.conf`.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

use serde::Deserialize;

use crate::config::ConfigError;

/// A rule of who may come.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allow {
    /// This user; any if left out, and so on.
    pub user: Option<String>,
    /// To this database.
    pub database: Option<String>,
    /// From this range of addresses, as `10.0.0.0/8`.
    pub address: Option<Range>,
    /// With TLS, or without.
    pub tls: Option<bool>,
    /// Those who fit are turned away.
    #[serde(default)]
    pub refuse: bool,
}

/// A range of addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct Range {
    base: IpAddr,
    bits: u8,
}

impl TryFrom<String> for Range {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

impl FromStr for Range {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let wrong = || format!("{text:?} is no range of addresses like 10.0.0.0/8");
        let (base, bits) = text
            .split_once('/')
            .map_or((text, None), |(base, bits)| (base, Some(bits)));
        let base: IpAddr = base.parse().map_err(|_| wrong())?;
        let most = if base.is_ipv4() { 32 } else { 128 };
        let bits = bits.map_or(Ok(most), |bits| bits.parse().map_err(|_| wrong()))?;
        if bits > most {
            Err(wrong())
        } else {
            Ok(Self { base, bits })
        }
    }
}

impl Range {
    /// Whether an address lies in it. One of IPv4 that came over IPv6 counts as what it is.
    pub fn contains(&self, address: IpAddr) -> bool {
        let same = |a: u128, b: u128, width: u32| {
            let shift = width - u32::from(self.bits);
            shift >= 128 || a >> shift == b >> shift
        };
        match (self.base, address.to_canonical()) {
            (IpAddr::V4(a), IpAddr::V4(b)) => same(u32::from(a).into(), u32::from(b).into(), 32),
            (IpAddr::V6(a), IpAddr::V6(b)) => same(a.into(), b.into(), 128),
            _ => false,
        }
    }
}

impl Allow {
    fn fits(&self, user: &str, database: &str, from: SocketAddr, tls: bool) -> bool {
        self.user.as_deref().is_none_or(|wanted| wanted == user)
            && self
                .database
                .as_deref()
                .is_none_or(|wanted| wanted == database)
            && self.address.is_none_or(|range| range.contains(from.ip()))
            && self.tls.is_none_or(|wanted| wanted == tls)
    }
}

/// Whether a client may come. With no rules at all every user that shows who it is may.
pub fn may_come(rules: &[Allow], user: &str, database: &str, from: SocketAddr, tls: bool) -> bool {
    rules.is_empty()
        || rules
            .iter()
            .find(|rule| rule.fits(user, database, from, tls))
            .is_some_and(|rule| !rule.refuse)
}

/// Who the node is to the servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Login {
    /// Its user there.
    pub user: String,
    /// A file that holds its password and nothing else, if it has one. Nobody else may read it.
    pub password_file: Option<PathBuf>,
    /// The clients for which it is; left out, for all that no other login names.
    pub clients: Option<Vec<String>>,
}

/// A login with its password.
#[derive(Clone)]
pub struct Identity {
    /// The user.
    pub user: String,
    /// Its password.
    pub password: Option<String>,
}

/// All logins, by number.
pub struct Logins {
    identities: Vec<Identity>,
    clients: Vec<Option<Vec<String>>>,
}

impl Logins {
    /// Reads the passwords.
    pub fn read(logins: &[Login]) -> Result<Self, ConfigError> {
        let mut all = Self {
            identities: Vec::new(),
            clients: Vec::new(),
        };
        for login in logins {
            let read = |path: &PathBuf| {
                crate::config::secret(path)
                    .map(|text| text.trim_end_matches(['\r', '\n']).to_owned())
            };
            let password = login.password_file.as_ref().map(read).transpose()?;
            all.identities.push(Identity {
                user: login.user.clone(),
                password,
            });
            all.clients.push(login.clients.clone());
        }
        Ok(all)
    }

    /// The number of the login for a client: one that names it, else the one for all.
    pub fn for_client(&self, user: &str) -> Option<usize> {
        let names = |clients: &Option<Vec<String>>| {
            clients
                .as_ref()
                .is_some_and(|clients| clients.iter().any(|known| known == user))
        };
        self.clients
            .iter()
            .position(names)
            .or_else(|| self.clients.iter().position(Option::is_none))
    }

    /// A login by its number.
    pub fn get(&self, number: usize) -> Option<&Identity> {
        self.identities.get(number)
    }
}

#[cfg(test)]
mod tests;
