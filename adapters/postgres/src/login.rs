//! Logging in to a server: TLS, the start-up packet, and the proof of the node's identity.
//!
//! Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol", "Start-up"; SCRAM: RFC 5802.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use badgerpost_engine::TcpStream;
use badgerpost_postgres_session::frame::{DecodeResult, Frame, FrameDecoder};
use badgerpost_postgres_session::scram;
use badgerpost_postgres_session::session::ServerState;
use bytes::{Buf, BytesMut};
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};
use postgres_protocol::message::frontend;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::logins::Credentials;
use crate::stream::Stream;
use crate::tls::{self, Connector};

const READ_AT_ONCE: usize = 8 * 1024;

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The socket.
    #[error("{0}")]
    Socket(#[from] io::Error),
    /// Too slow.
    #[error("no answer in time")]
    Late,
    /// No more connections there, now.
    #[error("no room: {0}")]
    Full(String),
    /// Turned away.
    #[error("the node is turned away: {0}")]
    Refused(String),
    /// TLS is wanted and not to be had.
    #[error("server_tls is set, and it does not speak TLS")]
    NoTls,
    /// A method that is not spoken.
    #[error("it wants {0}; only SCRAM-SHA-256 is spoken")]
    Method(&'static str),
    /// A password is wanted.
    #[error("it wants a password, and the login has no password_file")]
    NoPassword,
    /// Something else than the protocol.
    #[error("not the PostgreSQL protocol: {0}")]
    Broken(String),
}

/// A connection that has just logged in.
pub struct NewConnection {
    /// Its bytes.
    pub stream: Stream,
    /// What has come and was not looked at.
    pub cutter: FrameDecoder,
    /// What is known of it.
    pub state: ServerState,
    /// By which a statement on it is cancelled.
    pub cancel: (i32, i32),
    /// The settings that it reported, by their usual names.
    pub reports: BTreeMap<String, String>,
}

impl NewConnection {
    async fn send(
        &mut self,
        write: impl FnOnce(&mut BytesMut) -> io::Result<()>,
    ) -> Result<(), ConnectError> {
        let mut out = BytesMut::new();
        write(&mut out)?;
        self.stream.write_all(&out).await?;
        Ok(self.stream.flush().await?)
    }

    async fn frame(&mut self) -> Result<Frame, ConnectError> {
        let mut buffer = vec![0; READ_AT_ONCE];
        loop {
            match self
                .cutter
                .next_from_server()
                .map_err(|error| ConnectError::Broken(error.to_string()))?
            {
                Some(DecodeResult::Frame(frame)) => return Ok(frame),
                Some(DecodeResult::Chunk { .. }) => {
                    return Err(ConnectError::Broken("a row before it is ready".to_owned()));
                }
                None => {}
            }
            let read = self.stream.read(&mut buffer).await?;
            if read == 0 {
                return Err(ConnectError::Broken("it closed the connection".to_owned()));
            }
            self.cutter.push(&buffer[..read]);
        }
    }
}

/// Connects and logs in.
#[expect(clippy::too_many_lines, reason = "to be split with the module")]
pub async fn log_in(
    endpoint: SocketAddr,
    tls: Option<&Connector>,
    identity: &Credentials,
    database: &str,
) -> Result<NewConnection, ConnectError> {
    let socket = TcpStream::connect(endpoint).await?;
    socket.set_nodelay(true)?;
    let mut stream = Stream::plain(socket);
    let mut binding = None;
    if let Some(tls) = tls {
        (stream, binding) = encrypt(stream, tls).await?;
    }
    let (cutter, state) = (FrameDecoder::default(), ServerState::default());
    let mut link = NewConnection {
        stream,
        cutter,
        state,
        cancel: (0, 0),
        reports: BTreeMap::new(),
    };
    let words = [
        ("user", identity.user.as_str()),
        ("database", database),
        ("application_name", "badgerpost"),
        ("client_encoding", "UTF8"),
    ];
    link.send(|out| frontend::startup_message(words, out))
        .await?;
    let mut scram: Option<ScramSha256> = None;
    loop {
        let frame = link.frame().await?;
        match frame.tag {
            b'R' => prove(&mut link, frame, &mut scram, identity, binding.as_deref()).await?,
            b'K' if frame.body.len() >= 8 => {
                let mut body = frame.body;
                link.cancel = (body.get_i32(), body.get_i32());
            }
            b'S' => {
                let mut strings = frame
                    .body
                    .split(|byte| *byte == 0)
                    .map(String::from_utf8_lossy);
                if let (Some(name), Some(value)) = (strings.next(), strings.next()) {
                    link.state.settings.reported(&name, &value);
                    link.reports.insert(name.into_owned(), value.into_owned());
                }
            }
            b'Z' => return Ok(link),
            b'E' => {
                let (code, message) = error_fields(&frame);
                // Too many connections, or it is starting or stopping.
                return Err(match code.as_str() {
                    "53300" | "57P03" => ConnectError::Full(message),
                    _ => ConnectError::Refused(format!("{code} {message}")),
                });
            }
            b'N' | b'v' => {}
            tag => {
                return Err(ConnectError::Broken(format!(
                    "message {:?} before it is ready",
                    char::from(tag)
                )));
            }
        }
    }
}

async fn encrypt(
    mut stream: Stream,
    tls: &Connector,
) -> Result<(Stream, Option<Vec<u8>>), ConnectError> {
    let mut out = BytesMut::new();
    frontend::ssl_request(&mut out);
    stream.write_all(&out).await?;
    let mut answer = [0; 1];
    stream.read_exact(&mut answer).await?;
    if answer != *b"S" {
        return Err(ConnectError::NoTls);
    }
    let Stream::Plain(socket) = stream else {
        return Err(ConnectError::NoTls);
    };
    let encrypted = tls
        .connector
        .connect(tls.server_name.clone(), socket)
        .await?;
    let certificates = encrypted.get_ref().1.peer_certificates();
    let binding = certificates
        .and_then(|all| all.first())
        .map(|first| tls::tls_server_end_point(first));
    Ok((Stream::Tls(Box::new(encrypted.into())), binding))
}

/// Proves the node's identity, a message of it.
async fn prove(
    link: &mut NewConnection,
    frame: Frame,
    scram: &mut Option<ScramSha256>,
    identity: &Credentials,
    binding: Option<&[u8]>,
) -> Result<(), ConnectError> {
    let mut body = frame.body;
    if body.len() < 4 {
        return Err(ConnectError::Broken(
            "a short authentication request".to_owned(),
        ));
    }
    match (body.get_i32(), scram) {
        // A server that was asked for its proof and never gave it is not the one that it seems to be.
        (0, Some(_)) => Err(ConnectError::Broken(
            "logged in without the server's own proof".to_owned(),
        )),
        (0, None) => Ok(()),
        (3, _) => Err(ConnectError::Method("a password in clear text")),
        (5, _) => Err(ConnectError::Method("an md5 password")),
        (10, scram) => {
            let offers = |wanted: &str| {
                body.split(|byte| *byte == 0)
                    .any(|name| name == wanted.as_bytes())
            };
            let (mechanism, channel) = match binding {
                Some(binding) if offers(scram::MECHANISM_WITH_BINDING) => (
                    scram::MECHANISM_WITH_BINDING,
                    ChannelBinding::tls_server_end_point(binding.to_vec()),
                ),
                Some(_) if offers(scram::MECHANISM) => {
                    (scram::MECHANISM, ChannelBinding::unrequested())
                }
                None if offers(scram::MECHANISM) => {
                    (scram::MECHANISM, ChannelBinding::unsupported())
                }
                _ => return Err(ConnectError::Method("an unknown SASL mechanism")),
            };
            let password = identity.password.as_ref().ok_or(ConnectError::NoPassword)?;
            let client = ScramSha256::new(password.as_bytes(), channel);
            link.send(|out| frontend::sasl_initial_response(mechanism, client.message(), out))
                .await?;
            *scram = Some(client);
            Ok(())
        }
        (11, Some(client)) => {
            client.update(&body)?;
            link.send(|out| frontend::sasl_response(client.message(), out))
                .await
        }
        (12, scram @ Some(_)) => {
            if let Some(mut client) = scram.take() {
                client.finish(&body)?;
            }
            Ok(())
        }
        _ => Err(ConnectError::Method(
            "an authentication that is not spoken here",
        )),
    }
}

/// The code and the message of an error.
fn error_fields(frame: &Frame) -> (String, String) {
    let field = |of: u8| {
        let text = frame
            .body
            .split(|byte| *byte == 0)
            .find(|field| field.first() == Some(&of));
        String::from_utf8_lossy(text.and_then(|text| text.get(1..)).unwrap_or_default())
            .into_owned()
    };
    (field(b'C'), field(b'M'))
}
