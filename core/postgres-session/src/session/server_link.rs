//! A session's server connection and the responses expected from it.

use std::collections::VecDeque;

use bytes::Bytes;

use super::event::ServerState;
use crate::extended_query::StatementText;
use crate::frame::Frame;

/// State of a session's server connection.
#[derive(Debug, Default)]
pub(super) enum ServerLink {
    /// No connection is attached or requested.
    #[default]
    None,
    /// A connection is requested.
    Requested {
        /// The request replaces a lost connection of the same transaction.
        is_replacement: bool,
    },
    /// The session uses this connection.
    Attached(Box<ServerConnection>),
}

/// A server connection attached to a session.
#[derive(Debug)]
pub(super) struct ServerConnection {
    /// State that is kept when the connection is released.
    pub(super) state: ServerState,
    /// Expected responses to all unanswered messages, in order.
    pub(super) expected: VecDeque<ExpectedResponse>,
    /// The connection's unnamed statement is the client's unnamed statement.
    pub(super) has_unnamed_statement: bool,
    /// A copy from the client is in progress.
    pub(super) is_copying_in: bool,
    /// A `Sync` was sent before the copy data. The server ignores it and answers the `Sync` after the data instead.
    pub(super) has_ignored_sync: bool,
    /// No server has accepted the client's settings yet; only the settings are sent until this server accepts them.
    pub(super) is_checking_settings: bool,
    /// The server's error in response to a setup message of the proxy.
    pub(super) setup_error: Option<Frame>,
    /// The server ignores all messages up to a `Sync` that the client has not sent yet.
    pub(super) skips_to_sync: bool,
    /// The deferred BEGIN has been sent on this connection.
    pub(super) begin_sent: bool,
    /// Messages of a batch have been sent since the last `ReadyForQuery`. Outside a transaction block they belong to an
    /// implicit transaction, which the next `Sync` or `Query` on the connection commits, whoever sends it.
    pub(super) has_open_batch: bool,
    /// Only part of a `CopyData` message has been sent. The server takes whatever is sent next for the rest of it.
    pub(super) is_copy_message_incomplete: bool,
}

impl ServerConnection {
    /// Creates the link state of a connection on which the session has sent nothing.
    pub(super) fn new(state: ServerState) -> Self {
        Self {
            state,
            expected: VecDeque::new(),
            has_unnamed_statement: false,
            is_copying_in: false,
            has_ignored_sync: false,
            is_checking_settings: false,
            setup_error: None,
            skips_to_sync: false,
            begin_sent: false,
            has_open_batch: false,
            is_copy_message_incomplete: false,
        }
    }

    /// Whether the server waits for copy data, or for the `Sync` that ends a copy.
    pub(super) fn awaits_copy_end(&self) -> bool {
        self.is_copying_in || self.has_ignored_sync
    }

    /// Whether nothing that was sent on the connection is unfinished, so that another session can use it.
    pub(super) fn is_reusable(&self) -> bool {
        self.expected.is_empty() && !self.has_open_batch && !self.is_copy_message_incomplete
    }

    /// After an error in the extended query protocol, drops the expected responses up to the batch's `Sync`, because
    /// the server ignores those messages. Returns false if the error answers a `Query` or no message.
    pub(super) fn skip_failed_batch(&mut self) -> bool {
        if matches!(self.expected.front(), None | Some(ExpectedResponse::Query)) {
            return false;
        }
        self.has_unnamed_statement = false;
        while let Some(response) = self.expected.pop_front() {
            match response {
                ExpectedResponse::Sync => {
                    self.expected.push_front(response);
                    return true;
                }
                ExpectedResponse::Parse(ExpectedParse {
                    prepared_text: Some(text),
                    ..
                }) => self.state.prepared.remove(&text),
                _ => {}
            }
        }
        self.skips_to_sync = true;
        true
    }
}

/// Change to the client's prepared statements when a message is answered. The empty name is the unnamed statement.
#[derive(Clone, Debug)]
pub(super) enum NameChange {
    /// The statement is prepared.
    Set {
        /// The client's name for the statement.
        name: Bytes,
        /// The statement's SQL and parameter types.
        text: StatementText,
    },
    /// The statement of this name is closed.
    Remove(Bytes),
}

/// Sender of a message to the server; only responses to the client's messages are forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// The client; the response is forwarded.
    Client,
    /// The proxy; the response is not forwarded.
    Proxy,
}

/// The server's and the client's name of one statement. Messages to the client contain only the client's name.
#[derive(Clone, Debug)]
pub(super) struct StatementAlias {
    pub(super) server_name: Bytes,
    pub(super) client_name: Bytes,
}

/// Expected response to a `Parse`.
#[derive(Debug)]
pub(super) struct ExpectedParse {
    /// Sender of the `Parse`.
    pub(super) origin: Origin,
    /// Text that is removed from the connection's prepared statements if the `Parse` fails.
    pub(super) prepared_text: Option<StatementText>,
    /// Change to the client's statements if the `Parse` succeeds.
    pub(super) name_change: Option<NameChange>,
    /// Names to replace in the server's error before the client receives it.
    pub(super) alias: Option<StatementAlias>,
}

impl ExpectedParse {
    /// Creates the response to a `Parse` that changes neither the client's nor the connection's named statements.
    pub(super) fn new(origin: Origin) -> Self {
        Self {
            origin,
            prepared_text: None,
            name_change: None,
            alias: None,
        }
    }
}

/// Expected response to one message, or to one setup sequence, of a session.
#[derive(Debug)]
pub(super) enum ExpectedResponse {
    /// `ParseComplete`.
    Parse(ExpectedParse),
    /// `BindComplete`.
    Bind,
    /// `CloseComplete`.
    Close {
        /// Sender of the `Close`.
        origin: Origin,
        /// Change to the client's statements if the `Close` succeeds.
        name_change: Option<NameChange>,
    },
    /// `RowDescription` or `NoData`.
    Describe,
    /// `CommandComplete`, `EmptyQueryResponse` or `PortalSuspended`.
    Execute,
    /// `ReadyForQuery` after a `Query` or `FunctionCall`.
    Query,
    /// `ReadyForQuery` after a `Sync`.
    Sync,
    /// All messages up to a `ReadyForQuery` answer messages of the proxy: settings, a deferred BEGIN, or a statement
    /// prepared for a DEALLOCATE.
    Setup,
    /// No server message: the proxy answers the client's message after all earlier messages are answered.
    Local(LocalResponse),
}

/// The proxy's response to a client message that is not sent to a server.
#[derive(Debug)]
pub(super) struct LocalResponse {
    pub(super) frame: Frame,
    /// Change to the client's statements when the response is sent.
    pub(super) name_change: NameChange,
}
