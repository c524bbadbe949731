//! Writes a client's messages as its server connection is to get them: with the connection's names for prepared
//! statements, and with a `Parse` before the first use of a statement there.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};

use super::server_link::{
    ExpectedParse, ExpectedResponse, LocalResponse, NameChange, Origin, ServerConnection,
    StatementAlias,
};
use crate::extended_query::{
    self, MalformedMessage, ParseMessage, StatementText, Target, TargetKind,
};
use crate::frame::Frame;
use crate::message_tags::{backend, frontend};
use crate::prepared_statements::{self, ClientStatements};
use crate::server_messages::TransactionStatus;
use crate::sql_analysis;

/// The client's prepared statements as they will be once all messages that were sent are answered.
pub(super) struct StatementNames<'a> {
    /// The named statements as of the messages that are answered.
    pub(super) named: &'a ClientStatements,
    /// The unnamed statement as of the messages that are answered.
    pub(super) unnamed: Option<&'a StatementText>,
    /// Changes by messages that are not answered; `None` for a statement that is closed.
    pub(super) pending: &'a mut BTreeMap<Bytes, Option<StatementText>>,
}

impl StatementNames<'_> {
    fn get(&self, name: &Bytes) -> Option<StatementText> {
        match self.pending.get(name) {
            Some(text) => text.clone(),
            None if name.is_empty() => self.unnamed.cloned(),
            None => self.named.get(name).cloned(),
        }
    }

    fn set(&mut self, name: Bytes, text: StatementText) {
        self.pending.insert(name, Some(text));
    }

    fn remove(&mut self, name: Bytes) {
        self.pending.insert(name, None);
    }
}

/// The form in which messages of one session go to one server connection.
pub(super) struct MessageWriter<'a> {
    /// The server connection.
    pub(super) server: &'a mut ServerConnection,
    /// The client's prepared statements.
    pub(super) names: StatementNames<'a>,
    /// Status of the transaction as of the last batch.
    pub(super) status: TransactionStatus,
    /// Name of the client's statement that the batch's DEALLOCATE removes.
    pub(super) deallocated_name: &'a mut Option<Bytes>,
    /// The bytes for the server.
    pub(super) buffer: &'a mut BytesMut,
}

impl MessageWriter<'_> {
    /// Writes one message and notes what will answer it. `is_alone`: it is the only one of its batch.
    pub(super) fn write(&mut self, frame: &Frame, is_alone: bool) -> Result<(), MalformedMessage> {
        match frame.tag {
            frontend::QUERY => self.query(frame, is_alone)?,
            frontend::FUNCTION_CALL => self.send(frame, ExpectedResponse::Query),
            frontend::PARSE => self.parse(ParseMessage::read(frame)?)?,
            frontend::BIND => self.bind(frame)?,
            frontend::DESCRIBE => self.describe(frame)?,
            frontend::CLOSE => self.close(frame)?,
            frontend::EXECUTE => self.send(frame, ExpectedResponse::Execute),
            frontend::SYNC => self.sync(frame),
            _ => frame.write(self.buffer),
        }
        Ok(())
    }

    fn send(&mut self, frame: &Frame, response: ExpectedResponse) {
        self.server.expected.push_back(response);
        frame.write(self.buffer);
    }

    fn query(&mut self, frame: &Frame, is_alone: bool) -> Result<(), MalformedMessage> {
        let sql = frame.first_string().ok_or(MalformedMessage)?;
        let deallocation = self.query_deallocation(sql, is_alone);
        // A Query ends the unnamed statement at the server.
        self.server.has_unnamed_statement = false;
        self.names.remove(Bytes::new());
        self.send(
            deallocation.as_ref().unwrap_or(frame),
            ExpectedResponse::Query,
        );
        Ok(())
    }

    /// The `Query` to send instead of one that deallocates a statement of the client's, by the name that it has on the
    /// server connection. The statement is prepared first if necessary.
    fn query_deallocation(&mut self, sql: &[u8], is_alone: bool) -> Option<Frame> {
        let name = sql_analysis::deallocated_name(sql)?;
        let text = self.names.get(&name)?;
        if self.status == TransactionStatus::Failed {
            return None;
        }
        let server_name = if is_alone {
            self.prepare_separately(&text)
        } else {
            // Behind messages of a batch a Sync would end what the client is to end.
            self.ensure_prepared(&text)
        };
        *self.deallocated_name = Some(name);
        self.server.state.prepared.remove(&text);
        Some(query_frame(&deallocate_sql(&server_name)))
    }

    fn parse(&mut self, parse: ParseMessage) -> Result<(), MalformedMessage> {
        let sql = parse.text.sql();
        if let Some(deallocated) = sql_analysis::deallocated_name(sql)
            && let Some(deallocated_text) = self.names.get(&deallocated)
            && self.status != TransactionStatus::Failed
        {
            self.parse_deallocation(parse, deallocated, &deallocated_text);
            return Ok(());
        }
        if parse.name.is_empty() {
            self.parse_unnamed(parse.text.clone(), &parse.text);
            return Ok(());
        }
        if self.names.get(&parse.name).is_some() {
            self.parse_duplicate_name(parse);
            return Ok(());
        }
        if !self.names.named.has_capacity(&parse.name) {
            return Err(MalformedMessage);
        }
        if self.server.state.prepared.contains(&parse.text) {
            self.parse_prepared(parse);
        } else {
            self.parse_new(parse);
        }
        Ok(())
    }

    /// A `Parse` of a DEALLOCATE. The client's statement is prepared first, so that there is one to deallocate; the
    /// DEALLOCATE is sent with the name on the server connection, and kept as the client wrote it.
    fn parse_deallocation(
        &mut self,
        parse: ParseMessage,
        deallocated: Bytes,
        deallocated_text: &StatementText,
    ) {
        let server_name = self.ensure_prepared(deallocated_text);
        self.server.state.prepared.remove(deallocated_text);
        *self.deallocated_name = Some(deallocated);
        let server_text = parse.text.with_sql(&deallocate_sql(&server_name));
        if parse.name.is_empty() {
            self.parse_unnamed(parse.text, &server_text);
            return;
        }
        self.names.set(parse.name.clone(), parse.text.clone());
        let name_change = NameChange::Set {
            name: parse.name,
            text: parse.text,
        };
        self.prepare(&server_text, Origin::Client, Some(name_change));
    }

    /// A `Parse` of the unnamed statement: `text` as the client knows it, `server_text` as it is sent.
    fn parse_unnamed(&mut self, text: StatementText, server_text: &StatementText) {
        self.names.set(Bytes::new(), text.clone());
        self.server.has_unnamed_statement = true;
        let response = ExpectedParse {
            name_change: Some(NameChange::Set {
                name: Bytes::new(),
                text,
            }),
            ..ExpectedParse::new(Origin::Client)
        };
        self.send(
            &extended_query::parse(b"", server_text),
            ExpectedResponse::Parse(response),
        );
    }

    /// A `Parse` under a name that the client has in use: the server itself says what is wrong with the text or,
    /// where nothing is, that the name is taken.
    fn parse_duplicate_name(&mut self, parse: ParseMessage) {
        let server_name = self.ensure_prepared(&parse.text);
        let frame = extended_query::parse(&server_name, &parse.text);
        let response = ExpectedParse {
            alias: Some(StatementAlias {
                server_name,
                client_name: parse.name,
            }),
            ..ExpectedParse::new(Origin::Client)
        };
        self.send(&frame, ExpectedResponse::Parse(response));
    }

    /// A `Parse` under a new name of a text that is prepared on the server connection: it is answered locally.
    fn parse_prepared(&mut self, parse: ParseMessage) {
        let is_rejected_by_server = self.status == TransactionStatus::Failed
            && parse.text.analyze().transaction_end().is_none();
        if is_rejected_by_server {
            // A failed transaction accepts no statement but its end, and the server's error says so.
            let server_name = self.server.state.prepared.use_statement(&parse.text).name;
            self.send(
                &extended_query::parse(&server_name, &parse.text),
                ExpectedResponse::Parse(ExpectedParse::new(Origin::Client)),
            );
            return;
        }
        self.names.set(parse.name.clone(), parse.text.clone());
        self.server
            .expected
            .push_back(ExpectedResponse::Local(LocalResponse {
                frame: Frame::new(backend::PARSE_COMPLETE, Bytes::new()),
                name_change: NameChange::Set {
                    name: parse.name,
                    text: parse.text,
                },
            }));
    }

    /// A `Parse` under a new name of a text that is not prepared on the server connection.
    fn parse_new(&mut self, parse: ParseMessage) {
        self.names.set(parse.name.clone(), parse.text.clone());
        let text = parse.text.clone();
        let name_change = NameChange::Set {
            name: parse.name,
            text: parse.text,
        };
        self.prepare(&text, Origin::Client, Some(name_change));
    }

    fn bind(&mut self, frame: &Frame) -> Result<(), MalformedMessage> {
        let name = extended_query::bind_statement(frame)?;
        let server_name = self.resolve(&name);
        self.server.expected.push_back(ExpectedResponse::Bind);
        extended_query::rename_bind(frame, &server_name)?.write(self.buffer);
        Ok(())
    }

    fn describe(&mut self, frame: &Frame) -> Result<(), MalformedMessage> {
        let target = Target::read(frame)?;
        match target.kind {
            TargetKind::Statement => {
                let server_name = self.resolve(&target.name);
                let describe = extended_query::describe_statement(&server_name);
                self.send(&describe, ExpectedResponse::Describe);
            }
            TargetKind::Portal => self.send(frame, ExpectedResponse::Describe),
        }
        Ok(())
    }

    fn close(&mut self, frame: &Frame) -> Result<(), MalformedMessage> {
        let target = Target::read(frame)?;
        match target.kind {
            TargetKind::Statement if target.name.is_empty() => self.close_unnamed(frame),
            TargetKind::Statement => self.close_named(target.name),
            TargetKind::Portal => self.send(
                frame,
                ExpectedResponse::Close {
                    origin: Origin::Client,
                    name_change: None,
                },
            ),
        }
        Ok(())
    }

    fn close_unnamed(&mut self, frame: &Frame) {
        self.server.has_unnamed_statement = false;
        self.names.remove(Bytes::new());
        self.send(
            frame,
            ExpectedResponse::Close {
                origin: Origin::Client,
                name_change: Some(NameChange::Remove(Bytes::new())),
            },
        );
    }

    /// The statement stays prepared on the server connection, for all clients that use the same text.
    fn close_named(&mut self, name: Bytes) {
        self.names.remove(name.clone());
        self.server
            .expected
            .push_back(ExpectedResponse::Local(LocalResponse {
                frame: Frame::new(backend::CLOSE_COMPLETE, Bytes::new()),
                name_change: NameChange::Remove(name),
            }));
    }

    fn sync(&mut self, frame: &Frame) {
        // During a copy the server ignores it.
        self.server.has_ignored_sync |= self.server.is_copying_in;
        self.send(frame, ExpectedResponse::Sync);
    }

    /// Prepares a text on the server connection unless it is prepared there.
    fn prepare(&mut self, text: &StatementText, origin: Origin, name_change: Option<NameChange>) {
        let statement = self.server.state.prepared.use_statement(text);
        let Some((parse, evictions)) = statement.preparation.split_last() else {
            return;
        };
        for close in evictions {
            let response = ExpectedResponse::Close {
                origin: Origin::Proxy,
                name_change: None,
            };
            self.send(close, response);
        }
        let response = ExpectedParse {
            prepared_text: Some(text.clone()),
            name_change,
            ..ExpectedParse::new(origin)
        };
        self.send(parse, ExpectedResponse::Parse(response));
    }

    /// The name of a text on the server connection, where it is prepared first unless it is already.
    fn ensure_prepared(&mut self, text: &StatementText) -> Bytes {
        if !self.server.state.prepared.contains(text) {
            self.prepare(text, Origin::Proxy, None);
        }
        self.server.state.prepared.use_statement(text).name
    }

    /// As [`Self::ensure_prepared`], in a batch of its own before a `Query`: an error in it must not make the server
    /// ignore the `Query`.
    fn prepare_separately(&mut self, text: &StatementText) -> Bytes {
        let statement = self.server.state.prepared.use_statement(text);
        if !statement.preparation.is_empty() {
            for frame in &statement.preparation {
                frame.write(self.buffer);
            }
            let sync = Frame::new(frontend::SYNC, Bytes::new());
            self.send(&sync, ExpectedResponse::Setup);
        }
        statement.name
    }

    /// The name on the server connection of a statement of the client's, which is prepared there first if necessary.
    fn resolve(&mut self, name: &Bytes) -> Bytes {
        let text = self.names.get(name);
        if name.is_empty() {
            self.resolve_unnamed(text.as_ref());
            return Bytes::new();
        }
        match text {
            Some(text) => self.ensure_prepared(&text),
            // Under a name like this process's own there may be another client's statement. With the added word there
            // is none, and the server's error says which name is missing.
            None if prepared_statements::is_server_name(name) => {
                Bytes::from([b"undefined ", &name[..]].concat())
            }
            None => name.clone(),
        }
    }

    /// Makes the unnamed statement of the server connection the client's.
    fn resolve_unnamed(&mut self, text: Option<&StatementText>) {
        let was_set = self.server.has_unnamed_statement;
        self.server.has_unnamed_statement = text.is_some();
        if was_set {
            return;
        }
        match text {
            Some(text) => self.send(
                &extended_query::parse(b"", text),
                ExpectedResponse::Parse(ExpectedParse::new(Origin::Proxy)),
            ),
            // The unnamed statement there is another client's.
            None => self.send(
                &extended_query::close_statement(b""),
                ExpectedResponse::Close {
                    origin: Origin::Proxy,
                    name_change: None,
                },
            ),
        }
    }
}

/// A `Query` of this SQL.
pub(super) fn query_frame(sql: &[u8]) -> Frame {
    Frame::new(frontend::QUERY, [sql, b"\0"].concat())
}

fn deallocate_sql(server_name: &[u8]) -> Vec<u8> {
    [b"DEALLOCATE \"", server_name, b"\""].concat()
}
