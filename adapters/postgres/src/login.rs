//! Connects to a server and logs in: TLS, `StartupMessage`, authentication, and the server's messages up to the first
//! `ReadyForQuery`.
//!
//! Reference: PostgreSQL documentation, chapter "Frontend/Backend Protocol", "Start-up" and "SSL Session Encryption".

mod authentication;
mod error;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use badgerpost_engine::TcpStream;
use badgerpost_postgres_session::frame::{DecodeResult, Frame, FrameDecoder};
use badgerpost_postgres_session::message_tags::backend;
use badgerpost_postgres_session::server_messages::{ParameterStatus, ServerError};
use badgerpost_postgres_session::session::ServerState;
use bytes::{Buf, BytesMut};
use postgres_protocol::message::frontend;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use self::authentication::Authentication;
use crate::logins::Credentials;
use crate::stream::{CountedStream, Stream};
use crate::tls::{Connector, tls_server_end_point};

pub use self::error::{ConnectError, ProtocolViolation};

/// Maximum number of bytes per read.
const READ_BUFFER_SIZE: usize = 8 * 1024;
/// Length of the process ID and the secret key in `BackendKeyData`, in bytes.
const BACKEND_KEY_LENGTH: usize = 8;
/// The response of a server that accepts an `SSLRequest`.
const TLS_ACCEPTED: &[u8; 1] = b"S";
/// The `application_name` of the node's connections to servers.
const APPLICATION_NAME: &str = "badgerpost";

/// SQLSTATE codes with which a server rejects a connection temporarily.
mod sqlstate {
    pub(super) const TOO_MANY_CONNECTIONS: &str = "53300";
    /// The server is starting or shutting down.
    pub(super) const CANNOT_CONNECT_NOW: &str = "57P03";
}

/// The process ID and secret key from a server's `BackendKeyData`, used for cancel requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendKey {
    /// ID of the server process that serves the connection.
    pub process_id: i32,
    /// Secret key that authorizes a cancel request.
    pub secret_key: i32,
}

/// The parameters that a server reports in `ParameterStatus` messages: values by parameter name.
pub type Parameters = BTreeMap<String, String>;

/// A new connection to a server, authenticated and ready for queries.
pub struct NewConnection {
    /// The connection's byte stream, unencrypted or TLS.
    pub stream: Stream,
    /// Buffers received bytes and decodes them into messages.
    pub decoder: FrameDecoder,
    /// Prepared statements and settings that exist on the connection.
    pub state: ServerState,
    /// The process ID and secret key for cancel requests.
    pub cancel_key: BackendKey,
    /// The parameters that the server reported during login, by the server's spelling of their names.
    pub parameters: Parameters,
}

impl NewConnection {
    fn new(stream: Stream) -> Self {
        Self {
            stream,
            decoder: FrameDecoder::default(),
            state: ServerState::default(),
            cancel_key: BackendKey::default(),
            parameters: Parameters::new(),
        }
    }

    async fn send(
        &mut self,
        write: impl FnOnce(&mut BytesMut) -> io::Result<()>,
    ) -> Result<(), ConnectError> {
        let mut out = BytesMut::new();
        write(&mut out)?;
        self.stream.write_all(&out).await?;
        Ok(self.stream.flush().await?)
    }

    async fn next_frame(&mut self) -> Result<Frame, ConnectError> {
        let mut buffer = vec![0; READ_BUFFER_SIZE];
        loop {
            match self
                .decoder
                .next_from_server()
                .map_err(ProtocolViolation::Frame)?
            {
                Some(DecodeResult::Frame(frame)) => return Ok(frame),
                Some(DecodeResult::Chunk { .. }) => {
                    return Err(ProtocolViolation::UnexpectedRow.into());
                }
                None => {}
            }
            let read = self.stream.read(&mut buffer).await?;
            if read == 0 {
                return Err(ProtocolViolation::Closed.into());
            }
            self.decoder.push(&buffer[..read]);
        }
    }

    fn record_parameter(&mut self, frame: &Frame) {
        if let Some(ParameterStatus { name, value }) = ParameterStatus::read(frame) {
            self.state.settings.record_report(&name, &value);
            self.parameters
                .insert(name.into_owned(), value.into_owned());
        }
    }

    /// Handles messages until the server sends `ReadyForQuery`.
    async fn complete_login(
        mut self,
        mut authentication: Authentication<'_>,
    ) -> Result<Self, ConnectError> {
        loop {
            let mut frame = self.next_frame().await?;
            match frame.tag {
                backend::AUTHENTICATION => authentication.handle(&mut self, frame).await?,
                backend::BACKEND_KEY_DATA if frame.body.len() >= BACKEND_KEY_LENGTH => {
                    self.cancel_key = BackendKey {
                        process_id: frame.body.get_i32(),
                        secret_key: frame.body.get_i32(),
                    };
                }
                backend::PARAMETER_STATUS => self.record_parameter(&frame),
                backend::READY_FOR_QUERY => return Ok(self),
                backend::ERROR_RESPONSE => return Err(rejection(&frame)),
                backend::NOTICE_RESPONSE | backend::NEGOTIATE_PROTOCOL_VERSION => {}
                tag => return Err(ProtocolViolation::UnexpectedMessage(char::from(tag)).into()),
            }
        }
    }
}

/// Connects to a server and logs in.
///
/// # Errors
/// [`ConnectError`] if the server cannot be reached, rejects the login, or violates the protocol.
pub async fn log_in(
    endpoint: SocketAddr,
    tls: Option<&Connector>,
    credentials: &Credentials,
    database: &str,
) -> Result<NewConnection, ConnectError> {
    let socket = TcpStream::connect(endpoint).await?;
    socket.set_nodelay(true)?;
    let (stream, channel_binding) = match tls {
        Some(tls) => {
            let encrypted = encrypt(CountedStream::new(socket), tls).await?;
            (encrypted.stream, encrypted.channel_binding)
        }
        None => (Stream::plain(socket), None),
    };
    let mut connection = NewConnection::new(stream);
    let parameters = [
        ("user", credentials.user.as_str()),
        ("database", database),
        ("application_name", APPLICATION_NAME),
        ("client_encoding", "UTF8"),
    ];
    connection
        .send(|out| frontend::startup_message(parameters, out))
        .await?;
    let authentication = Authentication::new(credentials, channel_binding);
    connection.complete_login(authentication).await
}

/// A TLS connection to a server.
struct EncryptedStream {
    stream: Stream,
    /// Channel binding data `tls-server-end-point` of the server's certificate; `None` if it sent no certificate.
    channel_binding: Option<Vec<u8>>,
}

/// Sends an `SSLRequest` and performs the TLS handshake.
async fn encrypt(
    mut socket: CountedStream,
    tls: &Connector,
) -> Result<EncryptedStream, ConnectError> {
    let mut out = BytesMut::new();
    frontend::ssl_request(&mut out);
    socket.write_all(&out).await?;
    let mut answer = [0; TLS_ACCEPTED.len()];
    socket.read_exact(&mut answer).await?;
    if answer != *TLS_ACCEPTED {
        return Err(ConnectError::NoTls);
    }
    let encrypted = tls
        .connector
        .connect(tls.server_name.clone(), socket)
        .await?;
    let certificates = encrypted.get_ref().1.peer_certificates();
    let channel_binding = certificates
        .and_then(<[_]>::first)
        .map(|certificate| tls_server_end_point(certificate));
    Ok(EncryptedStream {
        stream: Stream::Tls(Box::new(encrypted.into())),
        channel_binding,
    })
}

/// Converts an `ErrorResponse` received during login to an error.
fn rejection(response: &Frame) -> ConnectError {
    let ServerError { code, message } = ServerError::read(response);
    match code.as_str() {
        sqlstate::TOO_MANY_CONNECTIONS | sqlstate::CANNOT_CONNECT_NOW => {
            ConnectError::ServerFull(message)
        }
        _ => ConnectError::Rejected { code, message },
    }
}
