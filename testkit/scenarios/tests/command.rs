//! The commands as people run them: what they find, what they print, how they end.
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

const FAULTY: &str = env!("CARGO_BIN_EXE_badgerpost-faulty-node");

fn rehearse(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_badgerpost-rehearse"));
    command.args(arguments).env_remove("BADGERPOST_FAULT");
    command
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// A file of this test's own.
fn file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!(
        "badgerpost-rehearse-test-{}-{name}",
        std::process::id()
    ))
}

/// Each checker catches the node that breaks its rule, and a plain node passes them all: a blunted checker fails
/// here.
#[test]
fn each_faulty_node_is_caught_by_its_rule() {
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
    for (fault, scene, broken) in cases {
        let output = rehearse(&["run", scene, "--node", FAULTY])
            .env("BADGERPOST_FAULT", fault)
            .output()
            .unwrap();
        let said = said(&output);
        assert_eq!(
            output.status.code(),
            Some(i32::from(broken.is_some())),
            "{fault}: {said}"
        );
        assert_eq!(
            said.matches("BROKEN").count(),
            usize::from(broken.is_some()),
            "{fault}: {said}"
        );
        broken
            .into_iter()
            .for_each(|broken| assert!(said.contains(broken), "{fault}: {said}"));
    }
}

/// The fault shows only where a server drains: the hunt has to find such a schedule, and cuts it down to that.
#[test]
fn a_hunt_finds_shrinks_and_plays_again() {
    let (repro, log) = (file("repro.json"), file("repro.jsonl"));
    let path = repro.to_str().expect("a path");
    let hunt = [
        "hunt", "drain", "--seeds", "1..20", "--node", FAULTY, "--out", path,
    ];
    let output = rehearse(&hunt)
        .env("BADGERPOST_FAULT", "drain")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1), "{}", said(&output));
    let kept: serde_json::Value = serde_json::from_slice(&std::fs::read(&repro).unwrap()).unwrap();
    assert_eq!(
        kept["faults"].as_array().map(Vec::len),
        Some(1),
        "{}",
        said(&output)
    );
    assert!(
        kept["arrivals"]
            .as_array()
            .is_some_and(|arrivals| arrivals.len() <= 4),
        "{}",
        said(&output)
    );
    let again = [
        "run",
        "--repro",
        path,
        "--node",
        FAULTY,
        "--out",
        log.to_str().expect("a path"),
    ];
    let logs: Vec<Vec<u8>> = (0..2)
        .map(|_| {
            let output = rehearse(&again)
                .env("BADGERPOST_FAULT", "drain")
                .output()
                .unwrap();
            assert!(
                said(&output).contains("rule 3 drains kept: BROKEN"),
                "{}",
                said(&output)
            );
            std::fs::read(&log).unwrap()
        })
        .collect();
    assert_eq!(logs[0], logs[1]);
    // The real node keeps the rule in just that.
    let output = rehearse(&["run", "--repro", path]).output().unwrap();
    assert!(
        said(&output).contains("rule 3 drains kept: kept"),
        "{}",
        said(&output)
    );
    [repro, log]
        .iter()
        .for_each(|file| std::fs::remove_file(file).unwrap());
}

#[test]
fn a_node_that_crashes_is_reported_with_its_log() {
    for mode in [
        &["run", "calm", "--node", FAULTY][..],
        &["run", "calm", "--node", FAULTY, "--real-time"],
    ] {
        let output = rehearse(mode)
            .env("BADGERPOST_FAULT", "crash")
            .output()
            .unwrap();
        let said = said(&output);
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert!(
            said.contains("crashed (exit status: 3)") && said.contains("the hundredth request"),
            "{said}"
        );
    }
}

#[test]
fn what_cannot_be_played_is_said_in_a_line() {
    let bad = file("bad.toml");
    std::fs::write(&bad, "about = 'x'\nlength_ns = 4\n").unwrap();
    let path = bad.to_str().expect("a path");
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = taken.local_addr().unwrap().port().to_string();
    for (arguments, wanted) in [
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
        let output = rehearse(arguments).stdin(Stdio::null()).output().unwrap();
        assert_eq!(
            output.status.code(),
            Some(2),
            "{arguments:?}: {}",
            said(&output)
        );
        assert!(
            said(&output).contains(wanted),
            "{arguments:?}: {}",
            said(&output)
        );
    }
    std::fs::remove_file(&bad).unwrap();
}

/// The scene of the shipped calm evening, but short and busier.
#[test]
fn real_time_gives_a_verdict_and_a_picture() {
    let (scene, picture) = (file("short.toml"), file("short.svg"));
    let calm = badgerpost_scenarios::scenario::SHIPPED
        .iter()
        .find(|shipped| shipped.0 == "calm")
        .unwrap()
        .1;
    let text = calm
        .replace("length_ms = 5000", "length_ms = 1500")
        .replace("served = 0.99", "served = 0.5");
    std::fs::write(&scene, &text).unwrap();
    let arguments = [
        "run",
        scene.to_str().unwrap(),
        "--real-time",
        "--plot",
        picture.to_str().unwrap(),
    ];
    let output = rehearse(&arguments).output().unwrap();
    let said = said(&output);
    assert!(
        said.contains("in real time") && said.contains("rule 2 no effect twice: kept"),
        "{said}"
    );
    assert!(said.contains("0 steps"), "{said}");
    let drawn = std::fs::read_to_string(&picture).unwrap();
    assert!(drawn.starts_with("<svg") && drawn.contains("attempts a second by server"));
    [scene, picture]
        .iter()
        .for_each(|file| std::fs::remove_file(file).unwrap());
}

fn get(at: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(at).expect("the node listens");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = Vec::new();
    let mut buffer = [0; 1024];
    while !answer.windows(4).any(|four| four == b"\r\n\r\n") {
        let read = stream.read(&mut buffer).expect("an answer");
        assert!(read > 0, "cut off");
        answer.extend_from_slice(&buffer[..read]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// What a newcomer runs first: it says where all are, they answer, and with its standard input all end.
#[test]
fn up_starts_everything_and_ends_it() {
    let mut command = rehearse(&["up", "calm"]);
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
    let ask = "GET /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: by-hand\r\nX-Call-Class: lobby-status\r\n\
        X-Budget-Ms: 400\r\n\r\n";
    // The list comes a moment after the node listens; until then there is nobody to send to.
    let served = (0..400).any(|_| {
        std::thread::sleep(Duration::from_millis(20));
        get(nodes[0], ask).starts_with("HTTP/1.1 200")
    });
    assert!(served, "served by a stand-in");
    drop(child.stdin.take());
    assert!(child.wait().unwrap().success());
    for node in nodes {
        assert!(TcpStream::connect(node).is_err(), "{node} has ended");
    }
}

#[test]
fn the_shipped_scenes_are_listed() {
    let output = rehearse(&["list"]).output().unwrap();
    for (name, _) in badgerpost_scenarios::scenario::SHIPPED {
        assert!(
            said(&output).lines().any(|line| line.starts_with(name)),
            "{name}"
        );
    }
    assert!(said(&rehearse(&["--help"]).output().unwrap()).contains("Examples:"));
}
