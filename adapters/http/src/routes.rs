//! The routes of the HTTP server, and whether a connection is kept alive after a response.

use std::convert::Infallible;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode};

use crate::api;
use crate::bad_request::BadRequest;
use crate::client_response::{self, ClientResponse};
use crate::observed_stream::ObservedStream;
use crate::server_context::ServerContext;
use crate::tracked_connection::{CloseMode, RequestTracker, TrackedConnection};

/// A response, and how its connection is closed if it is not kept alive.
struct RoutedResponse {
    response: ClientResponse,
    close_mode: CloseMode,
}

impl RoutedResponse {
    /// A response to a request that has been read completely.
    fn for_valid_request(status: StatusCode, text: &str) -> Self {
        Self {
            response: client_response::plain_text(status, text),
            close_mode: CloseMode::Graceful,
        }
    }

    /// A response to an invalid request, which the client may still be sending.
    fn for_invalid_request(status: StatusCode, text: &str) -> Self {
        Self {
            response: client_response::plain_text(status, text),
            close_mode: CloseMode::Lingering,
        }
    }
}

impl From<BadRequest> for RoutedResponse {
    fn from(error: BadRequest) -> Self {
        Self::for_invalid_request(error.status(), &error.to_string())
    }
}

/// Responds to a client's request.
pub(crate) async fn respond(
    context: &ServerContext,
    connection: &Rc<TrackedConnection>,
    stream: &ObservedStream<RequestTracker>,
    request: Request<Incoming>,
) -> Result<ClientResponse, Infallible> {
    let RoutedResponse {
        mut response,
        close_mode,
    } = match connection.head_parsed() {
        Ok(()) => route(context, connection, stream, request).await,
        // Another HTTP parser could find a second request in this one (request smuggling): nothing is forwarded.
        Err(error) => BadRequest::from(error).into(),
    };
    if !keeps_alive(context, connection, close_mode) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    connection.response_started(close_mode);
    Ok(response)
}

async fn route(
    context: &ServerContext,
    connection: &Rc<TrackedConnection>,
    stream: &ObservedStream<RequestTracker>,
    request: Request<Incoming>,
) -> RoutedResponse {
    match request.uri().path() {
        "/api" => match api::handle(context, connection, stream, request).await {
            Ok(response) => RoutedResponse {
                response,
                close_mode: if connection.is_reading_request()
                    || connection.early_response().has_begun()
                {
                    CloseMode::Lingering
                } else {
                    CloseMode::Graceful
                },
            },
            Err(error) => error.into(),
        },
        "/health/ready" => readiness(context, request.method()),
        _ => RoutedResponse::for_invalid_request(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// The response to a readiness check: 200 if new requests should be routed to this node, else 503; 405 for methods
/// other than GET.
fn readiness(context: &ServerContext, method: &Method) -> RoutedResponse {
    if method != Method::GET {
        return RoutedResponse::for_invalid_request(StatusCode::METHOD_NOT_ALLOWED, "GET only");
    }
    let (status, text) = if !context.is_in_service() {
        (StatusCode::SERVICE_UNAVAILABLE, "stopping or standing by")
    } else if context.has_backend_or_waited() {
        (StatusCode::OK, "ready")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "no server known yet")
    };
    RoutedResponse::for_valid_request(status, text)
}

/// Whether the connection is kept alive after the response to the current request.
fn keeps_alive(
    context: &ServerContext,
    connection: &TrackedConnection,
    close_mode: CloseMode,
) -> bool {
    // After a request that is incomplete or whose framing is ambiguous, the start of the next request is unknown.
    if !connection.is_request_complete() {
        return false;
    }
    // Pipelined requests that have already been read still get their responses.
    if connection.has_pipelined_request() {
        return true;
    }
    close_mode == CloseMode::Graceful
        && context.is_in_service()
        && !connection.should_close_after_response()
}
