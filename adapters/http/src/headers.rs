//! The headers of a client's request: names, parsing, and which of them are forwarded.

use badgerpost_balancer::Idempotency;
use hyper::Method;
use hyper::header::{self, HeaderMap, HeaderName};

use crate::bad_request::BadRequest;

/// Id of the request, chosen by the client.
pub(crate) const CALL_ID: &str = "x-call-id";
/// Name of the request's class.
pub(crate) const CALL_CLASS: &str = "x-call-class";
/// Name of the tenant.
pub(crate) const CALLER: &str = "x-caller";
/// How long the client waits, in milliseconds from the last byte of the request.
pub(crate) const BUDGET_MS: &str = "x-budget-ms";
/// `1` if the request is a retry by the client.
pub(crate) const RETRY_MARK: &str = "x-again";
/// The client's estimate of the service time, in microseconds.
pub(crate) const CALL_COST: &str = "x-call-cost";
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Name of the cookie whose value is the affinity key.
pub(crate) const AFFINITY_COOKIE: &str = "user";

/// The value of a header without surrounding whitespace; `None` if the header is missing.
///
/// # Errors
///
/// The header is repeated, or its value is not visible ASCII.
pub(crate) fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, BadRequest> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(BadRequest::Malformed(name));
    }
    value
        .to_str()
        .map(|text| Some(text.trim()))
        .map_err(|_| BadRequest::Malformed(name))
}

/// Like [`single_value`], but a missing header is an error.
pub(crate) fn required_value<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<&'a str, BadRequest> {
    single_value(headers, name)?.ok_or(BadRequest::Missing(name))
}

/// Parses the value of the header `name` as an unsigned integer.
pub(crate) fn parse_integer(name: &'static str, text: &str) -> Result<u64, BadRequest> {
    text.parse().map_err(|_| BadRequest::Malformed(name))
}

/// The value of a cookie (RFC 6265, section 4.2); `None` if the cookie is missing or empty, or its header is not
/// visible ASCII.
pub(crate) fn cookie<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let lines = headers
        .get_all(header::COOKIE)
        .iter()
        .filter_map(|line| line.to_str().ok());
    lines.flat_map(|line| line.split(';')).find_map(|pair| {
        let (pair_name, value) = pair.trim().split_once('=')?;
        (pair_name == name && !value.is_empty()).then_some(value)
    })
}

/// Checks that the method and the idempotency key match the request's class.
pub(crate) fn check_idempotency(
    method: &Method,
    headers: &HeaderMap,
    idempotency: Idempotency,
) -> Result<(), BadRequest> {
    let required_method = if idempotency == Idempotency::Idempotent {
        Method::GET
    } else {
        Method::POST
    };
    if *method != required_method {
        return Err(BadRequest::Method(required_method));
    }
    match (idempotency, single_value(headers, IDEMPOTENCY_KEY)?) {
        (Idempotency::Keyed { .. }, None | Some("")) => Err(BadRequest::Missing(IDEMPOTENCY_KEY)),
        (Idempotency::Keyed { .. }, Some(_)) | (_, None) => Ok(()),
        (_, Some(_)) => Err(BadRequest::NotAllowed(IDEMPOTENCY_KEY)),
    }
}

/// Removes hop-by-hop headers (RFC 9110, section 7.6.1) and the headers that frame the message; the connection to the
/// backend sets its own. The request id and the idempotency key are kept even if `Connection` lists them.
pub(crate) fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    let named_by_connection: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != CALL_ID && *name != IDEMPOTENCY_KEY)
        .collect();
    let hop_by_hop = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("keep-alive"),
    ];
    for name in named_by_connection.into_iter().chain(hop_by_hop) {
        headers.remove(name);
    }
    headers
}

#[cfg(test)]
mod tests;
