//! Simulates every process around the nodes under test on real sockets: servers, discovery and clients, with the
//! network links and the faults of the scenario. Events are processed one at a time, in an order that depends on the
//! plan alone. The simulation also keeps the outcome log; the runner advances the time.

mod clients;
mod connection;
mod discovery;
mod events;
mod faults;
mod gossip;
mod in_flight;
mod misbehaviour;
mod network;
mod node_state;
mod server_lifecycle;
mod server_responses;
mod server_state;
mod servers;
mod setup;
mod state;

use std::io;

use badgerpost_fakes::message::{MessageDecoder, MessageKind};
use badgerpost_fakes::net::{ConnId, ListenerId, NetworkEvent};

use crate::outcome::AttemptOutcome;
use connection::{Connection, ListenerOwner};
pub use events::{NodeInput, ProcessCommand, StepOutcome, StopSignal};
use events::{ScheduledEvent, ServerEvent};
pub use gossip::GOSSIP_KEY;
pub use state::{SOCKET_SLACK, Simulation};

impl Simulation {
    /// Processes the next event, which writes to at most one connection.
    pub fn step(&mut self) -> io::Result<StepOutcome> {
        let Some(((at, _), event)) = self.queue.pop_first() else {
            return Ok(StepOutcome::default());
        };
        self.advance(at);
        let input = match event {
            ScheduledEvent::RequestArrival { arrival } => self.start_request(arrival, None),
            ScheduledEvent::ClientRetry { request } => {
                self.start_request(self.requests[request].arrival, Some(request))
            }
            ScheduledEvent::Resend { request, node } => self.send_request(request, node, true),
            ScheduledEvent::FinishHead { conn, request } => self.finish_head(conn, request),
            ScheduledEvent::ClientTimeout { request } => self.time_out_client(request),
            ScheduledEvent::ClientDisconnect { request } => self.disconnect_client(request),
            ScheduledEvent::OpenSilentClients { node } => self.open_silent_clients(node),
            ScheduledEvent::SilentClientTimeout(conn) => self.time_out_silent_client(conn),
            ScheduledEvent::Server(event) => {
                self.process_server_event(event)?;
                None
            }
            ScheduledEvent::ServerResponse(response) => self.send_response(*response),
            ScheduledEvent::HeldMessage(message) => self.transmit(*message),
            ScheduledEvent::MessageDelivery(message) => self.deliver_message(*message),
            ScheduledEvent::DatagramDelivery { node, bytes } => self.deliver_datagram(node, &bytes),
            ScheduledEvent::ResetConnection(conn) => self.reset(conn),
            ScheduledEvent::CloseConnection(conn) => self.close(conn),
            ScheduledEvent::WatchTimeout { conn, watch } => self.time_out_watch(conn, watch),
            ScheduledEvent::NotifyWatcher(conn) => self.notify_watcher(conn),
            ScheduledEvent::FaultStart { fault } => return self.change_fault(fault, true),
            ScheduledEvent::FaultEnd { fault } => return self.change_fault(fault, false),
            ScheduledEvent::StopSignal {
                node,
                since,
                signal,
            } => return Ok(self.signal_stopping(node, since, signal)),
            ScheduledEvent::StepClock { node, ahead_ms } => {
                let command = ProcessCommand::StepClock { node, ahead_ms };
                return Ok(StepOutcome::command(command));
            }
        };
        Ok(StepOutcome::input(input))
    }

    fn process_server_event(&mut self, event: ServerEvent) -> io::Result<()> {
        match event {
            ServerEvent::Completion { server } => self.complete_job(server),
            ServerEvent::Start { server } => self.start_server(server)?,
            ServerEvent::Resume { server } => self.resume_server(server),
            ServerEvent::EndpointChange {
                server,
                state,
                replaces_entry,
            } => self.change_endpoint(server, state, replaces_entry),
        }
        Ok(())
    }

    /// Handles a new connection, received data or a closed connection.
    pub fn handle_socket_event(&mut self, event: NetworkEvent) {
        match event {
            NetworkEvent::Accepted { listener, conn } => self.accept(listener, conn),
            NetworkEvent::Received { conn, bytes } => match self.connections.get_mut(&conn) {
                Some(Connection::Server { decoder, .. }) => {
                    decoder.push(&bytes);
                    self.read_server(conn);
                }
                Some(Connection::Discovery { decoder, .. }) => {
                    decoder.push(&bytes);
                    self.read_discovery(conn);
                }
                Some(Connection::Client { decoder, .. }) => {
                    decoder.push(&bytes);
                    self.read_client(conn);
                }
                // Any response shows that the node has timed out the silent client.
                Some(Connection::Silent { .. }) => self.silent_client_notified(conn),
                None => {}
            },
            NetworkEvent::Datagram {
                socket,
                from,
                bytes,
            } => self.forward_datagram(socket, from, bytes),
            NetworkEvent::Closed { conn, .. } => self.connection_ended(conn),
        }
    }

    fn accept(&mut self, listener: ListenerId, conn: ConnId) {
        let decoder = MessageDecoder::new(MessageKind::Request);
        let connection = match self.listeners.get(&listener) {
            Some(&ListenerOwner::Server(server)) => Connection::Server {
                server,
                node: self.running_node,
                decoder,
                attempt: None,
            },
            Some(&ListenerOwner::Discovery(node)) => Connection::Discovery {
                node,
                decoder,
                watch: None,
            },
            None => return,
        };
        self.add_connection(conn, connection);
    }

    fn connection_ended(&mut self, conn: ConnId) {
        match self.remove_connection(conn) {
            Some(Connection::Server { attempt, .. }) => {
                self.end_attempt(attempt, AttemptOutcome::Abandoned);
            }
            Some(Connection::Client {
                node,
                open,
                last_answered,
                ..
            }) => {
                self.nodes[node]
                    .idle_connections
                    .retain(|idle| *idle != conn);
                for (position, request) in open.into_iter().enumerate() {
                    self.client_connection_lost(request, last_answered.is_some() || position > 0);
                }
            }
            Some(Connection::Silent { node, since }) => self.record_silent_client_end(node, since),
            Some(Connection::Discovery { .. }) | None => {}
        }
    }
}
