use super::*;

fn entry(uid: &str) -> Entry {
    Entry {
        uid: uid.to_owned(),
        endpoint: SocketAddr::from(([127, 0, 0, 1], 9)),
        az: "a".to_owned(),
        model: "k".to_owned(),
        pod_group: 0,
        state: State::Ready,
        capacity_hint: 1.0,
        boot_ms: 0,
    }
}

fn parse_list(response: WatchResponse) -> (u64, bool, Vec<String>) {
    let WatchResponse::Body(text) = response else {
        panic!("no list in the response: {response:?}")
    };
    let list: serde_json::Value = serde_json::from_str(&text).expect("valid JSON");
    let targets = list["targets"]
        .as_array()
        .expect("an array of targets")
        .iter();
    let states = targets.map(|t| {
        format!(
            "{} {}",
            t["uid"].as_str().unwrap(),
            t["state"].as_str().unwrap()
        )
    });
    (
        list["rev"].as_u64().unwrap(),
        list["all"].as_bool().unwrap(),
        states.collect(),
    )
}

#[test]
fn watches_get_the_complete_list_or_the_changes() {
    let mut list = Discovery::default();
    ["x", "y"].into_iter().for_each(|uid| list.set(entry(uid)));
    let both = vec!["x Ready".to_owned(), "y Ready".to_owned()];
    assert_eq!(parse_list(list.watch(None, 5)), (2, true, both.clone()));
    assert_eq!(list.watch(Some(2), 5), WatchResponse::Pending);
    assert_eq!(parse_list(list.watch(Some(2), 0)), (2, false, vec![]));
    list.set_state("x", State::Gone);
    assert_eq!(
        parse_list(list.watch(Some(2), 5)),
        (3, false, vec!["x Gone".to_owned()])
    );
    assert_eq!(
        parse_list(list.watch(Some(99), 5)),
        (3, true, vec!["y Ready".to_owned()])
    );
    // In stale mode no change is reported, and a new watch gets the old list.
    list.set_mode(Mode::Stale);
    list.set_state("y", State::Terminating);
    assert_eq!(list.watch(Some(3), 5), WatchResponse::Pending);
    assert_eq!(
        parse_list(list.watch(None, 5)),
        (3, true, vec!["y Ready".to_owned()])
    );
    list.set_mode(Mode::Good);
    assert_eq!(
        parse_list(list.watch(Some(3), 5)),
        (4, false, vec!["y Terminating".to_owned()])
    );
}

#[test]
fn each_failure_mode_gives_its_documented_response() {
    let mut list = Discovery::default();
    list.set(entry("x"));
    for (mode, expected) in [
        (Mode::Silent, WatchResponse::Unanswered),
        (Mode::Failing, WatchResponse::Unavailable),
    ] {
        list.set_mode(mode);
        assert_eq!(list.watch(None, 5), expected);
    }
    list.set_mode(Mode::Empty);
    let (rev, all, targets) = parse_list(list.watch(None, 5));
    assert!(all && targets.is_empty());
    assert_eq!(list.watch(Some(rev), 5), WatchResponse::Pending);
    list.set_mode(Mode::Malformed);
    let WatchResponse::Body(text) = list.watch(None, 5) else {
        panic!("no body in malformed mode")
    };
    assert!(serde_json::from_str::<serde_json::Value>(&text).is_err());
    // A client that has the empty list gets the complete list afterwards.
    list.set_mode(Mode::Good);
    assert_eq!(
        parse_list(list.watch(Some(rev), 5)),
        (1, true, vec!["x Ready".to_owned()])
    );
}

#[test]
fn watch_requests_are_parsed_from_targets() {
    let watch = |from, timeout| Some(WatchRequest { from, timeout });
    assert_eq!(WatchRequest::parse("/registry/instances"), watch(None, 0));
    assert_eq!(
        WatchRequest::parse("/registry/instances?from=4&hold_ms=20"),
        watch(Some(4), 20_000_000)
    );
    assert_eq!(WatchRequest::parse("/other?from=4"), None);
}
