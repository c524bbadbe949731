//! Any bytes as a client's start-up, as its messages and as a server's, cut anywhere, with losses between: shared by the
//! fuzz target and the test that plays its corpus.

use badgerpost_postgres_session::frame::FrameDecoder;
use badgerpost_postgres_session::session::{
    Action, Event, MAX_BUFFERED_BYTES, MAX_PENDING_BATCHES, ServerState, Session,
};
use badgerpost_postgres_session::settings::ClientSettings;
use badgerpost_postgres_session::startup::{StartupPacket, StartupReader};

/// Plays an input. Its bytes are commands: who speaks, how many bytes, and these; or what happens.
pub fn play(input: &[u8]) {
    let mut startup = StartupReader::default();
    startup.push(input);
    if let Ok(Some(StartupPacket::Session(message))) = startup.next_packet() {
        let _ = ClientSettings::new(&message.parameters, &Default::default());
    }
    let (mut session, mut client, mut server) = (
        Session::default(),
        FrameDecoder::default(),
        FrameDecoder::default(),
    );
    let (mut attached, mut asked, mut ended) = (false, false, false);
    let mut rest = input;
    while let Some((&command, tail)) = rest.split_first() {
        rest = tail;
        let mut events = Vec::new();
        match command % 8 {
            0..=2 => {
                let length =
                    usize::from(*rest.first().unwrap_or(&0)).min(rest.len().saturating_sub(1));
                let bytes = rest.get(1..=length).unwrap_or_default();
                rest = rest.get(length + 1..).unwrap_or_default();
                client.push(bytes);
                while let Ok(Some(cut)) = client.next_from_client() {
                    events.push(Event::Client(cut));
                }
            }
            3 | 4 => {
                let length =
                    usize::from(*rest.first().unwrap_or(&0)).min(rest.len().saturating_sub(1));
                let bytes = rest.get(1..=length).unwrap_or_default();
                rest = rest.get(length + 1..).unwrap_or_default();
                server.push(bytes);
                while let Ok(Some(cut)) = server.next_from_server() {
                    if attached {
                        events.push(Event::Server(cut));
                    }
                }
            }
            5 if asked => events.push(Event::Attached(ServerState::default())),
            6 if attached => events.push(Event::ServerLost),
            7 => events.push(if command & 8 == 0 {
                Event::RequestFailed
            } else {
                Event::Rejected { retry_after_ms: 1 }
            }),
            _ => {}
        }
        for event in events {
            if ended {
                return;
            }
            if matches!(event, Event::Attached(_)) {
                (attached, asked) = (true, false);
            }
            let mut actions = Vec::new();
            session.handle(event, &mut actions);
            for action in actions {
                match action {
                    Action::RequestServer { .. } => {
                        assert!(!attached, "asks for a second server");
                        asked = true;
                    }
                    Action::ToServer(_) => {
                        assert!(attached, "speaks to a server that is not there")
                    }
                    Action::Release(_) | Action::DiscardServer => attached = false,
                    Action::End => ended = true,
                    Action::ToClient(_)
                    | Action::ResponseStarted
                    | Action::TransactionDone
                    | Action::NotRetryable => {}
                }
            }
            assert!(
                session.wants_more() || ended || session_is_full(&session),
                "it wants nothing any more"
            );
        }
    }
}

/// Whether a session has a reason not to be read from: too much is buffered, or too many batches wait.
fn session_is_full(session: &Session) -> bool {
    let backlog = session.backlog();
    backlog.bytes >= MAX_BUFFERED_BYTES || backlog.batches >= MAX_PENDING_BATCHES
}
