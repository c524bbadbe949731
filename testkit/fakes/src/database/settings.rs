//! Configuration parameters (settings) of a session: names, initial values and accepted values.

use std::collections::BTreeMap;

use super::error::{SqlError, SqlState};
use super::value::{Type, Value};

/// A setting that the server supports.
struct SettingDefinition {
    /// The name in PostgreSQL's spelling.
    name: &'static str,
    initial_value: &'static str,
    /// Whether the value is reported to the client in `ParameterStatus`.
    is_reported: bool,
}

const fn reported(name: &'static str, initial_value: &'static str) -> SettingDefinition {
    SettingDefinition {
        name,
        initial_value,
        is_reported: true,
    }
}

const fn unreported(name: &'static str, initial_value: &'static str) -> SettingDefinition {
    SettingDefinition {
        name,
        initial_value,
        is_reported: false,
    }
}

/// The supported settings, in the order of `ParameterStatus` messages.
const DEFINITIONS: [SettingDefinition; 24] = [
    reported("application_name", ""),
    reported("client_encoding", "UTF8"),
    reported("DateStyle", "ISO, MDY"),
    reported("default_transaction_read_only", "off"),
    reported("in_hot_standby", "off"),
    reported("integer_datetimes", "on"),
    reported("IntervalStyle", "postgres"),
    reported("is_superuser", "off"),
    reported("server_encoding", "UTF8"),
    reported("server_version", "16.4"),
    reported("session_authorization", ""),
    reported("standard_conforming_strings", "on"),
    reported("TimeZone", "UTC"),
    unreported("search_path", "\"$user\", public"),
    unreported("statement_timeout", "0"),
    unreported("lock_timeout", "0"),
    unreported("idle_in_transaction_session_timeout", "0"),
    unreported("work_mem", "4MB"),
    unreported("extra_float_digits", "1"),
    unreported("transaction_isolation", "read committed"),
    unreported("transaction_read_only", "off"),
    unreported("max_identifier_length", "63"),
    unreported("synchronous_commit", "on"),
    unreported("jit", "on"),
];

/// The name and value of a setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Setting {
    /// The name in PostgreSQL's spelling.
    pub(super) name: String,
    pub(super) value: String,
}

/// All settings of a session.
#[derive(Clone, Debug)]
pub(super) struct Settings {
    /// By lower-case name.
    by_key: BTreeMap<String, Setting>,
}

impl Settings {
    /// The initial settings on a server of this version.
    pub(super) fn new(server_version: &str) -> Self {
        let mut by_key = BTreeMap::new();
        for definition in DEFINITIONS {
            let value = if definition.name == "server_version" {
                server_version
            } else {
                definition.initial_value
            };
            let setting = Setting {
                name: definition.name.to_owned(),
                value: value.to_owned(),
            };
            by_key.insert(key(definition.name), setting);
        }
        Self { by_key }
    }

    pub(super) fn value(&self, name: &str) -> Result<String, SqlError> {
        self.by_key
            .get(&key(name))
            .map(|setting| setting.value.clone())
            .ok_or_else(|| SqlError::unrecognized_setting(name))
    }

    /// The name of a setting in PostgreSQL's spelling; an unknown name is returned unchanged.
    pub(super) fn canonical_name(&self, name: &str) -> String {
        let known = self.by_key.get(&key(name));
        known.map_or_else(|| name.to_owned(), |setting| setting.name.clone())
    }

    /// Checks, normalizes and stores a value. An unknown name that contains a dot creates a custom setting.
    pub(super) fn set(&mut self, name: &str, value: &str) -> Result<(), SqlError> {
        let is_known = self.by_key.contains_key(&key(name));
        if !is_known && !name.contains('.') {
            return Err(SqlError::unrecognized_setting(name));
        }
        let canonical_name = self.canonical_name(name);
        let setting = Setting {
            value: normalize(&canonical_name, value)?,
            name: canonical_name,
        };
        self.by_key.insert(key(name), setting);
        Ok(())
    }

    /// Resets a setting to its value in `defaults`; a setting absent from `defaults` is removed.
    pub(super) fn reset(&mut self, name: &str, defaults: &Self) {
        match defaults.by_key.get(&key(name)) {
            Some(default) => {
                self.by_key.insert(key(name), default.clone());
            }
            None => {
                self.by_key.remove(&key(name));
            }
        }
    }

    /// Restores an earlier value of a setting without checking the value again.
    pub(super) fn restore(&mut self, name: &str, value: String) {
        if let Some(setting) = self.by_key.get_mut(&key(name)) {
            setting.value = value;
        }
    }

    /// The settings that are reported to clients, in the order of `ParameterStatus` messages.
    pub(super) fn reported(&self) -> Vec<Setting> {
        DEFINITIONS
            .iter()
            .filter(|definition| definition.is_reported)
            .filter_map(|definition| self.by_key.get(&key(definition.name)))
            .cloned()
            .collect()
    }
}

/// The map key of a setting. Setting names are case-insensitive.
fn key(name: &str) -> String {
    name.to_ascii_lowercase()
}

/// Normalizes a value for a setting. Fails if the setting does not accept the value or cannot be changed.
fn normalize(name: &str, value: &str) -> Result<String, SqlError> {
    let normalized = match name {
        "client_encoding" => normalize_encoding(value),
        "DateStyle" => normalize_date_style(value),
        "statement_timeout" | "lock_timeout" | "idle_in_transaction_session_timeout" => {
            normalize_timeout(value)
        }
        "extra_float_digits" => value.parse::<i32>().ok().map(|digits| digits.to_string()),
        "default_transaction_read_only"
        | "standard_conforming_strings"
        | "transaction_read_only"
        | "jit" => normalize_boolean(value),
        "server_version" | "server_encoding" | "integer_datetimes" | "in_hot_standby"
        | "is_superuser" => {
            return Err(SqlError::new(
                SqlState::CANT_CHANGE_RUNTIME_PARAM,
                format!("parameter \"{name}\" cannot be changed"),
            ));
        }
        _ => Some(value.to_owned()),
    };
    normalized.ok_or_else(|| {
        SqlError::new(
            SqlState::INVALID_PARAMETER_VALUE,
            format!("invalid value for parameter \"{name}\": \"{value}\""),
        )
    })
}

fn normalize_encoding(value: &str) -> Option<String> {
    let unquoted = value.trim_matches('\'').to_ascii_uppercase();
    let encoding = match unquoted.replace('-', "").as_str() {
        "UTF8" | "UNICODE" => "UTF8",
        "SQL_ASCII" => "SQL_ASCII",
        "LATIN1" => "LATIN1",
        _ => return None,
    };
    Some(encoding.to_owned())
}

/// Normalizes a date style: an output format, a field order, or both, separated by a comma.
fn normalize_date_style(value: &str) -> Option<String> {
    let parameters: Vec<String> = value
        .split(',')
        .map(|parameter| parameter.trim().to_ascii_uppercase())
        .collect();
    let is_field_order = |parameter: &&String| matches!(parameter.as_str(), "MDY" | "DMY" | "YMD");
    let field_order = parameters
        .iter()
        .find(is_field_order)
        .map_or("MDY", String::as_str);
    let format = parameters
        .iter()
        .find(|parameter| !is_field_order(parameter));
    let format = match format.map(String::as_str) {
        Some("ISO") | None => "ISO",
        Some("SQL") => "SQL",
        Some("GERMAN") => "German",
        Some("POSTGRES") => "Postgres",
        Some(_) => return None,
    };
    Some(format!("{format}, {field_order}"))
}

/// Normalizes a timeout to milliseconds. Accepts a plain number (milliseconds), or one with the unit `ms` or `s`.
fn normalize_timeout(value: &str) -> Option<String> {
    let number = value.trim_end_matches("ms").trim();
    let (digits, milliseconds_per_unit) = match number.strip_suffix('s') {
        Some(seconds) => (seconds, 1000),
        None => (number, 1),
    };
    let count: u64 = digits.trim().parse().ok()?;
    Some((count * milliseconds_per_unit).to_string())
}

fn normalize_boolean(value: &str) -> Option<String> {
    match Value::read_text(Type::BOOL, value) {
        Ok(Value::Bool(true)) => Some("on".to_owned()),
        Ok(Value::Bool(false)) => Some("off".to_owned()),
        _ => None,
    }
}
