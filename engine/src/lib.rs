//! The engine between fronts and the decision module: sole owner of one [`badgerpost_balancer::Balancer`] for each
//! fleet, of ids, timers, open requests and attempts. It knows no protocol: what a request carries and what
//! serves it are a [`Protocol`]'s types. Its [`Clock`] is the process's only one, and can be stepped from outside.

pub mod activity;
mod backends;
mod call_ids;
mod clock;
mod driver;
mod engine;
mod idle_pool;
mod log_limiter;
mod metrics;
mod open_count;
mod protocol;
mod timers;
mod zones;

pub use activity::spawn;
pub use clock::{Clock, Elapsed, Sleep, VirtualClock, nanos};
pub use engine::{Engine, PendingResponse, Transport};
pub use idle_pool::{IdleCheck, IdlePool};
pub use log_limiter::LogLimiter;
pub use metrics::{ClassCounts, Metrics, PeerMetrics, RequestEnd, ZoneMetrics};
pub use open_count::{ConnectionCounter, ConnectionGuard};
pub use protocol::{
    AttemptCommand, AttemptEnd, AttemptId, DiscoveredEndpoint, IncomingRequest, Protocol,
    RequestOutcome, UnknownTenant,
};
pub use zones::{PeerUpdate, ZoneGossip};
