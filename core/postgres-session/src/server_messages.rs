//! What the node itself tells a client, in the protocol's own words (`ErrorResponse`, "Error and Notice Message
//! Fields") and codes (PostgreSQL documentation, appendix "PostgreSQL Error Codes").

use bytes::{BufMut, BytesMut};

use crate::frame::Frame;

/// Why a statement has no answer of a server's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorReason {
    /// There is no room: it never ran, and trying again is harmless, but not sooner than this many milliseconds.
    Rejected {
        /// From now on.
        retry_after_ms: u64,
    },
    /// The server was lost, or too slow; the statement may have run.
    MayHaveRun,
    /// The server was lost in a transaction that had not been committed: nothing of it stays.
    TransactionLost,
    /// The server was lost behind a COMMIT: nobody knows.
    CommitUnknown,
    /// The transaction has failed; only its end is taken now.
    InFailedTransaction,
    /// The node is going; the session ends.
    Stopping,
    /// The client does not follow the protocol; the session ends.
    Protocol,
    /// It has not shown who it is; the session ends.
    Identity,
    /// It may not come here; the session ends.
    NotAllowed,
    /// All places for clients are taken; the session ends.
    TooManyClients,
    /// No server can be reached; the session ends.
    NoServer,
    /// What it asks for can't be had.
    Unsupported,
}

impl ErrorReason {
    /// Its SQLSTATE.
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
            Self::Stopping => "57P01",
            // protocol_violation
            Self::Protocol => "08P01",
            // invalid_password
            Self::Identity => "28P01",
            // invalid_authorization_specification
            Self::NotAllowed => "28000",
            Self::TooManyClients => "53300",
            // cannot_connect_now
            Self::NoServer => "57P03",
            // feature_not_supported
            Self::Unsupported => "0A000",
        }
    }

    /// Whether the session ends with it.
    pub fn is_fatal(self) -> bool {
        matches!(
            self,
            Self::Stopping
                | Self::Protocol
                | Self::Identity
                | Self::NotAllowed
                | Self::TooManyClients
                | Self::NoServer
        )
    }

    fn message(self) -> &'static str {
        match self {
            Self::Rejected { .. } => "no server has room for this transaction; it has not run",
            Self::MayHaveRun => "the server was lost; the statement may have run",
            Self::TransactionLost => "the server was lost; the transaction is rolled back",
            Self::CommitUnknown => {
                "the server was lost before it answered COMMIT; the transaction may be committed"
            }
            Self::InFailedTransaction => {
                "current transaction is aborted, commands ignored until end of transaction block"
            }
            Self::Stopping => "terminating connection: the node stops",
            Self::Protocol => "the message does not belong here",
            Self::Identity => "authentication failed",
            Self::NotAllowed => "this client may not come here",
            Self::TooManyClients => "sorry, too many clients already",
            Self::NoServer => "the database system is not reachable now",
            Self::Unsupported => "this is not supported by the node",
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
            Self::CommitUnknown => Some("Look whether it is, before you do it again.".to_owned()),
            _ => None,
        }
    }
}

/// `ErrorResponse`.
pub fn error_response(reason: ErrorReason, detail: Option<&str>) -> Frame {
    let severity = if reason.is_fatal() { "FATAL" } else { "ERROR" };
    let hint = reason.hint();
    let fields = [
        (b'S', Some(severity)),
        (b'V', Some(severity)),
        (b'C', Some(reason.sqlstate())),
        (b'M', Some(reason.message())),
        (b'D', detail),
        (b'H', hint.as_deref()),
    ];
    let mut body = BytesMut::new();
    for (field, text) in fields {
        // A zero would end the field early.
        let Some(text) = text.map(|text| text.replace('\0', "")) else {
            continue;
        };
        body.put_u8(field);
        body.put_slice(text.as_bytes());
        body.put_u8(0);
    }
    body.put_u8(0);
    Frame::new(b'E', body.freeze())
}

/// A server's error as one that ends the session.
pub fn with_fatal_severity(error: &Frame) -> Frame {
    edit(error, |field, text| match field {
        b'S' | b'V' => "FATAL".to_owned(),
        _ => text.to_owned(),
    })
}

/// Whether an error ends its connection.
pub fn is_fatal(error: &Frame) -> bool {
    let mut fields = error.body.split(|byte| *byte == 0);
    fields.any(|field| matches!(field, b"VFATAL" | b"VPANIC"))
}

/// A server's error with another name in its message.
pub fn with_statement_name(error: &Frame, here: &[u8], named: &[u8]) -> Frame {
    let quoted = |name: &[u8]| format!("\"{}\"", String::from_utf8_lossy(name));
    edit(error, |field, text| match field {
        b'M' => text.replace(&quoted(here), &quoted(named)),
        _ => text.to_owned(),
    })
}

fn edit(error: &Frame, change: impl Fn(u8, &str) -> String) -> Frame {
    let mut body = BytesMut::new();
    for field in error.body.split(|byte| *byte == 0) {
        let Some((kind, text)) = field.split_first() else {
            continue;
        };
        body.put_u8(*kind);
        body.put_slice(change(*kind, &String::from_utf8_lossy(text)).as_bytes());
        body.put_u8(0);
    }
    body.put_u8(0);
    Frame::new(error.tag, body.freeze())
}

/// Where a session's transaction stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionStatus {
    /// In none.
    #[default]
    Idle,
    /// In one.
    InBlock,
    /// In one that has failed.
    Failed,
}

impl TransactionStatus {
    /// As `ReadyForQuery` tells it.
    pub fn read(byte: u8) -> Option<Self> {
        match byte {
            b'I' => Some(Self::Idle),
            b'T' => Some(Self::InBlock),
            b'E' => Some(Self::Failed),
            _ => None,
        }
    }

    /// `ReadyForQuery`.
    pub fn ready(self) -> Frame {
        let byte = match self {
            Self::Idle => &b"I"[..],
            Self::InBlock => b"T",
            Self::Failed => b"E",
        };
        Frame::new(b'Z', byte)
    }
}

/// `CommandComplete`.
pub fn command_complete(tag: &str) -> Frame {
    Frame::new(b'C', format!("{tag}\0").into_bytes())
}

#[cfg(test)]
mod tests;
