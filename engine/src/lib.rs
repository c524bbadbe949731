//! The engine between adapters and the decision module: sole owner of one [`badgerpost_balancer::Balancer`] for each
//! fleet, and of its ids, timers, open requests and attempts.
//!
//! It knows no protocol: what a request carries and what a response is are a [`Protocol`]'s types, and a [`Transport`]
//! sends the attempts. Its [`Clock`] is the process's only one, and a test can control it.

mod accept_backoff;
pub mod activity;
mod attempt;
mod backends;
mod client_request_ids;
mod clock;
mod connection_counter;
mod connection_limit;
mod driver;
mod engine;
mod event_log;
mod heartbeat;
mod idle_pool;
mod log_limiter;
mod log_output;
mod metrics;
mod open_requests;
mod pending_io;
mod protocol;
mod start_times;
mod tcp_stream;
mod timers;
mod zone_monitoring;

pub use accept_backoff::AcceptBackoff;
pub use activity::spawn;
pub use attempt::{AttemptCommand, AttemptEnd, AttemptId};
pub use backends::{BackendAddress, DiscoveredEndpoint};
pub use clock::{Clock, Elapsed, Sleep, VirtualClock, nanos};
pub use connection_counter::{ConnectionCounter, ConnectionGuard};
pub use connection_limit::ConnectionLimit;
pub use engine::{Engine, HealthCheckResult, PendingResponse, Transport};
pub use idle_pool::{IdleCheck, IdlePool, TakenConnection};
pub use log_limiter::LogLimiter;
pub use log_output::LogOutput;
pub use metrics::{
    BackendCounts, ClassCounts, DatagramDropReason, Metrics, PeerMetrics, RequestEnd, ZoneMetrics,
};
pub use protocol::{IncomingRequest, Protocol, RequestClass, RequestOutcome, UnknownTenant};
pub use tcp_stream::TcpStream;
pub use zone_monitoring::{ForcedZoneState, PeerUpdate, ZoneGossip, ZoneOverride};
