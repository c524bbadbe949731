//! Checks the exact lines that `badgerpost-wirehost` reads and writes, and the exact error texts.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use common::{batch, fleet, incoming, manifest, open, reply, run};

/// One line of input.
fn line(text: &str) -> String {
    format!("{text}\n")
}

/// Runs the program on input that must make it fail without output, and returns standard error.
fn error_output(input: &str) -> String {
    let output = run(input);
    assert!(!output.status.success(), "{input}");
    assert!(output.stdout.is_empty(), "{input}");
    String::from_utf8(output.stderr).expect("UTF-8")
}

/// A batch that starts instance 1 with the backend `b-one` at time 0.
fn start_instance() -> String {
    batch(0, &[open(1), manifest(0, "b-one"), fleet(1, 0)])
}

/// A `SETTLED` line, which ends an attempt after 1 microsecond.
fn settled(instance: u32, request: &str, attempt: u32, disposition: &str) -> String {
    line(&format!(
        r#"{{"SETTLED":{{"who":{instance},"request-id":"{request}","try":{attempt},"disposition":"{disposition}","elapsed-ns":1000,"no-more":false,"usage":null}}}}"#
    ))
}

/// The replies to the last batch in `input`, without the `YIELD` line.
fn last_reply(input: &str) -> Vec<String> {
    let mut lines: Vec<String> = reply(input).lines().map(str::to_owned).collect();
    assert_eq!(lines.pop().as_deref(), Some(r#"{"YIELD":{}}"#));
    let start = lines
        .iter()
        .rposition(|line| line.starts_with(r#"{"YIELD""#));
    lines.split_off(start.map_or(0, |at| at + 1))
}

#[test]
fn replies_about_requests_have_their_exact_form() {
    let idempotent = start_instance() + &batch(1_000_000, &[incoming(1, "r\\\"1")]);
    assert_eq!(
        last_reply(&idempotent),
        [r#"{"PLACE":{"backend":"b-one","max-wait-ns":0,"request-id":"r\"1","who":1}}"#]
    );
    let mut ended = idempotent;
    for attempt in 0..3 {
        ended += &batch(2_000_000, &[settled(1, "r\\\"1", attempt, "E")]);
    }
    assert_eq!(
        last_reply(&ended),
        [r#"{"DECLINE":{"pause-ns":0,"request-id":"r\"1","who":1}}"#]
    );
    let not_idempotent = batch(
        0,
        &[
            open(3).replace("repeatable", "once"),
            manifest(0, "b"),
            fleet(3, 0),
        ],
    );
    let failed = not_idempotent
        + &batch(1_000_000, &[incoming(3, "r")])
        + &batch(2_000_000, &[settled(3, "r", 0, "E")]);
    assert_eq!(
        last_reply(&failed),
        [r#"{"END_FAILED":{"request-id":"r","who":3}}"#]
    );
}

#[test]
fn replies_about_timers_discovery_and_health_checks_have_their_exact_form() {
    let polled = open(2)
        .replace("pushed", "on_request")
        .replace("\"probes\":false", "\"probes\":true")
        .replace("\"unknown\":1", "\"report\":{\"how\":\"pull\"}");
    let opened = batch(0, &[polled]);
    assert_eq!(
        last_reply(&opened),
        [r#"{"SUBSCRIBE":{"on":true,"who":2}}"#]
    );
    let wakeup = line(r#"{"WAKEUP":{"who":2,"name":0}}"#);
    let checked = opened
        + &batch(1_000_000, &[manifest(0, "b-far"), fleet(2, 0)])
        + &batch(900_000_000, &[wakeup]);
    assert_eq!(
        last_reply(&checked),
        [r#"{"TEST":{"backend":"b-far","who":2}}"#]
    );
}

#[test]
fn a_log_event_is_written_as_remark() {
    let second = manifest(1, "b-two").replace("\"hall\":\"a\"", "\"hall\":\"b\"");
    let added = fleet(1, 1).replace("cached", "delta");
    let mut input = start_instance() + &batch(1_000, &[second, added]);
    for n in 0..40u64 {
        let id = format!("r{n}");
        let attempts = [0, 1, 2].map(|attempt| settled(1, &id, attempt, "E"));
        let lines = [vec![incoming(1, &id)], attempts.to_vec()].concat();
        input += &batch(100_000_000 + n * 10_000_000, &lines);
    }
    let remark = r#"{"REMARK":{"note-text":"backend 0 ejected for 1000 ms: Error","who":1}}"#;
    assert_eq!(
        reply(&input).lines().filter(|line| *line == remark).count(),
        1
    );
}

#[test]
fn invalid_settings_are_answered_with_the_error_text() {
    for (from, to, text) in [
        (
            "\"fall-ns\":1500000000,",
            "",
            "rules: field fall-ns is missing or of the wrong type",
        ),
        (
            "\"attempts-cap\":3",
            "\"attempts-cap\":0",
            "settings: limits.attempts: must be at least 1",
        ),
    ] {
        let input = batch(1, &[open(1).replace(from, to)]);
        let expected = format!(r#"{{"DIE":{{"note-text":"{text}","who":1}}}}"#);
        assert_eq!(last_reply(&input), [expected]);
    }
}

#[test]
fn error_texts_name_the_line_and_what_is_wrong_with_it() {
    for (text, problem) in [
        (
            r##"nonsense"##,
            "invalid JSON: expected ident at line 1 column 2",
        ),
        (
            r##"[1]"##,
            "expected an object with the message's name as its only key",
        ),
        (
            r##"{}"##,
            "expected an object with the message's name as its only key",
        ),
        (
            r##"{"GO":{},"BATCH":{}}"##,
            "expected an object with the message's name as its only key",
        ),
        (r##"{"GO":1}"##, "GO: not an object"),
    ] {
        let found = error_output(&(open(1) + &line(text)));
        assert_eq!(found, format!("badgerpost-wirehost: line 2: {problem}\n"));
    }
}

/// Checks that a message with each of these bodies ends the program with an error that names the message and the
/// field.
fn assert_field_errors(message: &str, bodies: &[(&str, &str)]) {
    for (body, field) in bodies {
        let found = error_output(&(open(1) + &line(&format!(r#"{{"{message}":{body}}}"#))));
        let problem = format!("field {field} is missing or of the wrong type");
        assert_eq!(
            found,
            format!("badgerpost-wirehost: line 2: {message}: {problem}\n"),
            "{body}"
        );
    }
}

#[test]
fn error_texts_of_batches_and_instances_name_message_and_field() {
    assert_field_errors(
        "BATCH",
        &[
            (r#"{}"#, "sim-time-ns"),
            (r#"{"sim-time-ns":1.5}"#, "sim-time-ns"),
        ],
    );
    assert_field_errors(
        "OPEN_INSTANCE",
        &[
            (r#"{}"#, "who"),
            (r#"{"who":2}"#, "nonce64"),
            (r#"{"who":2,"nonce64":1}"#, "config"),
        ],
    );
    assert_field_errors("EXIT", &[(r#"{"who":null}"#, "who")]);
}

#[test]
fn error_texts_of_endpoint_lists_name_message_and_field() {
    assert_field_errors(
        "MANIFEST",
        &[
            (r#"{"members-list":[]}"#, "list"),
            (r#"{"list":1}"#, "members-list"),
            (r#"{"list":1,"members-list":[1]}"#, "members-list"),
            (r#"{"list":1,"members-list":[{}]}"#, "backend"),
            (r#"{"list":1,"members-list":[{"backend":"b"}]}"#, "hall"),
            (
                r#"{"list":1,"members-list":[{"backend":"b","hall":"a"}]}"#,
                "type",
            ),
            (
                r#"{"list":1,"members-list":[{"backend":"b","hall":"a","type":"k","pod":"x"}]}"#,
                "pod",
            ),
            (
                r#"{"list":1,"members-list":[{"backend":"b","hall":"a","type":"k","stage-state":"x"}]}"#,
                "stage-state",
            ),
            (
                r#"{"list":1,"members-list":[{"backend":"b","hall":"a","type":"k","stage-state":"terminated","power-hint":"x"}]}"#,
                "power-hint",
            ),
            (
                r#"{"list":1,"members-list":[{"backend":"b","hall":"a","type":"k","stage-state":"terminated","online-since-ns":"x"}]}"#,
                "online-since-ns",
            ),
        ],
    );
}

#[test]
fn error_texts_of_endpoint_updates_name_message_and_field() {
    assert_field_errors(
        "FLEET",
        &[
            (r#"{}"#, "who"),
            (r#"{"who":1}"#, "mode"),
            (r#"{"who":1,"mode":"x"}"#, "mode"),
            (r#"{"who":1,"mode":"full"}"#, "list"),
            (r#"{"who":1,"mode":"full","list":9}"#, "list"),
        ],
    );
}

#[test]
fn error_texts_of_requests_name_message_and_field() {
    assert_field_errors(
        "INCOMING",
        &[
            (r#"{"who":1}"#, "band"),
            (r#"{"who":1,"band":"x"}"#, "band"),
            (r#"{"who":1,"band":"read","options":"x"}"#, "options"),
            (
                r#"{"who":1,"band":"read","weight-hint-ns":"x"}"#,
                "weight-hint-ns",
            ),
            (r#"{"who":1,"band":"read"}"#, "not-after-ns"),
            (r#"{"who":1,"band":"read","not-after-ns":1}"#, "request-id"),
        ],
    );
    assert_field_errors("ACK_FIRST", &[(r#"{"who":1}"#, "request-id")]);
    assert_field_errors("LEFT", &[(r#"{"who":1,"request-id":1}"#, "request-id")]);
}

#[test]
fn error_texts_of_attempts_name_message_and_field() {
    assert_field_errors(
        "SETTLED",
        &[
            (r#"{"who":1}"#, "no-more"),
            (r#"{"who":1,"no-more":true}"#, "disposition"),
            (
                r#"{"who":1,"no-more":true,"disposition":"Q"}"#,
                "disposition",
            ),
            (
                r#"{"who":1,"no-more":true,"disposition":"S"}"#,
                "elapsed-ns",
            ),
            (
                r#"{"who":1,"no-more":true,"disposition":"S","elapsed-ns":1,"usage":1}"#,
                "usage",
            ),
            (
                r#"{"who":1,"no-more":true,"disposition":"S","elapsed-ns":1}"#,
                "try",
            ),
            (
                r#"{"who":1,"no-more":true,"disposition":"S","elapsed-ns":1,"try":0}"#,
                "request-id",
            ),
        ],
    );
}

#[test]
fn error_texts_of_health_checks_and_timers_name_message_and_field() {
    assert_field_errors(
        "STATUS_BACK",
        &[
            (r#"{"who":1}"#, "backend"),
            (r#"{"who":1,"backend":"b"}"#, "elapsed-ns"),
            (r#"{"who":1,"backend":"b","elapsed-ns":1}"#, "disposition"),
            (
                r#"{"who":1,"backend":"b","elapsed-ns":1,"disposition":"S","usage":[]}"#,
                "usage",
            ),
        ],
    );
    assert_field_errors("WAKEUP", &[(r#"{"who":1}"#, "name")]);
}

#[test]
fn unusual_but_valid_lines_are_accepted() {
    let lines = [
        "",
        "   ",
        r#"{"FLEET":{"who":7}}"#,
        r#"{"INCOMING":{"who":7}}"#,
        r#"{"SETTLED":{"who":7}}"#,
        r#"{"EXIT":{"who":7}}"#,
        r#"{"NEIGHBOUR_SAYS":{}}"#,
        r#"{"FLEET":{"who":1,"mode":"failed"}}"#,
        r#"{"SETTLED":{"who":1,"no-more":true,"disposition":"S","elapsed-ns":-1,"try":0,"request-id":"none","usage":{"load_share":"x","tps":1,"more":[]}}}"#,
        r#"{"ACK_FIRST":{"who":1,"request-id":"none"}}"#,
        r#"{"LEFT":{"who":1,"request-id":"none"}}"#,
        r#"{"WAKEUP":{"who":1,"name":18446744073709551615,"more":1}}"#,
        r#"{"MANIFEST":{"list":-1,"members-list":[{"backend":"b","hall":"new","type":"new","stage-state":"terminated","pod":null,"power-hint":null}]}}"#,
        r#"{"FLEET":{"who":1,"mode":"delta","list":-1}}"#,
        r#"{"STATUS_BACK":{"who":1,"backend":"b","elapsed-ns":1,"disposition":"S","usage":null}}"#,
    ];
    let lines: Vec<String> = lines.into_iter().map(line).collect();
    assert_eq!(
        last_reply(&(start_instance() + &batch(1, &lines))),
        [r#"{"DEFER":{"from-now-ns":253992287,"name":0,"who":1}}"#]
    );
    let key_and_tenant = incoming(1, "r")
        .replace("\"org\":null", "\"org\":7")
        .replace("\"key\":null", "\"key\":[]");
    let placed = last_reply(&(start_instance() + &batch(1_000_000, &[key_and_tenant])));
    assert!(placed[0].starts_with(r#"{"PLACE""#), "{placed:?}");
}
