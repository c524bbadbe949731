//! Settings that follow a client from one server connection to another: the settings of the client's start-up message,
//! and settings that later statements change and servers report with `ParameterStatus`.
//!
//! Reference: PostgreSQL documentation, "Asynchronous Operations" (which settings are reported), "Start-up" and the
//! `options` parameter of `libpq` (a server's command-line arguments).

use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Lower-case names of settings that servers report, including changes that are reverted by a rollback.
/// `search_path` is only reported since version 18 and therefore not listed: a SET of `search_path` makes the session
/// sticky.
const REPORTED_SETTINGS: [&str; 7] = [
    "application_name",
    "client_encoding",
    "datestyle",
    "default_transaction_read_only",
    "intervalstyle",
    "standard_conforming_strings",
    "timezone",
];
/// Maximum number of settings of one client, which are kept for as long as the client is connected.
const MAX_SETTINGS: usize = 64;
/// Maximum length of a setting's value, in bytes.
const MAX_VALUE_LENGTH: usize = 1024;
/// Parameters of a start-up message that are not settings.
const STARTUP_ONLY_PARAMETERS: [&str; 4] = ["user", "database", "options", "replication"];

/// Whether servers report changes of the setting with this lower-case name, so that the setting can follow its client.
#[must_use]
pub fn is_followed(name: &str) -> bool {
    REPORTED_SETTINGS.contains(&name)
}

/// Why the settings of a start-up message are rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// An argument in `options` does not set a setting.
    #[error("options: unsupported argument {0:?}; supported are -c name=value and --name=value")]
    Option(String),
    /// The name contains characters that are not allowed in a setting's name.
    #[error("invalid setting name {0:?}")]
    Name(String),
    /// There are too many settings, or a value is too long.
    #[error("more than {MAX_SETTINGS} settings, or a value of more than {MAX_VALUE_LENGTH} bytes")]
    TooMany,
}

/// Name and value of a setting.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Setting {
    /// The name in the client's spelling.
    name: String,
    value: String,
}

/// Splits `options` at whitespace; a backslash escapes the next character.
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

/// Returns the settings of a start-up message: first the settings in `options`, then the other parameters.
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

/// The settings that server connections must have for a client.
#[derive(Clone, Debug, Default)]
pub struct ClientSettings {
    /// Current values, by lower-case name.
    values: BTreeMap<String, String>,
    /// Values at the start of the session, which RESET restores.
    initial: BTreeMap<String, String>,
    /// A server has accepted all values.
    accepted_by_server: bool,
}

impl ClientSettings {
    /// Creates the settings of a client from its start-up parameters. `greeting` holds the values that are reported to
    /// the client at the start of the session; they apply to settings that the client has not set.
    ///
    /// # Errors
    /// [`SettingsError`] if a setting is malformed or there are too many settings.
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
                settings.values.insert(name, value.clone());
            }
        }
        for setting in startup_settings(parameters)? {
            settings.add_startup_setting(&setting)?;
        }
        settings
            .values
            .entry("application_name".to_owned())
            .or_default();
        settings.initial = settings.values.clone();
        Ok(settings)
    }

    fn add_startup_setting(&mut self, setting: &Setting) -> Result<(), SettingsError> {
        let name = setting.name.to_ascii_lowercase();
        if !is_setting_name(&name) {
            return Err(SettingsError::Name(name));
        }
        let value = canonical_value(&name, &setting.value);
        if value.len() > MAX_VALUE_LENGTH || self.values.len() >= MAX_SETTINGS {
            return Err(SettingsError::TooMany);
        }
        self.accepted_by_server &=
            name == "application_name" || self.values.get(&name) == Some(&value);
        self.values.insert(name, value);
        Ok(())
    }

    /// Whether a server has accepted all settings. Until then, no other message is sent together with the settings.
    #[must_use]
    pub fn is_accepted_by_server(&self) -> bool {
        self.accepted_by_server
    }

    /// Records that a server has accepted all settings.
    pub fn set_accepted_by_server(&mut self) {
        self.accepted_by_server = true;
    }

    /// Iterates over lower-case names and current values.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.values
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Records a value reported by the client's current server. Returns whether the report must be forwarded to the
    /// client, because the value has changed or the setting is not one of the client's settings.
    pub fn record_report(&mut self, name: &str, value: &str) -> bool {
        let name = name.to_ascii_lowercase();
        match self.values.get_mut(&name) {
            Some(known) if known == value => false,
            Some(known) => {
                value.clone_into(known);
                true
            }
            None => true,
        }
    }

    /// Restores the initial values of the named settings, or of all settings, after the client's statements reset them.
    pub fn reset(&mut self, names: &[String], all: bool) {
        for (name, value) in &self.initial {
            if all || names.contains(name) {
                self.values.insert(name.clone(), value.clone());
            }
        }
    }
}

/// Known values of the settings on one server connection.
#[derive(Clone, Debug, Default)]
pub struct ServerSettings {
    /// Values reported by the server, by lower-case name.
    reported: BTreeMap<String, String>,
    /// Values set by the proxy and not reported by the server, by lower-case name; `None` if the value may have been
    /// reset since.
    applied: BTreeMap<String, Option<String>>,
}

impl ServerSettings {
    /// Records a value reported by the server.
    pub fn record_report(&mut self, name: &str, value: &str) {
        self.reported
            .insert(name.to_ascii_lowercase(), value.to_owned());
    }

    /// Marks unreported values as unknown, because RESET ALL or DISCARD ALL may have run.
    pub fn forget_unreported(&mut self) {
        for value in self.applied.values_mut() {
            *value = None;
        }
    }

    /// Returns the SQL that gives this connection's settings the client's values; `None` if nothing has to change. The
    /// SQL counts as executed: if it fails, the connection must be closed.
    pub fn sql_to_apply(&mut self, client: &ClientSettings) -> Option<String> {
        let mut sql = String::new();
        for (name, value) in &client.values {
            if self.current(name) != Some(value) {
                push_set(&mut sql, name, value);
                if !self.is_reported(name) {
                    self.applied.insert(name.clone(), Some(value.clone()));
                }
            }
        }
        self.applied.retain(|name, _| {
            let is_used = client.values.contains_key(name);
            if !is_used {
                push_reset(&mut sql, name);
            }
            is_used
        });
        (!sql.is_empty()).then_some(sql)
    }

    /// Whether the server keeps the value of a setting in `reported` up to date.
    fn is_reported(&self, name: &str) -> bool {
        is_followed(name) && self.reported.contains_key(name)
    }

    /// The current value of a setting; `None` if unknown.
    fn current(&self, name: &str) -> Option<&String> {
        if self.is_reported(name) {
            self.reported.get(name)
        } else {
            self.applied.get(name)?.as_ref()
        }
    }
}

/// Converts a value to the form in which servers report it, for settings that drivers write in other forms.
fn canonical_value(name: &str, value: &str) -> String {
    let unquoted = value.trim_matches('\'').to_ascii_lowercase();
    match (name, unquoted.as_str()) {
        ("client_encoding", "utf8" | "utf-8" | "unicode") => "UTF8".to_owned(),
        ("client_encoding", other) => other.to_ascii_uppercase(),
        ("datestyle", "iso") => "ISO, MDY".to_owned(),
        _ => value.to_owned(),
    }
}

/// Appends a statement that sets a setting. `set_config` accepts a list, as for `search_path`, in one string; SET would
/// treat the string as one element.
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

/// Quotes each dot-separated part of a setting's name. The name contains only letters, digits, underscores and dots.
fn quoted(name: &str) -> String {
    name.split('.')
        .map(|part| format!("\"{part}\""))
        .collect::<Vec<_>>()
        .join(".")
}

#[cfg(test)]
mod tests;
