//! The decision module of badgerpost: chooses the backend of each request, and decides on retries and rejections.
//!
//! A [`Balancer`] is a sans-I/O state machine. Events are passed in with the time at which they happened, and the
//! balancer returns actions for the embedder to carry out. The balancer neither reads a clock nor opens a socket;
//! the same settings, seed and events always produce the same actions.

mod admission;
pub mod api;
mod backend;
mod backends;
mod balancer;
mod class_statistics;
mod deadlines;
mod discovery_polling;
mod dispatch_order;
mod endpoint_selection;
mod ewma;
mod expected_delay;
mod feedback_weights;
mod fleet;
mod health_checks;
mod learning;
mod load_feedback;
mod outlier_detection;
mod random;
mod request;
mod request_table;
mod retry_budget;
mod retry_safety;
mod slow_start;
mod tuning;
mod warming_sends;
mod zone;
mod zone_routing;
mod zones;

pub use api::{
    Action, AttemptResult, BackendId, ClassId, ClassSettings, DedupScope, Discovery, EndReason,
    Endpoint, EndpointState, EndpointUpdate, Event, Idempotency, Limits, LoadReport, LogEvent,
    Nanos, Outcome, RequestArrival, RequestId, SafetyLimits, Settings, SettingsError, WeightSource,
    ZoneId,
};
pub use balancer::Balancer;
