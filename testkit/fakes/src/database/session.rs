//! One connection's session at a stand-in database: its settings, its transaction, prepared statements and portals.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use sqlparser::ast::Statement;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer};

use super::catalogue::{self, Question};
use super::describe::describe;
use super::query::{Outcome, Run};
use super::storage::{Stop, Store, Transaction};
use super::value::{Type, Value};
use super::{Refusal, Shared, lock};

/// How often a wait looks whether it is cancelled.
const LOOK: Duration = Duration::from_millis(2);

/// What a statement needs to know of its session.
pub(super) trait Surroundings {
    /// The value of a function.
    fn call(&self, name: &str, args: Vec<Value>) -> Result<Value, Refusal>;
    /// The name under which a table stands.
    fn table(&self, store: &Store, name: &str) -> Result<String, Refusal>;
    /// The name under which a new one will.
    fn new_table(&self, name: &str, temporary: bool) -> String;
    /// A setting's name as it is usually written.
    fn setting_name(&self, name: &str) -> String;
}

/// Settings that a server knows: name, value at first, whether changes are reported.
const SETTINGS: [(&str, &str, bool); 24] = [
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

/// A cursor or portal: what is left of a result.
#[derive(Clone)]
pub(super) struct Portal {
    pub(super) statement: Arc<Prepared>,
    pub(super) values: Vec<Value>,
    pub(super) formats: Vec<u16>,
    /// Run, and these rows not fetched yet.
    pub(super) left: Option<(Outcome, VecDeque<Vec<Value>>)>,
    /// Rows that were fetched.
    pub(super) fetched: u64,
    /// Run to its end, and no query: it can't be run again.
    pub(super) done: bool,
}

/// A statement that is prepared.
#[derive(Debug)]
pub(super) struct Prepared {
    pub(super) sql: String,
    pub(super) statement: Option<Statement>,
    pub(super) parameters: Vec<Type>,
    pub(super) columns: Vec<(String, Type)>,
}

/// A connection's session.
pub(super) struct Session {
    pub(super) shared: Arc<Shared>,
    pub(super) number: u64,
    pub(super) cancelled: Arc<AtomicBool>,
    pub(super) user: String,
    pub(super) database: String,
    /// By name in small letters: the usual name and the value.
    pub(super) settings: RefCell<Settings>,
    pub(super) at_start: Settings,
    /// Settings as they were when the transaction began, and those of it alone.
    pub(super) before: Option<Settings>,
    pub(super) local: RefCell<Vec<(String, String)>>,
    pub(super) told: BTreeMap<String, String>,
    pub(super) transaction: Option<Transaction>,
    /// It was begun by BEGIN.
    pub(super) block: bool,
    pub(super) failed: bool,
    pub(super) read_only: bool,
    pub(super) prepared: BTreeMap<String, Arc<Prepared>>,
    pub(super) portals: BTreeMap<String, Portal>,
    /// Portals that outlive their transaction.
    pub(super) held: BTreeMap<String, Portal>,
    pub(super) listens: Vec<String>,
    pub(super) started: Instant,
}

fn failed_transaction() -> Refusal {
    let what = "current transaction is aborted, commands ignored until end of transaction block";
    Refusal("25P02", what.to_owned())
}

/// The last statement of a text, if it has any.
pub(super) fn one(sql: &str) -> Result<Option<Statement>, Refusal> {
    let mut all = all(sql)?;
    if all.len() > 1 {
        return Err(Refusal(
            "42601",
            "cannot insert multiple commands into a prepared statement".to_owned(),
        ));
    }
    Ok(all.pop())
}

/// All statements of a text.
pub(super) fn all(sql: &str) -> Result<Vec<Statement>, Refusal> {
    // The parser knows no RESET, no CLOSE ALL and no UNLISTEN *: they are read here, as settings and nothing.
    let plain = sql.trim().trim_end_matches(';').trim();
    let upper = plain.to_ascii_uppercase();
    if let Some(name) = upper.strip_prefix("RESET ") {
        let sql = if name.trim() == "ALL" {
            "SET all TO DEFAULT".to_owned()
        } else {
            format!("SET {} TO DEFAULT", &plain[6..])
        };
        return parse(&sql);
    }
    if ["RESET ", "CLOSE ALL", "UNLISTEN *"]
        .iter()
        .any(|word| upper.contains(word))
    {
        let parts = split(sql);
        if parts.len() > 1 {
            let parts = parts.iter().map(|part| all(part));
            return Ok(parts
                .collect::<Result<Vec<_>, _>>()?
                .into_iter()
                .flatten()
                .collect());
        }
    }
    match upper.as_str() {
        "CLOSE ALL" => parse("CLOSE ALL"),
        "UNLISTEN *" => parse("UNLISTEN *"),
        "DISCARD ALL" => parse("DISCARD ALL"),
        _ => parse(sql),
    }
}

/// A text's statements, each with its own text.
fn split(sql: &str) -> Vec<String> {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize() else {
        return vec![sql.to_owned()];
    };
    let parts = tokens.split(|token| *token == Token::SemiColon);
    let parts = parts.map(|part| part.iter().map(ToString::to_string).collect::<String>());
    parts.filter(|part| !part.trim().is_empty()).collect()
}

fn parse(sql: &str) -> Result<Vec<Statement>, Refusal> {
    // The parser wants COPY to end so: data could stand behind it.
    let copies = sql
        .trim_start()
        .get(..4)
        .is_some_and(|word| word.eq_ignore_ascii_case("copy"));
    let ended = if copies && !sql.contains(';') {
        format!("{sql};")
    } else {
        sql.to_owned()
    };
    Parser::parse_sql(&PostgreSqlDialect {}, &ended)
        .map_err(|error| Refusal("42601", error.to_string()))
}

impl Session {
    pub(super) fn new(shared: Arc<Shared>, number: u64) -> Self {
        let version = lock(&shared.version).clone();
        let setting = |(name, value, _): &(&str, &str, bool)| {
            let value = if *name == "server_version" {
                version.as_str()
            } else {
                *value
            };
            (
                name.to_ascii_lowercase(),
                ((*name).to_owned(), value.to_owned()),
            )
        };
        let settings: Settings = SETTINGS.iter().map(setting).collect();
        Self {
            shared,
            number,
            cancelled: Arc::default(),
            user: String::new(),
            database: String::new(),
            at_start: settings.clone(),
            settings: RefCell::new(settings),
            before: None,
            local: RefCell::default(),
            told: BTreeMap::new(),
            transaction: None,
            block: false,
            failed: false,
            read_only: false,
            prepared: BTreeMap::new(),
            portals: BTreeMap::new(),
            held: BTreeMap::new(),
            listens: Vec::new(),
            started: Instant::now(),
        }
    }

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

    pub(super) fn mark(&self) -> String {
        format!("pg_temp_{}.", self.number)
    }

    /// Opens a transaction for a statement that stands in none.
    pub(super) fn open(&mut self) {
        if self.transaction.is_none() {
            self.shared.begun.fetch_add(1, Ordering::SeqCst);
            self.before = Some(self.settings.borrow().clone());
            self.transaction = Some(lock(&self.shared.store).begin());
            self.read_only = self
                .setting("default_transaction_read_only")
                .is_ok_and(|value| value == "on");
        }
    }

    /// Ends the transaction; false rolls it back.
    pub(super) fn end(&mut self, commits: bool) -> Result<(), Refusal> {
        (self.block, self.failed) = (false, false);
        self.portals.clear();
        let Some(transaction) = self.transaction.take() else {
            return Ok(());
        };
        let before = self.before.take();
        if !commits {
            self.local.borrow_mut().clear();
            before
                .into_iter()
                .for_each(|before| drop(self.settings.replace(before)));
            lock(&self.shared.store).rollback(transaction);
            self.shared.ended();
            return Ok(());
        }
        for (name, old) in self.local.borrow_mut().drain(..).rev() {
            if let Some((_, value)) = self.settings.borrow_mut().get_mut(&name) {
                *value = old;
            }
        }
        // A server that has been killed commits nothing more: both under one lock.
        let mut store = lock(&self.shared.store);
        if !self.shared.up.load(Ordering::SeqCst) {
            store.rollback(transaction);
            return Err(Refusal(
                "57P01",
                "terminating connection due to administrator command".to_owned(),
            ));
        }
        store.commit(transaction);
        drop(store);
        self.shared.ended();
        Ok(())
    }

    /// A statement outside a block is over.
    pub(super) fn end_implicit(&mut self) -> Result<(), Refusal> {
        if self.block { Ok(()) } else { self.end(true) }
    }

    /// An error: a block fails, all else is rolled back.
    pub(super) fn fail(&mut self) {
        if self.block {
            self.failed = true;
        } else {
            let _ = self.end(false);
        }
    }

    /// The connection has gone.
    pub(super) fn close(&mut self) {
        let _ = self.end(false);
        lock(&self.shared.store).drop_marked(&self.mark());
        lock(&self.shared.advisory).retain(|_, owner| owner.0 != self.number);
    }

    pub(super) fn status(&self) -> u8 {
        match (self.block, self.failed) {
            (false, _) => b'I',
            (true, false) => b'T',
            (true, true) => b'E',
        }
    }

    /// Prepares a text.
    pub(super) fn prepare(&mut self, sql: &str, given: &[Type]) -> Result<Prepared, Refusal> {
        if let Some(question) = catalogue::question(sql).filter(|_| !self.failed) {
            let Question {
                parameters,
                columns,
                ..
            } = question;
            return Ok(Prepared {
                sql: sql.to_owned(),
                statement: one("SELECT 1")?,
                parameters,
                columns,
            });
        }
        let statement = one(sql)?;
        let ends = matches!(
            statement,
            Some(Statement::Commit { .. } | Statement::Rollback { .. })
        );
        if self.failed && !ends && statement.is_some() {
            return Err(failed_transaction());
        }
        let (parameters, columns) = match &statement {
            Some(statement) => describe(statement, given, &self.shared.store, &*self)?,
            None => (given.to_vec(), Vec::new()),
        };
        Ok(Prepared {
            sql: sql.to_owned(),
            statement,
            parameters,
            columns,
        })
    }

    /// Runs a statement; waits where another transaction has to end first.
    pub(super) fn run(
        &mut self,
        statement: &Statement,
        values: &[Value],
    ) -> Result<Outcome, Refusal> {
        self.shared.statements.fetch_add(1, Ordering::SeqCst);
        self.started = Instant::now();
        self.cancelled.store(false, Ordering::SeqCst);
        let ends = matches!(
            statement,
            Statement::Commit { .. } | Statement::Rollback { .. }
        );
        if self.failed && !ends {
            return Err(failed_transaction());
        }
        if let Some(outcome) = self.control(statement)? {
            return Ok(outcome);
        }
        self.open();
        let writes = !matches!(statement, Statement::Query(query) if query.locks.is_empty());
        if self.read_only && writes {
            let verb = statement.to_string();
            let verb = verb.split(' ').next().unwrap_or_default().to_uppercase();
            let what = format!("cannot execute {verb} in a read-only transaction");
            return Err(Refusal("25006", what));
        }
        let Some(mut transaction) = self.transaction.take() else {
            return Err(failed_transaction());
        };
        // A statement is done whole or not at all.
        lock(&self.shared.store).savepoint(&mut transaction, String::new());
        let result = loop {
            let shared = self.shared.clone();
            let mut run = Run {
                store: &shared.store,
                transaction: &mut transaction,
                values,
                around: &*self,
            };
            match run.run(statement) {
                Ok(outcome) => break Ok(outcome),
                Err(Stop::Refused(refusal)) => break Err(refusal),
                Err(Stop::Blocked(xid)) => {
                    let _ = lock(&shared.store).rollback_to(&mut transaction, "");
                    let active = || lock(&shared.store).is_active(xid);
                    if let Err(refusal) = self.wait(active) {
                        break Err(refusal);
                    }
                }
            }
        };
        {
            let mut store = lock(&self.shared.store);
            if result.is_err() {
                let _ = store.rollback_to(&mut transaction, "");
            }
            let _ = store.release(&mut transaction, "");
        }
        self.transaction = Some(transaction);
        result
    }

    /// Rows of COPY FROM.
    pub(super) fn copy_in(
        &mut self,
        table: &str,
        columns: &[String],
        text: &str,
    ) -> Result<u64, Refusal> {
        self.open();
        let Some(mut transaction) = self.transaction.take() else {
            return Err(failed_transaction());
        };
        let shared = self.shared.clone();
        let mut run = Run {
            store: &shared.store,
            transaction: &mut transaction,
            values: &[],
            around: &*self,
        };
        let copied = run.copy_in(table, columns, text);
        self.transaction = Some(transaction);
        copied.map_err(|stop| match stop {
            Stop::Refused(refusal) => refusal,
            Stop::Blocked(_) => Refusal("40P01", "another transaction has the same key".to_owned()),
        })
    }

    /// Waits while something is so, unless cancelled, late or killed.
    pub(super) fn wait(&self, while_so: impl Fn() -> bool) -> Result<(), Refusal> {
        let limit: u64 = self
            .setting("statement_timeout")
            .ok()
            .and_then(|limit| limit.parse().ok())
            .unwrap_or(0);
        while while_so() {
            if self.cancelled.swap(false, Ordering::SeqCst) {
                return Err(Refusal(
                    "57014",
                    "canceling statement due to user request".to_owned(),
                ));
            }
            if limit > 0 && self.started.elapsed() >= Duration::from_millis(limit) {
                return Err(Refusal(
                    "57014",
                    "canceling statement due to statement timeout".to_owned(),
                ));
            }
            if !self.shared.up.load(Ordering::SeqCst) {
                return Err(Refusal(
                    "57P01",
                    "terminating connection due to administrator command".to_owned(),
                ));
            }
            self.shared.pause(LOOK);
        }
        Ok(())
    }
}

/// All rows of an outcome, each as often as it comes.
pub(super) fn spread(outcome: &Outcome) -> VecDeque<Vec<Value>> {
    let copies = usize::try_from(outcome.repeats).unwrap_or(0) + 1;
    outcome
        .rows
        .iter()
        .flat_map(|row| std::iter::repeat_n(row.clone(), copies))
        .collect()
}
