//! The settings of a session: start-up parameters, SET, RESET and SHOW.

use std::collections::BTreeMap;

use sqlparser::ast::{ContextModifier, Expr, Ident, Set, TransactionAccessMode, TransactionMode};

use super::Session;
use crate::database::error::SqlError;
use crate::database::expression::unsupported;
use crate::database::result::{ResultColumn, StatementResult};
use crate::database::settings::Setting;
use crate::database::value::{Type, Value};

impl Session {
    /// Applies the client's start-up parameters. The resulting settings are those that RESET restores.
    pub(crate) fn apply_startup_parameters(
        &mut self,
        parameters: &BTreeMap<String, String>,
    ) -> Result<(), SqlError> {
        self.user = parameters.get("user").cloned().unwrap_or_default();
        let database = parameters.get("database").unwrap_or(&self.user);
        self.database = database.clone();
        self.set("session_authorization", &self.user)?;
        for (name, value) in parameters {
            match name.as_str() {
                "user" | "database" => {}
                "options" => self.apply_options(value)?,
                name if name.starts_with("_pq_.") => {}
                name => self.set(name, value)?,
            }
        }
        self.startup_settings = self.settings.borrow().clone();
        Ok(())
    }

    /// Applies the start-up parameter `options`, which sets settings by `-c name=value`.
    fn apply_options(&self, options: &str) -> Result<(), SqlError> {
        let options = options.split("-c").map(str::trim);
        for option in options.filter(|option| !option.is_empty()) {
            let (name, value) = option.split_once('=').unwrap_or((option, ""));
            self.set(name, &value.replace("\\ ", " "))?;
        }
        Ok(())
    }

    /// The reported settings whose values differ from those last reported to the client. They are then considered
    /// reported.
    pub(crate) fn take_changed_settings(&mut self) -> Vec<Setting> {
        let mut changed = self.settings.borrow().reported();
        changed.retain(|setting| self.reported_settings.get(&setting.name) != Some(&setting.value));
        for setting in &changed {
            self.reported_settings
                .insert(setting.name.clone(), setting.value.clone());
        }
        changed
    }

    pub(super) fn setting(&self, name: &str) -> Result<String, SqlError> {
        self.settings.borrow().value(name)
    }

    pub(super) fn set(&self, name: &str, value: &str) -> Result<(), SqlError> {
        self.settings.borrow_mut().set(name, value)
    }

    /// Saves the value of a setting, to be restored when the transaction ends.
    pub(super) fn save_until_transaction_end(&self, name: &str) {
        let value = self.setting(name).unwrap_or_default();
        self.settings_to_restore_at_commit
            .borrow_mut()
            .push(Setting {
                name: name.to_owned(),
                value,
            });
    }

    pub(super) fn reset_all(&self) {
        self.settings.replace(self.startup_settings.clone());
    }

    pub(super) fn show(&self, variable: &[Ident]) -> Result<StatementResult, SqlError> {
        let identifiers: Vec<&str> = variable.iter().map(|ident| ident.value.as_str()).collect();
        let name = match identifiers[..] {
            ["TRANSACTION" | "transaction", "ISOLATION" | "isolation", ..] => {
                "transaction_isolation".to_owned()
            }
            ["TIME" | "time", "ZONE" | "zone"] => "TimeZone".to_owned(),
            _ => identifiers.join("."),
        };
        let value = self.setting(&name)?;
        let canonical_name = self.settings.borrow().canonical_name(&name);
        Ok(StatementResult {
            columns: vec![ResultColumn::new(canonical_name, Type::TEXT)],
            rows: vec![vec![Value::Text(value)]],
            command_tag: "SHOW",
            ..StatementResult::default()
        })
    }

    /// SET and RESET.
    pub(super) fn set_statement(&mut self, set: &Set) -> Result<StatementResult, SqlError> {
        self.begin_if_needed();
        match set {
            Set::SingleAssignment {
                scope,
                variable,
                values,
                ..
            } => {
                let name = variable.to_string().replace('"', "");
                let is_local = matches!(scope, Some(ContextModifier::Local));
                return self.assign_setting(&name, values, is_local);
            }
            Set::SetTimeZone { value, .. } => self.set("TimeZone", &unquoted(value))?,
            Set::SetNames { charset_name, .. } => {
                self.set("client_encoding", &charset_name.value)?;
            }
            Set::SetTransaction {
                modes,
                session: false,
                ..
            } => self.set_transaction_modes(modes),
            Set::SetTransaction {
                modes,
                session: true,
                ..
            } => self.set_session_characteristics(modes)?,
            Set::SetRole { .. } | Set::SetSessionParam(_) => {}
            other => return Err(unsupported(other)),
        }
        Ok(StatementResult::command("SET"))
    }

    /// SET of one setting. The value DEFAULT resets the setting, or all settings for the name ALL.
    fn assign_setting(
        &self,
        name: &str,
        values: &[Expr],
        is_local: bool,
    ) -> Result<StatementResult, SqlError> {
        let texts: Vec<String> = values.iter().map(unquoted).collect();
        if let [text] = &texts[..]
            && text.eq_ignore_ascii_case("default")
        {
            if name.eq_ignore_ascii_case("all") {
                self.reset_all();
            } else {
                self.settings
                    .borrow_mut()
                    .reset(name, &self.startup_settings);
            }
            return Ok(StatementResult::command("RESET"));
        }
        if is_local {
            self.save_until_transaction_end(name);
        }
        self.set(name, &texts.join(", "))?;
        Ok(StatementResult::command("SET"))
    }

    /// SET SESSION CHARACTERISTICS AS TRANSACTION.
    fn set_session_characteristics(&self, modes: &[TransactionMode]) -> Result<(), SqlError> {
        let read_only = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
        let value = if modes.contains(&read_only) {
            "on"
        } else {
            "off"
        };
        self.set("default_transaction_read_only", value)
    }
}

/// The text of a setting's value without surrounding quotes.
fn unquoted(expr: &Expr) -> String {
    expr.to_string().trim_matches('\'').replace("''", "'")
}
