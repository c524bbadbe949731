//! Headers of a client's request: their names, parsing, and which of them are forwarded.

use badgerpost_balancer::Idempotency;
use hyper::Method;
use hyper::header::{self, HeaderMap, HeaderName};

use crate::bad_request::BadRequest;

/// The request id.
pub(crate) const CALL_ID: &str = "x-call-id";
/// The name of the request's class.
pub(crate) const CALL_CLASS: &str = "x-call-class";
/// The tenant.
pub(crate) const CALLER: &str = "x-caller";
/// The client's deadline, in milliseconds from the last byte of the request.
pub(crate) const BUDGET_MS: &str = "x-budget-ms";
/// `1` if the client marks the request as a retry.
pub(crate) const RETRY_MARK: &str = "x-again";
/// The client's estimate of the work, in microseconds.
pub(crate) const CALL_COST: &str = "x-call-cost";
/// The idempotency key.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The cookie whose value is the affinity key.
pub(crate) const AFFINITY_COOKIE: &str = "user";

/// A header's value, trimmed; none if the header is missing.
///
/// # Errors
///
/// The header is repeated, or its value is not text.
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

/// The value of a header that must not be missing, otherwise like [`single_value`].
pub(crate) fn required_value<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<&'a str, BadRequest> {
    single_value(headers, name)?.ok_or(BadRequest::Missing(name))
}

/// Parses the value of this header as a whole number.
pub(crate) fn parse_integer(name: &'static str, text: &str) -> Result<u64, BadRequest> {
    text.parse().map_err(|_| BadRequest::Malformed(name))
}

/// A cookie's value (RFC 6265, section 4.2); none if the cookie is missing, empty or not text.
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

/// Checks that the method and the idempotency key agree with the request's class.
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

/// Removes hop-by-hop headers (RFC 9110, section 7.6.1) and those that frame the message: both are set anew for the
/// connection to the backend. The request id and the idempotency key stay even if `Connection` names them.
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
