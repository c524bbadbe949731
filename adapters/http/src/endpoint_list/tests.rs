use super::*;

const GOOD: &str = r#"{"uid":"s-0","endpoint":"10.0.0.1:9000","az":"a","state":"Ready"}"#;
const OTHER: &str = r#"{"uid":"s-1","endpoint":"10.0.0.2:9000","az":"a","state":"Ready"}"#;

fn list(all: bool, entries: &[&str]) -> String {
    format!(
        r#"{{"rev":7,"all":{all},"targets":[{}]}}"#,
        entries.join(",")
    )
}

fn taken(
    entries: &mut KnownEntries,
    text: &str,
) -> (EndpointUpdate, Vec<(String, EndpointState)>, usize) {
    let (scope, listed, odd) = entries.take(List::read(text.as_bytes()).expect("a list"));
    let mut listed: Vec<_> = listed
        .into_iter()
        .map(|listed| (listed.name, listed.state))
        .collect();
    listed.sort_by(|a, b| a.0.cmp(&b.0));
    (scope, listed, odd.len())
}

fn known() -> KnownEntries {
    let mut entries = KnownEntries::default();
    taken(&mut entries, &list(true, &[GOOD, OTHER]));
    entries
}

/// One entry that nobody can read must not keep the drain of another from being honoured.
#[test]
fn an_odd_entry_does_not_take_the_others_with_it() {
    let drains = OTHER.replace("Ready", "Terminating");
    let ready = EndpointState::InService;
    for odd in [
        GOOD.replace("10.0.0.1:9000", "here"),
        GOOD.replace("\"10.0.0.1:9000\"", "null"),
        GOOD.replace("\"a\"", "3"),
        GOOD.replace("\"Ready\"", "17"),
        r#"{"uid":"s-0"}"#.to_owned(),
    ] {
        for all in [true, false] {
            let (_, listed, count) = taken(&mut known(), &list(all, &[&odd, &drains]));
            let wanted = [
                ("s-0".to_owned(), ready),
                ("s-1".to_owned(), EndpointState::Draining),
            ];
            assert_eq!(
                (listed.as_slice(), count),
                (wanted.as_slice(), 1),
                "{odd} {all}"
            );
        }
    }
}

/// Of a server that nobody knows an odd entry tells nothing; one that is no entry at all does no harm.
#[test]
fn an_odd_entry_of_an_unknown_server_is_passed_over() {
    for odd in [
        r#"{"uid":"s-9","endpoint":"here","az":"a","state":"Ready"}"#,
        "null",
        "[]",
        "\"s-0\"",
    ] {
        let (scope, listed, count) = taken(&mut known(), &list(false, &[odd, OTHER]));
        assert_eq!(
            (scope, listed.len(), count),
            (EndpointUpdate::Delta, 1, 1),
            "{odd}"
        );
    }
}

#[test]
fn a_state_that_can_be_read_counts_though_the_rest_can_not() {
    for (state, stage) in [
        ("Terminating", EndpointState::Draining),
        ("Gone", EndpointState::Removed),
    ] {
        let odd = GOOD.replace("10.0.0.1:9000", "").replace("Ready", state);
        let (_, listed, _) = taken(&mut known(), &list(false, &[&odd, OTHER]));
        assert_eq!(listed[0], ("s-0".to_owned(), stage));
    }
}

/// Nothing new goes where it is not certain that it is wanted.
#[test]
fn a_state_of_another_version_takes_nothing_new() {
    let (_, listed, odd) = taken(
        &mut known(),
        &list(false, &[&GOOD.replace("Ready", "Quarantined")]),
    );
    assert_eq!(
        (listed, odd),
        (vec![("s-0".to_owned(), EndpointState::Draining)], 0)
    );
}

#[test]
fn what_makes_no_sense_at_all_is_no_list() {
    let odd = GOOD.replace("10.0.0.1:9000", "here");
    for text in [
        "",
        "{",
        "[]",
        r#"{"rev":1,"all":true}"#,
        &list(true, &[&odd]),
        &list(true, &[GOOD])[..60],
    ] {
        assert!(List::read(text.as_bytes()).is_err(), "{text}");
    }
    assert!(
        List::read(list(true, &[]).as_bytes()).is_ok(),
        "an empty one is a list"
    );
}

/// What has left is not brought back by an odd entry that names it.
#[test]
fn a_server_that_has_left_is_not_made_good_from_before() {
    let mut entries = known();
    taken(&mut entries, &list(true, &[OTHER]));
    let odd = GOOD.replace("10.0.0.1:9000", "here");
    let (_, listed, count) = taken(&mut entries, &list(false, &[&odd, OTHER]));
    assert_eq!((listed.len(), count), (1, 1));
}
