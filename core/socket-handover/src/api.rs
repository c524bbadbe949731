//! The events and actions of both state machines.

use crate::message::Message;

/// An event on the connection between the two processes, or in this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The connection has been established.
    Connected,
    /// The other process has sent a message.
    Received {
        /// The parsed message.
        message: Message,
        /// Whether the message carried a file descriptor of a socket that listens at the expected address.
        has_listener: bool,
    },
    /// The other process has sent a line that is not a valid message.
    InvalidMessage,
    /// The time limit of the handover has passed.
    TimedOut,
    /// The connection has closed or could not be established.
    Closed,
    /// This process has started to accept connections on the received listener.
    Listening,
}

/// An action for the caller, which carries out all actions in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this message on the connection.
    Send(Message),
    /// Send this message with the listening socket's file descriptor attached.
    SendListener(Message),
    /// Accept connections on the received socket.
    UseReceivedListener,
    /// Open a separate listening socket at the same address, beside the other process's.
    ListenSeparately,
    /// Record whether the other process accepts connections on the same listening socket.
    SetShared(bool),
    /// Record whether this process may use only half of the node's limits, because two processes share them.
    SetLimitsHalved(bool),
    /// Don't run the requests with these ids, given by their hashes.
    ImportRequestIds(Vec<u64>),
    /// Close the connection.
    Close,
}
