//! Health checks: each requests the load report of a backend.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_balancer::Outcome;
use badgerpost_engine::{BackendAddress, HealthCheckResult};
use bytes::Bytes;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Uri};

use super::forwarding::ResponsePhase;
use super::pool::{ConnectionPool, ConnectionPurpose, LeasedConnection};
use super::response_reader::{ForwardedErrors, ResponseReading, failure_outcome, read_response};
use super::{AttemptEnd, load_report};
use crate::HttpEngine;
use crate::backend_response::{BackendResponse, BackendResponseBody};
use crate::upload::OutgoingBody;

/// Path of the load report on a backend.
const HEALTH_CHECK_PATH: &str = "/stats";
/// Timeout of a health check. A later load report would be outdated by the next one.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Checks a backend's health, and reports the result to the engine.
pub(super) async fn run(pool: Rc<ConnectionPool>, engine: HttpEngine, target: BackendAddress) {
    let started_at = pool.clock.now();
    let end = pool
        .clock
        .timeout(HEALTH_CHECK_TIMEOUT, request_load(&pool, &engine, target))
        .await
        .unwrap_or_else(|_| AttemptEnd::without_response(Outcome::TimedOut));
    engine.health_check_ended(HealthCheckResult {
        backend: target.backend,
        outcome: end.outcome,
        elapsed: pool.clock.now().saturating_sub(started_at),
        report: end.report,
    });
}

/// Requests a backend's load report, over an idle connection if there is one. Opens no connection while few are left,
/// as requests have priority.
async fn request_load(
    pool: &Rc<ConnectionPool>,
    engine: &HttpEngine,
    target: BackendAddress,
) -> AttemptEnd {
    let mut leased = match pool.lease_idle(engine, target) {
        Some(leased) => leased,
        None if !pool.has_spare_connections() => {
            return AttemptEnd::without_response(Outcome::NotSent);
        }
        None => match pool
            .lease_new(engine, target, ConnectionPurpose::HealthCheck)
            .await
        {
            Ok(leased) => leased,
            Err(error) => return AttemptEnd::without_response(error.outcome()),
        },
    };
    let Some(message) = load_request(target.address) else {
        return AttemptEnd::without_response(Outcome::NotSent);
    };
    // The backend may have left the list while the connection was established.
    if !engine.is_in_service_at(target) || !leased.is_ready().await {
        return AttemptEnd::without_response(Outcome::NotSent);
    }
    exchange(leased, message).await
}

async fn exchange(mut leased: LeasedConnection, mut message: Request<OutgoingBody>) -> AttemptEnd {
    let connection = &mut leased.connection;
    connection.response_activity.expect_response(&mut message);
    let response = match connection.sender.try_send_request(message).await {
        Ok(response) => response,
        Err(error) => return AttemptEnd::without_response(failure_outcome(error.error())),
    };
    let reading = ResponseReading {
        forwarded_errors: ForwardedErrors::None,
        phase: &Cell::new(ResponsePhase::AwaitingHead),
        forwarding_times: None,
    };
    let mut end = read_response(leased, response, &reading).await;
    if let Some(BackendResponse {
        body: BackendResponseBody::Buffered(body),
        ..
    }) = &end.response
    {
        end.report = load_report::parse(&body.bytes);
    }
    end
}

/// The request for a load report; `None` if the address is not a valid `Host` header.
fn load_request(address: SocketAddr) -> Option<Request<OutgoingBody>> {
    let host = HeaderValue::from_str(&address.to_string()).ok()?;
    let mut message = Request::new(OutgoingBody::from(Bytes::new()));
    *message.uri_mut() = Uri::from_static(HEALTH_CHECK_PATH);
    message.headers_mut().insert(HOST, host);
    Some(message)
}
