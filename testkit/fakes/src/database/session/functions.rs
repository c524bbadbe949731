//! SQL functions, and table name resolution by the search path.

use std::time::{Duration, Instant, SystemTime};

use super::Session;
use crate::database::context::ExecutionContext;
use crate::database::error::{SqlError, SqlState};
use crate::database::storage::Store;
use crate::database::sync::lock;
use crate::database::value::{Type, Value};

/// Longer `pg_sleep` calls are shortened to this.
const MAX_SLEEP_SECONDS: f64 = 600.0;

/// Larger counts of `repeat` are reduced to this.
const MAX_REPEAT_COUNT: f64 = 1e7;

/// The time from the Unix epoch to 2000-01-01, the epoch of PostgreSQL timestamps.
const POSTGRES_EPOCH_UNIX_MICROSECONDS: i64 = 946_684_800_000_000;

/// The schema whose tables are stored without a schema prefix.
const PUBLIC_SCHEMA: &str = "public";

impl ExecutionContext for Session {
    fn call(&self, name: &str, arguments: &[Value]) -> Result<Value, SqlError> {
        if let Some(result) = self.call_advisory_lock_function(name, arguments)? {
            return Ok(result);
        }
        if let Some(result) = self.call_session_function(name, arguments)? {
            return Ok(result);
        }
        if let Some(result) = call_pure_function(name, arguments) {
            return Ok(result);
        }
        Err(SqlError::new(
            SqlState::UNDEFINED_FUNCTION,
            format!("function {name}() does not exist"),
        ))
    }

    fn resolve_table(&self, store: &Store, name: &str) -> Result<String, SqlError> {
        let name = name.replace('"', "");
        let bare_name = name.strip_prefix("public.").unwrap_or(&name);
        let temporary_name = format!("{}{bare_name}", self.temporary_table_prefix());
        if store.has_table(&temporary_name) {
            return Ok(temporary_name);
        }
        if name.contains('.') {
            store.table(bare_name)?;
            return Ok(bare_name.to_owned());
        }
        self.search_path()
            .iter()
            .map(|schema| stored_name(schema, &name))
            .find(|candidate| store.has_table(candidate))
            .ok_or_else(|| SqlError::undefined_table(&name))
    }

    fn new_table_name(&self, name: &str, temporary: bool) -> String {
        let name = name.replace('"', "");
        if temporary {
            return format!("{}{name}", self.temporary_table_prefix());
        }
        if name.contains('.') {
            return name.strip_prefix("public.").unwrap_or(&name).to_owned();
        }
        match self.search_path().first() {
            Some(schema) => stored_name(schema, &name),
            None => name,
        }
    }

    fn canonical_setting_name(&self, name: &str) -> String {
        self.settings.borrow().canonical_name(name)
    }
}

impl Session {
    /// The schemas that unqualified table names are looked up in. `$user` is left out.
    fn search_path(&self) -> Vec<String> {
        let path = self.setting("search_path").unwrap_or_default();
        path.split(',')
            .map(|schema| schema.trim().trim_matches('"').to_owned())
            .filter(|schema| !schema.is_empty() && schema != "$user")
            .collect()
    }

    /// Calls an advisory lock function; `None` if `name` is no such function.
    fn call_advisory_lock_function(
        &self,
        name: &str,
        arguments: &[Value],
    ) -> Result<Option<Value>, SqlError> {
        if !name.contains("advisory") {
            return Ok(None);
        }
        let key = arguments.iter().map(text).collect::<Vec<_>>().join(",");
        let try_acquire =
            || lock(&self.server.advisory_locks).try_acquire(&key, self.connection_id);
        let result = match name {
            "pg_advisory_lock" | "pg_advisory_xact_lock" | "pg_advisory_lock_shared" => {
                self.wait_while(|| !try_acquire())?;
                void()
            }
            "pg_try_advisory_lock" | "pg_try_advisory_xact_lock" => Value::Bool(try_acquire()),
            "pg_advisory_unlock" => {
                Value::Bool(lock(&self.server.advisory_locks).release(&key, self.connection_id))
            }
            "pg_advisory_unlock_all" => {
                lock(&self.server.advisory_locks).release_all(self.connection_id);
                void()
            }
            _ => return Ok(None),
        };
        Ok(Some(result))
    }

    /// Calls a function of the session, its settings or the clock; `None` if `name` is no such function.
    fn call_session_function(
        &self,
        name: &str,
        arguments: &[Value],
    ) -> Result<Option<Value>, SqlError> {
        let result = match name {
            "pg_sleep" => self.sleep(number(arguments.first()).unwrap_or(0.0))?,
            "set_config" => {
                let setting_name = text(&arguments[0]);
                let value = arguments.get(1).map(text).unwrap_or_default();
                self.set(&setting_name, &value)?;
                Value::Text(self.setting(&setting_name)?)
            }
            "current_setting" => match (self.setting(&text(&arguments[0])), arguments.get(1)) {
                (Err(_), Some(Value::Bool(true))) => Value::Null,
                (value, _) => Value::Text(value?),
            },
            "pg_is_in_recovery" => Value::Bool(self.setting("in_hot_standby")? == "on"),
            "pg_backend_pid" => Value::Int(self.connection_id.0 as i64 & 0x7fff_ffff),
            "version" => Value::Text(format!(
                "PostgreSQL {} (a stand-in)",
                self.setting("server_version")?
            )),
            "current_database" | "current_catalog" => Value::Text(self.database.clone()),
            "current_user" | "session_user" | "user" => Value::Text(self.user.clone()),
            "current_schema" => {
                Value::Text(self.search_path().first().cloned().unwrap_or_default())
            }
            "now" | "current_timestamp" | "statement_timestamp" | "clock_timestamp" => now(),
            "current_date" => now().cast(Type::DATE)?,
            "gen_random_uuid" => self.generate_uuid(),
            "txid_current" => {
                let transaction = self.transaction.as_ref();
                Value::Int(transaction.map_or(0, |transaction| transaction.id.0 as i64))
            }
            _ => return Ok(None),
        };
        Ok(Some(result))
    }

    /// `pg_sleep`. The time is counted from the start of the statement, not from the call.
    fn sleep(&self, seconds: f64) -> Result<Value, SqlError> {
        let duration = Duration::from_secs_f64(seconds.clamp(0.0, MAX_SLEEP_SECONDS));
        let until = self.statement_started + duration;
        self.wait_while(|| Instant::now() < until)?;
        Ok(void())
    }

    /// A unique UUID made of the current time in nanoseconds and the connection's number.
    fn generate_uuid(&self) -> Value {
        let unique = time_since_unix_epoch().as_nanos() ^ (u128::from(self.connection_id.0) << 96);
        Value::Uuid(unique.to_be_bytes())
    }
}

/// Calls a function whose result depends on its arguments only; `None` if `name` is no such function.
fn call_pure_function(name: &str, arguments: &[Value]) -> Option<Value> {
    let result = match name {
        "random" => Value::Float(0.5),
        "length" | "char_length" => Value::Int(text(&arguments[0]).chars().count() as i64),
        "octet_length" => match &arguments[0] {
            Value::Bytes(bytes) => Value::Int(bytes.len() as i64),
            other => Value::Int(text(other).len() as i64),
        },
        "upper" => Value::Text(text(&arguments[0]).to_uppercase()),
        "lower" => Value::Text(text(&arguments[0]).to_lowercase()),
        "repeat" => repeat(&arguments[0], arguments.get(1)),
        "concat" => Value::Text(arguments.iter().map(text).collect()),
        "abs" => match arguments.first() {
            Some(Value::Int(integer)) => Value::Int(integer.abs()),
            Some(Value::Float(float)) => Value::Float(float.abs()),
            other => other.cloned().unwrap_or(Value::Null),
        },
        "coalesce" => {
            let first = arguments.iter().find(|value| **value != Value::Null);
            first.cloned().unwrap_or(Value::Null)
        }
        "array_length" => match arguments.first() {
            Some(Value::Array(elements)) => Value::Int(elements.len() as i64),
            _ => Value::Null,
        },
        _ => return None,
    };
    Some(result)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the count is clamped to 0..=MAX_REPEAT_COUNT before the cast"
)]
fn repeat(value: &Value, count: Option<&Value>) -> Value {
    let count = number(count).unwrap_or(0.0).clamp(0.0, MAX_REPEAT_COUNT) as usize;
    Value::Text(text(value).repeat(count))
}

/// The result of a function that returns `void`: an empty text.
fn void() -> Value {
    Value::Text(String::new())
}

fn now() -> Value {
    let unix_microseconds = i64::try_from(time_since_unix_epoch().as_micros()).unwrap_or(0);
    Value::Timestamp(unix_microseconds - POSTGRES_EPOCH_UNIX_MICROSECONDS)
}

fn time_since_unix_epoch() -> Duration {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}

/// The name under which the store keeps a table of a schema.
fn stored_name(schema: &str, table: &str) -> String {
    if schema == PUBLIC_SCHEMA {
        table.to_owned()
    } else {
        format!("{schema}.{table}")
    }
}

fn text(value: &Value) -> String {
    value.text(Type::TEXT)
}

/// Converts an argument to a number; `None` if it is absent or not numeric.
fn number(argument: Option<&Value>) -> Option<f64> {
    match argument? {
        Value::Int(integer) => Some(*integer as f64),
        Value::Float(float) => Some(*float),
        other @ (Value::Numeric(_) | Value::Text(_)) => text(other).parse().ok(),
        _ => None,
    }
}
