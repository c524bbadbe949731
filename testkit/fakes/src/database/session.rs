//! One connection's session at a stand-in database: its settings, its transaction, prepared statements and portals.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use sqlparser::ast::Statement;

use super::catalogue::{self, Question};
use super::describe::describe;
use super::parse::one;
use super::query::{Outcome, Run};
use super::settings::{SETTINGS, Settings};
use super::storage::{Stop, Transaction};
use super::value::{Type, Value};
use super::{Refusal, Shared, lock};

/// How often a wait looks whether it is cancelled.
const LOOK: Duration = Duration::from_millis(2);

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
