//! Inputs and outputs that both state machines share.

use crate::message::Message;

/// An input, from the connection between the two processes or from this process itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The connection is established.
    Connected,
    /// The peer has sent a message.
    Received {
        /// The message.
        message: Message,
        /// Whether a socket was attached that listens at the expected address.
        has_listener: bool,
    },
    /// The peer has sent a line that is not a message.
    InvalidMessage,
    /// The time limit for the exchange has passed.
    TimedOut,
    /// The connection has ended or could not be established.
    Closed,
    /// This process accepts connections on its listener now.
    Listening,
}

/// An output, to be carried out by the caller in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this message.
    Send(Message),
    /// Send this message with the listening socket attached.
    SendListener(Message),
    /// Accept connections on the received socket.
    UseReceivedListener,
    /// Open a socket of this process's own at the same address, beside the other process's.
    ListenSeparately,
    /// Whether the peer accepts connections on the same socket.
    SetShared(bool),
    /// Whether the two processes form one node, in which each may use half of the node's limits.
    SetLimitsHalved(bool),
    /// Close the connection.
    Close,
}
