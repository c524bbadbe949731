//! The settings of a session.

use std::collections::BTreeMap;

use super::Refusal;
use super::session::Session;
use super::value::{Type, Value};

/// Settings that a server knows: name, value at first, whether changes are reported.
pub(super) const SETTINGS: [(&str, &str, bool); 24] = [
    ("application_name", "", true),
    ("client_encoding", "UTF8", true),
    ("DateStyle", "ISO, MDY", true),
    ("default_transaction_read_only", "off", true),
    ("in_hot_standby", "off", true),
    ("integer_datetimes", "on", true),
    ("IntervalStyle", "postgres", true),
    ("is_superuser", "off", true),
    ("server_encoding", "UTF8", true),
    ("server_version", "16.4", true),
    ("session_authorization", "", true),
    ("standard_conforming_strings", "on", true),
    ("TimeZone", "UTC", true),
    ("search_path", "\"$user\", public", false),
    ("statement_timeout", "0", false),
    ("lock_timeout", "0", false),
    ("idle_in_transaction_session_timeout", "0", false),
    ("work_mem", "4MB", false),
    ("extra_float_digits", "1", false),
    ("transaction_isolation", "read committed", false),
    ("transaction_read_only", "off", false),
    ("max_identifier_length", "63", false),
    ("synchronous_commit", "on", false),
    ("jit", "on", false),
];

pub(super) type Settings = BTreeMap<String, (String, String)>;

impl Session {
    /// Takes a client's start-up parameters.
    pub(super) fn start(&mut self, parameters: &BTreeMap<String, String>) -> Result<(), Refusal> {
        self.user = parameters.get("user").cloned().unwrap_or_default();
        self.database = parameters
            .get("database")
            .cloned()
            .unwrap_or_else(|| self.user.clone());
        self.set("session_authorization", &self.user.clone())?;
        for (name, value) in parameters {
            match name.as_str() {
                "user" | "database" => {}
                "options" => {
                    for option in value
                        .split("-c")
                        .map(str::trim)
                        .filter(|option| !option.is_empty())
                    {
                        let (name, value) = option.split_once('=').unwrap_or((option, ""));
                        self.set(name, &value.replace("\\ ", " "))?;
                    }
                }
                name if name.starts_with("_pq_.") => {}
                name => self.set(name, value)?,
            }
        }
        self.at_start = self.settings.borrow().clone();
        Ok(())
    }

    /// The settings whose reports are due, by name and value.
    pub(super) fn reports(&mut self) -> Vec<(String, String)> {
        let mut due = Vec::new();
        for (name, _, reported) in SETTINGS {
            let settings = self.settings.borrow();
            let Some((_, value)) = settings
                .get(&name.to_ascii_lowercase())
                .filter(|_| reported)
            else {
                continue;
            };
            if self.told.get(name) != Some(value) {
                due.push((name.to_owned(), value.clone()));
            }
        }
        self.told.extend(due.iter().cloned());
        due
    }

    pub(super) fn setting(&self, name: &str) -> Result<String, Refusal> {
        let missing = || {
            Refusal(
                "42704",
                format!("unrecognized configuration parameter \"{name}\""),
            )
        };
        self.settings
            .borrow()
            .get(&name.to_ascii_lowercase())
            .map(|(_, value)| value.clone())
            .ok_or_else(missing)
    }

    /// Sets a setting, as a server takes it.
    pub(super) fn set(&self, name: &str, value: &str) -> Result<(), Refusal> {
        let key = name.to_ascii_lowercase();
        let usual = self
            .settings
            .borrow()
            .get(&key)
            .map(|(usual, _)| usual.clone());
        let Some(usual) = usual.or_else(|| key.contains('.').then(|| name.to_owned())) else {
            return Err(Refusal(
                "42704",
                format!("unrecognized configuration parameter \"{name}\""),
            ));
        };
        let wrong = || {
            Refusal(
                "22023",
                format!("invalid value for parameter \"{usual}\": \"{value}\""),
            )
        };
        let value = match usual.as_str() {
            "client_encoding" => {
                match value
                    .trim_matches('\'')
                    .to_ascii_uppercase()
                    .replace('-', "")
                    .as_str()
                {
                    "UTF8" | "UNICODE" => "UTF8".to_owned(),
                    "SQL_ASCII" => "SQL_ASCII".to_owned(),
                    "LATIN1" => "LATIN1".to_owned(),
                    _ => return Err(wrong()),
                }
            }
            "DateStyle" => {
                let mut parts = value
                    .split(',')
                    .map(|part| part.trim().to_ascii_uppercase());
                let order = parts
                    .clone()
                    .find(|part| matches!(part.as_str(), "MDY" | "DMY" | "YMD"));
                let style = match parts
                    .find(|part| !matches!(part.as_str(), "MDY" | "DMY" | "YMD"))
                    .as_deref()
                {
                    Some("ISO") | None => "ISO",
                    Some("SQL") => "SQL",
                    Some("GERMAN") => "German",
                    Some("POSTGRES") => "Postgres",
                    Some(_) => return Err(wrong()),
                };
                format!("{style}, {}", order.unwrap_or_else(|| "MDY".to_owned()))
            }
            "statement_timeout" | "lock_timeout" | "idle_in_transaction_session_timeout" => {
                let number = value.trim_end_matches("ms").trim();
                match number
                    .strip_suffix('s')
                    .unwrap_or(number)
                    .trim()
                    .parse::<u64>()
                {
                    Ok(count) if number.ends_with('s') => (count * 1000).to_string(),
                    Ok(count) => count.to_string(),
                    Err(_) => return Err(wrong()),
                }
            }
            "extra_float_digits" => value.parse::<i32>().map_err(|_| wrong())?.to_string(),
            "default_transaction_read_only"
            | "standard_conforming_strings"
            | "transaction_read_only"
            | "jit" => match Value::read_text(Type::BOOL, value) {
                Ok(Value::Bool(truth)) => if truth { "on" } else { "off" }.to_owned(),
                _ => return Err(wrong()),
            },
            "server_version" | "server_encoding" | "integer_datetimes" | "in_hot_standby"
            | "is_superuser" => {
                return Err(Refusal(
                    "55P02",
                    format!("parameter \"{usual}\" cannot be changed"),
                ));
            }
            _ => value.to_owned(),
        };
        self.settings.borrow_mut().insert(key, (usual, value));
        Ok(())
    }

    pub(super) fn set_to_default(&self, name: &str) {
        let key = name.to_ascii_lowercase();
        let mut settings = self.settings.borrow_mut();
        match self.at_start.get(&key) {
            Some(first) => drop(settings.insert(key, first.clone())),
            None => drop(settings.remove(&key)),
        }
    }
}
