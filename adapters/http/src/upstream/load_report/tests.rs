use super::*;

fn reported_values(text: &str) -> [Option<f64>; 3] {
    let report = parse(text.as_bytes());
    [
        report.utilization,
        report.requests_per_second,
        report.in_flight,
    ]
}

#[test]
fn values_are_read_under_either_field_name() {
    let expected = [Some(0.5), Some(12.0), Some(3.0)];
    for text in [
        r#"{"util":0.5,"qps":12,"inflight":3}"#,
        r#"{"load_share":0.5,"tps":12,"concurrent":3}"#,
    ] {
        assert_eq!(reported_values(text), expected, "{text}");
    }
}

#[test]
fn an_absent_value_leaves_the_others_valid() {
    assert_eq!(reported_values(r#"{"util":0.5}"#), [Some(0.5), None, None]);
}

#[test]
fn a_report_that_can_not_be_parsed_is_empty() {
    for text in ["", "{", "[]", "null", r#"{"util":"half"}"#, r#"{"qps":[]}"#] {
        assert_eq!(reported_values(text), [None; 3], "{text}");
    }
}

#[test]
fn a_response_without_the_header_has_an_empty_report() {
    assert_eq!(from_headers(&HeaderMap::new()).utilization, None);
    let mut headers = HeaderMap::new();
    headers.insert(
        LOAD_REPORT_HEADER,
        HeaderValue::from_static(r#"{"util":0.5}"#),
    );
    assert_eq!(from_headers(&headers).utilization, Some(0.5));
}
