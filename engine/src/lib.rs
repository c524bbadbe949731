//! The engine between fronts and the decision module: sole owner of one [`badgerpost_balancer::Balancer`] for each
//! fleet, of ids, timers, open requests and attempts. It knows no protocol: what a request carries and what
//! serves it are a [`Front`]'s types. Its [`Clock`] is the process's only one, and can be stepped from outside.

pub mod activity;
mod backends;
mod client_request_ids;
mod clock;
mod connection_counter;
mod driver;
mod engine;
mod idle_pool;
mod log_limiter;
mod metrics;
mod protocol;
mod timers;
mod zone_monitoring;

pub use activity::spawn;
pub use clock::{Clock, Elapsed, Sleep, VirtualClock, nanos};
pub use connection_counter::{ConnectionCounter, ConnectionGuard};
pub use engine::{Engine, PendingResponse, Transport};
pub use idle_pool::{IdleCheck, IdlePool};
pub use log_limiter::LogLimiter;
pub use metrics::{ClassCounts, Metrics, PeerMetrics, RequestEnd, ZoneMetrics};
pub use protocol::{
    AttemptCommand, AttemptEnd, AttemptId, DiscoveredEndpoint, IncomingRequest, Protocol,
    RequestOutcome, UnknownTenant,
};
pub use zone_monitoring::{PeerUpdate, ZoneGossip};
