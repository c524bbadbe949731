//! Discovery: the endpoint list, held polls, and a record of what each node has been notified of.

use std::collections::HashMap;

use badgerpost_fakes::discovery::{State, WatchRequest, WatchResponse};
use badgerpost_fakes::message::{self, Message};
use badgerpost_fakes::net::ConnId;

use super::connection::{Connection, Watch};
use super::events::{NodeInput, ScheduledEvent};
use super::in_flight::InFlightMessage;
use super::server_state::entry;
use super::state::Simulation;

impl Simulation {
    /// Changes the state of a server in the endpoint list, or replaces the whole entry.
    pub(super) fn change_endpoint(&mut self, server: usize, state: State, replaces_entry: bool) {
        if replaces_entry {
            let entry = entry(&self.servers[server], state, self.base);
            self.discovery.set(entry);
        } else {
            self.discovery
                .set_state(&self.servers[server].name.clone(), state);
        }
        let is_listed = state == State::Ready;
        let since = (!is_listed && self.plan.behaviour.strict).then_some(self.now);
        self.servers[server].unlisted_since = since;
        self.notify_watchers();
    }

    /// Restarts the time limit within which nodes must learn of drained and removed servers.
    pub(super) fn mark_discovery_reachable(&mut self) {
        let now = self.now;
        for server_state in &mut self.servers {
            server_state.unlisted_since = server_state.unlisted_since.map(|_| now);
        }
    }

    /// Schedules a response to every held poll.
    pub(super) fn notify_watchers(&mut self) {
        let has_held_poll = |connection: &Connection| {
            matches!(connection, Connection::Discovery { watch: Some(_), .. })
        };
        let conns: Vec<ConnId> = self
            .connections
            .iter()
            .filter(|(_, connection)| has_held_poll(connection))
            .map(|(conn, _)| *conn)
            .collect();
        conns
            .into_iter()
            .for_each(|conn| self.schedule(self.now, ScheduledEvent::NotifyWatcher(conn)));
    }

    pub(super) fn read_discovery(&mut self, conn: ConnId) {
        let Some(Connection::Discovery { decoder, .. }) = self.connections.get_mut(&conn) else {
            return;
        };
        let message = match decoder.next_message() {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(_) => {
                self.unknown_requests += 1;
                self.schedule(self.now, ScheduledEvent::CloseConnection(conn));
                return;
            }
        };
        let _ = self.transmit(InFlightMessage::ToDiscovery(conn, message));
    }

    /// Handles a poll of the endpoint list: holds the poll until the list changes or the poll times out.
    pub(super) fn receive_poll(&mut self, conn: ConnId, message: &Message) {
        let Some(Connection::Discovery { watch, .. }) = self.connections.get_mut(&conn) else {
            return;
        };
        let Some(WatchRequest { from, timeout }) = WatchRequest::parse(&message.target) else {
            self.unknown_requests += 1;
            self.schedule(self.now, ScheduledEvent::CloseConnection(conn));
            return;
        };
        self.watch_count += 1;
        *watch = Some(Watch {
            number: self.watch_count,
            revision: from,
        });
        let respond_at = self.now
            + if self.discovery.watch(from, timeout) == WatchResponse::Pending {
                timeout
            } else {
                0
            };
        let event = ScheduledEvent::WatchTimeout {
            conn,
            watch: self.watch_count,
        };
        self.schedule(respond_at, event);
    }

    pub(super) fn time_out_watch(&mut self, conn: ConnId, number: u64) -> Option<NodeInput> {
        let Some(Connection::Discovery {
            watch: Some(watch), ..
        }) = self.connections.get(&conn)
        else {
            return None;
        };
        let reply = (watch.number == number).then(|| self.discovery.watch(watch.revision, 0))?;
        self.reply(conn, reply)
    }

    pub(super) fn notify_watcher(&mut self, conn: ConnId) -> Option<NodeInput> {
        let Some(Connection::Discovery {
            watch: Some(watch), ..
        }) = self.connections.get(&conn)
        else {
            return None;
        };
        let reply = self.discovery.watch(watch.revision, 1);
        self.reply(conn, reply)
    }

    pub(super) fn reply(&mut self, conn: ConnId, reply: WatchResponse) -> Option<NodeInput> {
        if matches!(reply, WatchResponse::Pending | WatchResponse::Unanswered) {
            return None;
        }
        if let Some(Connection::Discovery { watch, .. }) = self.connections.get_mut(&conn) {
            *watch = None;
        }
        self.transmit(InFlightMessage::FromDiscovery(conn, reply))
    }

    /// Writes a response of discovery that has arrived at its node.
    pub(super) fn write_endpoint_list(
        &mut self,
        conn: ConnId,
        reply: &WatchResponse,
    ) -> Option<NodeInput> {
        let bytes = match reply {
            WatchResponse::Body(text) => message::response(200, "", text.as_bytes()),
            WatchResponse::Unavailable => message::response(503, "", b""),
            WatchResponse::Pending | WatchResponse::Unanswered => return None,
        };
        let Some(Connection::Discovery { node, .. }) = self.connections.get(&conn) else {
            return None;
        };
        let node = *node;
        if let WatchResponse::Body(text) = reply {
            self.record_notified_endpoints(node, text);
        }
        Some(NodeInput {
            node,
            bytes: self.net.write(conn, &bytes) as u64,
        })
    }

    /// Records the drains and starts that a node has been notified of. An invalid list or an empty snapshot, as after a
    /// failure of the registry, notifies the node of nothing.
    pub(super) fn record_notified_endpoints(&mut self, node: usize, text: &str) {
        let Ok(list) = serde_json::from_str::<serde_json::Value>(text) else {
            return;
        };
        let (Some(all), Some(targets)) = (list["all"].as_bool(), list["targets"].as_array()) else {
            return;
        };
        if all && targets.is_empty() {
            return;
        }
        let now = self.now;
        let states: HashMap<&str, &str> = targets
            .iter()
            .filter_map(|target| Some((target["uid"].as_str()?, target["state"].as_str()?)))
            .collect();
        for target in targets {
            let server = self
                .servers
                .iter()
                .position(|server_state| target["uid"] == server_state.name.as_str());
            if let (Some(server), Some(start)) = (server, target["boot_ms"].as_u64()) {
                self.nodes[node].notified_starts.insert(server, start);
            }
        }
        let drain_notified_at = &mut self.nodes[node].drain_notified_at;
        for (server, server_state) in self.servers.iter().enumerate() {
            match states.get(server_state.name.as_str()) {
                Some(&"Ready") => {
                    drain_notified_at.remove(&server);
                }
                Some(_) => {
                    drain_notified_at.entry(server).or_insert(now);
                }
                // A server that a snapshot does not list is gone or not listed yet; both count as a drain.
                None if all => {
                    drain_notified_at.entry(server).or_insert(now);
                }
                None => {}
            }
        }
    }
}
