//! The routes of the console and their responses.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use badgerpost_engine::Metrics;
use badgerpost_lifecycle::Event;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONNECTION, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::mpsc;

use crate::lifecycle_handle::LifecycleHandle;
use crate::metrics_page::metrics_page;
use crate::zone_override::{ZoneOverrideCommand, parse_zone_override};

/// The console's access to the node.
pub struct AdminApi {
    /// The node's lifecycle, which the console changes.
    pub lifecycle: LifecycleHandle,
    /// The node's metrics, which the console only reads.
    pub metrics: Arc<Metrics>,
    /// Whether this process is ready to serve; set by the node.
    pub is_ready: Arc<AtomicBool>,
    /// The channel to the node for the operators' zone overrides.
    pub zone_overrides: mpsc::Sender<ZoneOverrideCommand>,
}

/// A route of the console.
#[derive(Clone, Copy)]
enum Route {
    Status,
    Metrics,
    Standby,
    Active,
    ZoneOverride,
}

impl Route {
    /// Returns the route of a path, or `None` if the path has no route.
    fn from_path(path: &str) -> Option<Self> {
        match path {
            "/status" => Some(Self::Status),
            "/status/metrics" => Some(Self::Metrics),
            "/standby" => Some(Self::Standby),
            "/active" => Some(Self::Active),
            _ if path.starts_with("/zones/") => Some(Self::ZoneOverride),
            _ => None,
        }
    }

    /// Returns the only allowed method of the route.
    fn method(self) -> Method {
        match self {
            Self::Status | Self::Metrics => Method::GET,
            Self::Standby | Self::Active | Self::ZoneOverride => Method::POST,
        }
    }
}

impl AdminApi {
    /// Returns the response to a request.
    pub(crate) fn respond(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path();
        let Some(route) = Route::from_path(path) else {
            return text_response(StatusCode::NOT_FOUND, "no such call\n");
        };
        if *request.method() != route.method() {
            return method_not_allowed(&route.method());
        }
        match route {
            Route::Status => self.status_response(),
            Route::Metrics => text_response(StatusCode::OK, metrics_page(&self.metrics)),
            Route::Standby => self.change_lifecycle(path, Event::Standby),
            Route::Active => self.change_lifecycle(path, Event::Active),
            Route::ZoneOverride => self.override_zone(path),
        }
    }

    fn status_response(&self) -> Response<Full<Bytes>> {
        if self.is_ready.load(Ordering::Relaxed) {
            text_response(StatusCode::OK, "serving\n")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not yet\n")
        }
    }

    fn change_lifecycle(&self, path: &str, event: Event) -> Response<Full<Bytes>> {
        let transition = self.lifecycle.handle(event);
        tracing::info!(
            call = path,
            stage = ?transition.stage,
            granted = transition.granted,
            "console call handled"
        );
        let status = if transition.granted {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        };
        text_response(status, format!("{}\n", transition.stage.as_str()))
    }

    fn override_zone(&self, path: &str) -> Response<Full<Bytes>> {
        let Some(command) = parse_zone_override(path, &self.metrics) else {
            return text_response(
                StatusCode::NOT_FOUND,
                "no such zone or order, or no watch over zones\n",
            );
        };
        tracing::info!(call = path, "zone override requested");
        match self.zone_overrides.try_send(command) {
            Ok(()) => text_response(StatusCode::OK, "taken\n"),
            Err(_) => text_response(StatusCode::SERVICE_UNAVAILABLE, "too many orders\n"),
        }
    }
}

fn method_not_allowed(allowed: &Method) -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::METHOD_NOT_ALLOWED, format!("{allowed} only\n"));
    if let Ok(allowed) = HeaderValue::from_str(allowed.as_str()) {
        response.headers_mut().insert(ALLOW, allowed);
    }
    response
}

/// Returns a response with a text body that closes the connection.
fn text_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
