//! The protocol's server side on one connection: what each message does and is answered by.
//!
//! Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol", "Message Flow" and "Message Formats".

mod body;
mod extended;
mod rows;

use std::collections::BTreeMap;
use std::sync::Arc;

use sqlparser::ast::Statement;

use super::copy::Copying;
use super::faults::Bad;
use super::parse::all;
use super::query::Outcome;
use super::session::Session;
use super::value::{Type, Value};
use super::{Refusal, Shared};
pub(super) use body::Body;

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
