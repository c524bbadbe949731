//! Rewrites a client's messages for a server connection: replaces the names of prepared statements and adds a `Parse`
//! before the first use of a statement on the connection.

use bytes::{Bytes, BytesMut};

use super::server_link::{
    ExpectedParse, ExpectedResponse, LocalResponse, NameChange, Origin, ServerConnection,
    StatementAlias,
};
use super::statement_names::StatementNames;
use crate::extended_query::{
    self, MalformedMessage, ParseMessage, StatementText, Target, TargetKind,
};
use crate::frame::Frame;
use crate::message_tags::{backend, frontend};
use crate::prepared_statements;
use crate::server_messages::TransactionStatus;
use crate::sql_analysis;

/// Writes one session's messages to one server connection.
pub(super) struct MessageWriter<'a> {
    pub(super) server: &'a mut ServerConnection,
    /// The client's prepared statements.
    pub(super) names: StatementNames<'a>,
    /// Transaction status after the last batch.
    pub(super) status: TransactionStatus,
    /// Set to the name of the client's statement that a DEALLOCATE removes.
    pub(super) deallocated_name: &'a mut Option<Bytes>,
    /// Receives the bytes to send to the server.
    pub(super) buffer: &'a mut BytesMut,
}

impl MessageWriter<'_> {
    /// Writes one message and records the expected response. `is_alone`: the message is the only one in its batch.
    pub(super) fn write(&mut self, frame: &Frame, is_alone: bool) -> Result<(), MalformedMessage> {
        match frame.tag {
            frontend::QUERY => self.query(frame, is_alone)?,
            frontend::FUNCTION_CALL => self.send(frame, ExpectedResponse::Query),
            frontend::PARSE => self.parse(ParseMessage::read_to_keep(frame)?)?,
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
        // A `Query` destroys the server's unnamed statement.
        self.server.has_unnamed_statement = false;
        self.names.remove(Bytes::new());
        self.send(
            deallocation.as_ref().unwrap_or(frame),
            ExpectedResponse::Query,
        );
        Ok(())
    }

    /// Returns the `Query` to send instead of a DEALLOCATE of one of the client's statements, with the statement's name
    /// on the server connection. The statement is prepared first if necessary.
    fn query_deallocation(&mut self, sql: &[u8], is_alone: bool) -> Option<Frame> {
        let name = sql_analysis::deallocated_name(sql)?;
        let text = self.names.get(&name)?;
        if self.status == TransactionStatus::Failed {
            return None;
        }
        let server_name = if is_alone {
            self.prepare_separately(&text)
        } else {
            // An additional `Sync` would end the client's batch too early.
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
        if !self.names.has_capacity(&parse.name) {
            return Err(MalformedMessage);
        }
        if self.server.state.prepared.contains(&parse.text) {
            self.parse_prepared(parse);
        } else {
            self.parse_new(parse);
        }
        Ok(())
    }

    /// Writes a `Parse` of a DEALLOCATE. The statement to deallocate is prepared first if necessary. The text that is
    /// sent contains the name on the server connection; the client's text is stored unchanged.
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

    /// Writes a `Parse` of the unnamed statement. `text` is the client's text, `server_text` the text to send.
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

    /// Writes a `Parse` for a name that the client already uses. The server name is already in use too, so the server
    /// reports either an error in the text or the duplicate name.
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

    /// Handles a `Parse` of a text that is already prepared on the server connection. The `Parse` is answered locally
    /// unless the transaction has failed.
    fn parse_prepared(&mut self, parse: ParseMessage) {
        let is_rejected_by_server = self.status == TransactionStatus::Failed
            && !parse.text.analyze().is_accepted_in_failed_block;
        if is_rejected_by_server {
            // In a failed transaction the server answers with the error that only the transaction's end is accepted.
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

    /// Writes a `Parse` of a text that is not prepared on the server connection.
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
            // The name is kept until the message is answered, and must not keep the buffer of the message.
            TargetKind::Statement => self.close_named(Bytes::copy_from_slice(&target.name)),
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

    /// Answers a `Close` locally: the statement stays prepared on the server connection for other clients with the same
    /// text.
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
        // The server ignores a `Sync` during a copy.
        self.server.has_ignored_sync |= self.server.is_copying_in;
        self.send(frame, ExpectedResponse::Sync);
    }

    /// Prepares a text on the server connection unless the text is already prepared.
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

    /// Returns the name of a text on the server connection. Prepares the text first if necessary.
    fn ensure_prepared(&mut self, text: &StatementText) -> Bytes {
        if !self.server.state.prepared.contains(text) {
            self.prepare(text, Origin::Proxy, None);
        }
        self.server.state.prepared.use_statement(text).name
    }

    /// Like [`Self::ensure_prepared`], but in a separate batch, so that an error does not make the server ignore the
    /// following `Query`.
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

    /// Returns the name on the server connection of one of the client's statements. Prepares the statement first if
    /// necessary.
    fn resolve(&mut self, name: &Bytes) -> Bytes {
        let text = self.names.get(name);
        if name.is_empty() {
            self.resolve_unnamed(text.as_ref());
            return Bytes::new();
        }
        match text {
            Some(text) => self.ensure_prepared(&text),
            // A name in the proxy's own format could refer to another client's statement. The prefix ensures that the
            // name does not exist, while the server's error still contains the client's name.
            None if prepared_statements::is_server_name(name) => {
                Bytes::from([b"undefined ", &name[..]].concat())
            }
            None => name.clone(),
        }
    }

    /// Sets the server connection's unnamed statement to the client's, or closes it if the client has none.
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
            // The server's unnamed statement may belong to another client.
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

/// Creates a `Query` with this SQL.
pub(super) fn query_frame(sql: &[u8]) -> Frame {
    Frame::new(frontend::QUERY, [sql, b"\0"].concat())
}

fn deallocate_sql(server_name: &[u8]) -> Vec<u8> {
    [b"DEALLOCATE \"", server_name, b"\""].concat()
}
