//! COPY both ways, in its text format.
//!
//! Source: PostgreSQL documentation, "COPY Operations" and the text format of COPY.

use sqlparser::ast::{CopySource, CopyTarget};

use super::Refusal;
use super::faults::Bad;
use super::parse::one;
use super::session::spread;
use super::value::{Type, Value};
use super::wire::{Backend, Body, Ended};

/// Data that a client copies in.
pub(super) struct Copying {
    table: String,
    columns: Vec<String>,
    text: Vec<u8>,
    /// By a Query, which ends with it.
    simple: bool,
}

impl Backend {
    /// Begins a COPY; whether data is awaited.
    pub(super) fn copy(
        &mut self,
        source: &CopySource,
        to: bool,
        target: &CopyTarget,
        simple: bool,
    ) -> Result<bool, Refusal> {
        if to {
            let query = match source {
                CopySource::Query(query) => query.to_string(),
                CopySource::Table {
                    table_name,
                    columns,
                } if columns.is_empty() => {
                    format!("SELECT * FROM {table_name}")
                }
                CopySource::Table {
                    table_name,
                    columns,
                } => {
                    let names: Vec<String> = columns.iter().map(ToString::to_string).collect();
                    format!("SELECT {} FROM {table_name}", names.join(", "))
                }
            };
            let Some(statement) = one(&query)? else {
                return Ok(false);
            };
            let outcome = self.session.run(&statement, &[])?;
            self.copy_response(b'H', outcome.columns.len());
            let mut count = 0;
            for row in spread(&outcome) {
                let field = |(value, column): (&Value, &(String, Type))| match value {
                    Value::Null => "\\N".to_owned(),
                    value => escape(&value.text(column.1)),
                };
                let fields: Vec<String> = row.iter().zip(&outcome.columns).map(field).collect();
                self.put(b'd', format!("{}\n", fields.join("\t")).as_bytes());
                count += 1;
            }
            self.put(b'c', b"");
            self.put(b'C', format!("COPY {count}\0").as_bytes());
            return Ok(false);
        }
        let (
            CopySource::Table {
                table_name,
                columns,
            },
            CopyTarget::Stdin,
        ) = (source, target)
        else {
            return Err(Refusal(
                "0A000",
                "COPY is from standard input only here".to_owned(),
            ));
        };
        if self.session.failed {
            let what =
                "current transaction is aborted, commands ignored until end of transaction block";
            return Err(Refusal("25P02", what.to_owned()));
        }
        let table = table_name.to_string();
        // That it is there shows before any data comes.
        let found = one(&format!("SELECT * FROM {table}"))?;
        let prepared = self
            .session
            .prepare(&format!("SELECT * FROM {table}"), &[])?;
        let _ = found;
        let columns: Vec<String> = columns.iter().map(|ident| ident.value.clone()).collect();
        let count = if columns.is_empty() {
            prepared.columns.len()
        } else {
            columns.len()
        };
        self.copy_response(b'G', count);
        self.flush = true;
        self.copying = Some(Copying {
            table,
            columns,
            text: Vec::new(),
            simple,
        });
        Ok(true)
    }

    pub(super) fn copy_response(&mut self, tag: u8, columns: usize) {
        let mut body = vec![0];
        body.extend_from_slice(&u16::try_from(columns).unwrap_or(0).to_be_bytes());
        body.extend(std::iter::repeat_n(0, columns * 2));
        self.put(tag, &body);
    }

    pub(super) fn copy_message(&mut self, tag: u8, body: &[u8]) -> Result<(), Ended> {
        let Some(copying) = &mut self.copying else {
            return Ok(());
        };
        let simple = copying.simple;
        let result = match tag {
            b'd' => {
                copying.text.extend_from_slice(body);
                let text = String::from_utf8_lossy(body).into_owned();
                match self.session.shared.bad(&text) {
                    Some(Bad::DieBefore | Bad::DieAfter) => {
                        self.session.shared.kill();
                        return Err(Ended);
                    }
                    _ => return Ok(()),
                }
            }
            // Ignored, for clients that sent them without noticing that a copy has begun.
            b'H' | b'S' => return Ok(()),
            b'c' => {
                let Copying {
                    table,
                    columns,
                    text,
                    ..
                } = self.copying.take().ok_or(Ended)?;
                let copied =
                    self.session
                        .copy_in(&table, &columns, &String::from_utf8_lossy(&text));
                copied.map(|count| self.put(b'C', format!("COPY {count}\0").as_bytes()))
            }
            b'f' => {
                let why = Body(body).string()?;
                Err(Refusal("57014", format!("COPY from stdin failed: {why}")))
            }
            _ => Err(Refusal(
                "08P01",
                "unexpected message type during COPY from stdin".to_owned(),
            )),
        };
        self.copying = None;
        let ended = result.and_then(|()| {
            if simple {
                self.session.end_implicit()
            } else {
                Ok(())
            }
        });
        if let Err(refusal) = ended {
            self.refuse("ERROR", &refusal);
            self.session.fail();
            self.skips = !simple;
        }
        if simple {
            self.ready();
        }
        Ok(())
    }
}

fn escape(text: &str) -> String {
    text.replace('\\', "\\\\")
        .replace('\t', "\\t")
        .replace('\n', "\\n")
        .replace('\r', "\\r")
}
