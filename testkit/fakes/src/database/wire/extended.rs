//! The extended query protocol: Parse, Bind, Describe and Execute.

use std::sync::Arc;

use sqlparser::ast::Statement;

use super::super::Refusal;
use super::super::query::Outcome;
use super::super::session::{Portal, Prepared, spread};
use super::super::value::{Type, Value};
use super::{Backend, Body, Ended};

impl Backend {
    pub(super) fn parse(&mut self, name: String, sql: &str, types: &[Type]) -> Result<(), Refusal> {
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

    pub(super) fn bind(&mut self, body: &mut Body<'_>) -> Result<Result<(), Refusal>, Ended> {
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

    pub(super) fn describe(&mut self, kind: u8, name: &str) -> Result<(), Refusal> {
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

    pub(super) fn execute(
        &mut self,
        name: &str,
        most: usize,
    ) -> Result<Result<(), Refusal>, Ended> {
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
}
