//! Runs `badgerpost-wirehost` as a process on small batches.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use common::{batch, fleet, incoming, manifest, open, reply, run};

/// The `PLACE` lines of one instance.
fn place_lines(reply: &str, who: u32) -> Vec<String> {
    let instance_field = format!("\"who\":{who}");
    reply
        .lines()
        .filter(|line| line.contains("PLACE") && line.contains(&instance_field))
        .map(str::to_owned)
        .collect()
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(reply(&batch(5, &[])), "{\"YIELD\":{}}\n");
}

#[test]
fn an_endpoint_list_id_reused_in_a_batch_refers_to_the_latest_list() {
    let lines = [
        open(1),
        open(2),
        manifest(0, "b-one"),
        fleet(1, 0),
        manifest(0, "b-two"),
        fleet(2, 0),
    ];
    let requests = [incoming(1, "r1"), incoming(2, "r2")];
    let out = reply(&(batch(0, &lines) + &batch(1_000_000, &requests)));
    assert!(
        place_lines(&out, 1)[0].contains("b-one") && place_lines(&out, 2)[0].contains("b-two"),
        "{out}"
    );
}

#[test]
fn an_instance_stopped_and_started_in_one_batch_keeps_no_state() {
    let first = [open(1), manifest(0, "b-old"), fleet(1, 0)];
    let exit = "{\"EXIT\":{\"who\":1}}\n".to_owned();
    let second = [
        exit,
        open(1),
        manifest(1, "b-new"),
        fleet(1, 1),
        incoming(1, "r"),
    ];
    let out = reply(&(batch(0, &first) + &batch(1_000_000, &second)));
    assert_eq!(place_lines(&out, 1).len(), 1);
    assert!(place_lines(&out, 1)[0].contains("b-new"), "{out}");
}

#[test]
fn instances_in_one_process_act_as_in_separate_processes() {
    let lines = |who: u32| {
        let start = vec![open(who), manifest(0, "b-one"), fleet(who, 0)];
        let requests: Vec<String> = (0..3)
            .map(|n| incoming(who, &format!("r{who}{n}")))
            .collect();
        (start, requests)
    };
    let ((start1, requests1), (start2, requests2)) = (lines(1), lines(2));
    let in_own_process = |start: &[String], requests: &[String]| {
        reply(&(batch(0, start) + &batch(1_000_000, requests)))
    };
    let interleaved: Vec<String> = requests1
        .iter()
        .zip(&requests2)
        .flat_map(|(a, b)| [a.clone(), b.clone()])
        .collect();
    let together = reply(
        &(batch(0, &[start1.clone(), start2.clone()].concat()) + &batch(1_000_000, &interleaved)),
    );
    assert_eq!(
        place_lines(&together, 1),
        place_lines(&in_own_process(&start1, &requests1), 1)
    );
    assert_eq!(
        place_lines(&together, 2),
        place_lines(&in_own_process(&start2, &requests2), 2)
    );
    assert_eq!(place_lines(&together, 1).len(), 3);
}

#[test]
fn malformed_input_fails_with_line_and_field_and_no_partial_reply() {
    let cases = [
        ("{\"BATCH\":{\"sim-time-ns\":1}}\nnonsense\n", "line 2"),
        ("{\"BATCH\":{}}\n", "sim-time-ns"),
        (
            "{\"BATCH\":{\"sim-time-ns\":1}}\n{\"INCOMING\":{\"who\":\"x\"}}\n{\"GO\":{}}\n",
            "who",
        ),
        ("[1]\n", "line 1"),
    ];
    for (input, expected) in cases {
        let output = run(input);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && output.stdout.is_empty(),
            "{input}"
        );
        assert!(
            stderr.contains(expected) && stderr.contains("line"),
            "{stderr}"
        );
    }
}

#[test]
fn unknown_messages_are_skipped_with_a_single_warning() {
    let unknown = "{\"NOVELTY\":{\"who\":1}}\n".to_owned();
    let output = run(&batch(1, &[unknown.clone(), unknown]));
    assert!(output.status.success());
    assert_eq!(
        String::from_utf8_lossy(&output.stderr)
            .matches("NOVELTY")
            .count(),
        1
    );
}

#[test]
fn invalid_settings_are_reported_with_the_field() {
    for (from, to, field) in [
        ("\"zones\":[\"a\",\"b\"]", "\"zones\":[]", "az"),
        ("\"repeatable\"", "\"sometimes\"", "effect"),
        ("\"fall-ns\":1500000000,", "", "fall-ns"),
        ("\"attempts-cap\":3", "\"attempts-cap\":0", "attempts"),
        (
            "\"goal\":",
            "\"projects\":[{\"name\":\"t\"}],\"goal\":",
            "quota-rps",
        ),
    ] {
        let line = open(1).replace(from, to);
        let out = reply(&batch(1, &[line]));
        assert!(out.contains("DIE") && out.contains(field), "{out}");
    }
}
