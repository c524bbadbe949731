//! A client's first packets: requests for encryption and their answers, until it asks for a session or a cancellation.

use badgerpost_postgres_session::frame::Frame;
use badgerpost_postgres_session::message_tags::backend;
use badgerpost_postgres_session::server_messages::{ErrorReason, error_response};
use badgerpost_postgres_session::startup::{StartupMessage, StartupPacket, StartupReader};
use bytes::Bytes;
use tokio::io::AsyncReadExt;

use crate::client::{Client, ClientError};
use crate::stream::Stream;
use crate::tls::Acceptor;
use crate::unauthenticated_clients::PendingClient;

/// Most bytes that are read at once.
const READ_BUFFER_SIZE: usize = 1024;
/// The answers to a request for encryption.
const ENCRYPTION_ACCEPTED: &[u8] = b"S";
const ENCRYPTION_REFUSED: &[u8] = b"N";

/// What a client asks for at last.
pub(super) enum StartupRequest {
    /// A session.
    Session(StartupMessage),
    /// To cancel the statement of a session.
    Cancel {
        /// The session's number.
        session: u32,
        /// The session's secret key.
        key: Bytes,
    },
}

/// A client that has sent its first packets.
pub(super) struct StartedClient {
    pub(super) client: Client,
    pub(super) request: StartupRequest,
}

/// Reads and answers a client's first packets. `None` if the client asks for nothing.
pub(super) async fn read_startup(
    mut client: Client,
    tls: Option<&Acceptor>,
    pending: &PendingClient,
) -> Result<Option<StartedClient>, ClientError> {
    let mut reader = StartupReader::default();
    while let Some(packet) = next_packet(&mut client, &mut reader, pending).await? {
        let request = match (packet, tls) {
            (StartupPacket::SslRequest, Some(tls)) if !client.stream.is_tls() => {
                match start_tls(client, &mut reader, tls).await? {
                    Some(encrypted) => client = encrypted,
                    None => return Ok(None),
                }
                continue;
            }
            (StartupPacket::SslRequest | StartupPacket::GssEncryptionRequest, _) => {
                client.write(ENCRYPTION_REFUSED).await?;
                continue;
            }
            (StartupPacket::CancelRequest { process, key }, _) => StartupRequest::Cancel {
                session: process,
                key,
            },
            (StartupPacket::StartupMessage(message), _) => {
                client.decoder.push(&reader.take_remaining());
                negotiate_version(&mut client, &message).await?;
                StartupRequest::Session(message)
            }
        };
        return Ok(Some(StartedClient { client, request }));
    }
    Ok(None)
}

/// The next packet; `None` at the end of the connection.
async fn next_packet(
    client: &mut Client,
    reader: &mut StartupReader,
    pending: &PendingClient,
) -> Result<Option<StartupPacket>, ClientError> {
    loop {
        match reader.next_packet() {
            Ok(Some(packet)) => return Ok(Some(packet)),
            Ok(None) => {}
            Err(error) => {
                let detail = error.to_string();
                return Err(client
                    .reject(ErrorReason::ProtocolViolation, Some(&detail), error)
                    .await);
            }
        }
        let mut buffer = vec![0; READ_BUFFER_SIZE];
        let read = client.stream.read(&mut buffer).await?;
        if read == 0 {
            return Ok(None);
        }
        pending.record_activity();
        reader.push(&buffer[..read]);
    }
}

/// Switches to TLS; `None` if the client violates the protocol, of which it is notified.
async fn start_tls(
    mut client: Client,
    reader: &mut StartupReader,
    tls: &Acceptor,
) -> Result<Option<Client>, ClientError> {
    // Bytes sent ahead unencrypted would pass for the client's own.
    if !reader.take_remaining().is_empty() {
        let detail = Some("data behind SSLRequest");
        client
            .send(&[error_response(ErrorReason::ProtocolViolation, detail)])
            .await?;
        return Ok(None);
    }
    client.write(ENCRYPTION_ACCEPTED).await?;
    let Stream::Plain(socket) = client.stream else {
        return Ok(None);
    };
    let encrypted = tls.acceptor.accept(socket).await?;
    client.stream = Stream::Tls(Box::new(encrypted.into()));
    Ok(Some(client))
}

/// Answers a client that asks for more than is supported.
async fn negotiate_version(
    client: &mut Client,
    message: &StartupMessage,
) -> Result<(), ClientError> {
    if let Some(body) = &message.negotiate {
        let negotiation = Frame::new(backend::NEGOTIATE_PROTOCOL_VERSION, body.clone());
        client.send(&[negotiation]).await?;
    }
    Ok(())
}
