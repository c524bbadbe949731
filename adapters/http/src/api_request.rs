//! Parses the head of a request to the API.

use badgerpost_engine::RequestClass;
use badgerpost_settings::name_hash;
use badgerpost_time::{MICROSECOND, MILLISECOND, Nanos};
use hyper::header::HeaderMap;
use hyper::http::request::Parts;

use crate::HttpEngine;
use crate::bad_request::BadRequest;
use crate::headers::{
    AFFINITY_COOKIE, BUDGET_MS, CALL_CLASS, CALL_COST, CALL_ID, CALLER, RETRY_MARK,
    check_idempotency, cookie, parse_integer, required_value, single_value,
};
use crate::timeouts::NETWORK_ALLOWANCE;

/// Longest request id in bytes. Bounds the memory for ids, which are kept after their requests have ended.
const MAX_REQUEST_ID_BYTES: usize = 256;

/// The id and the class of a request.
pub(crate) struct RequestIdentity {
    /// Chosen by the client; no two open requests may have the same id.
    pub(crate) id: Box<str>,
    pub(crate) class: RequestClass,
}

impl RequestIdentity {
    /// Reads the id and the class from the headers.
    pub(crate) fn parse(engine: &HttpEngine, headers: &HeaderMap) -> Result<Self, BadRequest> {
        let id = required_value(headers, CALL_ID)?;
        if !(1..=MAX_REQUEST_ID_BYTES).contains(&id.len()) {
            return Err(BadRequest::Malformed(CALL_ID));
        }
        let class = required_value(headers, CALL_CLASS)?;
        Ok(Self {
            id: id.into(),
            class: engine.class(class).ok_or(BadRequest::Unknown(CALL_CLASS))?,
        })
    }
}

/// The other parameters in a request's head.
pub(crate) struct RequestParameters {
    /// The tenant's number; `None` if the settings list no tenants.
    pub(crate) tenant: Option<u32>,
    /// Hash of the affinity key; `None` without the cookie.
    pub(crate) affinity_key: Option<u64>,
    /// The client's estimate of the service time; `None` if absent or above the deadline of the class.
    pub(crate) expected_service_time: Option<Nanos>,
    /// Whether the client marked the request as a retry.
    pub(crate) is_retry: bool,
    /// How long the client waits from the last byte of the request on, less [`NETWORK_ALLOWANCE`].
    pub(crate) budget: Nanos,
}

impl RequestParameters {
    /// Reads the parameters, and checks that the method and the idempotency key match the class.
    pub(crate) fn parse(
        engine: &HttpEngine,
        class: &RequestClass,
        head: &Parts,
    ) -> Result<Self, BadRequest> {
        let headers = &head.headers;
        check_idempotency(&head.method, headers, class.idempotency)?;
        let tenant = engine
            .tenant(single_value(headers, CALLER)?)
            .map_err(|_| BadRequest::Unknown(CALLER))?;
        let budget_ms = parse_integer(BUDGET_MS, required_value(headers, BUDGET_MS)?)?;
        let cost_us = single_value(headers, CALL_COST)?
            .map(|text| parse_integer(CALL_COST, text))
            .transpose()?;
        Ok(Self {
            tenant,
            affinity_key: cookie(headers, AFFINITY_COOKIE).map(name_hash),
            expected_service_time: cost_us
                .and_then(|cost_us| expected_service_time(cost_us, class.deadline)),
            is_retry: single_value(headers, RETRY_MARK)? == Some("1"),
            budget: budget(budget_ms, class.deadline),
        })
    }
}

/// The client's estimate of the service time. An estimate above the deadline of the class is ignored.
fn expected_service_time(cost_us: u64, deadline: Nanos) -> Option<Nanos> {
    let estimate = cost_us.saturating_mul(MICROSECOND);
    (estimate <= deadline).then_some(estimate)
}

/// How long the client waits: its budget, limited to the deadline of its class, less [`NETWORK_ALLOWANCE`].
fn budget(budget_ms: u64, deadline: Nanos) -> Nanos {
    budget_ms
        .saturating_mul(MILLISECOND)
        .min(deadline)
        .saturating_sub(NETWORK_ALLOWANCE)
}

#[cfg(test)]
mod tests;
