//! Serves one client connection on its socket: start-up, authentication, then messages until the connection ends.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use badgerpost_postgres_session::scram::{self, Verifier};

use super::connection_id::ConnectionId;
use super::error::{SqlError, SqlState};
use super::protocol::{Backend, SEVERITY_FATAL, StartupParameters, read_startup_parameters};
use super::server_state::{Connection, ServerState};
use super::sync::lock;

/// A longer message ends the connection.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Request codes in the place of the protocol version in the first message.
const SSL_REQUEST: u32 = 80_877_103;
const GSSENC_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;

/// The length and the protocol version at the start of a `StartupMessage`.
const STARTUP_HEADER_BYTES: usize = 8;

/// The authentication request codes.
const AUTHENTICATION_SASL: u32 = 10;
const AUTHENTICATION_SASL_CONTINUE: u32 = 11;
const AUTHENTICATION_SASL_FINAL: u32 = 12;

/// Serves a connection until it ends.
pub(super) fn serve(
    server: &Arc<ServerState>,
    stream: TcpStream,
    id: ConnectionId,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut client = ClientConnection {
        server: server.clone(),
        backend: Backend::new(server.clone(), id),
        reader: SocketReader {
            stream: stream.try_clone()?,
            bytes: Vec::new(),
            read_position: 0,
        },
        stream,
    };
    let connection = Connection {
        stream: client.stream.try_clone()?,
        cancel_requested: client.backend.session.cancel_requested.clone(),
    };
    lock(&server.connections).insert(id, connection);
    if !server.is_up() {
        server.disconnect(id);
        return Ok(());
    }
    let result = client.run();
    // Also after an error, so that uncommitted changes are rolled back.
    client.backend.session.close();
    server.disconnect(id);
    result
}

/// A buffered reader of protocol messages.
struct SocketReader {
    stream: TcpStream,
    bytes: Vec<u8>,
    /// The number of bytes at the start of `bytes` that were already returned.
    read_position: usize,
}

/// A message from the client.
struct ClientMessage {
    message_type: u8,
    body: Vec<u8>,
}

impl SocketReader {
    /// Returns the next `length` bytes. Blocks until all are received.
    fn read_bytes(&mut self, length: usize) -> io::Result<&[u8]> {
        if length > MAX_MESSAGE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        while self.bytes.len() - self.read_position < length {
            self.bytes.drain(..self.read_position);
            self.read_position = 0;
            let mut chunk = [0; READ_BUFFER_BYTES];
            let read = self.stream.read(&mut chunk)?;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.bytes.extend_from_slice(&chunk[..read]);
        }
        self.read_position += length;
        Ok(&self.bytes[self.read_position - length..self.read_position])
    }

    fn read_u32(&mut self) -> io::Result<u32> {
        self.read_bytes(4)
            .map(|bytes| u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    }

    fn read_message(&mut self) -> io::Result<ClientMessage> {
        let message_type = self.read_bytes(1)?[0];
        let length = self.read_u32()? as usize;
        let body = self.read_bytes(length.saturating_sub(4))?.to_vec();
        Ok(ClientMessage { message_type, body })
    }
}

/// What a client requests with the first message.
enum Startup {
    /// A session with these start-up parameters.
    Session(StartupParameters),
    /// The cancellation of a statement of another connection, already carried out.
    Cancel,
}

/// Why a client was not logged in.
#[derive(Debug, thiserror::Error)]
enum LoginError {
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The error is sent to the client, and the connection ends.
    #[error(transparent)]
    Rejected(#[from] SqlError),
}

struct ClientConnection {
    server: Arc<ServerState>,
    backend: Backend,
    reader: SocketReader,
    stream: TcpStream,
}

impl ClientConnection {
    fn run(&mut self) -> io::Result<()> {
        let Startup::Session(parameters) = self.read_startup()? else {
            return Ok(());
        };
        self.server.wait_while_paused();
        match self.open_session(&parameters) {
            Ok(()) => {}
            Err(LoginError::Io(error)) => return Err(error),
            Err(LoginError::Rejected(error)) => {
                self.backend.write_error(SEVERITY_FATAL, &error);
                return self.send_output();
            }
        }
        self.server.login_count.fetch_add(1, Ordering::SeqCst);
        self.backend.write_login_complete();
        self.send_output()?;
        self.handle_messages()
    }

    fn read_startup(&mut self) -> io::Result<Startup> {
        loop {
            let length = self.reader.read_u32()? as usize;
            let code = self.reader.read_u32()?;
            match code {
                SSL_REQUEST | GSSENC_REQUEST => self.stream.write_all(b"N")?,
                CANCEL_REQUEST => {
                    self.handle_cancel_request()?;
                    return Ok(Startup::Cancel);
                }
                _ => {
                    let body_length = length.saturating_sub(STARTUP_HEADER_BYTES);
                    let body = self.reader.read_bytes(body_length)?;
                    return Ok(Startup::Session(read_startup_parameters(body)));
                }
            }
        }
    }

    /// Reads the process id and secret key of a `CancelRequest`, and cancels the current statement of that connection.
    fn handle_cancel_request(&mut self) -> io::Result<()> {
        let id = ConnectionId(u64::from(self.reader.read_u32()?));
        let secret_key = self.reader.read_u32()?;
        self.server.cancel_count.fetch_add(1, Ordering::SeqCst);
        if let Some(connection) = lock(&self.server.connections).get(&id)
            && secret_key == id.secret_key()
        {
            connection.cancel_requested.store(true, Ordering::SeqCst);
            self.server.notify_transaction_ended();
        }
        Ok(())
    }

    /// Authenticates the client and applies the start-up parameters to its session.
    fn open_session(&mut self, parameters: &StartupParameters) -> Result<(), LoginError> {
        let user = parameters.get("user").cloned().unwrap_or_default();
        let needs_password = !lock(&self.server.users).is_empty();
        if needs_password && !self.authenticate(&user)? {
            return Err(SqlError::new(
                SqlState::INVALID_PASSWORD,
                format!("password authentication failed for user \"{user}\""),
            )
            .into());
        }
        let open_connections = lock(&self.server.connections).len() as u64;
        if open_connections > self.server.max_connections.load(Ordering::SeqCst) {
            return Err(SqlError::too_many_connections().into());
        }
        self.backend.session.apply_startup_parameters(parameters)?;
        Ok(())
    }

    /// Authenticates a client by SCRAM. Returns whether the client proved knowledge of the password.
    fn authenticate(&mut self, user: &str) -> io::Result<bool> {
        let known_verifier = lock(&self.server.users).get(user).cloned();
        let verifier = known_verifier.unwrap_or_else(|| Verifier::unknown(b"a stand-in", user));
        let mechanisms = [scram::MECHANISM.as_bytes(), b"\0\0"].concat();
        self.write_authentication(AUTHENTICATION_SASL, &mechanisms);
        self.send_output()?;
        let first = self.reader.read_message()?.body;
        let name_end = first.iter().position(|byte| *byte == 0).unwrap_or(0);
        let mechanism = String::from_utf8_lossy(&first[..name_end]).into_owned();
        // The mechanism's name ends with a zero byte; the response follows its own 4-byte length.
        let response = first.get(name_end + 5..).unwrap_or_default();
        let connection_count = self.server.connection_count.load(Ordering::SeqCst);
        let nonce = format!("stand-in-{connection_count}");
        let Ok(started) = scram::start_exchange(verifier, &mechanism, response, None, &nonce)
        else {
            return Ok(false);
        };
        self.write_authentication(
            AUTHENTICATION_SASL_CONTINUE,
            started.server_first.as_bytes(),
        );
        self.send_output()?;
        let last = self.reader.read_message()?.body;
        let Ok(outcome) = started.exchange.finish(&last) else {
            return Ok(false);
        };
        self.write_authentication(AUTHENTICATION_SASL_FINAL, outcome.as_bytes());
        Ok(true)
    }

    fn write_authentication(&mut self, request_code: u32, data: &[u8]) {
        let body = [&request_code.to_be_bytes(), data].concat();
        self.backend.write_message(b'R', &body);
    }

    fn handle_messages(&mut self) -> io::Result<()> {
        loop {
            let message = self.reader.read_message()?;
            self.server.wait_while_paused();
            let handled = self
                .backend
                .handle_message(message.message_type, &message.body);
            if self.backend.needs_flush() || handled.is_err() {
                self.send_output()?;
            }
            if handled.is_err() {
                return Ok(());
            }
        }
    }

    fn send_output(&mut self) -> io::Result<()> {
        self.stream.write_all(&self.backend.take_output())
    }
}
