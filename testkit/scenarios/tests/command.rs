//! Tests of the command line: results, printed lines and exit codes of the commands.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

const MUTANT: &str = env!("CARGO_BIN_EXE_badgerpost-faulty-node");

fn rehearse_command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_badgerpost-rehearse"));
    command.args(arguments).env_remove("BADGERPOST_FAULT");
    command
}

fn printed_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// The path of a temporary file with this name, unique to the test process.
fn temporary_file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!(
        "badgerpost-rehearse-test-{}-{name}",
        std::process::id()
    ))
}

/// Guards against a rule checker that misses a breach of its rule or reports one of another rule.
#[test]
fn each_mutant_breaks_the_rule_of_its_mutation_and_no_other() {
    let cases = [
        ("none", "calm", None),
        ("drop", "calm", Some("rule 1 one final answer: BROKEN")),
        ("resend", "calm", Some("rule 2 no effect twice: BROKEN")),
        ("drain", "drain", Some("rule 3 drains kept: BROKEN")),
        (
            "flood",
            "cold-start",
            Some("rule 4 cold servers spared: BROKEN"),
        ),
    ];
    for (fault, scenario, broken) in cases {
        let output = rehearse_command(&["run", scenario, "--node", MUTANT])
            .env("BADGERPOST_FAULT", fault)
            .output()
            .unwrap();
        let text = printed_text(&output);
        assert_eq!(
            output.status.code(),
            Some(i32::from(broken.is_some())),
            "{fault}: {text}"
        );
        assert_eq!(
            text.matches("BROKEN").count(),
            usize::from(broken.is_some()),
            "{fault}: {text}"
        );
        broken
            .into_iter()
            .for_each(|broken| assert!(text.contains(broken), "{fault}: {text}"));
    }
}

/// The mutant breaks its rule only while a server drains, so the search has to find a plan with a drain, and the
/// minimized repro file has that fault only.
#[test]
fn hunt_finds_and_minimizes_a_breach_and_its_repro_file_reproduces_it() {
    let (repro, log) = (temporary_file("repro.json"), temporary_file("repro.jsonl"));
    let path = repro.to_str().expect("a path");
    let hunt = [
        "hunt", "drain", "--seeds", "1..20", "--node", MUTANT, "--out", path,
    ];
    let output = rehearse_command(&hunt)
        .env("BADGERPOST_FAULT", "drain")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1), "{}", printed_text(&output));
    let repro_file: serde_json::Value =
        serde_json::from_slice(&std::fs::read(&repro).unwrap()).unwrap();
    assert_eq!(
        repro_file["faults"].as_array().map(Vec::len),
        Some(1),
        "{}",
        printed_text(&output)
    );
    assert!(
        repro_file["arrivals"]
            .as_array()
            .is_some_and(|arrivals| arrivals.len() <= 4),
        "{}",
        printed_text(&output)
    );
    let run_repro = [
        "run",
        "--repro",
        path,
        "--node",
        MUTANT,
        "--out",
        log.to_str().expect("a path"),
    ];
    let logs: Vec<Vec<u8>> = (0..2)
        .map(|_| {
            let output = rehearse_command(&run_repro)
                .env("BADGERPOST_FAULT", "drain")
                .output()
                .unwrap();
            assert!(
                printed_text(&output).contains("rule 3 drains kept: BROKEN"),
                "{}",
                printed_text(&output)
            );
            std::fs::read(&log).unwrap()
        })
        .collect();
    assert_eq!(logs[0], logs[1]);
    // The real node keeps the rule in the same run.
    let output = rehearse_command(&["run", "--repro", path])
        .output()
        .unwrap();
    assert!(
        printed_text(&output).contains("rule 3 drains kept: kept"),
        "{}",
        printed_text(&output)
    );
    [repro, log]
        .iter()
        .for_each(|file| std::fs::remove_file(file).unwrap());
}

#[test]
fn run_reports_a_crashed_node_with_its_log() {
    for mode in [
        &["run", "calm", "--node", MUTANT][..],
        &["run", "calm", "--node", MUTANT, "--real-time"],
    ] {
        let output = rehearse_command(mode)
            .env("BADGERPOST_FAULT", "crash")
            .output()
            .unwrap();
        let text = printed_text(&output);
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(
            text.contains("crashed (exit status: 3)")
                && text.contains("mutation crash: exiting after 100 attempts"),
            "{text}"
        );
    }
}

#[test]
fn invalid_arguments_and_files_fail_with_a_message_that_names_them() {
    let invalid_file = temporary_file("bad.toml");
    std::fs::write(&invalid_file, "about = 'x'\nlength_ns = 4\n").unwrap();
    let path = invalid_file.to_str().expect("a path");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port().to_string();
    for (arguments, expected) in [
        (&["run", path][..], "bad.toml:2: length_ns: unknown field"),
        (&["run", "no-such-scene"], "no-such-scene: "),
        (
            &["run", "calm", "--node", "/no/such/program"],
            "no/such/program",
        ),
        (&["run", "--repro", path], "bad.toml: expected value"),
        (&["up", "calm", "--port", &port], "can't listen at"),
        (&["up", "calm", "--nodes", "9"], "the scene has 2 nodes"),
    ] {
        let output = rehearse_command(arguments)
            .stdin(Stdio::null())
            .output()
            .unwrap();
        assert_eq!(
            output.status.code(),
            Some(2),
            "{arguments:?}: {}",
            printed_text(&output)
        );
        assert!(
            printed_text(&output).contains(expected),
            "{arguments:?}: {}",
            printed_text(&output)
        );
    }
    std::fs::remove_file(&invalid_file).unwrap();
}

/// Runs the shipped scenario `calm` for a shorter time.
#[test]
fn run_in_real_time_prints_a_verdict_and_writes_a_plot() {
    let (scenario, plot) = (temporary_file("short.toml"), temporary_file("short.svg"));
    let calm = badgerpost_scenarios::scenario::SHIPPED
        .iter()
        .find(|shipped| shipped.0 == "calm")
        .unwrap()
        .1;
    let text = calm
        .replace("length_ms = 5000", "length_ms = 1500")
        .replace("served = 0.99", "served = 0.5");
    std::fs::write(&scenario, &text).unwrap();
    let arguments = [
        "run",
        scenario.to_str().unwrap(),
        "--real-time",
        "--plot",
        plot.to_str().unwrap(),
    ];
    let output = rehearse_command(&arguments).output().unwrap();
    let text = printed_text(&output);
    assert!(
        text.contains("in real time") && text.contains("rule 2 no effect twice: kept"),
        "{text}"
    );
    assert!(text.contains("0 steps"), "{text}");
    let svg = std::fs::read_to_string(&plot).unwrap();
    assert!(svg.starts_with("<svg") && svg.contains("attempts a second by server"));
    [scenario, plot]
        .iter()
        .for_each(|file| std::fs::remove_file(file).unwrap());
}

fn response_head(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("the node listens");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = Vec::new();
    let mut buffer = [0; 1024];
    while !response.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        let read = stream.read(&mut buffer).expect("a response");
        assert!(
            read > 0,
            "the node closed the connection before the end of the response head"
        );
        response.extend_from_slice(&buffer[..read]);
    }
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against nodes that outlive the command, and against printed addresses that do not serve.
#[test]
fn up_starts_backends_and_nodes_and_stops_them_at_the_end_of_its_input() {
    let mut command = rehearse_command(&["up", "calm"]);
    let mut child = command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    let ready: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(
        (
            ready["scene"].as_str(),
            ready["backends"].as_array().map(Vec::len)
        ),
        (Some("calm"), Some(6))
    );
    let nodes: Vec<SocketAddr> = ready["nodes"]
        .as_array()
        .expect("nodes")
        .iter()
        .map(|node| node["listen"].as_str().unwrap().parse().unwrap())
        .collect();
    assert_eq!(nodes.len(), 2);
    let request = "GET /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: by-hand\r\nX-Call-Class: lobby-status\r\n\
        X-Budget-Ms: 400\r\n\r\n";
    // The node listens before the endpoint list arrives, and cannot serve requests until then.
    let served = (0..400).any(|_| {
        std::thread::sleep(Duration::from_millis(20));
        response_head(nodes[0], request).starts_with("HTTP/1.1 200")
    });
    assert!(served, "no request was served by a backend");
    drop(child.stdin.take());
    assert!(child.wait().unwrap().success());
    for node in nodes {
        assert!(
            TcpStream::connect(node).is_err(),
            "{node} still accepts connections"
        );
    }
}

#[test]
fn list_prints_the_shipped_scenarios() {
    let output = rehearse_command(&["list"]).output().unwrap();
    for (name, _) in badgerpost_scenarios::scenario::SHIPPED {
        assert!(
            printed_text(&output)
                .lines()
                .any(|line| line.starts_with(name)),
            "{name}"
        );
    }
    assert!(printed_text(&rehearse_command(&["--help"]).output().unwrap()).contains("Examples:"));
}
