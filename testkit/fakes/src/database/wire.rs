//! The protocol's server side on one connection: what each message does and is answered by.
//!
//! Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol", "Message Flow" and "Message Formats".

use std::collections::BTreeMap;
use std::sync::Arc;

use sqlparser::ast::Statement;

use super::copy::Copying;
use super::faults::Bad;
use super::query::Outcome;
use super::session::{Portal, Prepared, Session, all, spread};
use super::value::{Type, Value};
use super::{Refusal, Shared};

/// The connection ends.
#[derive(Debug)]
pub(super) struct Ended;

/// One connection's server side, without its socket: messages in, bytes out.
pub struct Backend {
    pub(super) session: Session,
    pub(super) out: Vec<u8>,
    pub(super) skips: bool,
    pub(super) copying: Option<Copying>,
    /// A batch has run something that its Sync, or a Query, ends.
    batch: bool,
    /// What is written so far goes out before the next message is waited for.
    pub(super) flush: bool,
}

/// A body, cut from its front.
pub(super) struct Body<'a>(pub(super) &'a [u8]);

impl Body<'_> {
    pub(super) fn string(&mut self) -> Result<String, Ended> {
        let end = self.0.iter().position(|byte| *byte == 0).ok_or(Ended)?;
        let text = String::from_utf8_lossy(&self.0[..end]).into_owned();
        self.0 = &self.0[end + 1..];
        Ok(text)
    }

    fn bytes<const N: usize>(&mut self) -> Result<[u8; N], Ended> {
        let (bytes, rest) = self.0.split_first_chunk::<N>().ok_or(Ended)?;
        self.0 = rest;
        Ok(*bytes)
    }

    fn count(&mut self) -> Result<u16, Ended> {
        self.bytes().map(u16::from_be_bytes)
    }

    fn slice(&mut self, length: usize) -> Result<&[u8], Ended> {
        let (bytes, rest) = self.0.split_at_checked(length).ok_or(Ended)?;
        self.0 = rest;
        Ok(bytes)
    }
}

impl Backend {
    pub(super) fn new(shared: Arc<Shared>, number: u64) -> Self {
        let session = Session::new(shared, number);
        Self {
            session,
            out: Vec::new(),
            skips: false,
            copying: None,
            batch: false,
            flush: false,
        }
    }

    /// What is to be written now, if anything has to go out.
    pub fn take_out(&mut self) -> Vec<u8> {
        self.flush = false;
        std::mem::take(&mut self.out)
    }

    /// Where the transaction stands, as `ReadyForQuery` tells it.
    pub fn status(&self) -> u8 {
        self.session.status()
    }

    /// Whether the client is to send data to be copied.
    pub fn is_copying(&self) -> bool {
        self.copying.is_some()
    }

    /// Whether what is written so far has to go out.
    pub fn wants_out(&self) -> bool {
        self.flush || self.out.len() > 64 * 1024
    }

    pub(super) fn put(&mut self, tag: u8, body: &[u8]) {
        self.out.push(tag);
        self.out.extend_from_slice(
            &u32::try_from(body.len() + 4)
                .unwrap_or(u32::MAX)
                .to_be_bytes(),
        );
        self.out.extend_from_slice(body);
    }

    /// What follows a login.
    pub(super) fn greet(&mut self) {
        self.put(b'R', &0_u32.to_be_bytes());
        self.reports();
        let number = u32::try_from(self.session.number).unwrap_or(0);
        let key = [
            number.to_be_bytes(),
            self.session
                .shared
                .secret(self.session.number)
                .to_be_bytes(),
        ]
        .concat();
        self.put(b'K', &key);
        self.ready();
    }

    fn reports(&mut self) {
        for (name, value) in self.session.reports() {
            self.put(b'S', format!("{name}\0{value}\0").as_bytes());
        }
    }

    pub(super) fn ready(&mut self) {
        self.reports();
        for (from, channel, payload) in self
            .session
            .shared
            .take_notices(self.session.number, &self.session.listens)
        {
            let body = [
                &(from as u32).to_be_bytes()[..],
                format!("{channel}\0{payload}\0").as_bytes(),
            ]
            .concat();
            self.put(b'A', &body);
        }
        let status = self.session.status();
        self.put(b'Z', &[status]);
        (self.flush, self.batch) = (true, false);
    }

    pub(super) fn refuse(&mut self, severity: &str, refusal: &Refusal) {
        let body = format!(
            "S{severity}\0V{severity}\0C{}\0M{}\0\0",
            refusal.0, refusal.1
        );
        self.put(b'E', body.as_bytes());
    }

    /// Takes one message of the client's.
    pub fn take(&mut self, tag: u8, body: &[u8]) -> Result<(), BackendEnded> {
        self.message(tag, body).map_err(|Ended| BackendEnded)
    }

    fn message(&mut self, tag: u8, body: &[u8]) -> Result<(), Ended> {
        if self.copying.is_some() {
            return self.copy_message(tag, body);
        }
        if self.skips && !matches!(tag, b'S' | b'X') {
            return Ok(());
        }
        let mut body = Body(body);
        let done = match tag {
            b'Q' => return self.query(&body.string()?),
            b'P' => {
                let (name, sql) = (body.string()?, body.string()?);
                let types = (0..body.count()?)
                    .map(|_| body.bytes().map(|four| Type(u32::from_be_bytes(four))));
                let types = types.collect::<Result<Vec<_>, _>>()?;
                self.parse(name, &sql, &types)
            }
            b'B' => self.bind(&mut body)?,
            b'D' => {
                let kind = body.bytes::<1>()?[0];
                let name = body.string()?;
                self.describe(kind, &name)
            }
            b'E' => {
                let name = body.string()?;
                let most = u32::from_be_bytes(body.bytes()?);
                self.execute(&name, most as usize)?
            }
            b'C' => {
                let kind = body.bytes::<1>()?[0];
                let name = body.string()?;
                if kind == b'S' {
                    self.session.prepared.remove(&name);
                } else {
                    self.session.portals.remove(&name);
                }
                self.put(b'3', b"");
                Ok(())
            }
            b'S' => {
                self.skips = false;
                if let Err(refusal) = self.session.end_implicit() {
                    self.refuse("ERROR", &refusal);
                }
                self.ready();
                return Ok(());
            }
            b'H' => {
                self.flush = true;
                return Ok(());
            }
            // Left over from a copy that has failed.
            b'd' | b'c' | b'f' => return Ok(()),
            b'X' => return Err(Ended),
            b'F' => {
                self.refuse(
                    "ERROR",
                    &Refusal(
                        "0A000",
                        "function calls are not spoken by the stand-in".to_owned(),
                    ),
                );
                self.session.fail();
                self.ready();
                return Ok(());
            }
            _ => {
                let what = format!("invalid frontend message type {tag}");
                self.refuse("FATAL", &Refusal("08P01", what));
                return Err(Ended);
            }
        };
        if let Err(refusal) = done {
            self.refuse("ERROR", &refusal);
            self.session.fail();
            self.skips = true;
            self.flush = true;
        }
        Ok(())
    }

    fn query(&mut self, sql: &str) -> Result<(), Ended> {
        self.session.prepared.remove("");
        // What is asked of the catalogue stands for a statement that the parser need not know.
        let text = if super::catalogue::question(sql).is_some() {
            "SELECT 1"
        } else {
            sql
        };
        let statements = match all(text) {
            Ok(statements) => statements,
            Err(refusal) => return self.query_failed(&refusal),
        };
        if statements.is_empty() {
            self.put(b'I', b"");
        }
        let last = statements.len().saturating_sub(1);
        for (at, statement) in statements.iter().enumerate() {
            if let Statement::Copy {
                source, to, target, ..
            } = statement
            {
                match self.copy(source, *to, target, true) {
                    // The rest comes when the data has.
                    Ok(true) => return Ok(()),
                    Ok(false) => continue,
                    Err(refusal) => return self.query_failed(&refusal),
                }
            }
            match self.run(statement, &[], sql)? {
                Ok(outcome) => {
                    if !outcome.columns.is_empty() {
                        self.describe_rows(&outcome.columns.clone(), &[]);
                    }
                    let columns = outcome.columns.clone();
                    let count = self.rows(&outcome, &columns, &[]);
                    self.complete(&outcome, count);
                    // All of one text is one transaction, unless it ends it by itself.
                    if at == last
                        && let Err(refusal) = self.session.end_implicit()
                    {
                        return self.query_failed(&refusal);
                    }
                }
                Err(refusal) => return self.query_failed(&refusal),
            }
        }
        if let Err(refusal) = self.session.end_implicit() {
            return self.query_failed(&refusal);
        }
        self.ready();
        Ok(())
    }

    fn query_failed(&mut self, refusal: &Refusal) -> Result<(), Ended> {
        self.refuse("ERROR", refusal);
        self.session.fail();
        self.ready();
        Ok(())
    }

    /// Runs a statement, or does what it was told to do wrong there.
    fn run(
        &mut self,
        statement: &Statement,
        values: &[Value],
        sql: &str,
    ) -> Result<Result<Outcome, Refusal>, Ended> {
        let bad = self.session.shared.bad(sql);
        match bad {
            Some(Bad::DieBefore) => {
                self.session.shared.kill();
                return Err(Ended);
            }
            Some(Bad::Hang) => {
                self.session.shared.hang();
                return Err(Ended);
            }
            Some(Bad::Refuse) => {
                return Ok(Err(Refusal(
                    "53300",
                    "sorry, too many clients already".to_owned(),
                )));
            }
            _ => {}
        }
        let result = match super::catalogue::question(sql) {
            Some(question) => Ok(question.answer(values)),
            None => self.session.run(statement, values),
        };
        if bad == Some(Bad::DieAfter) {
            if !matches!(statement, Statement::Commit { .. }) {
                let _ = self.session.end_implicit();
            }
            self.session.shared.kill();
            return Err(Ended);
        }
        if let Err(refusal) = &result
            && refusal.0 == "57P01"
        {
            return Err(Ended);
        }
        Ok(result)
    }

    fn parse(&mut self, name: String, sql: &str, types: &[Type]) -> Result<(), Refusal> {
        if name.is_empty() {
            self.session.prepared.remove("");
        }
        let prepared = self.session.prepare(sql, types)?;
        if !name.is_empty() && self.session.prepared.contains_key(&name) {
            return Err(Refusal(
                "42P05",
                format!("prepared statement \"{name}\" already exists"),
            ));
        }
        self.session.prepared.insert(name, Arc::new(prepared));
        self.put(b'1', b"");
        Ok(())
    }

    fn prepared(&self, name: &str) -> Result<Arc<Prepared>, Refusal> {
        let missing = || match name.is_empty() {
            true => Refusal(
                "26000",
                "unnamed prepared statement does not exist".to_owned(),
            ),
            false => Refusal(
                "26000",
                format!("prepared statement \"{name}\" does not exist"),
            ),
        };
        self.session.prepared.get(name).cloned().ok_or_else(missing)
    }

    fn bind(&mut self, body: &mut Body<'_>) -> Result<Result<(), Refusal>, Ended> {
        let (portal, name) = (body.string()?, body.string()?);
        let formats = (0..body.count()?)
            .map(|_| body.count())
            .collect::<Result<Vec<_>, _>>()?;
        let mut raw = Vec::new();
        for _ in 0..body.count()? {
            let length = i32::from_be_bytes(body.bytes()?);
            raw.push(match usize::try_from(length) {
                Ok(length) => Some(body.slice(length)?.to_vec()),
                Err(_) => None,
            });
        }
        let results = (0..body.count()?)
            .map(|_| body.count())
            .collect::<Result<Vec<_>, _>>()?;
        Ok(self.bound(portal, &name, &formats, &raw, results))
    }

    fn bound(
        &mut self,
        portal: String,
        name: &str,
        formats: &[u16],
        raw: &[Option<Vec<u8>>],
        results: Vec<u16>,
    ) -> Result<(), Refusal> {
        let statement = self.prepared(name)?;
        let ends = matches!(
            statement.statement,
            Some(Statement::Commit { .. } | Statement::Rollback { .. })
        );
        if self.session.failed && !ends {
            let what =
                "current transaction is aborted, commands ignored until end of transaction block";
            return Err(Refusal("25P02", what.to_owned()));
        }
        if raw.len() != statement.parameters.len() {
            let what = format!(
                "bind message supplies {} parameters, but prepared statement \"{name}\" requires {}",
                raw.len(),
                statement.parameters.len()
            );
            return Err(Refusal("08P01", what));
        }
        if !portal.is_empty() && self.session.portals.contains_key(&portal) {
            return Err(Refusal(
                "42P03",
                format!("cursor \"{portal}\" already exists"),
            ));
        }
        let mut values = Vec::new();
        for (at, (raw, kind)) in raw.iter().zip(&statement.parameters).enumerate() {
            let binary = formats.get(at).or(formats.first()).copied().unwrap_or(0) == 1;
            values.push(match raw {
                None => Value::Null,
                Some(bytes) if binary => Value::read_binary(*kind, bytes)?,
                Some(bytes) => Value::read_text(*kind, &String::from_utf8_lossy(bytes))?,
            });
        }
        if !ends {
            self.session.open();
            self.batch = true;
        }
        let made = Portal {
            statement,
            values,
            formats: results,
            left: None,
            fetched: 0,
            done: false,
        };
        self.session.portals.insert(portal, made);
        self.put(b'2', b"");
        Ok(())
    }

    fn describe(&mut self, kind: u8, name: &str) -> Result<(), Refusal> {
        let (statement, formats) = if kind == b'S' {
            let statement = self.prepared(name)?;
            if self.session.failed && !statement.columns.is_empty() {
                let what = "current transaction is aborted, commands ignored until end of transaction block";
                return Err(Refusal("25P02", what.to_owned()));
            }
            let mut body = u16::try_from(statement.parameters.len())
                .unwrap_or(0)
                .to_be_bytes()
                .to_vec();
            statement
                .parameters
                .iter()
                .for_each(|kind| body.extend_from_slice(&kind.0.to_be_bytes()));
            self.put(b't', &body);
            (statement, Vec::new())
        } else {
            let missing = || Refusal("34000", format!("portal \"{name}\" does not exist"));
            let portal = self.session.portals.get(name).ok_or_else(missing)?;
            (portal.statement.clone(), portal.formats.clone())
        };
        if statement.columns.is_empty() {
            self.put(b'n', b"");
        } else {
            self.describe_rows(&statement.columns, &formats);
        }
        Ok(())
    }

    fn describe_rows(&mut self, columns: &[(String, Type)], formats: &[u16]) {
        let mut body = u16::try_from(columns.len())
            .unwrap_or(0)
            .to_be_bytes()
            .to_vec();
        for (at, (name, kind)) in columns.iter().enumerate() {
            body.extend_from_slice(name.as_bytes());
            body.extend_from_slice(&[0, 0, 0, 0, 0, 0, 0]);
            body.extend_from_slice(&kind.0.to_be_bytes());
            body.extend_from_slice(&kind.length().to_be_bytes());
            body.extend_from_slice(&[0xff, 0xff, 0xff, 0xff]);
            let format = formats.get(at).or(formats.first()).copied().unwrap_or(0);
            body.extend_from_slice(&format.to_be_bytes());
        }
        self.put(b'T', &body);
    }

    fn execute(&mut self, name: &str, most: usize) -> Result<Result<(), Refusal>, Ended> {
        let missing = || Refusal("34000", format!("portal \"{name}\" does not exist"));
        let Some(portal) = self.session.portals.get(name).cloned() else {
            return Ok(Err(missing()));
        };
        let Some(statement) = &portal.statement.statement else {
            self.put(b'I', b"");
            return Ok(Ok(()));
        };
        let sql = portal.statement.sql.clone();
        if portal.done {
            return Ok(Err(Refusal(
                "55000",
                format!("portal \"{name}\" cannot be run"),
            )));
        }
        if let Some(known) = self.session.portals.get_mut(name) {
            known.done = portal.statement.columns.is_empty();
        }
        if let Statement::Copy {
            source, to, target, ..
        } = statement
        {
            return Ok(self.copy(source, *to, target, false).map(|_| ()));
        }
        let (outcome, mut left) = match portal.left {
            Some(left) => left,
            None => match self.run(statement, &portal.values, &sql)? {
                Ok(outcome) if most == 0 || outcome.columns.is_empty() => {
                    let columns = outcome.columns.clone();
                    let count = self.rows(&outcome, &columns, &portal.formats);
                    self.complete(&outcome, count);
                    if let Some(known) = self
                        .session
                        .portals
                        .get_mut(name)
                        .filter(|_| !columns.is_empty())
                    {
                        known.left = Some((
                            Outcome {
                                rows: Vec::new(),
                                repeats: 0,
                                ..outcome.clone()
                            },
                            Default::default(),
                        ));
                    }
                    if outcome.verb == "BEGIN" {
                        // Simpler than a server, which keeps it: nobody asks for the portal of a BEGIN again.
                        self.session.portals.remove(name);
                    }
                    return Ok(Ok(()));
                }
                Ok(outcome) => {
                    let rows = spread(&outcome);
                    (
                        Outcome {
                            rows: Vec::new(),
                            repeats: 0,
                            ..outcome
                        },
                        rows,
                    )
                }
                Err(refusal) => return Ok(Err(refusal)),
            },
        };
        let count = if most == 0 {
            left.len()
        } else {
            most.min(left.len())
        };
        for row in left.drain(..count) {
            self.row(&row, &outcome.columns, &portal.formats);
        }
        let fetched = portal.fetched + count as u64;
        if left.is_empty() && (most == 0 || count < most) {
            self.complete(&outcome, count as u64);
        } else {
            self.put(b's', b"");
        }
        if let Some(known) = self.session.portals.get_mut(name) {
            (known.left, known.fetched) = (Some((outcome, left)), fetched);
        }
        Ok(Ok(()))
    }

    /// Writes rows; returns how many.
    fn rows(&mut self, outcome: &Outcome, columns: &[(String, Type)], formats: &[u16]) -> u64 {
        if columns.is_empty() {
            return outcome.changed;
        }
        let mut count = 0;
        for row in &outcome.rows {
            for _ in 0..=outcome.repeats {
                self.row(row, columns, formats);
                count += 1;
                if self.out.len() > 256 * 1024 {
                    // Large results go out as they are made.
                    let out = std::mem::take(&mut self.out);
                    if !self.session.shared.write(self.session.number, &out) {
                        return count;
                    }
                }
            }
        }
        count
    }

    fn row(&mut self, row: &[Value], columns: &[(String, Type)], formats: &[u16]) {
        let mut body = u16::try_from(row.len()).unwrap_or(0).to_be_bytes().to_vec();
        for (at, value) in row.iter().enumerate() {
            let format = formats.get(at).or(formats.first()).copied().unwrap_or(0);
            let kind = columns.get(at).map_or(Type::TEXT, |column| column.1);
            if *value == Value::Null {
                body.extend_from_slice(&(-1_i32).to_be_bytes());
                continue;
            }
            // A literal without a type becomes what its column is.
            let value = value.clone().cast(kind).unwrap_or_else(|_| value.clone());
            let bytes = if format == 1 {
                value.binary(kind)
            } else {
                value.text(kind).into_bytes()
            };
            body.extend_from_slice(&u32::try_from(bytes.len()).unwrap_or(0).to_be_bytes());
            body.extend_from_slice(&bytes);
        }
        self.put(b'D', &body);
    }

    fn complete(&mut self, outcome: &Outcome, count: u64) {
        let tag = match outcome.verb {
            "INSERT" => format!("INSERT 0 {}", outcome.changed.max(count)),
            "UPDATE" | "DELETE" | "SELECT" | "FETCH" => format!("{} {count}", outcome.verb),
            verb => verb.to_owned(),
        };
        self.put(b'C', format!("{tag}\0").as_bytes());
    }
}

/// The connection ends with this message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendEnded;

/// A client's start-up parameters.
pub(super) fn read_parameters(body: &[u8]) -> BTreeMap<String, String> {
    let mut body = Body(body);
    let mut parameters = BTreeMap::new();
    while let (Ok(name), Ok(value)) = (body.string(), body.string()) {
        if name.is_empty() {
            break;
        }
        parameters.insert(name, value);
    }
    parameters
}
