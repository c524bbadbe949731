//! A client's first packets: encryption requests and their responses, up to a `StartupMessage` or a `CancelRequest`.

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

/// Maximum number of bytes per read.
const READ_BUFFER_SIZE: usize = 1024;
/// Responses to an encryption request.
const ENCRYPTION_ACCEPTED: &[u8] = b"S";
const ENCRYPTION_REFUSED: &[u8] = b"N";

/// The request that ends a client's start-up packets.
pub(super) enum StartupRequest {
    /// To start a session.
    Session(StartupMessage),
    /// To cancel the running statement of a session.
    Cancel {
        /// Number of the session, sent to clients as the process ID.
        session: u32,
        /// The session's secret key, as sent by the client.
        key: Bytes,
    },
}

/// A client and the request that it has sent.
pub(super) struct StartedClient {
    pub(super) client: Client,
    pub(super) request: StartupRequest,
}

/// Reads a client's first packets and responds to encryption requests. `None` if the connection ends before a request,
/// or the client violates the protocol before TLS.
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

/// Reads the next packet; `None` at the end of the connection.
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
        reader.push(&buffer[..read]);
        pending.record_received(reader.buffered_len());
    }
}

/// Accepts an `SSLRequest` and performs the TLS handshake. Sends an `ErrorResponse` and returns `None` if unencrypted
/// data follows the request.
async fn start_tls(
    mut client: Client,
    reader: &mut StartupReader,
    tls: &Acceptor,
) -> Result<Option<Client>, ClientError> {
    // Otherwise an attacker could inject unencrypted bytes that are handled as the client's (CVE-2021-23214).
    if !reader.take_remaining().is_empty() {
        let detail = Some("unencrypted data after SSLRequest");
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

/// Sends `NegotiateProtocolVersion` to a client that requests an unsupported minor version or protocol option.
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
