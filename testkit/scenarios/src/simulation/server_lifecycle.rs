//! Start, stop and resumption of server processes.

use std::io;

use badgerpost_fakes::discovery::State;

use super::connection::Connection;
use super::events::{ScheduledEvent, ServerEvent};
use super::state::Simulation;

impl Simulation {
    /// A server's process ends: its connections are reset and new ones are refused.
    pub(super) fn stop_server(&mut self, server: usize) -> io::Result<()> {
        let server_state = &mut self.servers[server];
        server_state.up = false;
        server_state.jobs.clear();
        server_state.held.clear();
        self.net.stop_listening(server_state.listener)?;
        let mut conns = Vec::new();
        for (conn, connection) in &self.connections {
            if matches!(connection, Connection::Server { server: of, .. } if *of == server) {
                conns.push(*conn);
            }
        }
        for conn in conns {
            self.schedule(self.now, ScheduledEvent::ResetConnection(conn));
        }
        Ok(())
    }

    /// A server's process starts, in slow start.
    pub(super) fn start_server(&mut self, server: usize) -> io::Result<()> {
        let now = self.now;
        let server_state = &mut self.servers[server];
        server_state.model.restart(now);
        (server_state.up, server_state.booted, server_state.wake) = (true, Some(now), None);
        server_state.jobs.clear();
        self.net.resume_listening(server_state.listener)?;
        let change = ServerEvent::EndpointChange {
            server,
            state: State::Ready,
            replaces_entry: true,
        };
        self.schedule(self.discovery_notice(), ScheduledEvent::Server(change));
        Ok(())
    }

    /// Executes what a server received while it was paused.
    pub(super) fn resume_server(&mut self, server: usize) {
        for job in std::mem::take(&mut self.servers[server].held) {
            self.execute(server, job);
        }
        self.schedule_completion(server);
    }
}
