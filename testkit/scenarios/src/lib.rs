//! Plays scenarios with faults against the node's released program over loopback sockets, on virtual time or in real time.
//! On virtual time, runs with equal seeds give byte-identical outcome logs. See `docs/operators/rehearsal.md`.

mod cpu_pinning;
pub mod fleet;
pub mod index;
pub mod outcome;
pub mod plan;
pub mod plot;
pub mod postgres;
pub mod process;
pub mod rules;
pub mod run;
pub mod scenario;
pub mod search;
mod simulation;
pub mod soak;
pub mod sweep;

use badgerpost_time::{MILLISECOND, Nanos};

/// How long after the client's deadline the platform still accepts a response; a later response counts as missing.
const LATE_RESPONSE_LIMIT: Nanos = 500 * MILLISECOND;
