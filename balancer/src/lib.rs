//! The decision module of badgerpost: which server a request goes to, whether it is retried, and what is rejected.
//!
//! A [`Balancer`] is a sans-I/O state machine. It is told of events with the time at which they happened and answers with
//! actions for its embedder to carry out; it neither reads a clock nor opens a socket, and the same settings, seed and
//! events always give the same actions.

mod admission;
pub mod api;
mod choice;
mod ewma;
mod gate;
mod health;
mod ledger;
mod lists;
mod probing;
mod random;
mod state;
mod tuning;

pub use api::{
    Action, AttemptResult, BackendId, ClassId, ClassSettings, DedupScope, Discovery, Endpoint, EndpointState,
    EndpointUpdate, Event, Idempotency, Limits, LoadReport, LogEvent, Nanos, Outcome, RequestArrival,
    RequestId, SafetyLimits, Settings, SettingsError, WeightSource, ZoneId,
};
pub use state::Balancer;
