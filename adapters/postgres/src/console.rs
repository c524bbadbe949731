//! The operators' console: the database `badgerpost`, for named users. Any client that sends simple queries can use it.
//!
//! - `command`: the commands, and what they do
//! - `table`, `tables`: what SHOW prints

mod command;
mod table;
mod tables;

use badgerpost_postgres_session::frame::{DecodeResult, Frame};
use badgerpost_postgres_session::message_tags::{backend, frontend};
use badgerpost_postgres_session::server_messages::{
    ErrorReason, ParameterStatus, TransactionStatus, authentication_ok, backend_key_data,
    error_response,
};
use tokio::io::AsyncReadExt;

use self::command::{Command, CommandError};
use crate::client::{Client, ClientError};
use crate::context::ServerContext;

/// Most bytes that are read at once.
const READ_BUFFER_SIZE: usize = 1024;
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

/// Serves the console until the client closes it.
///
/// # Errors
/// [`ClientError`] if the connection breaks, or the client does not follow the protocol.
pub async fn serve(
    context: &ServerContext,
    client: Client,
    user: String,
) -> Result<(), ClientError> {
    tracing::info!(user, "console opened");
    let mut console = ConsoleSession {
        context,
        client,
        user,
        skips_until_sync: false,
    };
    console.client.send(&greeting()).await?;
    while let Some(frame) = console.next_frame().await? {
        match frame.tag {
            frontend::TERMINATE => return Ok(()),
            frontend::QUERY => console.answer_query(&frame).await?,
            frontend::SYNC => console.answer_sync().await?,
            frontend::FLUSH => {}
            _ => console.reject_extended_query().await?,
        }
    }
    Ok(())
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
}

impl ConsoleSession<'_> {
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
            if let Err(error) = self.run(command, &mut response).await {
                let detail = error.to_string();
                response.push(error_response(ErrorReason::Unsupported, Some(&detail)));
                break;
            }
        }
        if response.is_empty() {
            response.push(Frame::new(backend::EMPTY_QUERY_RESPONSE, &b""[..]));
        }
        response.push(TransactionStatus::Idle.ready_for_query());
        Ok(self.client.send(&response).await?)
    }

    async fn run(&self, command: &str, response: &mut Vec<Frame>) -> Result<(), CommandError> {
        Command::parse(command)?.run(self.context, response).await
    }

    async fn answer_sync(&mut self) -> Result<(), ClientError> {
        self.skips_until_sync = false;
        let ready = TransactionStatus::Idle.ready_for_query();
        Ok(self.client.send(&[ready]).await?)
    }

    async fn reject_extended_query(&mut self) -> Result<(), ClientError> {
        if std::mem::replace(&mut self.skips_until_sync, true) {
            return Ok(());
        }
        let detail = Some("the console takes simple queries only");
        let error = error_response(ErrorReason::Unsupported, detail);
        Ok(self.client.send(&[error]).await?)
    }
}
