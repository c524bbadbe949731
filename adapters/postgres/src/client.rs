//! A client's connection before its session starts. Reads and writes one message at a time.

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
use crate::unauthenticated_clients::PendingClient;

/// Maximum length of a message before the end of the authentication, in bytes, without the type byte: those of SCRAM
/// have less than a kilobyte. A client that has not proven who it is can't make the node buffer more.
const MAX_PASSWORD_MESSAGE_LENGTH: usize = 4096;
/// Maximum number of bytes per read.
const READ_BUFFER_SIZE: usize = 4096;

/// Why a client's connection was closed before or instead of a session.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection failed.
    #[error("{0}")]
    Socket(#[from] io::Error),
    /// A start-up packet is malformed or requests an unsupported feature.
    #[error("{0}")]
    Startup(#[from] StartupError),
    /// The received bytes are not a valid message.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// A parameter of the `StartupMessage` is not supported.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// The client is not authorized, exceeded a time limit, or found no capacity. Contains the reason.
    #[error("{0}")]
    NotAllowed(&'static str),
    /// The SCRAM authentication failed.
    #[error("{0}")]
    Authentication(#[from] ScramError),
    /// The client closed the connection during the authentication.
    #[error("the client closed the connection during the authentication")]
    Closed,
    /// The operating system returned no random bytes.
    #[error("the operating system returned no random bytes")]
    Random,
}

/// The connection of a client that has no session yet.
pub struct Client {
    /// The connection's byte stream, unencrypted or TLS.
    pub stream: Stream,
    /// Buffers received bytes and decodes them into messages.
    pub decoder: FrameDecoder,
}

impl Client {
    /// Creates a client that has not authenticated, whose messages may only be short.
    pub fn new(stream: Stream) -> Self {
        Self {
            stream,
            decoder: FrameDecoder::with_max_length(MAX_PASSWORD_MESSAGE_LENGTH),
        }
    }

    /// Writes bytes without message framing, and flushes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await?;
        self.stream.flush().await
    }

    /// Writes messages and flushes.
    pub async fn send(&mut self, frames: &[Frame]) -> io::Result<()> {
        let mut out = BytesMut::new();
        frames.iter().for_each(|frame| frame.write(&mut out));
        self.write(&out).await
    }

    /// Sends the client an `ErrorResponse`. Returns `cause`, or the socket error if sending fails.
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

    /// Reads the next message, which has to be a `PasswordMessage` or SASL response.
    ///
    /// # Errors
    /// [`ClientError`] if the message is of another type or too long, or the connection ends.
    pub async fn read_password_message(
        &mut self,
        pending: &PendingClient,
    ) -> Result<Frame, ClientError> {
        loop {
            match self.decoder.next_from_client()? {
                Some(DecodeResult::Frame(frame)) if frame.tag == frontend::PASSWORD => {
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
            pending.record_received(self.decoder.buffered_len());
        }
    }
}

/// Returns random bytes from the operating system.
///
/// # Errors
/// [`ClientError::Random`] if the operating system returns none.
pub fn random_bytes<const N: usize>() -> Result<[u8; N], ClientError> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).map_err(|_| ClientError::Random)?;
    Ok(bytes)
}
