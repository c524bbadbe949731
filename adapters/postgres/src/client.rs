//! A client's connection before it has a session: messages are written and read one at a time.

use std::io;

use badgerpost_postgres_session::frame::{DecodeResult, Frame, FrameDecoder, FrameError};
use badgerpost_postgres_session::message_tags::frontend;
use badgerpost_postgres_session::scram::ScramError;
use badgerpost_postgres_session::server_messages::{ErrorReason, error_response};
use badgerpost_postgres_session::settings::SettingsError;
use badgerpost_postgres_session::startup::StartupError;
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::stream::Stream;

/// Most bytes of a message of the authentication.
const MAX_PASSWORD_MESSAGE_LENGTH: usize = 4096;
/// Most bytes that are read at once.
const READ_BUFFER_SIZE: usize = 4096;

/// Why a client gets no session.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection broke.
    #[error("{0}")]
    Socket(#[from] io::Error),
    /// Its first packet is not of the protocol, or asks for something that is not supported.
    #[error("{0}")]
    Startup(#[from] StartupError),
    /// What it sent is no message.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// A parameter of its start-up message is not supported.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// It is authenticated, but not authorized, or there is no capacity for it.
    #[error("{0}")]
    NotAllowed(&'static str),
    /// Its authentication failed.
    #[error("{0}")]
    Authentication(#[from] ScramError),
    /// It has closed the connection.
    #[error("it closed the connection")]
    Closed,
    /// The system gives no random numbers.
    #[error("the system has no random numbers")]
    Random,
}

/// A client that has no session yet.
pub struct Client {
    /// The bytes in both directions.
    pub stream: Stream,
    /// Bytes that were received and not handled yet.
    pub decoder: FrameDecoder,
}

impl Client {
    /// Writes bytes as they are.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await?;
        self.stream.flush().await
    }

    /// Writes messages.
    pub async fn send(&mut self, frames: &[Frame]) -> io::Result<()> {
        let mut out = BytesMut::new();
        frames.iter().for_each(|frame| frame.write(&mut out));
        self.write(&out).await
    }

    /// Sends the client the reason why it gets no session. Returns the cause, or the socket's error if sending fails.
    pub async fn reject(
        &mut self,
        reason: ErrorReason,
        detail: Option<&str>,
        cause: impl Into<ClientError>,
    ) -> ClientError {
        match self.send(&[error_response(reason, detail)]).await {
            Ok(()) => cause.into(),
            Err(error) => error.into(),
        }
    }

    /// The next message, which has to be one of the authentication.
    ///
    /// # Errors
    /// [`ClientError`] if it is another one or too long, or if the connection has ended.
    pub async fn read_password_message(&mut self) -> Result<Frame, ClientError> {
        loop {
            match self.decoder.next_from_client()? {
                Some(DecodeResult::Frame(frame))
                    if frame.tag == frontend::PASSWORD
                        && frame.body.len() <= MAX_PASSWORD_MESSAGE_LENGTH =>
                {
                    return Ok(frame);
                }
                Some(_) => return Err(ScramError::Malformed.into()),
                None => {}
            }
            let mut buffer = vec![0; READ_BUFFER_SIZE];
            let read = self.stream.read(&mut buffer).await?;
            if read == 0 {
                return Err(ClientError::Closed);
            }
            self.decoder.push(&buffer[..read]);
        }
    }
}

/// Random bytes from the operating system.
///
/// # Errors
/// [`ClientError::Random`] if it gives none.
pub fn random_bytes<const N: usize>() -> Result<[u8; N], ClientError> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).map_err(|_| ClientError::Random)?;
    Ok(bytes)
}
