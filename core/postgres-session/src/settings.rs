//! Settings that follow a client from one server connection to another: those of its start-up message, and those that its
//! statements set later, as far as servers report them (`ParameterStatus`).
//!
//! Source: PostgreSQL documentation, "Asynchronous Operations" (which settings are reported), "Start-up" and the
//! `options` parameter of `libpq` (a server's command-line arguments).

use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Settings that servers report, by name in small letters. A SET of one is known whatever becomes of its transaction.
/// `search_path` is reported from version 18 on only, so that a SET of it makes the session sticky.
const REPORTED_SETTINGS: [&str; 7] = [
    "application_name",
    "client_encoding",
    "datestyle",
    "default_transaction_read_only",
    "intervalstyle",
    "standard_conforming_strings",
    "timezone",
];
/// Most settings of one client; they are kept for as long as it is connected.
const MAX_SETTINGS: usize = 64;
/// Most bytes of a setting's value.
const MAX_VALUE_LENGTH: usize = 1024;
/// Parameters of a start-up message that are no settings.
const STARTUP_ONLY_PARAMETERS: [&str; 4] = ["user", "database", "options", "replication"];

/// Whether a SET of this setting (in small letters) is known from reports, so that the setting can follow its client.
#[must_use]
pub fn is_followed(name: &str) -> bool {
    REPORTED_SETTINGS.contains(&name)
}

/// Why the settings of a start-up message can't be had.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// An argument in `options` is no setting.
    #[error("options: {0:?} is not understood; only -c name=value and --name=value are")]
    Option(String),
    /// A name is impossible for a setting.
    #[error("{0:?} is no name of a setting")]
    Name(String),
    /// There are too many settings, or a value is too long.
    #[error("more than {MAX_SETTINGS} settings, or one of more than {MAX_VALUE_LENGTH} bytes")]
    TooMany,
}

/// The value of a setting.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Setting {
    /// The name as the client writes it.
    name: String,
    value: String,
}

/// Splits `options` at white space; a backslash takes the character behind it as it is.
fn split_options(options: &str) -> Vec<String> {
    let mut arguments = Vec::new();
    let mut argument = None::<String>;
    let mut characters = options.chars();
    while let Some(character) = characters.next() {
        match character {
            ' ' | '\t' | '\n' | '\r' => arguments.extend(argument.take()),
            '\\' => argument.get_or_insert_default().extend(characters.next()),
            other => argument.get_or_insert_default().push(other),
        }
    }
    arguments.extend(argument);
    arguments
}

/// Reads the settings in `options`: `-c name=value`, `-cname=value` or `--name=value`.
fn read_options(options: &str) -> Result<Vec<Setting>, SettingsError> {
    let mut settings = Vec::new();
    let mut arguments = split_options(options).into_iter();
    while let Some(argument) = arguments.next() {
        let assignment = match (argument.strip_prefix("--"), argument.strip_prefix("-c")) {
            (Some(long), _) => Some(long.replace('-', "_")),
            (None, Some("")) => arguments.next(),
            (None, Some(joined)) => Some(joined.to_owned()),
            (None, None) => None,
        };
        let Some((name, value)) = assignment
            .as_deref()
            .and_then(|assignment| assignment.split_once('='))
        else {
            return Err(SettingsError::Option(argument));
        };
        settings.push(Setting {
            name: name.to_owned(),
            value: value.to_owned(),
        });
    }
    Ok(settings)
}

/// The settings of a start-up message: first those in `options`, then its other parameters.
fn startup_settings(parameters: &BTreeMap<String, String>) -> Result<Vec<Setting>, SettingsError> {
    let mut settings = match parameters.get("options") {
        Some(options) => read_options(options)?,
        None => Vec::new(),
    };
    for (name, value) in parameters {
        if !STARTUP_ONLY_PARAMETERS.contains(&name.as_str()) {
            settings.push(Setting {
                name: name.clone(),
                value: value.clone(),
            });
        }
    }
    Ok(settings)
}

fn is_setting_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'.');
    !name.is_empty() && name.bytes().all(is_allowed)
}

/// The values that a client wants its settings to have.
#[derive(Clone, Debug, Default)]
pub struct ClientSettings {
    /// By name in small letters.
    wanted: BTreeMap<String, String>,
    /// The values at the start of the session, to which RESET returns.
    initial: BTreeMap<String, String>,
    /// A server has accepted them all.
    accepted_by_server: bool,
}

impl ClientSettings {
    /// Settings of a client with these start-up parameters, which gets `greeting` as the values of the settings that
    /// it has not set.
    ///
    /// # Errors
    /// [`SettingsError`] if a setting can't be read or there are too many.
    pub fn new(
        parameters: &BTreeMap<String, String>,
        greeting: &BTreeMap<String, String>,
    ) -> Result<Self, SettingsError> {
        let mut settings = Self {
            accepted_by_server: true,
            ..Self::default()
        };
        for (name, value) in greeting {
            let name = name.to_ascii_lowercase();
            if is_followed(&name) && name != "application_name" {
                settings.wanted.insert(name, value.clone());
            }
        }
        for setting in startup_settings(parameters)? {
            settings.add_startup_setting(&setting)?;
        }
        settings
            .wanted
            .entry("application_name".to_owned())
            .or_default();
        settings.initial = settings.wanted.clone();
        Ok(settings)
    }

    fn add_startup_setting(&mut self, setting: &Setting) -> Result<(), SettingsError> {
        let name = setting.name.to_ascii_lowercase();
        if !is_setting_name(&name) {
            return Err(SettingsError::Name(name));
        }
        let value = canonical_value(&name, &setting.value);
        if value.len() > MAX_VALUE_LENGTH || self.wanted.len() >= MAX_SETTINGS {
            return Err(SettingsError::TooMany);
        }
        self.accepted_by_server &=
            name == "application_name" || self.wanted.get(&name) == Some(&value);
        self.wanted.insert(name, value);
        Ok(())
    }

    /// Whether a server has accepted them all: until then nothing is sent together with them.
    #[must_use]
    pub fn is_accepted_by_server(&self) -> bool {
        self.accepted_by_server
    }

    /// A server has accepted them all.
    pub fn set_accepted_by_server(&mut self) {
        self.accepted_by_server = true;
    }

    /// Names in small letters and values.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.wanted
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Notes the value that a server reports while this client uses it. Returns whether the client has to learn of it:
    /// the value has changed, or the setting is not followed.
    pub fn record_report(&mut self, name: &str, value: &str) -> bool {
        let name = name.to_ascii_lowercase();
        match self.wanted.get_mut(&name) {
            Some(known) if known == value => false,
            Some(known) => {
                value.clone_into(known);
                true
            }
            None => true,
        }
    }

    /// The client's statements have reset these settings, or all: they have their initial values again.
    pub fn reset(&mut self, names: &[String], all: bool) {
        for (name, value) in &self.initial {
            if all || names.contains(name) {
                self.wanted.insert(name.clone(), value.clone());
            }
        }
    }
}

/// The values of the settings on one server connection.
#[derive(Clone, Debug, Default)]
pub struct ServerSettings {
    /// As the server reports them, by name in small letters.
    reported: BTreeMap<String, String>,
    /// Set by this process and not reported by the server; `None` if the value may have been reset since.
    applied: BTreeMap<String, Option<String>>,
}

impl ServerSettings {
    /// Notes the value that the server reports.
    pub fn record_report(&mut self, name: &str, value: &str) {
        self.reported
            .insert(name.to_ascii_lowercase(), value.to_owned());
    }

    /// RESET ALL or DISCARD ALL has run, or may have: the values that are not reported are unknown.
    pub fn forget_unreported(&mut self) {
        for value in self.applied.values_mut() {
            *value = None;
        }
    }

    /// The statements, as one text, that give this connection's settings the client's values; `None` if they have
    /// them. The statements count as run: if they fail, the connection must be dropped.
    pub fn sql_to_apply(&mut self, client: &ClientSettings) -> Option<String> {
        let mut sql = String::new();
        for (name, value) in &client.wanted {
            if self.current(name) != Some(value) {
                push_set(&mut sql, name, value);
                if !self.is_reported(name) {
                    self.applied.insert(name.clone(), Some(value.clone()));
                }
            }
        }
        self.applied.retain(|name, _| {
            let is_wanted = client.wanted.contains_key(name);
            if !is_wanted {
                push_reset(&mut sql, name);
            }
            is_wanted
        });
        (!sql.is_empty()).then_some(sql)
    }

    /// Whether the server's reports tell the value of a setting at any time.
    fn is_reported(&self, name: &str) -> bool {
        is_followed(name) && self.reported.contains_key(name)
    }

    /// The value of a setting, if it is known.
    fn current(&self, name: &str) -> Option<&String> {
        if self.is_reported(name) {
            self.reported.get(name)
        } else {
            self.applied.get(name)?.as_ref()
        }
    }
}

/// A value in the form in which servers report it, for settings of which drivers write it in other forms.
fn canonical_value(name: &str, value: &str) -> String {
    let unquoted = value.trim_matches('\'').to_ascii_lowercase();
    match (name, unquoted.as_str()) {
        ("client_encoding", "utf8" | "utf-8" | "unicode") => "UTF8".to_owned(),
        ("client_encoding", other) => other.to_ascii_uppercase(),
        ("datestyle", "iso") => "ISO, MDY".to_owned(),
        _ => value.to_owned(),
    }
}

/// Appends a statement that sets a setting. `set_config` reads a list like `search_path` from one string, where SET would
/// take it for one name.
fn push_set(sql: &mut String, name: &str, value: &str) {
    let escape = if value.contains('\\') { "E" } else { "" };
    let value = value.replace('\'', "''").replace('\\', "\\\\");
    // Writing to a String never fails.
    let _ = write!(
        sql,
        "SELECT pg_catalog.set_config('{name}',{escape}'{value}',false);"
    );
}

fn push_reset(sql: &mut String, name: &str) {
    // Writing to a String never fails.
    let _ = write!(sql, "RESET {};", quoted(name));
}

/// A setting's name as SQL. It holds letters, digits, underscores and points only; each part is quoted by itself.
fn quoted(name: &str) -> String {
    name.split('.')
        .map(|part| format!("\"{part}\""))
        .collect::<Vec<_>>()
        .join(".")
}

#[cfg(test)]
mod tests;
