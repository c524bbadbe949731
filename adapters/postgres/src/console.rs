//! The operators' console, served as the database `badgerpost` to the configured users. Only the simple query protocol
//! is supported.
//!
//! - `command`: parses and runs the commands
//! - `table`, `tables`: the output of SHOW

mod command;
mod table;
mod tables;

use std::time::Duration;

use badgerpost_postgres_session::frame::{DecodeResult, Frame, FrameError};
use badgerpost_postgres_session::message_tags::{backend, frontend};
use badgerpost_postgres_session::server_messages::{
    ErrorReason, ParameterStatus, TransactionStatus, authentication_ok, backend_key_data,
    error_response,
};
use tokio::io::AsyncReadExt;
use tokio::sync::watch;

use self::command::{Command, CommandError};
use crate::client::{Client, ClientError};
use crate::context::ServerContext;

/// Maximum number of bytes per read.
const READ_BUFFER_SIZE: usize = 1024;
/// Maximum length of a message from a console's client in bytes, without the type byte.
const MAX_MESSAGE_LENGTH: usize = 16 * 1024;
/// Maximum number of open consoles.
const MAX_CONSOLES: usize = 32;
/// Time without a message from the client after which a console is closed. Does not elapse while a command runs.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);
/// Time limit for sending a response to a console's client.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// The parameters that the console reports, as drivers and `psql` require them.
const PARAMETERS: [(&str, &str); 7] = [
    (
        "server_version",
        concat!("16.0 (badgerpost ", env!("CARGO_PKG_VERSION"), ")"),
    ),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("standard_conforming_strings", "on"),
    ("integer_datetimes", "on"),
    ("TimeZone", "UTC"),
];

/// Serves the console until the client disconnects or is idle for too long, sending fails or times out, or the node
/// stops.
///
/// # Errors
/// [`ClientError`] if the connection fails, the client violates the protocol, or a limit is exceeded.
pub async fn serve(
    context: &ServerContext,
    mut client: Client,
    user: String,
    mut stopping: watch::Receiver<bool>,
) -> Result<(), ClientError> {
    if context.consoles.get() >= MAX_CONSOLES {
        let detail = "the node's limit on open consoles is reached";
        let error = ClientError::NotAllowed(detail);
        return Err(client
            .reject(ErrorReason::TooManyClients, Some(detail), error)
            .await);
    }
    let _guard = context.consoles.open();
    client.decoder.set_max_length(MAX_MESSAGE_LENGTH);
    tracing::info!(user, "console opened");
    let mut console = ConsoleSession {
        context,
        client,
        user,
        skips_until_sync: false,
        is_sending: false,
    };
    let end = tokio::select! {
        biased;
        end = console.run() => end?,
        _ = stopping.wait_for(|stopping| *stopping) => ConsoleEnd::Stopping,
    };
    match end {
        ConsoleEnd::Closed => Ok(()),
        ConsoleEnd::Idle => console.end(ErrorReason::IdleTimeout).await,
        ConsoleEnd::Stopping => console.end(ErrorReason::ShuttingDown).await,
    }
}

/// Why a console was closed.
enum ConsoleEnd {
    /// The client disconnected.
    Closed,
    /// The client sent nothing within the idle timeout.
    Idle,
    /// The node is shutting down.
    Stopping,
}

/// The start-up messages to the client. Console commands cannot be cancelled, so `BackendKeyData` is zero.
fn greeting() -> Vec<Frame> {
    let mut frames = vec![authentication_ok()];
    frames.extend(PARAMETERS.map(|(name, value)| {
        let status = ParameterStatus {
            name: name.into(),
            value: value.into(),
        };
        status.to_frame()
    }));
    frames.push(backend_key_data(0, [0; 4]));
    frames.push(TransactionStatus::Idle.ready_for_query());
    frames
}

/// One client's console.
struct ConsoleSession<'a> {
    context: &'a ServerContext,
    client: Client,
    user: String,
    /// Whether messages are ignored up to the next `Sync`, because an extended query was rejected.
    skips_until_sync: bool,
    /// Whether a response is partly sent.
    is_sending: bool,
}

impl ConsoleSession<'_> {
    /// Handles the client's messages until the client disconnects or is idle for too long.
    async fn run(&mut self) -> Result<ConsoleEnd, ClientError> {
        self.send(&greeting()).await?;
        loop {
            let clock = self.context.clock();
            let frame = match clock.timeout(IDLE_TIMEOUT, self.next_frame()).await {
                Ok(Ok(Some(frame))) => frame,
                Ok(Ok(None)) => return Ok(ConsoleEnd::Closed),
                Ok(Err(error)) => return Err(error),
                Err(_) => return Ok(ConsoleEnd::Idle),
            };
            match frame.tag {
                frontend::TERMINATE => return Ok(ConsoleEnd::Closed),
                frontend::QUERY => self.answer_query(&frame).await?,
                frontend::SYNC => self.answer_sync().await?,
                frontend::FLUSH => {}
                _ => self.reject_extended_query().await?,
            }
        }
    }

    /// Sends the client an `ErrorResponse` with the reason for closing the console.
    async fn end(&mut self, reason: ErrorReason) -> Result<(), ClientError> {
        if self.is_sending {
            // An error after a partial response could not be decoded by the client.
            return Ok(());
        }
        self.send(&[error_response(reason, None)]).await
    }

    /// Sends messages; an error if the client does not read them within the time limit.
    async fn send(&mut self, frames: &[Frame]) -> Result<(), ClientError> {
        self.is_sending = true;
        let sent = self.client.send(frames);
        let sent = self.context.clock().timeout(SEND_TIMEOUT, sent).await;
        self.is_sending = false;
        match sent {
            Ok(sent) => Ok(sent?),
            Err(_) => Err(ClientError::NotAllowed(
                "the client did not read a response within the time limit",
            )),
        }
    }

    /// Reads the client's next message; `None` at the end of the connection.
    async fn next_frame(&mut self) -> Result<Option<Frame>, ClientError> {
        loop {
            match self.client.decoder.next_from_client() {
                Ok(Some(DecodeResult::Frame(frame))) => return Ok(Some(frame)),
                // CopyData outside a COPY is ignored.
                Ok(Some(DecodeResult::Chunk { .. })) => continue,
                Ok(None) => {}
                Err(error) => return Err(self.reject_message(error).await),
            }
            let mut buffer = vec![0; READ_BUFFER_SIZE];
            let read = self.client.stream.read(&mut buffer).await?;
            if read == 0 {
                return Ok(None);
            }
            self.client.decoder.push(&buffer[..read]);
        }
    }

    /// Tells the client why the console is closed.
    async fn reject_message(&mut self, error: FrameError) -> ClientError {
        let response = error_response(ErrorReason::ProtocolViolation, Some(&error.to_string()));
        match self.send(&[response]).await {
            Ok(()) => error.into(),
            Err(send_error) => send_error,
        }
    }

    /// Runs the commands of a simple query, up to the first command that fails.
    async fn answer_query(&mut self, query: &Frame) -> Result<(), ClientError> {
        let text = String::from_utf8_lossy(query.first_string().unwrap_or_default()).into_owned();
        let commands = text
            .split(';')
            .map(str::trim)
            .filter(|command| !command.is_empty());
        let mut response = Vec::new();
        for command in commands {
            tracing::info!(user = self.user, command, "console command");
            if let Err(error) = self.run_command(command, &mut response).await {
                let detail = error.to_string();
                response.push(error_response(ErrorReason::Unsupported, Some(&detail)));
                break;
            }
        }
        if response.is_empty() {
            response.push(Frame::new(backend::EMPTY_QUERY_RESPONSE, &b""[..]));
        }
        response.push(TransactionStatus::Idle.ready_for_query());
        self.send(&response).await
    }

    async fn run_command(
        &self,
        command: &str,
        response: &mut Vec<Frame>,
    ) -> Result<(), CommandError> {
        Command::parse(command)?.run(self.context, response).await
    }

    async fn answer_sync(&mut self) -> Result<(), ClientError> {
        self.skips_until_sync = false;
        let ready = TransactionStatus::Idle.ready_for_query();
        self.send(&[ready]).await
    }

    async fn reject_extended_query(&mut self) -> Result<(), ClientError> {
        if std::mem::replace(&mut self.skips_until_sync, true) {
            return Ok(());
        }
        let detail = Some("the console supports the simple query protocol only");
        let error = error_response(ErrorReason::Unsupported, detail);
        self.send(&[error]).await
    }
}
