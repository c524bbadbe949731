//! The operators' console: the database `badgerpost`, for named users. Any client that sends simple queries can use it.
//!
//! - `command`: the commands, and what they do
//! - `table`, `tables`: what SHOW prints

mod command;
mod table;
mod tables;

use std::time::Duration;

use badgerpost_postgres_session::frame::{DecodeResult, Frame};
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

/// Most bytes that are read at once.
const READ_BUFFER_SIZE: usize = 1024;
/// Most consoles that are open at a time.
const MAX_CONSOLES: usize = 32;
/// Longest time without a message from a console's client. It does not run while a command does.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);
/// Longest time in which a console's client has to take a response.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// What the console reports of itself, so that drivers and `psql` can work with it.
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

/// Serves the console until the client closes it, is idle for too long or does not read, or the node stops.
///
/// # Errors
/// [`ClientError`] if the connection breaks, the client does not follow the protocol, or a limit ends the console.
pub async fn serve(
    context: &ServerContext,
    mut client: Client,
    user: String,
    mut stopping: watch::Receiver<bool>,
) -> Result<(), ClientError> {
    if context.consoles.get() >= MAX_CONSOLES {
        let detail = "all of the node's consoles are in use";
        let error = ClientError::NotAllowed(detail);
        return Err(client
            .reject(ErrorReason::TooManyClients, Some(detail), error)
            .await);
    }
    let _guard = context.consoles.open();
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

/// Why a console has ended.
enum ConsoleEnd {
    /// Its client has closed it.
    Closed,
    /// Its client has sent nothing for too long.
    Idle,
    /// The node is shutting down.
    Stopping,
}

/// The first messages to a client. It can't cancel anything, so its key is empty.
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

/// One user's console.
struct ConsoleSession<'a> {
    context: &'a ServerContext,
    client: Client,
    user: String,
    /// An extended query was rejected: its other messages are skipped up to the `Sync`.
    skips_until_sync: bool,
    /// A response is being sent.
    is_sending: bool,
}

impl ConsoleSession<'_> {
    /// Answers the client until it leaves or is idle for too long.
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

    /// Ends the console, and tells its client why.
    async fn end(&mut self, reason: ErrorReason) -> Result<(), ClientError> {
        if self.is_sending {
            // Behind a part of a response it could not be read.
            return Ok(());
        }
        self.send(&[error_response(reason, None)]).await
    }

    /// Sends messages to a client that reads them in time.
    async fn send(&mut self, frames: &[Frame]) -> Result<(), ClientError> {
        self.is_sending = true;
        let sent = self.client.send(frames);
        let sent = self.context.clock().timeout(SEND_TIMEOUT, sent).await;
        self.is_sending = false;
        match sent {
            Ok(sent) => Ok(sent?),
            Err(_) => Err(ClientError::NotAllowed("it does not read its responses")),
        }
    }

    /// The client's next message; `None` at the end of the connection.
    async fn next_frame(&mut self) -> Result<Option<Frame>, ClientError> {
        loop {
            match self.client.decoder.next_from_client()? {
                Some(DecodeResult::Frame(frame)) => return Ok(Some(frame)),
                // Copied data without a COPY.
                Some(DecodeResult::Chunk { .. }) => continue,
                None => {}
            }
            let mut buffer = vec![0; READ_BUFFER_SIZE];
            let read = self.client.stream.read(&mut buffer).await?;
            if read == 0 {
                return Ok(None);
            }
            self.client.decoder.push(&buffer[..read]);
        }
    }

    /// Runs the commands of a simple query, up to the first that fails.
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
        let detail = Some("the console takes simple queries only");
        let error = error_response(ErrorReason::Unsupported, detail);
        self.send(&[error]).await
    }
}
