//! The server connection that a session has at the moment, and the responses that are expected from it.

use std::collections::VecDeque;

use bytes::Bytes;

use super::event::ServerState;
use crate::extended_query::StatementText;
use crate::frame::Frame;

/// Whether a session has a server connection.
#[derive(Debug, Default)]
pub(super) enum ServerLink {
    /// None is needed.
    #[default]
    None,
    /// One is requested.
    Requested {
        /// The session had one for the same transaction, which was lost.
        is_replacement: bool,
    },
    /// The session has this one.
    Attached(Box<ServerConnection>),
}

/// A server connection while a session has it.
#[derive(Debug)]
pub(super) struct ServerConnection {
    /// What outlives the session's use of it.
    pub(super) state: ServerState,
    /// Responses to all messages that were sent and are not answered, in order.
    pub(super) expected: VecDeque<ExpectedResponse>,
    /// The client's unnamed statement is the unnamed statement here.
    pub(super) has_unnamed_statement: bool,
    /// The client is to send data to be copied, and has not ended it.
    pub(super) is_copying_in: bool,
    /// A `Sync` was sent before the copied data. The server ignores it; the one behind the data takes its place.
    pub(super) has_ignored_sync: bool,
    /// The client's settings are tried here for the first time; nothing else is sent until they are accepted.
    pub(super) is_checking_settings: bool,
    /// The error that answered a message of this process's own.
    pub(super) setup_error: Option<Frame>,
    /// The server ignores all up to a `Sync` that has not come from the client yet.
    pub(super) skips_to_sync: bool,
    /// The BEGIN that this process had answered by itself has been sent.
    pub(super) begin_sent: bool,
}

impl ServerConnection {
    /// A connection to which nothing has been sent for the session.
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
        }
    }

    /// An error came: the server ignores the rest of a batch up to its `Sync`. Returns whether the error was in a
    /// batch, and not in a `Query`.
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

/// How a message changes the client's prepared statements once it is answered; the empty name is the unnamed one.
#[derive(Clone, Debug)]
pub(super) enum NameChange {
    /// The statement is prepared.
    Set {
        /// Its name.
        name: Bytes,
        /// Its text.
        text: StatementText,
    },
    /// The statement of this name is closed.
    Remove(Bytes),
}

/// Who a message to the server comes from, and so who gets the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// The client.
    Client,
    /// This process; the client must not see the response.
    Proxy,
}

/// Names of one statement, of which the client must only see its own.
#[derive(Clone, Debug)]
pub(super) struct StatementAlias {
    /// The name on the server connection.
    pub(super) server_name: Bytes,
    /// The client's name.
    pub(super) client_name: Bytes,
}

/// What is expected in answer to a `Parse`.
#[derive(Debug)]
pub(super) struct ExpectedParse {
    /// Who sent the `Parse`.
    pub(super) origin: Origin,
    /// The text that counts as prepared on the server connection, and does not if the `Parse` fails.
    pub(super) prepared_text: Option<StatementText>,
    /// The change of the client's statements once it has succeeded.
    pub(super) name_change: Option<NameChange>,
    /// The name in the server's error, and the one that replaces it for the client.
    pub(super) alias: Option<StatementAlias>,
}

impl ExpectedParse {
    /// The response to a `Parse` that changes nothing but the server connection.
    pub(super) fn new(origin: Origin) -> Self {
        Self {
            origin,
            prepared_text: None,
            name_change: None,
            alias: None,
        }
    }
}

/// The response that is expected to a message that was sent to the server.
#[derive(Debug)]
pub(super) enum ExpectedResponse {
    /// `ParseComplete`.
    Parse(ExpectedParse),
    /// `BindComplete`.
    Bind,
    /// `CloseComplete`.
    Close {
        /// Who sent the `Close`.
        origin: Origin,
        /// The change of the client's statements once it has succeeded.
        name_change: Option<NameChange>,
    },
    /// `RowDescription` or `NoData`.
    Describe,
    /// `CommandComplete`, `EmptyQueryResponse` or `PortalSuspended`.
    Execute,
    /// `ReadyForQuery` behind a `Query` or `FunctionCall`.
    Query,
    /// `ReadyForQuery` behind a `Sync`.
    Sync,
    /// All up to a `ReadyForQuery` answers messages of this process's own: settings, or a deferred BEGIN.
    Setup,
    /// Nothing from the server: this process answers the client's message once all before it are answered.
    Local(LocalResponse),
}

/// A response of this process's own to a message of the client's that no server gets.
#[derive(Debug)]
pub(super) struct LocalResponse {
    /// The message.
    pub(super) frame: Frame,
    /// The change of the client's statements.
    pub(super) name_change: NameChange,
}
