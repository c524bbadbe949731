//! Settings that follow a client from one server connection to another: what it asked for as it started, and what its
//! statements set since, as far as servers report it (`ParameterStatus`).
//!
//! Source: PostgreSQL documentation, "Asynchronous Operations" (which settings are reported), "Start-up" and the
//! `options` parameter of `libpq` (a server's command-line arguments).

use std::collections::BTreeMap;

/// Settings that servers report, so that a SET of them is seen whatever becomes of its transaction, in the form in
/// which names are compared. `search_path` is reported by version 18 on; before, it pins.
const REPORTED: [&str; 7] = [
    "application_name",
    "client_encoding",
    "datestyle",
    "default_transaction_read_only",
    "intervalstyle",
    "standard_conforming_strings",
    "timezone",
];
/// A client may set so many as it starts, and a value is no longer: they are kept for as long as it is connected.
const MOST: usize = 64;
const LONGEST: usize = 1024;

/// Whether a SET of this setting (in small letters) is followed, so that it need not pin.
pub fn is_followed(name: &str) -> bool {
    REPORTED.contains(&name)
}

/// A start-up packet asks for what can't be had.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// An argument in `options` that is no setting.
    #[error("options: {0:?} is not understood; only -c name=value and --name=value are")]
    Option(String),
    /// A name that can't be one of a setting's.
    #[error("{0:?} is no name of a setting")]
    Name(String),
    /// More than are kept.
    #[error("more than {MOST} settings, or one of more than {LONGEST} bytes")]
    TooMany,
}

/// The settings in `options`: `-c name=value`, `-cname=value` or `--name=value`, in words parted by spaces; a backslash
/// takes the sign behind it as it is.
fn read_options(options: &str) -> Result<Vec<(String, String)>, SettingsError> {
    let (mut words, mut word, mut signs) = (Vec::new(), None::<String>, options.chars());
    while let Some(sign) = signs.next() {
        match sign {
            ' ' | '\t' | '\n' | '\r' => words.extend(word.take()),
            '\\' => word.get_or_insert_default().extend(signs.next()),
            sign => word.get_or_insert_default().push(sign),
        }
    }
    words.extend(word);
    let (mut settings, mut words) = (Vec::new(), words.into_iter());
    while let Some(word) = words.next() {
        let setting = match (word.strip_prefix("--"), word.strip_prefix("-c")) {
            (Some(long), _) => Some(long.replace('-', "_")),
            (None, Some("")) => words.next(),
            (None, Some(joined)) => Some(joined.to_owned()),
            (None, None) => None,
        };
        let pair = setting
            .as_deref()
            .and_then(|setting| setting.split_once('='));
        let (name, value) = pair.ok_or(SettingsError::Option(word))?;
        settings.push((name.to_owned(), value.to_owned()));
    }
    Ok(settings)
}

/// What a client wants its settings to be.
#[derive(Clone, Debug, Default)]
pub struct ClientSettings {
    /// By name in small letters.
    wanted: BTreeMap<String, String>,
    /// What it began with, which RESET goes back to.
    initial: BTreeMap<String, String>,
    /// A server has taken them all once.
    proven: bool,
}

impl ClientSettings {
    /// From a client's start-up parameters and what its greeting tells it of the rest.
    pub fn new(
        parameters: &BTreeMap<String, String>,
        greeting: &BTreeMap<String, String>,
    ) -> Result<Self, SettingsError> {
        let mut wanted = BTreeMap::new();
        for (name, value) in greeting {
            let name = name.to_ascii_lowercase();
            if is_followed(&name) && name != "application_name" {
                wanted.insert(name, value.clone());
            }
        }
        let options = parameters
            .get("options")
            .map(|options| read_options(options))
            .transpose()?;
        let named = parameters.iter().filter(|(name, _)| {
            !matches!(
                name.as_str(),
                "user" | "database" | "options" | "replication"
            )
        });
        let asked = options
            .into_iter()
            .flatten()
            .chain(named.map(|(n, v)| (n.clone(), v.clone())));
        let mut proven = true;
        for (name, value) in asked {
            let name = name.to_ascii_lowercase();
            let fits = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'.');
            if name.is_empty() || !name.bytes().all(fits) {
                return Err(SettingsError::Name(name));
            }
            let value = usual(&name, &value);
            if value.len() > LONGEST || wanted.len() >= MOST {
                return Err(SettingsError::TooMany);
            }
            proven &= name == "application_name" || wanted.get(&name) == Some(&value);
            wanted.insert(name, value);
        }
        wanted.entry("application_name".to_owned()).or_default();
        Ok(Self {
            initial: wanted.clone(),
            wanted,
            proven,
        })
    }

    /// Whether some server has taken them: until then nothing else is sent along with them.
    pub fn is_proven(&self) -> bool {
        self.proven
    }

    /// A server has taken them.
    pub fn set_proven(&mut self) {
        self.proven = true;
    }

    /// All of them, by name in small letters.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.wanted
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// A server reports a setting while it works for this client; whether that is news to the client.
    pub fn reported(&mut self, name: &str, value: &str) -> bool {
        let name = name.to_ascii_lowercase();
        match self.wanted.get_mut(&name) {
            Some(known) if known == value => false,
            Some(known) => {
                value.clone_into(known);
                true
            }
            // Not one that is followed: the client may want to know.
            None => true,
        }
    }

    /// Statements of the client's have reset these, or all: they are again what it began with.
    pub fn reset(&mut self, names: &[String], all: bool) {
        for (name, value) in &self.initial {
            if all || names.contains(name) {
                self.wanted.insert(name.clone(), value.clone());
            }
        }
    }
}

/// What the settings are on one server connection.
#[derive(Clone, Debug, Default)]
pub struct ServerSettings {
    /// As reported, by name in small letters.
    reported: BTreeMap<String, String>,
    /// Set by the node and not reported; none where it is not known what it is now.
    applied: BTreeMap<String, Option<String>>,
}

impl ServerSettings {
    /// The server reports a setting.
    pub fn reported(&mut self, name: &str, value: &str) {
        self.reported
            .insert(name.to_ascii_lowercase(), value.to_owned());
    }

    /// What has been set is no longer known: RESET ALL or DISCARD ALL has run, or may have.
    pub fn forget(&mut self) {
        self.applied.values_mut().for_each(|value| *value = None);
    }

    /// The statements, as one text, that make a connection's settings the client's; none where they are. They count as
    /// run from here on: if they fail, the connection must go.
    pub fn adopt(&mut self, client: &ClientSettings) -> Option<String> {
        let mut sql = String::new();
        for (name, value) in &client.wanted {
            let is = match self.reported.get(name).filter(|_| is_followed(name)) {
                Some(reported) => Some(reported),
                None => self.applied.get(name).and_then(Option::as_ref),
            };
            if is != Some(value) {
                set(&mut sql, name, value);
                if !(is_followed(name) && self.reported.contains_key(name)) {
                    self.applied.insert(name.clone(), Some(value.clone()));
                }
            }
        }
        let strange = self
            .applied
            .keys()
            .filter(|name| !client.wanted.contains_key(*name));
        for name in strange.cloned().collect::<Vec<_>>() {
            sql.push_str(&format!("RESET {};", quoted(&name)));
            self.applied.remove(&name);
        }
        (!sql.is_empty()).then_some(sql)
    }
}

/// A value in the form in which servers report it, for the few that drivers write in their own ways.
fn usual(name: &str, value: &str) -> String {
    let bare = value.trim_matches('\'');
    match (name, bare.to_ascii_lowercase().as_str()) {
        ("client_encoding", "utf8" | "utf-8" | "unicode") => "UTF8".to_owned(),
        ("client_encoding", other) => other.to_ascii_uppercase(),
        ("datestyle", "iso") => "ISO, MDY".to_owned(),
        _ => value.to_owned(),
    }
}

fn set(sql: &mut String, name: &str, value: &str) {
    // In lists like search_path a quoted string would be one name; the server reads the list from set_config.
    let value = value.replace('\'', "''");
    let escape = if value.contains('\\') { "E" } else { "" };
    let value = value.replace('\\', "\\\\");
    sql.push_str(&format!(
        "SELECT pg_catalog.set_config('{name}',{escape}'{value}',false);"
    ));
}

fn quoted(name: &str) -> String {
    // Names hold letters, digits, low lines and points only; each part is a name of its own.
    name.split('.')
        .map(|part| format!("\"{part}\""))
        .collect::<Vec<_>>()
        .join(".")
}

#[cfg(test)]
mod tests;
