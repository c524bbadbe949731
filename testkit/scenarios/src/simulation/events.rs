//! The events that the simulation schedules, and what one step of it leaves to the runner.

use badgerpost_fakes::discovery::State;
use badgerpost_fakes::net::ConnId;
use badgerpost_time::Nanos;

use super::in_flight::{InFlightMessage, ServerResponse};

/// An event that the simulation will process at its time.
#[derive(Clone, Debug)]
pub(super) enum ScheduledEvent {
    /// A client sends the first attempt of a planned request.
    RequestArrival { arrival: usize },
    /// A client retries a request.
    ClientRetry { request: usize },
    /// A request that a node has not read is sent to it once more, on a new connection.
    Resend { request: usize, node: usize },
    /// A client writes the end of a head.
    FinishHead { conn: ConnId, request: usize },
    /// A client stops waiting for its response.
    ClientTimeout { request: usize },
    /// A server changes by itself.
    Server(ServerEvent),
    /// A server writes a response.
    ServerResponse(Box<ServerResponse>),
    /// A message that a cut link held is sent once more.
    HeldMessage(Box<InFlightMessage>),
    /// A message arrives at the other end of its link.
    MessageDelivery(Box<InFlightMessage>),
    /// A gossip datagram arrives at a node.
    DatagramDelivery { node: usize, bytes: Vec<u8> },
    /// A connection is reset by the test kit's end.
    ResetConnection(ConnId),
    /// A connection is closed by the test kit's end.
    CloseConnection(ConnId),
    /// A held poll of the endpoint list reaches its time limit.
    WatchTimeout { conn: ConnId, watch: u64 },
    /// A held poll of the endpoint list is answered because the list has changed.
    NotifyWatcher(ConnId),
    /// A planned fault begins.
    FaultStart { fault: usize },
    /// A planned fault ends.
    FaultEnd { fault: usize },
    /// A client disconnects while its request is open.
    ClientDisconnect { request: usize },
    /// Silent clients connect to a node, up to their number.
    OpenSilentClients { node: usize },
    /// The time limit for a silent client's connection is over.
    SilentClientTimeout(ConnId),
    /// A signal that follows the first SIGTERM, sent at `since`.
    StopSignal {
        node: usize,
        since: Nanos,
        signal: StopSignal,
    },
    /// A node's wall clock steps.
    StepClock { node: usize, ahead_ms: i64 },
}

/// An event at a server that no node sees at once.
#[derive(Clone, Copy, Debug)]
pub(super) enum ServerEvent {
    /// Its next request is done.
    Completion { server: usize },
    /// A server that starts during the scenario does so.
    Start { server: usize },
    /// A paused server continues.
    Resume { server: usize },
    /// Discovery learns of its state.
    EndpointChange {
        server: usize,
        state: State,
        /// Whether the entry is written anew, with the server's last start.
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
    /// SIGKILL, at the earliest time.
    Kill,
}

/// A command for the process of a node, which the runner carries out.
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
    /// Sets the node's wall clock ahead by so many milliseconds.
    StepClock { node: usize, ahead_ms: i64 },
}

/// What was written to the sockets of a node, which has to read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeInput {
    /// The node.
    pub node: usize,
    /// How many bytes; 0 where a connection was closed or reset.
    pub bytes: u64,
}

/// What the runner has to do after one step of the simulation.
#[derive(Clone, Debug, Default)]
pub struct StepOutcome {
    /// The node that has new input.
    pub touched: Option<NodeInput>,
    /// Commands for processes.
    pub commands: Vec<ProcessCommand>,
}

impl StepOutcome {
    pub(super) fn input(touched: Option<NodeInput>) -> Self {
        Self {
            touched,
            commands: Vec::new(),
        }
    }

    pub(super) fn command(command: ProcessCommand) -> Self {
        Self {
            touched: None,
            commands: vec![command],
        }
    }
}
