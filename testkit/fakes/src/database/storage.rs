//! Tables in memory, and the transactions that change them: others see what is committed, a transaction sees its own.
//! Two that change the same row wait for each other, as at a server.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::Refusal;
use super::value::{Type, Value};

/// A transaction's number.
pub(super) type Xid = u64;

/// Why a change can't be made now.
#[derive(Debug)]
pub(super) enum Stop {
    /// It can't be made at all.
    Refused(Refusal),
    /// This transaction has to end first.
    Blocked(Xid),
}

impl From<Refusal> for Stop {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

#[derive(Clone, Debug)]
pub(super) struct Column {
    pub(super) name: String,
    pub(super) kind: Type,
    pub(super) not_null: bool,
    /// A default, as text in SQL; a number of its own for each row where it is a serial.
    pub(super) default: Option<String>,
    pub(super) serial: bool,
}

struct Row {
    values: Vec<Value>,
    created: Xid,
    deleted: Option<Xid>,
}

#[derive(Default)]
pub(super) struct Table {
    pub(super) columns: Vec<Column>,
    /// The column whose values are there once, if one is: for the error, its constraint's name.
    pub(super) unique: Option<(usize, String)>,
    rows: BTreeMap<u64, Row>,
    /// Rows by the value of that column.
    index: HashMap<String, BTreeSet<u64>>,
    next: u64,
    serial: i64,
}

/// What brings back what a transaction has changed.
enum Undo {
    Inserted(String, u64),
    Deleted(String, u64),
    Created(String),
    Dropped(String, Box<Table>),
}

/// A transaction that has not ended.
pub(super) struct Transaction {
    pub(super) xid: Xid,
    undo: Vec<Undo>,
    /// Savepoints by name, and how much had been changed then.
    savepoints: Vec<(String, usize)>,
}

impl Transaction {
    /// Whether anything was changed.
    pub(super) fn wrote(&self) -> bool {
        !self.undo.is_empty()
    }
}

/// All tables of a database.
#[derive(Default)]
pub(super) struct Store {
    tables: BTreeMap<String, Table>,
    active: BTreeSet<Xid>,
    last: Xid,
    /// Transactions that were committed and had changed something.
    pub(super) committed: u64,
}

fn key(value: &Value) -> String {
    value.text(Type::TEXT)
}

impl Table {
    fn unindex(&mut self, id: u64) {
        let Some(row) = self.rows.get(&id) else {
            return;
        };
        if let Some((column, _)) = &self.unique {
            let key = key(&row.values[*column]);
            if let Some(ids) = self.index.get_mut(&key) {
                ids.remove(&id);
                if ids.is_empty() {
                    self.index.remove(&key);
                }
            }
        }
    }

    /// A number for a serial column.
    pub(super) fn next_serial(&mut self) -> i64 {
        self.serial += 1;
        self.serial
    }
}

impl Store {
    pub(super) fn begin(&mut self) -> Transaction {
        self.last += 1;
        self.active.insert(self.last);
        Transaction {
            xid: self.last,
            undo: Vec::new(),
            savepoints: Vec::new(),
        }
    }

    pub(super) fn commit(&mut self, transaction: Transaction) {
        self.committed += u64::from(transaction.wrote());
        for undo in &transaction.undo {
            if let Undo::Deleted(table, id) = undo
                && let Some(table) = self.tables.get_mut(table)
                && table
                    .rows
                    .get(id)
                    .is_some_and(|row| row.deleted == Some(transaction.xid))
            {
                table.unindex(*id);
                table.rows.remove(id);
            }
        }
        self.active.remove(&transaction.xid);
    }

    pub(super) fn rollback(&mut self, mut transaction: Transaction) {
        self.undo(&mut transaction, 0);
        self.active.remove(&transaction.xid);
    }

    fn undo(&mut self, transaction: &mut Transaction, to: usize) {
        while transaction.undo.len() > to {
            match transaction.undo.pop() {
                Some(Undo::Inserted(table, id)) => {
                    if let Some(table) = self.tables.get_mut(&table) {
                        table.unindex(id);
                        table.rows.remove(&id);
                    }
                }
                Some(Undo::Deleted(table, id)) => {
                    let row = self
                        .tables
                        .get_mut(&table)
                        .and_then(|table| table.rows.get_mut(&id));
                    row.into_iter().for_each(|row| row.deleted = None);
                }
                Some(Undo::Created(table)) => drop(self.tables.remove(&table)),
                Some(Undo::Dropped(name, table)) => drop(self.tables.insert(name, *table)),
                None => {}
            }
        }
    }

    /// Whether a transaction has not ended yet.
    pub(super) fn is_active(&self, xid: Xid) -> bool {
        self.active.contains(&xid)
    }

    pub(super) fn savepoint(&self, transaction: &mut Transaction, name: String) {
        let changed = transaction.undo.len();
        transaction.savepoints.push((name, changed));
    }

    pub(super) fn release(&self, transaction: &mut Transaction, name: &str) -> Result<(), Refusal> {
        let at = place(transaction, name)?;
        transaction.savepoints.truncate(at);
        Ok(())
    }

    pub(super) fn rollback_to(
        &mut self,
        transaction: &mut Transaction,
        name: &str,
    ) -> Result<(), Refusal> {
        let at = place(transaction, name)?;
        transaction.savepoints.truncate(at + 1);
        let changed = transaction.savepoints[at].1;
        self.undo(transaction, changed);
        Ok(())
    }

    pub(super) fn table(&self, name: &str) -> Result<&Table, Refusal> {
        let missing = || Refusal("42P01", format!("relation \"{name}\" does not exist"));
        self.tables.get(name).ok_or_else(missing)
    }

    pub(super) fn table_mut(&mut self, name: &str) -> Result<&mut Table, Refusal> {
        let missing = || Refusal("42P01", format!("relation \"{name}\" does not exist"));
        self.tables.get_mut(name).ok_or_else(missing)
    }

    pub(super) fn has(&self, name: &str) -> bool {
        self.tables.contains_key(name)
    }

    pub(super) fn create(&mut self, transaction: &mut Transaction, name: String, table: Table) {
        self.tables.insert(name.clone(), table);
        transaction.undo.push(Undo::Created(name));
    }

    pub(super) fn drop_table(&mut self, transaction: &mut Transaction, name: &str) {
        if let Some(table) = self.tables.remove(name) {
            transaction
                .undo
                .push(Undo::Dropped(name.to_owned(), Box::new(table)));
        }
    }

    /// Temporary tables of a connection that has ended, by the mark in their names.
    pub(super) fn drop_marked(&mut self, mark: &str) {
        self.tables.retain(|name, _| !name.starts_with(mark));
    }

    /// The rows that a transaction sees; of those with this value in the unique column alone, where it is known.
    pub(super) fn rows(
        &self,
        table: &str,
        me: Option<Xid>,
        wanted: Option<&Value>,
    ) -> Result<Vec<(u64, &[Value])>, Refusal> {
        let table = self.table(table)?;
        let seen = |(id, row): (&u64, &'_ Row)| -> bool {
            let _ = id;
            let mine = |xid: Xid| Some(xid) == me;
            let there = mine(row.created) || !self.active.contains(&row.created);
            let gone = row
                .deleted
                .is_some_and(|xid| mine(xid) || !self.active.contains(&xid));
            there && !gone
        };
        if let Some(wanted) = wanted {
            let ids = table.index.get(&key(wanted));
            let rows = ids
                .into_iter()
                .flatten()
                .filter_map(|id| table.rows.get_key_value(id));
            return Ok(rows
                .filter(|(id, row)| seen((id, row)))
                .map(|(id, row)| (*id, &row.values[..]))
                .collect());
        }
        Ok(table
            .rows
            .iter()
            .filter(|(id, row)| seen((id, row)))
            .map(|(id, row)| (*id, &row.values[..]))
            .collect())
    }

    /// Adds a row. Whether it went in; not where its key is there and that is to be passed over.
    pub(super) fn insert(
        &mut self,
        transaction: &mut Transaction,
        name: &str,
        values: Vec<Value>,
        pass_over: bool,
    ) -> Result<bool, Stop> {
        let active = &self.active;
        let table = self
            .tables
            .get_mut(name)
            .ok_or_else(|| Refusal("42P01", format!("relation \"{name}\" does not exist")))?;
        for (column, value) in table.columns.iter().zip(&values) {
            if column.not_null && *value == Value::Null {
                let what = format!(
                    "null value in column \"{}\" of relation \"{name}\" violates not-null constraint",
                    column.name
                );
                return Err(Refusal("23502", what).into());
            }
        }
        if let Some((column, constraint)) = &table.unique {
            let ids = table.index.get(&key(&values[*column]));
            for row in ids
                .into_iter()
                .flatten()
                .filter_map(|id| table.rows.get(id))
            {
                let others = |xid: Xid| xid != transaction.xid && active.contains(&xid);
                if row.deleted == Some(transaction.xid) {
                    continue;
                }
                if others(row.created) {
                    return Err(Stop::Blocked(row.created));
                }
                if let Some(xid) = row.deleted {
                    return Err(Stop::Blocked(xid));
                }
                if pass_over {
                    return Ok(false);
                }
                let what =
                    format!("duplicate key value violates unique constraint \"{constraint}\"");
                return Err(Refusal("23505", what).into());
            }
        }
        let id = table.next;
        table.next += 1;
        if let Some((column, _)) = &table.unique {
            table
                .index
                .entry(key(&values[*column]))
                .or_default()
                .insert(id);
        }
        table.rows.insert(
            id,
            Row {
                values,
                created: transaction.xid,
                deleted: None,
            },
        );
        transaction.undo.push(Undo::Inserted(name.to_owned(), id));
        Ok(true)
    }

    /// Takes a row away.
    pub(super) fn delete(
        &mut self,
        transaction: &mut Transaction,
        name: &str,
        id: u64,
    ) -> Result<(), Stop> {
        let table = self
            .tables
            .get_mut(name)
            .ok_or_else(|| Refusal("42P01", format!("relation \"{name}\" does not exist")))?;
        let Some(row) = table.rows.get_mut(&id) else {
            return Ok(());
        };
        if let Some(xid) = row.deleted.filter(|xid| *xid != transaction.xid) {
            return Err(Stop::Blocked(xid));
        }
        row.deleted = Some(transaction.xid);
        transaction.undo.push(Undo::Deleted(name.to_owned(), id));
        Ok(())
    }
}

fn place(transaction: &Transaction, name: &str) -> Result<usize, Refusal> {
    let at = transaction
        .savepoints
        .iter()
        .rposition(|(known, _)| known == name);
    at.ok_or_else(|| Refusal("3B001", format!("savepoint \"{name}\" does not exist")))
}
