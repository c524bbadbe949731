use super::*;

fn head(status: u16, headers: &[(&'static str, &'static str)]) -> Parts {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    response.body(()).expect("a valid response").into_parts().0
}

#[test]
fn the_outcome_follows_from_status_and_rejection_header() {
    let rejected = &[("x-rejected", "1")];
    for (status, headers, expected) in [
        (200, &[][..], Outcome::Success),
        (200, rejected, Outcome::Success),
        (503, rejected, Outcome::Rejected),
        (504, rejected, Outcome::Rejected),
        (500, rejected, Outcome::Error),
        (503, &[("x-rejected", "0")], Outcome::Error),
        (503, &[], Outcome::Error),
        (204, &[], Outcome::Error),
        (302, &[], Outcome::Error),
        (404, &[], Outcome::InvalidResponse),
        (429, rejected, Outcome::InvalidResponse),
    ] {
        let outcome = response_outcome(&head(status, headers));
        assert_eq!(outcome, expected, "{status} {headers:?}");
    }
}

#[test]
fn a_close_delimited_response_without_connection_close_has_an_unannounced_close() {
    assert!(has_unannounced_close(&head(200, &[]), None));
    assert!(has_unannounced_close(
        &head(200, &[("connection", "keep-alive")]),
        None
    ));
    for headers in [
        &[("connection", "close")],
        &[("connection", "x, Close")],
        &[("transfer-encoding", "chunked")],
    ] {
        assert!(
            !has_unannounced_close(&head(200, headers), None),
            "{headers:?}"
        );
    }
}

#[test]
fn a_response_of_known_length_or_of_http_1_0_has_no_unannounced_close() {
    assert!(!has_unannounced_close(&head(200, &[]), Some(0)));
    let mut old = head(200, &[]);
    old.version = Version::HTTP_10;
    assert!(!has_unannounced_close(&old, None));
}
