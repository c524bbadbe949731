use badgerpost_balancer::DedupScope;
use hyper::header::HeaderValue;

use super::*;

#[test]
fn a_cookie_is_found_among_others() {
    let read = |lines: &[&'static str]| {
        let mut headers = HeaderMap::new();
        lines.iter().for_each(|line| {
            headers.append(header::COOKIE, HeaderValue::from_static(line));
        });
        cookie(&headers, AFFINITY_COOKIE).map(str::to_owned)
    };
    assert_eq!(read(&["user=7f3a"]).as_deref(), Some("7f3a"));
    assert_eq!(read(&["a=1; user=7f3a ;b=2"]).as_deref(), Some("7f3a"));
    assert_eq!(read(&["a=1", "user=x=y"]).as_deref(), Some("x=y"));
    for none in [
        &[][..],
        &["user="],
        &["user"],
        &["users=1; xuser=2"],
        &[";;="],
    ] {
        assert_eq!(read(none), None, "{none:?}");
    }
}

/// Headers in the order of their lines.
fn headers(lines: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        headers.append(*name, HeaderValue::from_static(value));
    }
    headers
}

#[test]
fn a_header_that_is_repeated_or_not_text_is_malformed() {
    let single_value =
        |lines| single_value(&headers(lines), CALL_ID).map(|value| value.map(str::to_owned));
    assert!(matches!(single_value(&[]), Ok(None)));
    assert_eq!(
        single_value(&[(CALL_ID, " a ")]).unwrap().as_deref(),
        Some("a")
    );
    let repeated = single_value(&[(CALL_ID, "a"), (CALL_ID, "a")]);
    assert!(matches!(repeated, Err(BadRequest::Malformed(CALL_ID))));
    let mut not_text = HeaderMap::new();
    let value = HeaderValue::from_bytes(&[0xe9]).expect("a valid header value");
    not_text.insert(CALL_ID, value);
    let not_text = super::single_value(&not_text, CALL_ID);
    assert!(matches!(not_text, Err(BadRequest::Malformed(CALL_ID))));
    let (none, missing) = (headers(&[]), BadRequest::Missing(CALL_ID).to_string());
    let error = required_value(&none, CALL_ID).expect_err("the header is missing");
    assert_eq!(error.to_string(), missing);
}

#[test]
fn the_method_and_the_idempotency_key_follow_from_the_class() {
    let keyed = Idempotency::Keyed {
        scope: DedupScope::All,
        window: 1,
    };
    let key = headers(&[(IDEMPOTENCY_KEY, "k")]);
    let (none, empty) = (headers(&[]), headers(&[(IDEMPOTENCY_KEY, "")]));
    assert!(check_idempotency(&Method::GET, &none, Idempotency::Idempotent).is_ok());
    assert!(check_idempotency(&Method::POST, &none, Idempotency::NonIdempotent).is_ok());
    assert!(check_idempotency(&Method::POST, &key, keyed).is_ok());
    for (method, headers, idempotency, expected) in [
        (
            Method::POST,
            &none,
            Idempotency::Idempotent,
            BadRequest::Method(Method::GET),
        ),
        (Method::GET, &key, keyed, BadRequest::Method(Method::POST)),
        (
            Method::POST,
            &none,
            keyed,
            BadRequest::Missing(IDEMPOTENCY_KEY),
        ),
        (
            Method::POST,
            &empty,
            keyed,
            BadRequest::Missing(IDEMPOTENCY_KEY),
        ),
        (
            Method::GET,
            &key,
            Idempotency::Idempotent,
            BadRequest::NotAllowed(IDEMPOTENCY_KEY),
        ),
        (
            Method::POST,
            &key,
            Idempotency::NonIdempotent,
            BadRequest::NotAllowed(IDEMPOTENCY_KEY),
        ),
    ] {
        let error =
            check_idempotency(&method, headers, idempotency).expect_err("the request is invalid");
        assert_eq!(error.to_string(), expected.to_string());
    }
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let forwarded = end_to_end_headers(headers(&[
        ("connection", "close, X-Mine"),
        ("connection", "x-call-id,idempotency-key"),
        ("x-mine", "1"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("content-length", "3"),
        ("te", "trailers"),
        ("upgrade", "h2c"),
        ("expect", "100-continue"),
        (CALL_ID, "a"),
        (IDEMPOTENCY_KEY, "k"),
        ("x-other", "2"),
    ]));
    let mut names: Vec<&str> = forwarded.keys().map(HeaderName::as_str).collect();
    names.sort_unstable();
    assert_eq!(names, [IDEMPOTENCY_KEY, CALL_ID, "x-other"]);
}
