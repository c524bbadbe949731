//! Feeds arbitrary bytes to a session as start-up packets, client messages and server messages, split anywhere, with
//! lost servers in between. Shared by the fuzz target and the test that runs the corpus.

use std::collections::BTreeMap;

use badgerpost_postgres_session::frame::FrameDecoder;
use badgerpost_postgres_session::session::{
    Action, BufferLimits, Event, MAX_PENDING_BATCHES, ServerState, Session,
};
use badgerpost_postgres_session::settings::ClientSettings;
use badgerpost_postgres_session::startup::{StartupPacket, StartupReader};

/// Runs an input, which is a sequence of commands. A command is one byte, followed by a length and data if the command
/// sends bytes.
///
/// # Panics
/// If the session panics or violates an invariant.
pub fn run(input: &[u8]) {
    read_startup(input);
    let mut harness = Harness::default();
    let mut rest = input;
    while let Some((&command, tail)) = rest.split_first() {
        rest = tail;
        for event in harness.events(command, &mut rest) {
            if harness.ended {
                return;
            }
            harness.handle(event);
        }
    }
}

fn read_startup(input: &[u8]) {
    let mut startup = StartupReader::default();
    startup.push(input);
    if let Ok(Some(StartupPacket::StartupMessage(message))) = startup.next_packet() {
        // Invalid settings are allowed; only panics matter.
        let _ = ClientSettings::new(&message.parameters, &BTreeMap::new());
    }
}

/// A session and the state that its caller tracks.
#[derive(Default)]
struct Harness {
    session: Session,
    client: FrameDecoder,
    server: FrameDecoder,
    attached: bool,
    requested: bool,
    ended: bool,
}

impl Harness {
    /// Returns the events of a command. Takes the data of the command from `rest`.
    fn events(&mut self, command: u8, rest: &mut &[u8]) -> Vec<Event> {
        match command % 8 {
            0..=2 => {
                self.client.push(take_bytes(rest));
                let client = &mut self.client;
                std::iter::from_fn(|| client.next_from_client().ok().flatten())
                    .map(Event::Client)
                    .collect()
            }
            3 | 4 => {
                self.server.push(take_bytes(rest));
                let server = &mut self.server;
                let attached = self.attached;
                std::iter::from_fn(|| server.next_from_server().ok().flatten())
                    .filter(|_| attached)
                    .map(Event::Server)
                    .collect()
            }
            5 if self.requested => vec![Event::Attached(ServerState::default())],
            6 if self.attached => vec![Event::ServerLost],
            7 if command & 8 == 0 => vec![Event::RequestFailed],
            7 => vec![Event::Rejected { retry_after_ms: 1 }],
            _ => Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        if matches!(event, Event::Attached(_)) {
            self.attached = true;
            self.requested = false;
        }
        let mut actions = Vec::new();
        self.session.handle(event, &mut actions);
        for action in actions {
            self.act(&action);
        }
        assert!(
            self.session.accepts_client_messages() || self.ended || self.session_is_full(),
            "the session accepts no client messages, although it has not ended and is not full"
        );
        assert!(
            self.session.accepts_client_messages() || self.ended || self.attached || self.requested,
            "the session waits neither for the client nor for a server"
        );
    }

    fn act(&mut self, action: &Action) {
        match action {
            Action::RequestServer { .. } => {
                assert!(
                    !self.attached,
                    "the session requests a server while one is attached"
                );
                self.requested = true;
            }
            Action::ToServer(_) => {
                assert!(
                    self.attached,
                    "the session sends to a server while none is attached"
                );
            }
            Action::Release(_) | Action::DiscardServer => self.attached = false,
            Action::End => self.ended = true,
            Action::ToClient(_)
            | Action::ResponseStarted
            | Action::TransactionDone
            | Action::NotRetryable => {}
        }
    }

    /// Whether the session has reached one of its limits.
    fn session_is_full(&self) -> bool {
        let backlog = self.session.backlog();
        let limits = BufferLimits::default();
        backlog.bytes >= limits.bytes
            || backlog.messages >= limits.messages
            || backlog.batches >= MAX_PENDING_BATCHES
    }
}

/// Takes a length byte and that many bytes, or all remaining bytes if there are fewer.
fn take_bytes<'a>(rest: &mut &'a [u8]) -> &'a [u8] {
    let length = usize::from(*rest.first().unwrap_or(&0)).min(rest.len().saturating_sub(1));
    let bytes = rest.get(1..=length).unwrap_or_default();
    *rest = rest.get(length + 1..).unwrap_or_default();
    bytes
}
