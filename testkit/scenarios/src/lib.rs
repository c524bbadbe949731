//! Plays scenarios of faults against the node's released program over loopback sockets: on virtual time, where two runs
//! with one seed give the same outcomes byte for byte, or in real time. See `docs/operators/rehearsal.md`.

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
pub mod soak;
pub mod sweep;
mod world;

use badgerpost_time::{MILLISECOND, Nanos};

/// By the letter of the platform's pages a response this long after its client's deadline has no value; a later one counts
/// as missing.
const LATE_RESPONSE_LIMIT: Nanos = 500 * MILLISECOND;
