use super::*;

const VALID: &str = r#"{"uid":"s-0","endpoint":"10.0.0.1:9000","az":"a","state":"Ready"}"#;
const OTHER: &str = r#"{"uid":"s-1","endpoint":"10.0.0.2:9000","az":"a","state":"Ready"}"#;

fn list(all: bool, entries: &[&str]) -> String {
    format!(
        r#"{{"rev":7,"all":{all},"targets":[{}]}}"#,
        entries.join(",")
    )
}

fn merge(
    entries: &mut KnownEntries,
    text: &str,
) -> (EndpointUpdate, Vec<(String, EndpointState)>, usize) {
    let merged = entries.merge(EndpointList::parse(text.as_bytes()).expect("a valid list"));
    let mut endpoints: Vec<_> = merged
        .endpoints
        .into_iter()
        .map(|endpoint| (endpoint.name, endpoint.state))
        .collect();
    endpoints.sort_by(|a, b| a.0.cmp(&b.0));
    (merged.update, endpoints, merged.invalid.len())
}

fn known() -> KnownEntries {
    let mut entries = KnownEntries::default();
    merge(&mut entries, &list(true, &[VALID, OTHER]));
    entries
}

/// Guards against an invalid entry that prevents the drain of another backend from being applied.
#[test]
fn an_invalid_entry_leaves_the_others_valid() {
    let draining = OTHER.replace("Ready", "Terminating");
    let ready = EndpointState::InService;
    for invalid in [
        VALID.replace("10.0.0.1:9000", "here"),
        VALID.replace("\"10.0.0.1:9000\"", "null"),
        VALID.replace("\"a\"", "3"),
        VALID.replace("\"Ready\"", "17"),
        r#"{"uid":"s-0"}"#.to_owned(),
    ] {
        for all in [true, false] {
            let (_, endpoints, count) = merge(&mut known(), &list(all, &[&invalid, &draining]));
            let wanted = [
                ("s-0".to_owned(), ready),
                ("s-1".to_owned(), EndpointState::Draining),
            ];
            assert_eq!(
                (endpoints.as_slice(), count),
                (wanted.as_slice(), 1),
                "{invalid} {all}"
            );
        }
    }
}

/// Guards against an endpoint that is made up from an invalid entry.
#[test]
fn an_invalid_entry_of_an_unknown_backend_is_skipped() {
    for invalid in [
        r#"{"uid":"s-9","endpoint":"here","az":"a","state":"Ready"}"#,
        "null",
        "[]",
        "\"s-0\"",
    ] {
        let (update, endpoints, count) = merge(&mut known(), &list(false, &[invalid, OTHER]));
        assert_eq!(
            (update, endpoints.len(), count),
            (EndpointUpdate::Delta, 1, 1),
            "{invalid}"
        );
    }
}

#[test]
fn the_valid_state_of_an_invalid_entry_is_applied() {
    for (name, state) in [
        ("Terminating", EndpointState::Draining),
        ("Gone", EndpointState::Removed),
    ] {
        let invalid = VALID.replace("10.0.0.1:9000", "").replace("Ready", name);
        let (_, endpoints, _) = merge(&mut known(), &list(false, &[&invalid, OTHER]));
        assert_eq!(endpoints[0], ("s-0".to_owned(), state));
    }
}

/// Guards against new requests to a backend that may not be in service.
#[test]
fn a_backend_in_an_unknown_state_counts_as_draining() {
    let (_, endpoints, invalid) = merge(
        &mut known(),
        &list(false, &[&VALID.replace("Ready", "Quarantined")]),
    );
    assert_eq!(
        (endpoints, invalid),
        (vec![("s-0".to_owned(), EndpointState::Draining)], 0)
    );
}

#[test]
fn a_text_without_a_valid_entry_is_not_a_list() {
    let invalid = VALID.replace("10.0.0.1:9000", "here");
    for text in [
        "",
        "{",
        "[]",
        r#"{"rev":1,"all":true}"#,
        &list(true, &[&invalid]),
        &list(true, &[VALID])[..60],
    ] {
        assert!(EndpointList::parse(text.as_bytes()).is_err(), "{text}");
    }
    assert!(
        EndpointList::parse(list(true, &[]).as_bytes()).is_ok(),
        "an empty list is valid"
    );
}

#[test]
fn an_invalid_entry_does_not_bring_back_a_removed_backend() {
    let mut entries = known();
    merge(&mut entries, &list(true, &[OTHER]));
    let invalid = VALID.replace("10.0.0.1:9000", "here");
    let (_, endpoints, count) = merge(&mut entries, &list(false, &[&invalid, OTHER]));
    assert_eq!((endpoints.len(), count), (1, 1));
}
