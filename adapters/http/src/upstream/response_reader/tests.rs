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
fn an_unframed_response_ends_unannounced_unless_the_close_was_announced() {
    assert!(ends_unannounced(&head(200, &[]), None));
    assert!(ends_unannounced(
        &head(200, &[("connection", "keep-alive")]),
        None
    ));
    for headers in [
        &[("connection", "close")],
        &[("connection", "x, Close")],
        &[("transfer-encoding", "chunked")],
    ] {
        assert!(!ends_unannounced(&head(200, headers), None), "{headers:?}");
    }
}

#[test]
fn a_response_of_known_length_or_of_http_1_0_does_not_end_unannounced() {
    assert!(!ends_unannounced(&head(200, &[]), Some(0)));
    let mut old = head(200, &[]);
    old.version = Version::HTTP_10;
    assert!(!ends_unannounced(&old, None));
}
