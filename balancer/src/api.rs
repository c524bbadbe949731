//! The interface of the balancer: settings, events in, actions out.

pub mod actions;
pub mod events;
pub mod ids;
pub mod settings;

pub use actions::{Action, EndReason, LogEvent};
pub use events::{
    AttemptResult, Endpoint, EndpointState, EndpointUpdate, Event, LoadReport, Outcome,
    RequestArrival,
};
pub use ids::{BackendId, ClassId, Nanos, RequestId, ZoneId};
pub use settings::{
    ClassSettings, DedupScope, Discovery, Idempotency, Limits, SafetyLimits, Settings,
    SettingsError, WeightSource,
};
