//! Starts, stops and resumes of server processes.

use std::io;

use badgerpost_fakes::discovery::State;

use super::connection::Connection;
use super::events::{ScheduledEvent, ServerEvent};
use super::state::Simulation;

impl Simulation {
    /// Stops a server's process: its connections are reset and new ones are refused.
    pub(super) fn stop_server(&mut self, server: usize) -> io::Result<()> {
        let server_state = &mut self.servers[server];
        server_state.is_up = false;
        server_state.jobs.clear();
        server_state.held_jobs.clear();
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

    /// Starts a server's process, which begins in slow start, and schedules the new entry in discovery.
    pub(super) fn start_server(&mut self, server: usize) -> io::Result<()> {
        let now = self.now;
        let server_state = &mut self.servers[server];
        server_state.model.restart(now);
        (
            server_state.is_up,
            server_state.started_at,
            server_state.next_completion_at,
        ) = (true, Some(now), None);
        server_state.jobs.clear();
        self.net.resume_listening(server_state.listener)?;
        let change = ServerEvent::EndpointChange {
            server,
            state: State::Ready,
            replaces_entry: true,
        };
        self.schedule(self.discovery_notified_at(), ScheduledEvent::Server(change));
        Ok(())
    }

    /// Executes the requests that a server received while it was paused.
    pub(super) fn resume_server(&mut self, server: usize) {
        for job in std::mem::take(&mut self.servers[server].held_jobs) {
            self.execute(server, job);
        }
        self.schedule_completion(server);
    }
}
