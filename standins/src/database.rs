//! A database, as far as a pooling node and its clients' drivers notice: the PostgreSQL protocol with simple and
//! extended queries, transactions, a small SQL over tables in memory, and bad days. A thread each connection.
//!
//! It speaks: CREATE TABLE, INSERT ... VALUES, SELECT of literals, parameters, columns and count(*) with WHERE
//! column = value, BEGIN, COMMIT, ROLLBACK, SET, SHOW, pg_sleep(seconds). Values are integers (int8) and texts.

use std::collections::BTreeMap;
use std::io::{self, Read, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use sqlparser::ast::{
    BinaryOperator, Expr, FunctionArg, FunctionArgExpr, FunctionArguments, SelectItem, SetExpr, Statement,
    TableFactor, Value as Literal,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

/// No message of a client is longer.
const MOST: usize = 8 * 1024 * 1024;
const INT8: u32 = 20;
const TEXT: u32 = 25;

/// A value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// An integer.
    Int(i64),
    /// A text.
    Text(String),
    /// NULL.
    Null,
}

#[derive(Clone, Debug, Default)]
struct Table {
    columns: Vec<(String, u32)>,
    rows: Vec<Vec<Value>>,
}

type Tables = BTreeMap<String, Table>;
/// A statement that changes something, and its parameters.
type Write = (Statement, Vec<Value>);

/// What a connection does wrong at the next statement that matches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    /// The whole server dies before it runs.
    DieBefore,
    /// It runs, and the server dies before it answers.
    DieAfter,
    /// It is taken, and nothing is ever said.
    Hang,
}

struct Shared {
    tables: Mutex<Tables>,
    /// Connections that stand, by number.
    open: Mutex<BTreeMap<u64, TcpStream>>,
    up: AtomicBool,
    connections: AtomicU64,
    statements: AtomicU64,
    /// The text that something goes wrong at, what, and how often still.
    bad: Mutex<Option<(String, Bad)>>,
    cancelled: AtomicU32,
}

/// A stand-in database on a loopback port.
pub struct Database {
    /// Where it listens.
    pub at: SocketAddr,
    shared: Arc<Shared>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Database {
    /// Starts one.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let shared = Arc::new(Shared {
            tables: Mutex::default(),
            open: Mutex::default(),
            up: AtomicBool::new(true),
            connections: AtomicU64::new(0),
            statements: AtomicU64::new(0),
            bad: Mutex::default(),
            cancelled: AtomicU32::new(0),
        });
        let served = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = served.connections.fetch_add(1, Ordering::SeqCst);
                let Ok(handle) = stream.try_clone() else { continue };
                lock(&served.open).insert(number, handle);
                if !served.up.load(Ordering::SeqCst) {
                    served.cut(number);
                    continue;
                }
                let served = served.clone();
                thread::spawn(move || {
                    let mut session = Session::new(stream, served.clone(), number);
                    // Whatever ends it, what was not committed is gone with it.
                    let _ = session.run();
                    served.cut(number);
                });
            }
        });
        Ok(Self { at, shared })
    }

    /// Its process dies: all connections are cut, and new ones too, until it is up again. What is committed stays.
    pub fn kill(&self) {
        self.shared.kill();
    }

    /// It takes connections again.
    pub fn revive(&self) {
        self.shared.up.store(true, Ordering::SeqCst);
    }

    /// Something goes wrong, once, at the next statement that holds this text.
    pub fn set_bad(&self, text: &str, bad: Bad) {
        *lock(&self.shared.bad) = Some((text.to_owned(), bad));
    }

    /// The rows of a table that are committed.
    pub fn rows(&self, table: &str) -> Vec<Vec<Value>> {
        lock(&self.shared.tables).get(table).map(|table| table.rows.clone()).unwrap_or_default()
    }

    /// Connections that it has been asked for so far.
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::SeqCst)
    }

    /// Statements that it has begun so far.
    pub fn statements(&self) -> u64 {
        self.shared.statements.load(Ordering::SeqCst)
    }

    /// Cancels that it has been asked for so far.
    pub fn cancels(&self) -> u32 {
        self.shared.cancelled.load(Ordering::SeqCst)
    }
}

impl Shared {
    fn cut(&self, number: u64) {
        if let Some(stream) = lock(&self.open).remove(&number) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn kill(&self) {
        self.up.store(false, Ordering::SeqCst);
        let numbers: Vec<u64> = lock(&self.open).keys().copied().collect();
        numbers.into_iter().for_each(|number| self.cut(number));
    }
}

/// A statement that can't be run.
struct Refusal(&'static str, String);

/// What a statement brings.
#[derive(Default)]
struct Outcome {
    columns: Vec<(String, u32)>,
    rows: Vec<Vec<Value>>,
    tag: String,
}

struct Session {
    stream: TcpStream,
    shared: Arc<Shared>,
    number: u64,
    out: Vec<u8>,
    /// The tables as this transaction sees them, and its writes.
    work: Option<(Tables, Vec<Write>)>,
    failed: bool,
    prepared: BTreeMap<String, (String, Vec<u32>)>,
    portals: BTreeMap<String, (String, Vec<Value>, Vec<u16>)>,
    skips: bool,
}

fn cut_string(body: &mut &[u8]) -> io::Result<String> {
    let end = body.iter().position(|byte| *byte == 0).ok_or(io::ErrorKind::InvalidData)?;
    let text = String::from_utf8_lossy(&body[..end]).into_owned();
    *body = &body[end + 1..];
    Ok(text)
}

fn cut_bytes<const N: usize>(body: &mut &[u8]) -> io::Result<[u8; N]> {
    let (bytes, rest) = body.split_first_chunk::<N>().ok_or(io::ErrorKind::InvalidData)?;
    *body = rest;
    Ok(*bytes)
}

fn cut_u16(body: &mut &[u8]) -> io::Result<u16> {
    Ok(u16::from_be_bytes(cut_bytes(body)?))
}

impl Session {
    fn new(stream: TcpStream, shared: Arc<Shared>, number: u64) -> Self {
        let (prepared, portals) = (BTreeMap::new(), BTreeMap::new());
        Self {
            stream,
            shared,
            number,
            out: Vec::new(),
            work: None,
            failed: false,
            prepared,
            portals,
            skips: false,
        }
    }

    fn put(&mut self, tag: u8, body: &[u8]) {
        self.out.push(tag);
        self.out.extend_from_slice(&u32::try_from(body.len() + 4).unwrap_or(u32::MAX).to_be_bytes());
        self.out.extend_from_slice(body);
    }

    fn flush(&mut self) -> io::Result<()> {
        let out = std::mem::take(&mut self.out);
        self.stream.write_all(&out)
    }

    fn read(&mut self, length: usize) -> io::Result<Vec<u8>> {
        if length > MOST {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut bytes = vec![0; length];
        self.stream.read_exact(&mut bytes)?;
        Ok(bytes)
    }

    fn message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        let head = self.read(5)?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        Ok((head[0], self.read(length.saturating_sub(4))?))
    }

    fn run(&mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        let head = self.read(8)?;
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        self.read(length.saturating_sub(8))?;
        if head[4..] == 80_877_102_u32.to_be_bytes() {
            self.shared.cancelled.fetch_add(1, Ordering::SeqCst);
            return Ok(());
        }
        self.put(b'R', &0_u32.to_be_bytes());
        let key = [u32::try_from(self.number).unwrap_or(0).to_be_bytes(), 7_u32.to_be_bytes()].concat();
        self.put(b'K', &key);
        self.ready();
        self.flush()?;
        loop {
            let (tag, body) = self.message()?;
            if tag == b'X' {
                return Ok(());
            }
            if !self.skips || tag == b'S' {
                self.take(tag, &body)?;
            }
            if matches!(tag, b'Q' | b'S' | b'H') {
                self.flush()?;
            }
        }
    }

    fn ready(&mut self) {
        let status = match (&self.work, self.failed) {
            (None, _) => b'I',
            (Some(_), false) => b'T',
            (Some(_), true) => b'E',
        };
        self.put(b'Z', &[status]);
    }

    fn refuse(&mut self, refusal: &Refusal) {
        self.failed = self.work.is_some();
        let body = format!("SERROR\0C{}\0M{}\0\0", refusal.0, refusal.1);
        self.put(b'E', body.as_bytes());
    }

    fn take(&mut self, tag: u8, mut body: &[u8]) -> io::Result<()> {
        let done = match tag {
            b'Q' => {
                let sql = cut_string(&mut body)?;
                self.prepared.remove("");
                let result = self.simple(&sql)?;
                result.err().into_iter().for_each(|refusal| self.refuse(&refusal));
                self.ready();
                return Ok(());
            }
            b'P' => {
                let (name, sql) = (cut_string(&mut body)?, cut_string(&mut body)?);
                let count = cut_u16(&mut body)?;
                let types = (0..count).map(|_| cut_bytes(&mut body).map(u32::from_be_bytes));
                let types = types.collect::<io::Result<Vec<u32>>>()?;
                self.parse(name, sql, types)
            }
            b'B' => self.bind(body)?,
            b'D' => {
                let kind = cut_bytes::<1>(&mut body)?[0];
                let name = cut_string(&mut body)?;
                self.describe(kind, &name)
            }
            b'E' => {
                let name = cut_string(&mut body)?;
                self.execute(&name)?
            }
            b'C' => {
                let kind = cut_bytes::<1>(&mut body)?[0];
                let name = cut_string(&mut body)?;
                if kind == b'S' {
                    self.prepared.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                self.put(b'3', b"");
                Ok(())
            }
            b'S' => {
                self.skips = false;
                self.ready();
                return Ok(());
            }
            b'H' => return Ok(()),
            _ => return Err(io::ErrorKind::InvalidData.into()),
        };
        if let Err(refusal) = done {
            self.refuse(&refusal);
            self.skips = true;
        }
        Ok(())
    }

    /// What goes wrong at this text, if anything.
    fn bad(&self, sql: &str) -> Option<Bad> {
        let mut bad = lock(&self.shared.bad);
        let hit = bad.as_ref().is_some_and(|(text, _)| sql.contains(text.as_str()));
        if hit { bad.take().map(|(_, bad)| bad) } else { None }
    }

    fn simple(&mut self, sql: &str) -> io::Result<Result<(), Refusal>> {
        let statements = match Parser::parse_sql(&PostgreSqlDialect {}, sql) {
            Ok(statements) => statements,
            Err(error) => return Ok(Err(Refusal("42601", error.to_string()))),
        };
        if statements.is_empty() {
            self.put(b'I', b"");
        }
        for statement in statements {
            match self.statement(&statement, &[], sql)? {
                Ok(outcome) => self.bring(&outcome, &[], true),
                Err(refusal) => return Ok(Err(refusal)),
            }
        }
        Ok(Ok(()))
    }

    fn one(sql: &str) -> Result<Option<Statement>, Refusal> {
        let mut all = Parser::parse_sql(&PostgreSqlDialect {}, sql)
            .map_err(|error| Refusal("42601", error.to_string()))?;
        Ok(all.pop())
    }

    fn parse(&mut self, name: String, sql: String, types: Vec<u32>) -> Result<(), Refusal> {
        let parameters = (1..=9).take_while(|n| sql.contains(&format!("${n}"))).count();
        Self::one(&sql)?;
        if !name.is_empty() && self.prepared.contains_key(&name) {
            return Err(Refusal("42P05", format!("prepared statement \"{name}\" already exists")));
        }
        // What the client leaves open is taken for a text, unless it is compared with or put into an integer.
        let tables =
            self.work.as_ref().map_or_else(|| lock(&self.shared.tables).clone(), |work| work.0.clone());
        let guess = types_of(&sql, &tables, parameters);
        let given = |n: usize| types.get(n).copied().filter(|oid| *oid != 0);
        let types = (0..parameters).map(|n| given(n).unwrap_or(guess[n])).collect();
        self.prepared.insert(name, (sql, types));
        self.put(b'1', b"");
        Ok(())
    }

    fn bind(&mut self, mut body: &[u8]) -> io::Result<Result<(), Refusal>> {
        let body = &mut body;
        let (portal, name) = (cut_string(body)?, cut_string(body)?);
        let formats = (0..cut_u16(body)?).map(|_| cut_u16(body)).collect::<io::Result<Vec<u16>>>()?;
        let Some((sql, types)) = self.prepared.get(&name).cloned() else {
            return Ok(Err(Refusal("26000", format!("prepared statement \"{name}\" does not exist"))));
        };
        let mut values = Vec::new();
        for n in 0..usize::from(cut_u16(body)?) {
            let length = i32::from_be_bytes(cut_bytes(body)?);
            let Ok(length) = usize::try_from(length) else {
                values.push(Value::Null);
                continue;
            };
            let (bytes, rest) = body.split_at_checked(length).ok_or(io::ErrorKind::InvalidData)?;
            *body = rest;
            let binary = formats.get(n).or(formats.first()).copied().unwrap_or(0) == 1;
            values.push(match (types.get(n), binary) {
                (Some(&INT8), true) => Value::Int(i64::from_be_bytes(bytes.try_into().unwrap_or_default())),
                (Some(&INT8), false) => {
                    Value::Int(String::from_utf8_lossy(bytes).parse().unwrap_or_default())
                }
                _ => Value::Text(String::from_utf8_lossy(bytes).into_owned()),
            });
        }
        let results = (0..cut_u16(body)?).map(|_| cut_u16(body)).collect::<io::Result<Vec<u16>>>()?;
        self.portals.insert(portal, (sql, values, results));
        self.put(b'2', b"");
        Ok(Ok(()))
    }

    fn describe(&mut self, kind: u8, name: &str) -> Result<(), Refusal> {
        let sql = if kind == b'S' {
            let known = self.prepared.get(name).cloned();
            let (sql, types) = known.ok_or_else(|| Refusal("26000", format!("no statement \"{name}\"")))?;
            let mut body = u16::try_from(types.len()).unwrap_or(0).to_be_bytes().to_vec();
            types.iter().for_each(|oid| body.extend_from_slice(&oid.to_be_bytes()));
            self.put(b't', &body);
            sql
        } else {
            let known = self.portals.get(name).map(|portal| portal.0.clone());
            known.ok_or_else(|| Refusal("34000", format!("no portal \"{name}\"")))?
        };
        let columns = match Self::one(&sql)? {
            Some(Statement::Query(query)) => {
                let tables = self
                    .work
                    .as_ref()
                    .map_or_else(|| lock(&self.shared.tables).clone(), |work| work.0.clone());
                select(&query, &[], &tables).map(|outcome| outcome.columns)?
            }
            _ => Vec::new(),
        };
        if columns.is_empty() {
            self.put(b'n', b"");
        } else {
            self.describe_rows(&columns);
        }
        Ok(())
    }

    fn describe_rows(&mut self, columns: &[(String, u32)]) {
        let mut body = u16::try_from(columns.len()).unwrap_or(0).to_be_bytes().to_vec();
        for (name, oid) in columns {
            body.extend_from_slice(name.as_bytes());
            body.extend_from_slice(&[0, 0, 0, 0, 0, 0, 0]);
            body.extend_from_slice(&oid.to_be_bytes());
            body.extend_from_slice(&(if *oid == INT8 { 8_i16 } else { -1 }).to_be_bytes());
            body.extend_from_slice(&[0xff, 0xff, 0xff, 0xff, 0, 0]);
        }
        self.put(b'T', &body);
    }

    fn execute(&mut self, name: &str) -> io::Result<Result<(), Refusal>> {
        let Some((sql, values, formats)) = self.portals.get(name).cloned() else {
            return Ok(Err(Refusal("34000", format!("no portal \"{name}\""))));
        };
        let statement = match Self::one(&sql) {
            Ok(Some(statement)) => statement,
            Ok(None) => {
                self.put(b'I', b"");
                return Ok(Ok(()));
            }
            Err(refusal) => return Ok(Err(refusal)),
        };
        Ok(self.statement(&statement, &values, &sql)?.map(|outcome| self.bring(&outcome, &formats, false)))
    }

    /// Writes a statement's rows and its end.
    fn bring(&mut self, outcome: &Outcome, formats: &[u16], describe: bool) {
        if describe && !outcome.columns.is_empty() {
            self.describe_rows(&outcome.columns);
        }
        for row in &outcome.rows {
            let mut body = u16::try_from(row.len()).unwrap_or(0).to_be_bytes().to_vec();
            for (n, value) in row.iter().enumerate() {
                let format = formats.get(n).or(formats.first()).copied().unwrap_or(0);
                let bytes = match (value, format) {
                    (Value::Null, _) => {
                        body.extend_from_slice(&(-1_i32).to_be_bytes());
                        continue;
                    }
                    (Value::Int(number), 1) => number.to_be_bytes().to_vec(),
                    (Value::Int(number), _) => number.to_string().into_bytes(),
                    (Value::Text(text), _) => text.clone().into_bytes(),
                };
                body.extend_from_slice(&u32::try_from(bytes.len()).unwrap_or(0).to_be_bytes());
                body.extend_from_slice(&bytes);
            }
            self.put(b'D', &body);
        }
        self.put(b'C', format!("{}\0", outcome.tag).as_bytes());
    }

    /// Runs a statement. An error of the outer kind is the end of the connection.
    fn statement(
        &mut self,
        statement: &Statement,
        values: &[Value],
        sql: &str,
    ) -> io::Result<Result<Outcome, Refusal>> {
        self.shared.statements.fetch_add(1, Ordering::SeqCst);
        let bad = self.bad(sql);
        match bad {
            Some(Bad::DieBefore) => {
                self.shared.kill();
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            Some(Bad::Hang) => {
                // Until the other side has had enough, or the server is killed.
                let mut scrap = [0; 64];
                while self.stream.read(&mut scrap)? > 0 {}
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            _ => {}
        }
        let result = self.do_statement(statement, values);
        if bad == Some(Bad::DieAfter) {
            self.shared.kill();
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(result)
    }

    fn do_statement(&mut self, statement: &Statement, values: &[Value]) -> Result<Outcome, Refusal> {
        let tagged = |tag: &str| Ok(Outcome { tag: tag.to_owned(), ..Outcome::default() });
        match statement {
            Statement::Commit { .. } | Statement::Rollback { .. } => {
                let work = self.work.take();
                let failed = std::mem::take(&mut self.failed);
                if matches!(statement, Statement::Rollback { .. }) || failed {
                    return tagged("ROLLBACK");
                }
                if let Some((_, writes)) = work {
                    let mut tables = lock(&self.shared.tables);
                    // A server that has been killed commits nothing more.
                    if !self.shared.up.load(Ordering::SeqCst) {
                        return Err(Refusal("57P01", "the server dies".to_owned()));
                    }
                    for (statement, values) in &writes {
                        write(statement, values, &mut tables)?;
                    }
                }
                return tagged("COMMIT");
            }
            _ if self.failed => {
                return Err(Refusal("25P02", "current transaction is aborted".to_owned()));
            }
            Statement::StartTransaction { .. } => {
                if self.work.is_none() {
                    self.work = Some((lock(&self.shared.tables).clone(), Vec::new()));
                }
                return tagged("BEGIN");
            }
            Statement::Query(query) => {
                let shared = self.shared.clone();
                return match &self.work {
                    Some((tables, _)) => select(query, values, tables),
                    None => {
                        let tables = lock(&shared.tables).clone();
                        select(query, values, &tables)
                    }
                };
            }
            Statement::Set(_) => return tagged("SET"),
            Statement::Discard { .. } => return tagged("DISCARD ALL"),
            _ => {}
        }
        let written = match &mut self.work {
            Some((tables, writes)) => {
                let written = write(statement, values, tables)?;
                writes.push((statement.clone(), values.to_vec()));
                written
            }
            None => {
                let mut tables = lock(&self.shared.tables);
                if !self.shared.up.load(Ordering::SeqCst) {
                    return Err(Refusal("57P01", "the server dies".to_owned()));
                }
                write(statement, values, &mut tables)?
            }
        };
        tagged(&written)
    }
}

fn unsupported(what: &impl std::fmt::Display) -> Refusal {
    Refusal("0A000", format!("not spoken here: {what}"))
}

/// Types of the parameters, as far as a look at the statement tells.
fn types_of(sql: &str, tables: &Tables, count: usize) -> Vec<u32> {
    let mut types = vec![TEXT; count];
    let Ok(Some(statement)) = Session::one(sql) else { return types };
    let mut note = |expr: &Expr, oid: u32| {
        if let Some(n) = parameter(expr)
            && let Some(known) = types.get_mut(n)
        {
            *known = oid;
        }
    };
    match &statement {
        Statement::Insert(insert) => {
            let table = tables.get(&insert.table.to_string());
            if let Some(source) = &insert.source
                && let SetExpr::Values(rows) = &*source.body
            {
                for row in &rows.rows {
                    for (n, expr) in row.iter().enumerate() {
                        note(
                            expr,
                            table.and_then(|table| table.columns.get(n)).map_or(TEXT, |column| column.1),
                        );
                    }
                }
            }
        }
        Statement::Query(query) => {
            if let SetExpr::Select(select) = &*query.body {
                let table = select.from.first().and_then(|from| tables.get(&from.relation.to_string()));
                if let Some(Expr::BinaryOp { left, right, .. }) = &select.selection {
                    let name = left.to_string();
                    let column = table.and_then(|table| table.columns.iter().find(|column| column.0 == name));
                    note(right, column.map_or(TEXT, |column| column.1));
                }
                select.projection.iter().for_each(|item| {
                    if let SelectItem::UnnamedExpr(Expr::Cast { expr, data_type, .. }) = item {
                        note(expr, if data_type.to_string().contains("INT") { INT8 } else { TEXT });
                    }
                });
            }
        }
        _ => {}
    }
    types
}

/// The position of a parameter, from 0.
fn parameter(expr: &Expr) -> Option<usize> {
    let Expr::Value(value) = expr else { return None };
    let Literal::Placeholder(name) = &value.value else { return None };
    name.strip_prefix('$')?.parse::<usize>().ok()?.checked_sub(1)
}

fn evaluate(expr: &Expr, values: &[Value]) -> Result<Value, Refusal> {
    if let Some(n) = parameter(expr) {
        // With none given a statement is only described.
        return Ok(values.get(n).cloned().unwrap_or(Value::Null));
    }
    match expr {
        Expr::Value(value) => match &value.value {
            Literal::Number(number, _) => {
                number.parse().map(Value::Int).map_err(|_| Refusal("22P02", format!("no integer: {number}")))
            }
            Literal::SingleQuotedString(text) => Ok(Value::Text(text.clone())),
            Literal::Null => Ok(Value::Null),
            other => Err(unsupported(other)),
        },
        Expr::Cast { expr, .. } | Expr::Nested(expr) => evaluate(expr, values),
        Expr::UnaryOp { expr, .. } => match evaluate(expr, values)? {
            Value::Int(number) => Ok(Value::Int(-number)),
            _ => Err(unsupported(expr)),
        },
        other => Err(unsupported(other)),
    }
}

fn oid(value: &Value) -> u32 {
    if matches!(value, Value::Int(_)) { INT8 } else { TEXT }
}

fn select(query: &sqlparser::ast::Query, values: &[Value], tables: &Tables) -> Result<Outcome, Refusal> {
    let SetExpr::Select(select) = &*query.body else { return Err(unsupported(query)) };
    let empty = Table { columns: Vec::new(), rows: vec![Vec::new()] };
    let table = match select.from.first().map(|from| &from.relation) {
        None => &empty,
        Some(TableFactor::Table { name, .. }) => {
            let name = name.to_string();
            tables
                .get(&name)
                .ok_or_else(|| Refusal("42P01", format!("relation \"{name}\" does not exist")))?
        }
        Some(other) => return Err(unsupported(other)),
    };
    let column = |name: &str| {
        let at = table.columns.iter().position(|column| column.0 == name);
        at.ok_or_else(|| Refusal("42703", format!("column \"{name}\" does not exist")))
    };
    let mut rows: Vec<&Vec<Value>> = table.rows.iter().collect();
    match &select.selection {
        None => {}
        Some(Expr::BinaryOp { left, op: BinaryOperator::Eq, right }) => {
            let (at, wanted) = (column(&left.to_string())?, evaluate(right, values)?);
            rows.retain(|row| row[at] == wanted);
        }
        Some(other) => return Err(unsupported(other)),
    }
    let mut outcome = Outcome::default();
    let mut counted = false;
    let mut lines: Vec<Vec<Value>> = vec![Vec::new(); rows.len()];
    for item in &select.projection {
        let (expr, name) = match item {
            SelectItem::UnnamedExpr(expr) => (expr, None),
            SelectItem::ExprWithAlias { expr, alias } => (expr, Some(alias.value.clone())),
            SelectItem::Wildcard(_) => {
                outcome.columns.extend(table.columns.iter().cloned());
                lines.iter_mut().zip(&rows).for_each(|(line, row)| line.extend(row.iter().cloned()));
                continue;
            }
            other => return Err(unsupported(other)),
        };
        match expr {
            Expr::Identifier(ident) => {
                let at = column(&ident.value)?;
                outcome.columns.push((name.unwrap_or_else(|| ident.value.clone()), table.columns[at].1));
                lines.iter_mut().zip(&rows).for_each(|(line, row)| line.push(row[at].clone()));
            }
            Expr::Function(function) if function.name.to_string() == "count" => {
                outcome.columns.push((name.unwrap_or_else(|| "count".to_owned()), INT8));
                counted = true;
            }
            Expr::Function(function) if function.name.to_string() == "pg_sleep" => {
                if let FunctionArguments::List(list) = &function.args
                    && let Some(FunctionArg::Unnamed(FunctionArgExpr::Expr(seconds))) = list.args.first()
                {
                    let seconds: f64 = seconds.to_string().parse().unwrap_or(0.0);
                    thread::sleep(Duration::from_secs_f64(seconds.clamp(0.0, 60.0)));
                }
                outcome.columns.push(("pg_sleep".to_owned(), TEXT));
                lines.iter_mut().for_each(|line| line.push(Value::Text(String::new())));
            }
            other => {
                let value = evaluate(other, values)?;
                let cast =
                    matches!(other, Expr::Cast { data_type, .. } if data_type.to_string().contains("INT"));
                let kind = if cast { INT8 } else { oid(&value) };
                outcome.columns.push((name.unwrap_or_else(|| "?column?".to_owned()), kind));
                lines.iter_mut().for_each(|line| line.push(value.clone()));
            }
        }
    }
    if counted {
        let count = i64::try_from(rows.len()).unwrap_or(i64::MAX);
        lines = vec![vec![Value::Int(count)]];
    }
    outcome.tag = format!("SELECT {}", lines.len());
    outcome.rows = lines;
    Ok(outcome)
}

/// Carries out a statement that changes something; returns its tag.
fn write(statement: &Statement, values: &[Value], tables: &mut Tables) -> Result<String, Refusal> {
    match statement {
        Statement::CreateTable(create) => {
            let kind = |text: String| if text.to_uppercase().contains("INT") { INT8 } else { TEXT };
            let columns =
                create.columns.iter().map(|c| (c.name.value.clone(), kind(c.data_type.to_string())));
            let table = Table { columns: columns.collect(), rows: Vec::new() };
            tables.entry(create.name.to_string()).or_insert(table);
            Ok("CREATE TABLE".to_owned())
        }
        Statement::Insert(insert) => {
            let name = insert.table.to_string();
            let table =
                tables.get_mut(&name).ok_or_else(|| Refusal("42P01", format!("no relation \"{name}\"")))?;
            let Some(SetExpr::Values(rows)) = insert.source.as_ref().map(|source| &*source.body) else {
                return Err(unsupported(statement));
            };
            for row in &rows.rows {
                let row = row.iter().map(|expr| evaluate(expr, values)).collect::<Result<Vec<_>, _>>()?;
                if row.len() != table.columns.len() {
                    return Err(Refusal("42601", "another number of columns".to_owned()));
                }
                table.rows.push(row);
            }
            Ok(format!("INSERT 0 {}", rows.rows.len()))
        }
        other => Err(unsupported(other)),
    }
}
