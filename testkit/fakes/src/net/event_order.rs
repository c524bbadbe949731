//! Sorts events into an order that does not depend on the order in which the system reported them.

use std::collections::BTreeMap;
use std::io;

use mio::{Interest, Token};

use super::{ConnId, ListenerId, LoopbackNetwork, NetworkEvent};

impl LoopbackNetwork {
    /// Sorts the events of several polls into an order that does not depend on which poll returned which event: new
    /// connections are renumbered in the order of their listeners, then all events are sorted by connection.
    pub fn sort_events(&mut self, events: &mut [NetworkEvent]) -> io::Result<()> {
        let new_ids = new_ids_by_listener(events);
        self.renumber(&new_ids)?;
        for event in events.iter_mut() {
            if let Some(conn) = event.connection_mut()
                && let Some(new_id) = new_ids.get(conn)
            {
                *conn = *new_id;
            }
        }
        // A stable sort keeps the events of one connection in order.
        events.sort_by_key(NetworkEvent::sort_key);
        Ok(())
    }

    fn renumber(&mut self, new_ids: &BTreeMap<ConnId, ConnId>) -> io::Result<()> {
        let renumbered: Vec<_> = new_ids
            .iter()
            .filter_map(|(old_id, new_id)| Some((*new_id, self.connections.remove(old_id)?)))
            .collect();
        for (new_id, mut connection) in renumbered {
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll
                .registry()
                .reregister(&mut connection.stream, Token(new_id.0), interest)?;
            self.connections.insert(new_id, connection);
        }
        Ok(())
    }
}

/// Maps the ids of accepted connections to new ones in the order of their listeners; empty if the ids have that order
/// already.
fn new_ids_by_listener(events: &[NetworkEvent]) -> BTreeMap<ConnId, ConnId> {
    let accepted = events.iter().filter_map(|event| match event {
        NetworkEvent::Accepted { listener, conn } => Some((*listener, *conn)),
        _ => None,
    });
    let mut accepted: Vec<(ListenerId, ConnId)> = accepted.collect();
    if accepted.is_sorted() {
        return BTreeMap::new();
    }
    let ids: Vec<ConnId> = accepted.iter().map(|(_, conn)| *conn).collect();
    accepted.sort_unstable();
    let old_ids = accepted.iter().map(|(_, conn)| *conn);
    old_ids.zip(ids).collect()
}
