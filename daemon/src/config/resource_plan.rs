//! How the platform's limits on descriptors and memory are divided: between the connections and the bodies of one process,
//! and between the two processes that run during an upgrade.

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// Memory of a process without connections: program, runtime, endpoint list.
const PROCESS_BYTES: usize = 7 * MIB;
/// Memory of a client connection with a request in progress, without its body.
const CLIENT_CONNECTION_BYTES: usize = 48 * KIB;
/// Memory of a backend connection in use.
const BACKEND_CONNECTION_BYTES: usize = 24 * KIB;
/// Connections may take this fraction of the memory beside [`PROCESS_BYTES`].
const CONNECTION_NUMERATOR: usize = 5;
const CONNECTION_DENOMINATOR: usize = 8;
/// Divisor of what the connections leave: this fraction of it is for bodies, the rest for fragmentation.
const BODY_DIVISOR: usize = 2;
/// Divisor of the memory of the process: bodies take at most this fraction of it.
const MAX_BODY_DIVISOR: usize = 4;

/// While it runs alone, a process that can be upgraded uses this fraction of the memory, which leaves the other version
/// room to start.
const ALONE_NUMERATOR: usize = 9;
/// Each of the two processes takes new work only within this fraction.
const BESIDE_NUMERATOR: usize = 5;
const SHARE_DENOMINATOR: usize = 16;

/// Minimum number of connections of each kind, whatever the memory is.
const MIN_CONNECTIONS: usize = 8;
/// Minimum memory for bodies.
const MIN_BODY_BYTES: usize = 256 * KIB;

/// What one process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceShare {
    /// Maximum number of client connections.
    pub clients: usize,
    /// Maximum number of backend connections.
    pub backends: usize,
    /// Memory for bodies, in bytes.
    pub body_bytes: usize,
}

/// The shares of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourcePlan {
    /// While no other version of the node runs.
    pub alone: ResourceShare,
    /// While another version runs beside this process.
    pub beside_another: ResourceShare,
}

/// Maximum numbers of concurrent connections that the descriptors allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DescriptorLimits {
    pub(super) clients: usize,
    pub(super) backends: usize,
}

impl ResourcePlan {
    /// Divides these descriptors and this memory. `can_be_upgraded` tells whether another version may start beside this
    /// process.
    pub(super) fn new(
        descriptors: DescriptorLimits,
        memory_bytes: usize,
        can_be_upgraded: bool,
    ) -> Self {
        let share = |numerator: usize| memory_bytes / SHARE_DENOMINATOR * numerator;
        let alone_bytes = if can_be_upgraded {
            share(ALONE_NUMERATOR)
        } else {
            memory_bytes
        };
        let half = DescriptorLimits {
            clients: descriptors.clients / 2,
            backends: descriptors.backends / 2,
        };
        Self {
            alone: ResourceShare::new(descriptors, alone_bytes),
            beside_another: ResourceShare::new(half, share(BESIDE_NUMERATOR)),
        }
    }
}

impl ResourceShare {
    /// Divides this memory between bodies and connections. The numbers of connections keep their ratio.
    fn new(descriptors: DescriptorLimits, memory_bytes: usize) -> Self {
        let available = memory_bytes.saturating_sub(PROCESS_BYTES);
        let DescriptorLimits { clients, backends } = descriptors;
        let wanted_bytes =
            (clients * CLIENT_CONNECTION_BYTES + backends * BACKEND_CONNECTION_BYTES).max(1);
        let affordable_bytes = available / CONNECTION_DENOMINATOR * CONNECTION_NUMERATOR;
        let connection_bytes = affordable_bytes.min(wanted_bytes);
        let body_bytes = ((available - connection_bytes) / BODY_DIVISOR)
            .min(memory_bytes / MAX_BODY_DIVISOR)
            .max(MIN_BODY_BYTES);
        let limit = |connections: usize| {
            let affordable = connections.saturating_mul(connection_bytes) / wanted_bytes;
            affordable.max(MIN_CONNECTIONS).min(connections.max(1))
        };
        Self {
            clients: limit(clients),
            backends: limit(backends),
            body_bytes,
        }
    }
}

#[cfg(test)]
mod tests;
