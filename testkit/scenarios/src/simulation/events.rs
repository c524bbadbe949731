//! The events that the simulation schedules, and the result of one step that the runner has to act on.

use badgerpost_fakes::discovery::State;
use badgerpost_fakes::net::ConnId;
use badgerpost_time::Nanos;

use super::in_flight::{InFlightMessage, ServerResponse};

/// An event that is scheduled for a time in the simulation.
#[derive(Clone, Debug)]
pub(super) enum ScheduledEvent {
    /// A client sends the first attempt of a planned request.
    RequestArrival { arrival: usize },
    /// A client retries a request.
    ClientRetry { request: usize },
    /// A client sends a request again, on a new connection, because the node closed the first one without reading it.
    Resend { request: usize, node: usize },
    /// A client writes the end of a request head.
    FinishHead { conn: ConnId, request: usize },
    /// A client stops waiting for its response.
    ClientTimeout { request: usize },
    /// The state of a server changes.
    Server(ServerEvent),
    /// A server writes a response.
    ServerResponse(Box<ServerResponse>),
    /// A message that a cut link held is sent again.
    HeldMessage(Box<InFlightMessage>),
    /// A message arrives at the other end of its link.
    MessageDelivery(Box<InFlightMessage>),
    /// A gossip datagram arrives at a node.
    DatagramDelivery { node: usize, bytes: Vec<u8> },
    /// A connection is reset by the test kit's end.
    ResetConnection(ConnId),
    /// A connection is closed by the test kit's end.
    CloseConnection(ConnId),
    /// A held poll of the endpoint list times out.
    WatchTimeout { conn: ConnId, watch: u64 },
    /// A held poll of the endpoint list is answered because the list has changed.
    NotifyWatcher(ConnId),
    /// A planned fault begins.
    FaultStart { fault: usize },
    /// A planned fault ends.
    FaultEnd { fault: usize },
    /// A client disconnects while its request is open.
    ClientDisconnect { request: usize },
    /// Silent clients connect to a node, up to the planned number.
    OpenSilentClients { node: usize },
    /// The time within which the node must end a silent client's connection is over.
    SilentClientTimeout(ConnId),
    /// A further signal to a node that got its first SIGTERM at `since`.
    StopSignal {
        node: usize,
        since: Nanos,
        signal: StopSignal,
    },
    /// A node's wall clock steps.
    StepClock { node: usize, ahead_ms: i64 },
}

/// A change of a server's state.
#[derive(Clone, Copy, Debug)]
pub(super) enum ServerEvent {
    /// The server completes a request.
    Completion { server: usize },
    /// The server starts during the scenario.
    Start { server: usize },
    /// The paused server continues.
    Resume { server: usize },
    /// Discovery gets the new state of the server.
    EndpointChange {
        server: usize,
        state: State,
        /// Whether the whole entry is replaced, with the time of the server's last start.
        replaces_entry: bool,
    },
}

/// A signal that a node gets while it shuts down, after the first SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopSignal {
    /// SIGHUP.
    Hangup,
    /// SIGINT.
    Interrupt,
    /// SIGTERM.
    Terminate,
    /// SIGKILL, at the earliest time that the rules allow.
    Kill,
}

/// An action on a node's process, which the runner carries out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessCommand {
    /// Sends SIGKILL.
    Kill { node: usize },
    /// Sends SIGTERM.
    Stop { node: usize },
    /// Starts a new process.
    Start { node: usize },
    /// Sends SIGSTOP.
    Pause { node: usize },
    /// Sends SIGCONT.
    Resume { node: usize },
    /// Sends a signal to a node that is shutting down.
    Signal { node: usize, signal: StopSignal },
    /// Sets how many milliseconds the node's wall clock is ahead of the true time.
    StepClock { node: usize, ahead_ms: i64 },
}

/// New input on the sockets of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeInput {
    /// The node.
    pub node: usize,
    /// The number of bytes written; 0 if a connection was closed or reset.
    pub bytes: u64,
}

/// The result of one step of the simulation.
#[derive(Clone, Debug, Default)]
pub struct StepOutcome {
    /// The node that has new input.
    pub input: Option<NodeInput>,
    /// Commands that the runner has to carry out.
    pub commands: Vec<ProcessCommand>,
}

impl StepOutcome {
    pub(super) fn input(input: Option<NodeInput>) -> Self {
        Self {
            input,
            commands: Vec::new(),
        }
    }

    pub(super) fn command(command: ProcessCommand) -> Self {
        Self {
            input: None,
            commands: vec![command],
        }
    }
}
