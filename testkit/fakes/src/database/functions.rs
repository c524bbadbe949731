//! The functions that a statement may call, and how tables are found by their names.

use std::time::{Duration, Instant, SystemTime};

use super::session::Session;
use super::storage::Store;
use super::surroundings::Surroundings;
use super::value::{Type, Value};
use super::{Refusal, lock};

impl Surroundings for Session {
    fn call(&self, name: &str, args: Vec<Value>) -> Result<Value, Refusal> {
        let number = |at: usize| match args.get(at) {
            Some(Value::Int(number)) => Some(*number as f64),
            Some(Value::Float(number)) => Some(*number),
            Some(other @ (Value::Numeric(_) | Value::Text(_))) => text(other).parse().ok(),
            _ => None,
        };
        let key = || args.iter().map(text).collect::<Vec<_>>().join(",");
        let takes = |waits: bool| -> Result<bool, Refusal> {
            let mine = || -> bool {
                let mut locks = lock(&self.shared.advisory);
                let owner = locks.entry(key()).or_insert((self.number, 0));
                let mine = owner.0 == self.number;
                owner.1 += u32::from(mine);
                mine
            };
            if !waits {
                return Ok(mine());
            }
            self.wait(|| !mine())?;
            Ok(true)
        };
        let releases = || -> bool {
            let mut locks = lock(&self.shared.advisory);
            let Some(owner) = locks.get_mut(&key()).filter(|owner| owner.0 == self.number) else {
                return false;
            };
            owner.1 -= 1;
            if owner.1 == 0 {
                locks.remove(&key());
            }
            true
        };
        Ok(match name {
            "pg_sleep" => {
                let until = self.started
                    + Duration::from_secs_f64(number(0).unwrap_or(0.0).clamp(0.0, 600.0));
                self.wait(|| Instant::now() < until)?;
                Value::Text(String::new())
            }
            "set_config" => {
                let (name, value) = (text(&args[0]), args.get(1).map(text).unwrap_or_default());
                self.set(&name, &value)?;
                Value::Text(self.setting(&name)?)
            }
            "current_setting" => match (self.setting(&text(&args[0])), args.get(1)) {
                (Err(_), Some(Value::Bool(true))) => Value::Null,
                (value, _) => Value::Text(value?),
            },
            "pg_advisory_lock" | "pg_advisory_xact_lock" | "pg_advisory_lock_shared" => {
                takes(true)?;
                Value::Text(String::new())
            }
            "pg_try_advisory_lock" | "pg_try_advisory_xact_lock" => Value::Bool(takes(false)?),
            "pg_advisory_unlock" => Value::Bool(releases()),
            "pg_advisory_unlock_all" => {
                lock(&self.shared.advisory).retain(|_, owner| owner.0 != self.number);
                Value::Text(String::new())
            }
            "pg_is_in_recovery" => Value::Bool(self.setting("in_hot_standby")? == "on"),
            "pg_backend_pid" => Value::Int(self.number as i64 & 0x7fff_ffff),
            "version" => Value::Text(format!(
                "PostgreSQL {} (a stand-in)",
                self.setting("server_version")?
            )),
            "current_database" | "current_catalog" => Value::Text(self.database.clone()),
            "current_user" | "session_user" | "user" => Value::Text(self.user.clone()),
            "current_schema" => Value::Text(self.schemas().first().cloned().unwrap_or_default()),
            "now" | "current_timestamp" | "statement_timestamp" | "clock_timestamp" => {
                let unix = SystemTime::now()
                    .duration_since(SystemTime::UNIX_EPOCH)
                    .unwrap_or_default();
                Value::Timestamp(i64::try_from(unix.as_micros()).unwrap_or(0) - 946_684_800_000_000)
            }
            "current_date" => self.call("now", Vec::new())?.cast(Type::DATE)?,
            "gen_random_uuid" => {
                let unix = SystemTime::now()
                    .duration_since(SystemTime::UNIX_EPOCH)
                    .unwrap_or_default();
                Value::Uuid((unix.as_nanos() ^ (u128::from(self.number) << 96)).to_be_bytes())
            }
            "random" => Value::Float(0.5),
            "length" | "char_length" => Value::Int(text(&args[0]).chars().count() as i64),
            "octet_length" => match &args[0] {
                Value::Bytes(bytes) => Value::Int(bytes.len() as i64),
                other => Value::Int(text(other).len() as i64),
            },
            "upper" => Value::Text(text(&args[0]).to_uppercase()),
            "lower" => Value::Text(text(&args[0]).to_lowercase()),
            "repeat" => {
                let count = number(1).unwrap_or(0.0).clamp(0.0, 1e7) as usize;
                Value::Text(text(&args[0]).repeat(count))
            }
            "concat" => Value::Text(args.iter().map(text).collect()),
            "abs" => match args.into_iter().next() {
                Some(Value::Int(number)) => Value::Int(number.abs()),
                Some(Value::Float(number)) => Value::Float(number.abs()),
                other => other.unwrap_or(Value::Null),
            },
            "coalesce" => args
                .into_iter()
                .find(|value| *value != Value::Null)
                .unwrap_or(Value::Null),
            "txid_current" => {
                Value::Int(self.transaction.as_ref().map_or(0, |open| open.xid as i64))
            }
            "array_length" => match args.first() {
                Some(Value::Array(all)) => Value::Int(all.len() as i64),
                _ => Value::Null,
            },
            other => {
                return Err(Refusal(
                    "42883",
                    format!("function {other}() does not exist"),
                ));
            }
        })
    }

    fn table(&self, store: &Store, name: &str) -> Result<String, Refusal> {
        let name = name.replace('"', "");
        let plain = name.strip_prefix("public.").unwrap_or(&name).to_owned();
        let temporary = format!("{}{plain}", self.mark());
        if store.has(&temporary) {
            return Ok(temporary);
        }
        if name.contains('.') {
            store.table(&plain)?;
            return Ok(plain);
        }
        let place = |schema: &String| {
            if schema == "public" {
                name.clone()
            } else {
                format!("{schema}.{name}")
            }
        };
        let found = self
            .schemas()
            .iter()
            .map(place)
            .find(|place| store.has(place));
        found.ok_or_else(|| Refusal("42P01", format!("relation \"{name}\" does not exist")))
    }

    fn new_table(&self, name: &str, temporary: bool) -> String {
        let name = name.replace('"', "");
        match (
            temporary,
            name.contains('.'),
            self.schemas().first().map(String::as_str),
        ) {
            (true, ..) => format!("{}{name}", self.mark()),
            (false, true, _) => name.strip_prefix("public.").unwrap_or(&name).to_owned(),
            (false, false, Some("public") | None) => name,
            (false, false, Some(schema)) => format!("{schema}.{name}"),
        }
    }

    fn setting_name(&self, name: &str) -> String {
        let known = self
            .settings
            .borrow()
            .get(&name.to_ascii_lowercase())
            .map(|(usual, _)| usual.clone());
        known.unwrap_or_else(|| name.to_owned())
    }
}

impl Session {
    /// The schemas that names without one are looked for in.
    pub(super) fn schemas(&self) -> Vec<String> {
        let path = self.setting("search_path").unwrap_or_default();
        let schemas = path
            .split(',')
            .map(|schema| schema.trim().trim_matches('"').to_owned());
        schemas
            .filter(|schema| !schema.is_empty() && schema != "$user")
            .collect()
    }
}

fn text(value: &Value) -> String {
    value.text(Type::TEXT)
}
