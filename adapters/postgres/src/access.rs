//! Access rules: which users may connect to which databases from which addresses. The first matching rule decides, as
//! in PostgreSQL's `pg_hba.conf`.

use std::net::IpAddr;
use std::str::FromStr;

use serde::Deserialize;

/// Length of an address in bits.
const IPV4_BITS: u8 = 32;
const IPV6_BITS: u8 = 128;

/// An access rule. The rule matches a client that meets all conditions that are set.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccessRule {
    /// User name that the client has to have; any user if absent.
    pub user: Option<String>,
    /// Database that the client has to request; any database if absent.
    pub database: Option<String>,
    /// CIDR range that has to contain the client's address, such as `10.0.0.0/8`; any address if absent.
    pub address: Option<AddressRange>,
    /// Whether the client has to use TLS (true) or no TLS (false); either if absent.
    #[serde(rename = "tls")]
    pub is_tls: Option<bool>,
    /// Whether matching clients are rejected instead of allowed.
    #[serde(rename = "refuse", default)]
    pub rejects: bool,
}

/// The properties of a client that access rules are matched against.
#[derive(Clone, Copy, Debug)]
pub struct AccessRequest<'a> {
    /// User name that the client authenticated with.
    pub user: &'a str,
    /// Database that the client requests.
    pub database: &'a str,
    /// The client's IP address.
    pub address: IpAddr,
    /// Whether the client's connection uses TLS.
    pub is_tls: bool,
}

impl AccessRule {
    fn matches(&self, request: &AccessRequest<'_>) -> bool {
        let user = self.user.as_deref();
        let database = self.database.as_deref();
        user.is_none_or(|user| user == request.user)
            && database.is_none_or(|database| database == request.database)
            && self
                .address
                .is_none_or(|range| range.contains(request.address))
            && self.is_tls.is_none_or(|is_tls| is_tls == request.is_tls)
    }
}

/// Whether the rules allow a request. Without any rules, all requests are allowed; otherwise, requests that match no
/// rule are rejected.
pub fn is_allowed(rules: &[AccessRule], request: &AccessRequest<'_>) -> bool {
    if rules.is_empty() {
        return true;
    }
    let first_match = rules.iter().find(|rule| rule.matches(request));
    first_match.is_some_and(|rule| !rule.rejects)
}

/// A range of IP addresses in CIDR notation; an address without a prefix length is a range of one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct AddressRange {
    base: IpAddr,
    prefix_length: u8,
}

/// Error for a text that is not a CIDR range. Contains the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a range of addresses; use CIDR notation such as 10.0.0.0/8")]
pub struct AddressRangeError(String);

impl TryFrom<String> for AddressRange {
    type Error = AddressRangeError;

    fn try_from(text: String) -> Result<Self, AddressRangeError> {
        text.parse()
    }
}

impl FromStr for AddressRange {
    type Err = AddressRangeError;

    fn from_str(text: &str) -> Result<Self, AddressRangeError> {
        Self::parse(text).ok_or_else(|| AddressRangeError(text.to_owned()))
    }
}

impl AddressRange {
    fn parse(text: &str) -> Option<Self> {
        let (base, prefix_length) = match text.split_once('/') {
            Some((base, prefix_length)) => (base, Some(prefix_length)),
            None => (text, None),
        };
        let base: IpAddr = base.parse().ok()?;
        let max_length = if base.is_ipv4() { IPV4_BITS } else { IPV6_BITS };
        let prefix_length = match prefix_length {
            Some(prefix_length) => prefix_length.parse().ok()?,
            None => max_length,
        };
        (prefix_length <= max_length).then_some(Self {
            base,
            prefix_length,
        })
    }

    /// Whether the range contains an address. IPv4-mapped IPv6 addresses (`::ffff:10.0.0.1`) are treated as IPv4.
    pub fn contains(&self, address: IpAddr) -> bool {
        match (self.base, address.to_canonical()) {
            (IpAddr::V4(base), IpAddr::V4(address)) => {
                self.has_same_prefix(u32::from(base).into(), u32::from(address).into(), IPV4_BITS)
            }
            (IpAddr::V6(base), IpAddr::V6(address)) => {
                self.has_same_prefix(base.into(), address.into(), IPV6_BITS)
            }
            _ => false,
        }
    }

    fn has_same_prefix(&self, base: u128, address: u128, address_bits: u8) -> bool {
        let host_bits = u32::from(address_bits - self.prefix_length);
        // A prefix of zero bits matches all addresses. Shifting by all 128 bits would overflow.
        host_bits >= u128::BITS || base >> host_bits == address >> host_bits
    }
}

#[cfg(test)]
mod tests;
