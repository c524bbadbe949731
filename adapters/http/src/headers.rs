//! Headers of a client's request: those that are read here, and those that go on.

use badgerpost_balancer::Idempotency;
use hyper::Method;
use hyper::header::{self, HeaderMap, HeaderName};

use crate::server::{BadRequest, CALL_ID, KEY};

/// A header that may stand once at most.
pub fn single<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, BadRequest> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(BadRequest::Unreadable(name));
    }
    value
        .to_str()
        .map(|text| Some(text.trim()))
        .map_err(|_| BadRequest::Unreadable(name))
}

pub fn required<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, BadRequest> {
    single(headers, name)?.ok_or(BadRequest::Missing(name))
}

/// A cookie's value (RFC 6265, chapter 4.2); none where it is not sent or can't be read.
pub fn cookie<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let lines = headers
        .get_all(header::COOKIE)
        .iter()
        .filter_map(|line| line.to_str().ok());
    lines.flat_map(|line| line.split(';')).find_map(|pair| {
        let (known, value) = pair.trim().split_once('=')?;
        (known == name && !value.is_empty()).then_some(value)
    })
}

/// The method and the key follow from the class.
pub fn check_form(
    method: &Method,
    headers: &HeaderMap,
    effect: Idempotency,
) -> Result<(), BadRequest> {
    let wanted = if effect == Idempotency::Idempotent {
        Method::GET
    } else {
        Method::POST
    };
    if *method != wanted {
        return Err(BadRequest::Method(wanted));
    }
    match (effect, single(headers, KEY)?) {
        (Idempotency::Keyed { .. }, None | Some("")) => Err(BadRequest::Missing(KEY)),
        (Idempotency::Keyed { .. }, Some(_)) | (_, None) => Ok(()),
        (_, Some(_)) => Err(BadRequest::Misplaced(KEY)),
    }
}

/// The headers that go on: all but those that speak of this one connection. The framing is made anew.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != CALL_ID && *name != KEY)
        .collect();
    let hop = [
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
    for name in named.into_iter().chain(hop) {
        headers.remove(name);
    }
    headers
}

#[cfg(test)]
mod tests;
