//! Plays scenes of trouble against a node's released program over loopback sockets: in stepped time, where two
//! runs with one seed give the same outcomes byte for byte, or in real time. See `docs/operators/rehearsal.md`.

pub mod fleet;
pub mod index;
mod one_core;
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

/// By the letter of the pages an answer this long after its client's time earns nothing; a later one is lost.
const LATE_ANSWER: Nanos = 500 * MILLISECOND;
