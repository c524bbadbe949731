//! A client's socket while it shows who it is: messages written and read one at a time.

use badgerpost_postgres_session::frame::{DecodeResult, Frame, FrameDecoder};
use badgerpost_postgres_session::scram;
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::stream::Stream;

/// Why a client gets no session.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection broke.
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    /// Its first packet is none of the protocol.
    #[error("{0}")]
    Start(badgerpost_postgres_session::startup::StartupError),
    /// What it sent is no message.
    #[error("{0}")]
    Frame(#[from] badgerpost_postgres_session::frame::FrameError),
    /// What it set as it started can't be had.
    #[error("{0}")]
    Settings(#[from] badgerpost_postgres_session::settings::SettingsError),
    /// It may not come, though it has shown who it is.
    #[error("{0}")]
    NotAllowed(&'static str),
    /// It did not show who it is.
    #[error("{0}")]
    Identity(scram::ScramError),
    /// It has closed the connection.
    #[error("it has gone")]
    Gone,
    /// The system has no random numbers.
    #[error("the system has no random numbers")]
    Random,
}

/// A client that has no session yet.
pub struct Client {
    /// Its socket.
    pub stream: Stream,
    /// What has come and was not looked at.
    pub cutter: FrameDecoder,
}

impl Client {
    /// Writes bytes as they are.
    pub async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes).await?;
        self.stream.flush().await
    }

    /// Writes messages.
    pub async fn send(&mut self, frames: &[Frame]) -> std::io::Result<()> {
        let mut out = BytesMut::new();
        frames.iter().for_each(|frame| frame.write(&mut out));
        self.write(&out).await
    }

    /// The next message, which has to be one of the exchange.
    pub async fn password(&mut self) -> Result<Frame, ClientError> {
        loop {
            match self.cutter.next_from_client()? {
                Some(DecodeResult::Frame(frame))
                    if frame.tag == b'p' && frame.body.len() <= 4096 =>
                {
                    return Ok(frame);
                }
                Some(_) => return Err(ClientError::Identity(scram::ScramError::Malformed)),
                None => {}
            }
            let mut buffer = vec![0; 4096];
            let read = self.stream.read(&mut buffer).await?;
            if read == 0 {
                return Err(ClientError::Gone);
            }
            self.cutter.push(&buffer[..read]);
        }
    }
}

/// Random bytes of the system's.
pub fn random<const N: usize>() -> Result<[u8; N], ClientError> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).map_err(|_| ClientError::Random)?;
    Ok(bytes)
}
