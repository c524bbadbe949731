//! The server list: states, watches that are held, and what each node was told.

use std::collections::HashMap;

use badgerpost_fakes::discovery::{State, WatchRequest, WatchResponse};
use badgerpost_fakes::message::{self, Message};
use badgerpost_fakes::net::ConnId;

use super::links::Carried;
use super::stage::{Peer, Todo, World, entry};

impl World {
    pub(super) fn list_state(&mut self, server: usize, state: State, lists: bool) {
        if lists {
            let entry = entry(&self.sites[server], state, self.base);
            self.list.set(entry);
        } else {
            self.list.set_state(&self.sites[server].name.clone(), state);
        }
        let is_listed = state == State::Ready;
        let since = (!is_listed && self.plan.behaviour.strict).then_some(self.now);
        self.sites[server].unlisted_since = since;
        self.news();
    }

    /// Discovery tells of changes again: only now could it be reached.
    pub(super) fn list_is_back(&mut self) {
        let now = self.now;
        for site in &mut self.sites {
            site.unlisted_since = site.unlisted_since.map(|_| now);
        }
    }

    /// Whoever waits for news of the list gets it, one after the other.
    pub(super) fn news(&mut self) {
        let waits = |peer: &Peer| matches!(peer, Peer::List { watch: Some(_), .. });
        let conns: Vec<ConnId> = self
            .peers
            .iter()
            .filter(|(_, peer)| waits(peer))
            .map(|(conn, _)| *conn)
            .collect();
        conns
            .into_iter()
            .for_each(|conn| self.at(self.now, Todo::Tell(conn)));
    }

    pub(super) fn list_reads(&mut self, conn: ConnId) {
        let Some(Peer::List { decoder, .. }) = self.peers.get_mut(&conn) else {
            return;
        };
        let message = match decoder.next_message() {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(_) => {
                self.strangers += 1;
                self.at(self.now, Todo::Hang(conn));
                return;
            }
        };
        let _ = self.carry(Carried::ToList(conn, message));
    }

    /// A call has come to the list.
    pub(super) fn list_asked(&mut self, conn: ConnId, message: &Message) {
        let Some(Peer::List { watch, .. }) = self.peers.get_mut(&conn) else {
            return;
        };
        let Some(WatchRequest {
            from,
            timeout: hold,
        }) = WatchRequest::parse(&message.target)
        else {
            self.strangers += 1;
            self.at(self.now, Todo::Hang(conn));
            return;
        };
        self.watches += 1;
        *watch = Some((self.watches, from));
        let until = self.now
            + if self.list.watch(from, hold) == WatchResponse::Pending {
                hold
            } else {
                0
            };
        let todo = Todo::WatchOver(conn, self.watches);
        self.at(until, todo);
    }

    pub(super) fn watch_over(&mut self, conn: ConnId, number: u64) -> Option<(usize, u64)> {
        let Some(Peer::List {
            watch: Some((waits, from)),
            ..
        }) = self.peers.get(&conn)
        else {
            return None;
        };
        let reply = (*waits == number).then(|| self.list.watch(*from, 0))?;
        self.reply(conn, reply)
    }

    pub(super) fn tell(&mut self, conn: ConnId) -> Option<(usize, u64)> {
        let Some(Peer::List {
            watch: Some((_, from)),
            ..
        }) = self.peers.get(&conn)
        else {
            return None;
        };
        let reply = self.list.watch(*from, 1);
        self.reply(conn, reply)
    }

    pub(super) fn reply(&mut self, conn: ConnId, reply: WatchResponse) -> Option<(usize, u64)> {
        if matches!(reply, WatchResponse::Pending | WatchResponse::Unanswered) {
            return None;
        }
        if let Some(Peer::List { watch, .. }) = self.peers.get_mut(&conn) {
            *watch = None;
        }
        self.carry(Carried::FromList(conn, reply))
    }

    /// What the list has to say has come to its node.
    pub(super) fn list_told(
        &mut self,
        conn: ConnId,
        reply: &WatchResponse,
    ) -> Option<(usize, u64)> {
        let bytes = match reply {
            WatchResponse::Body(text) => message::response(200, "", text.as_bytes()),
            WatchResponse::Unavailable => message::response(503, "", b""),
            WatchResponse::Pending | WatchResponse::Unanswered => return None,
        };
        let Some(Peer::List { node, .. }) = self.peers.get(&conn) else {
            return None;
        };
        let node = *node;
        if let WatchResponse::Body(text) = reply {
            self.node_told(node, text);
        }
        Some((node, self.net.write(conn, &bytes) as u64))
    }

    /// Notes what a node has been told of drains. A list that is none tells nothing, and an empty one that the
    /// registry answers after a hiccup says of no server that it has left.
    pub(super) fn node_told(&mut self, node: usize, text: &str) {
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
            .filter_map(|t| Some((t["uid"].as_str()?, t["state"].as_str()?)))
            .collect();
        for target in targets {
            let number = self
                .sites
                .iter()
                .position(|site| target["uid"] == site.name.as_str());
            if let (Some(number), Some(start)) = (number, target["boot_ms"].as_u64()) {
                self.nodes[node].told_starts.insert(number, start);
            }
        }
        let told = &mut self.nodes[node].told;
        for (number, site) in self.sites.iter().enumerate() {
            match states.get(site.name.as_str()) {
                Some(&"Ready") => {
                    told.remove(&number);
                }
                Some(_) => {
                    told.entry(number).or_insert(now);
                }
                // Not on a whole list: gone, or not there yet, which comes to the same.
                None if all => {
                    told.entry(number).or_insert(now);
                }
                None => {}
            }
        }
    }
}
