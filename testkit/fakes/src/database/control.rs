//! Statements on the session and its transaction: BEGIN to ROLLBACK, settings, prepared statements, cursors.

use std::sync::Arc;

use sqlparser::ast::{
    DiscardObject, FetchDirection, Set, Statement, TransactionAccessMode, TransactionMode,
};

use super::query::{Outcome, done};
use super::session::{Portal, Prepared, Session, spread};
use super::surroundings::Surroundings;
use super::value::{Type, Value};
use super::{Refusal, lock};

impl Session {
    /// Statements on the session and its transaction.
    pub(super) fn control(&mut self, statement: &Statement) -> Result<Option<Outcome>, Refusal> {
        Ok(Some(match statement {
            Statement::StartTransaction { modes, .. } => {
                if self.block {
                    return Ok(Some(done("BEGIN")));
                }
                self.open();
                self.block = true;
                self.modes(modes);
                done("BEGIN")
            }
            Statement::Commit { chain, .. } => {
                let failed = self.failed;
                self.end(!failed)?;
                if *chain {
                    self.open();
                    self.block = true;
                }
                done(if failed { "ROLLBACK" } else { "COMMIT" })
            }
            Statement::Rollback {
                savepoint: None,
                chain,
            } => {
                self.end(false)?;
                if *chain {
                    self.open();
                    self.block = true;
                }
                done("ROLLBACK")
            }
            Statement::Rollback {
                savepoint: Some(name),
                ..
            } => {
                self.in_block("ROLLBACK TO SAVEPOINT")?;
                if let Some(transaction) = &mut self.transaction {
                    lock(&self.shared.store).rollback_to(transaction, &name.value)?;
                }
                self.failed = false;
                done("ROLLBACK")
            }
            Statement::Savepoint { name } => {
                self.in_block("SAVEPOINT")?;
                if let Some(transaction) = &mut self.transaction {
                    lock(&self.shared.store).savepoint(transaction, name.value.clone());
                }
                done("SAVEPOINT")
            }
            Statement::ReleaseSavepoint { name } => {
                self.in_block("RELEASE SAVEPOINT")?;
                if let Some(transaction) = &mut self.transaction {
                    lock(&self.shared.store).release(transaction, &name.value)?;
                }
                done("RELEASE")
            }
            Statement::Set(set) => return self.set_statement(set).map(Some),
            Statement::ShowVariable { variable } => {
                let words: Vec<&str> = variable.iter().map(|word| word.value.as_str()).collect();
                let name = match words[..] {
                    ["TRANSACTION" | "transaction", "ISOLATION" | "isolation", ..] => {
                        "transaction_isolation".to_owned()
                    }
                    ["TIME" | "time", "ZONE" | "zone"] => "TimeZone".to_owned(),
                    _ => words.join("."),
                };
                let value = self.setting(&name)?;
                let columns = vec![(self.setting_name(&name), Type::TEXT)];
                Outcome {
                    columns,
                    rows: vec![vec![Value::Text(value)]],
                    verb: "SHOW",
                    ..Outcome::default()
                }
            }
            Statement::Discard { object_type } => {
                if *object_type == DiscardObject::ALL {
                    if self.block {
                        let what = "DISCARD ALL cannot run inside a transaction block";
                        return Err(Refusal("25001", what.to_owned()));
                    }
                    self.prepared.clear();
                    self.held.clear();
                    self.listens.clear();
                    self.settings.replace(self.at_start.clone());
                    lock(&self.shared.advisory).retain(|_, owner| owner.0 != self.number);
                    lock(&self.shared.store).drop_marked(&self.mark());
                }
                done("DISCARD ALL")
            }
            Statement::Deallocate { name, .. } => {
                if name.value.eq_ignore_ascii_case("all") && name.quote_style.is_none() {
                    self.prepared.retain(|name, _| name.is_empty());
                    return Ok(Some(done("DEALLOCATE ALL")));
                }
                let missing = || {
                    Refusal(
                        "26000",
                        format!("prepared statement \"{}\" does not exist", name.value),
                    )
                };
                self.prepared.remove(&name.value).ok_or_else(missing)?;
                done("DEALLOCATE")
            }
            Statement::Prepare {
                name,
                data_types,
                statement,
            } => {
                let given = data_types
                    .iter()
                    .map(super::expr::named)
                    .collect::<Result<Vec<_>, _>>()?;
                let prepared = self.prepare(&statement.to_string(), &given)?;
                self.prepared.insert(name.value.clone(), Arc::new(prepared));
                done("PREPARE")
            }
            Statement::Execute {
                name: Some(name),
                parameters,
                ..
            } => {
                let name = name.to_string();
                let missing = || {
                    Refusal(
                        "26000",
                        format!("prepared statement \"{name}\" does not exist"),
                    )
                };
                let prepared = self.prepared.get(&name).cloned().ok_or_else(missing)?;
                let scope = super::expr::Scope {
                    columns: &[],
                    row: &[],
                    values: &[],
                    around: &*self,
                };
                let values = parameters.iter().zip(&prepared.parameters);
                let values = values
                    .map(|(expr, kind)| scope.value(expr).and_then(|value| value.cast(*kind)));
                let values = values.collect::<Result<Vec<_>, Refusal>>()?;
                let Some(statement) = &prepared.statement else {
                    return Ok(Some(done("")));
                };
                return self.run(statement, &values).map(Some);
            }
            Statement::Declare { stmts } => {
                let Some(declare) = stmts.first() else {
                    return Ok(None);
                };
                let (Some(name), Some(query)) = (declare.names.first(), &declare.for_query) else {
                    return Ok(None);
                };
                let holds = declare.hold == Some(true);
                if !holds {
                    self.in_block("DECLARE CURSOR")?;
                }
                let query = Statement::Query(query.clone());
                let outcome = self.run(&query, &[])?;
                let rows = spread(&outcome);
                let statement = Arc::new(Prepared {
                    sql: String::new(),
                    statement: None,
                    parameters: Vec::new(),
                    columns: outcome.columns.clone(),
                });
                let portal = Portal {
                    statement,
                    values: Vec::new(),
                    formats: Vec::new(),
                    left: Some((
                        Outcome {
                            rows: Vec::new(),
                            ..outcome
                        },
                        rows,
                    )),
                    fetched: 0,
                    done: false,
                };
                let portals = if holds {
                    &mut self.held
                } else {
                    &mut self.portals
                };
                portals.insert(name.value.clone(), portal);
                done("DECLARE CURSOR")
            }
            Statement::Fetch {
                name, direction, ..
            } => {
                let most = match direction {
                    FetchDirection::Count { limit }
                    | FetchDirection::Forward { limit: Some(limit) } => {
                        limit.to_string().parse().unwrap_or(1)
                    }
                    FetchDirection::All | FetchDirection::ForwardAll => usize::MAX,
                    _ => 1,
                };
                let missing =
                    || Refusal("34000", format!("cursor \"{}\" does not exist", name.value));
                let portal = self
                    .portals
                    .get_mut(&name.value)
                    .or_else(|| self.held.get_mut(&name.value));
                let (outcome, left) = portal
                    .and_then(|portal| portal.left.as_mut())
                    .ok_or_else(missing)?;
                let count = most.min(left.len());
                let rows = left.drain(..count).collect();
                Outcome {
                    columns: outcome.columns.clone(),
                    rows,
                    verb: "FETCH",
                    ..Outcome::default()
                }
            }
            Statement::Close { cursor } => {
                match cursor {
                    sqlparser::ast::CloseCursor::All => {
                        self.portals.clear();
                        self.held.clear();
                    }
                    sqlparser::ast::CloseCursor::Specific { name } => {
                        let open = self
                            .portals
                            .remove(&name.value)
                            .or_else(|| self.held.remove(&name.value));
                        let missing = || {
                            Refusal("34000", format!("cursor \"{}\" does not exist", name.value))
                        };
                        open.ok_or_else(missing)?;
                    }
                }
                done("CLOSE CURSOR")
            }
            Statement::LISTEN { channel } => {
                self.listens.push(channel.value.clone());
                done("LISTEN")
            }
            Statement::UNLISTEN { channel } => {
                self.listens
                    .retain(|known| channel.value != "*" && *known != channel.value);
                done("UNLISTEN")
            }
            Statement::NOTIFY { channel, payload } => {
                self.shared.notify(
                    self.number,
                    &channel.value,
                    payload.as_deref().unwrap_or_default(),
                );
                done("NOTIFY")
            }
            _ => return Ok(None),
        }))
    }

    pub(super) fn in_block(&self, what: &str) -> Result<(), Refusal> {
        let refusal = || {
            Refusal(
                "25P01",
                format!("{what} can only be used in transaction blocks"),
            )
        };
        if self.block { Ok(()) } else { Err(refusal()) }
    }

    pub(super) fn modes(&mut self, modes: &[TransactionMode]) {
        for mode in modes {
            match mode {
                TransactionMode::AccessMode(access) => {
                    self.read_only = *access == TransactionAccessMode::ReadOnly;
                }
                TransactionMode::IsolationLevel(level) => {
                    let level = level.to_string().to_lowercase();
                    let old = self.setting("transaction_isolation").unwrap_or_default();
                    self.local
                        .borrow_mut()
                        .push(("transaction_isolation".to_owned(), old));
                    let _ = self.set("transaction_isolation", &level);
                }
            }
        }
    }

    pub(super) fn set_statement(&mut self, set: &Set) -> Result<Outcome, Refusal> {
        self.open();
        match set {
            Set::SingleAssignment {
                scope,
                variable,
                values,
                ..
            } => {
                let name = variable.to_string().replace('"', "");
                let texts: Vec<String> = values.iter().map(bare).collect();
                if texts.len() == 1 && texts[0].eq_ignore_ascii_case("default") {
                    if name.eq_ignore_ascii_case("all") {
                        self.settings.replace(self.at_start.clone());
                    } else {
                        self.set_to_default(&name);
                    }
                    return Ok(done("RESET"));
                }
                if matches!(scope, Some(sqlparser::ast::ContextModifier::Local)) {
                    let old = self.setting(&name).unwrap_or_default();
                    self.local
                        .borrow_mut()
                        .push((name.to_ascii_lowercase(), old));
                }
                self.set(&name, &texts.join(", "))?;
            }
            Set::SetTimeZone { value, .. } => self.set("TimeZone", &bare(value))?,
            Set::SetNames { charset_name, .. } => {
                self.set("client_encoding", &charset_name.value)?
            }
            Set::SetTransaction {
                modes,
                session: false,
                ..
            } => self.modes(modes),
            Set::SetTransaction {
                modes,
                session: true,
                ..
            } => {
                let read_only = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
                let value = if modes.contains(&read_only) {
                    "on"
                } else {
                    "off"
                };
                self.set("default_transaction_read_only", value)?;
            }
            Set::SetRole { .. } | Set::SetSessionParam(_) => {}
            other => return Err(super::expr::unsupported(other)),
        }
        Ok(done("SET"))
    }
}

/// A setting's value without its quotes.
fn bare(expr: &sqlparser::ast::Expr) -> String {
    expr.to_string().trim_matches('\'').replace("''", "'")
}
