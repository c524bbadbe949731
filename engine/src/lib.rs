//! The engine connects protocol adapters to the balancer. One [`Engine`] per fleet owns that fleet's
//! [`badgerpost_balancer::Balancer`] and its ids, timers, open requests and attempts.
//!
//! The engine is independent of any protocol: a [`Protocol`] defines the types of requests and responses, and a
//! [`Transport`] sends the attempts. All time in the process comes from one [`Clock`], which tests can replace by a
//! [`VirtualClock`].

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
mod executed_request_ids;
mod heartbeat;
mod idle_pool;
mod log_limiter;
mod log_output;
mod metrics;
mod open_requests;
mod pending_io;
mod pending_response;
mod protocol;
mod request_end_reason;
mod request_log;
mod start_times;
mod tcp_stream;
mod timers;
mod zone_monitoring;

pub use accept_backoff::AcceptBackoff;
pub use activity::spawn;
pub use attempt::{AttemptCommand, AttemptEnd, AttemptId};
pub use backends::{BackendAddress, DiscoveredEndpoint, Incarnation};
pub use clock::{Clock, Elapsed, Sleep, VirtualClock, nanos};
pub use connection_counter::{ConnectionCounter, ConnectionGuard};
pub use connection_limit::ConnectionLimit;
pub use driver::ExportedRequestIds;
pub use engine::{Engine, HealthCheckResult, Transport};
pub use executed_request_ids::RequestIdHash;
pub use idle_pool::{IdleCheck, IdlePool, TakenConnection};
pub use log_limiter::LogLimiter;
pub use log_output::LogOutput;
pub use metrics::{
    BackendCounts, ClassCounts, DatagramDropReason, Metrics, PeerMetrics, RequestEnd, ZoneMetrics,
};
pub use pending_response::PendingResponse;
pub use protocol::{IncomingRequest, Protocol, RequestClass, RequestOutcome, UnknownTenant};
pub use request_end_reason::RequestEndReason;
pub use tcp_stream::TcpStream;
pub use zone_monitoring::{ForcedZoneState, PeerUpdate, ZoneGossip, ZoneOverride};
