//! Nodes and servers by the group: a scene of hundreds stays a page.

use serde::Deserialize;
use toml::Spanned;

use super::{Choke, Node, Server, one, queue, slots, sockets};

/// Nodes that are alike, named `NAME0`, `NAME1` and so on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeGroup {
    /// How many.
    pub count: usize,
    /// What their names begin with.
    pub name: Spanned<String>,
    /// Their zone.
    pub zone: String,
    /// Descriptors that each may hold.
    #[serde(default = "sockets")]
    pub sockets: usize,
}

/// Servers that are alike but for their speed, named `NAME0`, `NAME1` and so on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerGroup {
    /// How many.
    pub count: usize,
    /// What their names begin with.
    pub name: Spanned<String>,
    /// Their zone.
    pub zone: String,
    /// The speed of the first and of the last one; the others' lie between in even steps.
    #[serde(default = "alike")]
    pub speed: Spanned<(f64, f64)>,
    /// Requests that each works on together.
    #[serde(default = "slots")]
    pub slots: usize,
    /// Requests that may wait there.
    #[serde(default = "queue")]
    pub queue: usize,
    /// When they start, cold; left out, they started long ago.
    pub starts_ms: Option<u64>,
    /// How each slows down once crowded; left out, it doesn't.
    pub choke: Option<Choke>,
}

fn alike() -> Spanned<(f64, f64)> {
    Spanned::new(one().span(), (1.0, 1.0))
}

/// The nodes of all groups, one more than `most` at the most.
pub(super) fn nodes(groups: &[NodeGroup], most: usize) -> Vec<Node> {
    let of = |group: &NodeGroup| {
        let NodeGroup {
            name,
            zone,
            sockets,
            ..
        } = group.clone();
        (0..group.count).map(move |number| Node {
            name: Spanned::new(name.span(), format!("{}{number}", name.get_ref())),
            zone: zone.clone(),
            sockets,
        })
    };
    groups.iter().flat_map(of).take(most + 1).collect()
}

/// The servers of all groups, one more than `most` at the most.
pub(super) fn servers(groups: &[ServerGroup], most: usize) -> Vec<Server> {
    let of = |group: &ServerGroup| {
        let ServerGroup {
            count,
            name,
            zone,
            speed,
            slots,
            queue,
            starts_ms,
            choke,
        } = group.clone();
        let (first, last) = *speed.get_ref();
        (0..count).map(move |number| Server {
            name: Spanned::new(name.span(), format!("{}{number}", name.get_ref())),
            zone: zone.clone(),
            cell: 0,
            speed: Spanned::new(
                speed.span(),
                first + (last - first) * number as f64 / (count.max(2) - 1) as f64,
            ),
            slots,
            queue,
            starts_ms,
            choke: choke.clone(),
        })
    };
    groups.iter().flat_map(of).take(most + 1).collect()
}
