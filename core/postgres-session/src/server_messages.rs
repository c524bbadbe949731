//! Server messages that the proxy creates, reads or changes: `ErrorResponse` ("Error and Notice Message Fields"),
//! `ReadyForQuery`, `CommandComplete`, `ParameterStatus`, authentication messages and `BackendKeyData`.
//!
//! Reference for the codes: PostgreSQL documentation, appendix "PostgreSQL Error Codes".

use std::borrow::Cow;

use bytes::{BufMut, BytesMut};

use crate::frame::Frame;
use crate::message_tags::{authentication, backend};

/// Why the proxy sends an error to the client instead of a server's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorReason {
    /// No server has capacity: the transaction was not run, and a retry is safe.
    Rejected {
        /// How long the client should wait before it retries, in milliseconds; 0 if it can retry at once.
        retry_after_ms: u64,
    },
    /// The server was lost or did not respond in time; the statement may have run.
    MayHaveRun,
    /// The server was lost during an uncommitted transaction, which is rolled back.
    TransactionLost,
    /// The server was lost before it answered COMMIT; the transaction may or may not be committed.
    CommitUnknown,
    /// The transaction has failed; only the end of the transaction is accepted.
    InFailedTransaction,
    /// The node is shutting down; the session ends.
    ShuttingDown,
    /// The session exceeded its idle timeout and ends.
    IdleTimeout,
    /// The client violated the protocol; the session ends.
    ProtocolViolation,
    /// Authentication failed; the session ends.
    AuthenticationFailed,
    /// The client is not authorized; the session ends.
    NotAuthorized,
    /// The limit of client connections is reached; the session ends.
    TooManyClients,
    /// The node's memory for messages and statements of clients is used up; the session ends.
    OutOfMemory,
    /// No server is reachable; the session ends.
    NoServer,
    /// The client requested an unsupported feature.
    Unsupported,
}

impl ErrorReason {
    /// The SQLSTATE of the error.
    #[must_use]
    pub fn sqlstate(self) -> &'static str {
        match self {
            // too_many_connections
            Self::Rejected { .. } => "53300",
            // connection_failure
            Self::MayHaveRun | Self::TransactionLost => "08006",
            // transaction_resolution_unknown
            Self::CommitUnknown => "08007",
            // in_failed_sql_transaction
            Self::InFailedTransaction => "25P02",
            // admin_shutdown
            Self::ShuttingDown => "57P01",
            // idle_session_timeout
            Self::IdleTimeout => "57P05",
            // protocol_violation
            Self::ProtocolViolation => "08P01",
            // invalid_password
            Self::AuthenticationFailed => "28P01",
            // invalid_authorization_specification
            Self::NotAuthorized => "28000",
            Self::TooManyClients => "53300",
            // out_of_memory
            Self::OutOfMemory => "53200",
            // cannot_connect_now
            Self::NoServer => "57P03",
            // feature_not_supported
            Self::Unsupported => "0A000",
        }
    }

    /// Whether the error ends the session.
    #[must_use]
    pub fn is_fatal(self) -> bool {
        matches!(
            self,
            Self::ShuttingDown
                | Self::IdleTimeout
                | Self::ProtocolViolation
                | Self::AuthenticationFailed
                | Self::NotAuthorized
                | Self::TooManyClients
                | Self::OutOfMemory
                | Self::NoServer
        )
    }

    fn message(self) -> &'static str {
        match self {
            Self::Rejected { .. } => "no server has capacity; the transaction was not run",
            Self::MayHaveRun => {
                "server connection lost or timed out; the statement may have been executed"
            }
            Self::TransactionLost => "server connection lost; the transaction is rolled back",
            Self::CommitUnknown => {
                "server connection lost before COMMIT was answered; the transaction may be committed"
            }
            Self::InFailedTransaction => {
                "current transaction is aborted, commands ignored until end of transaction block"
            }
            Self::ShuttingDown => "terminating connection because the node is shutting down",
            Self::IdleTimeout => "terminating connection due to idle-session timeout",
            Self::ProtocolViolation => "message violates the PostgreSQL protocol",
            Self::AuthenticationFailed => "authentication failed",
            Self::NotAuthorized => "client is not authorized to connect",
            Self::TooManyClients => "sorry, too many clients already",
            Self::OutOfMemory => {
                "the node's memory for client messages is used up; a statement that was sent may have been executed"
            }
            Self::NoServer => "no database server is reachable",
            Self::Unsupported => "feature is not supported by the node",
        }
    }

    fn hint(self) -> Option<String> {
        match self {
            Self::Rejected { retry_after_ms: 0 } => Some("Trying again is harmless.".to_owned()),
            Self::Rejected { retry_after_ms } => Some(format!(
                "Trying again is harmless, after {retry_after_ms} ms."
            )),
            Self::TooManyClients | Self::NoServer => {
                Some("Trying again is harmless, after 1000 ms.".to_owned())
            }
            Self::CommitUnknown => {
                Some("Check whether the transaction is committed before you repeat it.".to_owned())
            }
            _ => None,
        }
    }
}

/// Field codes of an `ErrorResponse`.
mod error_field {
    pub(super) const SEVERITY: u8 = b'S';
    /// Like [`SEVERITY`], but never translated.
    pub(super) const SEVERITY_NONLOCALIZED: u8 = b'V';
    pub(super) const CODE: u8 = b'C';
    pub(super) const MESSAGE: u8 = b'M';
    pub(super) const DETAIL: u8 = b'D';
    pub(super) const HINT: u8 = b'H';
}

/// Creates an `ErrorResponse`. Zero bytes in `detail` are removed.
#[must_use]
pub fn error_response(reason: ErrorReason, detail: Option<&str>) -> Frame {
    let severity = if reason.is_fatal() { "FATAL" } else { "ERROR" };
    let hint = reason.hint();
    let fields = [
        (error_field::SEVERITY, Some(severity)),
        (error_field::SEVERITY_NONLOCALIZED, Some(severity)),
        (error_field::CODE, Some(reason.sqlstate())),
        (error_field::MESSAGE, Some(reason.message())),
        (error_field::DETAIL, detail),
        (error_field::HINT, hint.as_deref()),
    ];
    let mut body = BytesMut::new();
    for (code, text) in fields {
        if let Some(text) = text {
            // A zero byte would terminate the field early.
            write_field(&mut body, code, &text.replace('\0', ""));
        }
    }
    body.put_u8(0);
    Frame::new(backend::ERROR_RESPONSE, body.freeze())
}

/// SQLSTATE and message of a server's `ErrorResponse`. Invalid UTF-8 is replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerError {
    /// SQLSTATE; empty if the field is absent.
    pub code: String,
    /// Primary message; empty if the field is absent.
    pub message: String,
}

impl ServerError {
    /// Reads the body of an `ErrorResponse`.
    #[must_use]
    pub fn read(error: &Frame) -> Self {
        let field = |wanted: u8| {
            let mut fields = error.body.split(|byte| *byte == 0);
            let text = fields.find_map(|field| field.strip_prefix(&[wanted]));
            String::from_utf8_lossy(text.unwrap_or_default()).into_owned()
        };
        Self {
            code: field(error_field::CODE),
            message: field(error_field::MESSAGE),
        }
    }
}

/// Changes the severity of a server's `ErrorResponse` to `FATAL`.
#[must_use]
pub fn with_fatal_severity(error: &Frame) -> Frame {
    map_fields(error, |code, text| match code {
        error_field::SEVERITY | error_field::SEVERITY_NONLOCALIZED => "FATAL".to_owned(),
        _ => text.to_owned(),
    })
}

/// Whether an `ErrorResponse` has severity `FATAL` or `PANIC` and so ends its connection.
#[must_use]
pub fn is_fatal(error: &Frame) -> bool {
    let mut fields = error.body.split(|byte| *byte == 0);
    fields.any(|field| matches!(field, b"VFATAL" | b"VPANIC"))
}

/// Replaces the quoted server name of a statement in the message of an `ErrorResponse` with the client's name.
#[must_use]
pub fn with_statement_name(error: &Frame, server_name: &[u8], client_name: &[u8]) -> Frame {
    let quoted = |name: &[u8]| format!("\"{}\"", String::from_utf8_lossy(name));
    map_fields(error, |code, text| match code {
        error_field::MESSAGE => text.replace(&quoted(server_name), &quoted(client_name)),
        _ => text.to_owned(),
    })
}

/// Replaces the text of each field of an `ErrorResponse` with the result of `change` for the field's code and text.
fn map_fields(error: &Frame, change: impl Fn(u8, &str) -> String) -> Frame {
    let mut body = BytesMut::new();
    for field in error.body.split(|byte| *byte == 0) {
        if let Some((code, text)) = field.split_first() {
            write_field(
                &mut body,
                *code,
                &change(*code, &String::from_utf8_lossy(text)),
            );
        }
    }
    body.put_u8(0);
    Frame::new(error.tag, body.freeze())
}

fn write_field(body: &mut BytesMut, code: u8, text: &str) {
    body.put_u8(code);
    body.put_slice(text.as_bytes());
    body.put_u8(0);
}

/// Transaction status reported by `ReadyForQuery`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionStatus {
    /// Not in a transaction block.
    #[default]
    Idle,
    /// In a transaction block.
    InBlock,
    /// In a failed transaction block; statements are rejected until the block ends.
    Failed,
}

impl TransactionStatus {
    /// Reads the status byte of a `ReadyForQuery`; `None` if the byte is invalid.
    #[must_use]
    pub fn read(byte: u8) -> Option<Self> {
        match byte {
            b'I' => Some(Self::Idle),
            b'T' => Some(Self::InBlock),
            b'E' => Some(Self::Failed),
            _ => None,
        }
    }

    /// Creates a `ReadyForQuery` that reports this status.
    #[must_use]
    pub fn ready_for_query(self) -> Frame {
        let byte = match self {
            Self::Idle => &b"I"[..],
            Self::InBlock => b"T",
            Self::Failed => b"E",
        };
        Frame::new(backend::READY_FOR_QUERY, byte)
    }
}

/// Creates an `AuthenticationOk`.
#[must_use]
pub fn authentication_ok() -> Frame {
    authentication_request(authentication::OK, &[])
}

/// Creates an authentication message with this code; see [`authentication`].
#[must_use]
pub fn authentication_request(code: u32, data: &[u8]) -> Frame {
    Frame::new(
        backend::AUTHENTICATION,
        [&code.to_be_bytes(), data].concat(),
    )
}

/// Creates a `BackendKeyData` with the process ID and secret key that the client uses in cancel requests.
#[must_use]
pub fn backend_key_data(process_id: u32, secret_key: [u8; 4]) -> Frame {
    Frame::new(
        backend::BACKEND_KEY_DATA,
        [process_id.to_be_bytes(), secret_key].concat(),
    )
}

/// Creates a `CommandComplete` with this command tag.
#[must_use]
pub fn command_complete(command_tag: &str) -> Frame {
    let body = format!("{command_tag}\0").into_bytes();
    Frame::new(backend::COMMAND_COMPLETE, body)
}

/// A `ParameterStatus`, which reports the value of a setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParameterStatus<'a> {
    /// The setting's name in the server's spelling.
    pub name: Cow<'a, str>,
    /// The setting's current value.
    pub value: Cow<'a, str>,
}

impl<'a> ParameterStatus<'a> {
    /// Reads the body of a `ParameterStatus`; `None` if the body does not hold two strings. Invalid UTF-8 is replaced.
    #[must_use]
    pub fn read(frame: &'a Frame) -> Option<Self> {
        let mut strings = frame
            .body
            .split(|byte| *byte == 0)
            .map(String::from_utf8_lossy);
        Some(Self {
            name: strings.next()?,
            value: strings.next()?,
        })
    }

    /// Encodes the message.
    #[must_use]
    pub fn to_frame(&self) -> Frame {
        let body = format!("{}\0{}\0", self.name, self.value).into_bytes();
        Frame::new(backend::PARAMETER_STATUS, body)
    }
}

#[cfg(test)]
mod tests;
