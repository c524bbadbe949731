//! Zone health: off by default, enabled by the operator file, and its console calls and metrics.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::collections::BTreeSet;
use std::path::PathBuf;

use badgerpost_fakes::scripted::*;
use serde_json::{Value, json};

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!(
        "badgerpost-zones-{name}-{}.toml",
        std::process::id()
    ));
    std::fs::write(&path, text).unwrap();
    path
}

fn config_with_console(backend: &Backend) -> (Discovery, Value) {
    let discovery = Discovery::new(json!([target("s-0", backend.address, "Ready")]));
    let mut config = config(discovery.address, json!([]));
    config["console"] = json!("127.0.0.1:0");
    (discovery, config)
}

/// The number of the process's sockets in `/proc/PID/net/KIND`, or of those in `state` only.
fn sockets(pid: u32, kind: &str, state: Option<&str>) -> usize {
    let folder = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap();
    let links = folder.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
    let inodes: BTreeSet<String> = links
        .filter_map(|link| {
            Some(
                link.to_str()?
                    .strip_prefix("socket:[")?
                    .strip_suffix(']')?
                    .to_owned(),
            )
        })
        .collect();
    let table = std::fs::read_to_string(format!("/proc/{pid}/net/{kind}")).unwrap_or_default();
    let fields = table
        .lines()
        .skip(1)
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    fields
        .filter(|line| inodes.contains(line[9]) && state.is_none_or(|state| line[3] == state))
        .count()
}

const TCP_LISTEN_STATE: &str = "0A";

#[test]
fn zone_health_and_gossip_are_off_without_an_operator_file() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let (discovery, config) = config_with_console(&backend);
    let node = Node::start(&config);
    discovery.wait_for_watch_from(1);
    for n in 0..20 {
        assert_eq!(node.request(&get(&format!("r{n}"), "")).status(), 200);
    }
    let (console, pid) = (node.console(), node.child.id());
    assert_eq!(
        sockets(pid, "tcp", Some(TCP_LISTEN_STATE)),
        2,
        "the listeners for clients and for the console"
    );
    for kind in ["udp", "udp6", "raw", "raw6", "tcp6"] {
        assert_eq!(sockets(pid, kind, None), 0, "{kind}");
    }
    assert_eq!(metric(console, "node.zone.a.share"), None);
    assert_eq!(
        console_request(console, "POST", "/zones/a/close/5").status(),
        404
    );
    assert!(!node.has_logged("zone changed"));
}

#[test]
fn the_shipped_operator_file_enables_nothing() {
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/badgerpost.toml");
    let text = std::fs::read_to_string(shipped).unwrap();
    assert!(text.contains("# [zones]\n# watch = true"));
    assert!(
        text.lines()
            .all(|line| line.is_empty() || line.starts_with('#')),
        "a line of the shipped file is not a comment"
    );
    let run = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../deploy/balancer.toml"
    ))
    .unwrap();
    let run = run
        .lines()
        .find(|line| line.starts_with("run = "))
        .unwrap()
        .to_owned();
    assert_eq!(run, "run = \"exec target/release/badgerpost\"");
}

#[test]
fn operators_close_a_zone_and_return_it_to_automatic_control() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let (discovery, config) = config_with_console(&backend);
    let operator_file = file("on", "[zones]\nwatch = true\n");
    let node = Node::start_with_file(&config, &operator_file);
    discovery.wait_for_watch_from(1);
    let console = node.console();
    let metric_is = |name: &str, value: &str| metric(console, name).as_deref() == Some(value);
    assert!(metric_is("node.zone.a.share", "1000") && metric_is("node.zone.b.why", "open"));
    assert_eq!(node.request(&get("r1", "")).status(), 200);
    assert_eq!(
        console_request(console, "POST", "/zones/a/close/600").status(),
        200
    );
    wait_until("closed", || {
        metric_is("node.zone.a.share", "0") && metric_is("node.zone.a.why", "by-hand")
    });
    wait_until("the change is logged", || node.has_logged("zone changed"));
    // No zone is left: the request is rejected or fails in time, and is not sent.
    assert_eq!(backend.next_request().value("x-call-id"), Some("r1"));
    assert_ne!(
        node.request(&get("r2", "").replace("Budget-Ms: 3000", "Budget-Ms: 300"))
            .status(),
        200
    );
    assert_eq!(
        console_request(console, "POST", "/zones/a/auto").status(),
        200
    );
    wait_until("open", || {
        metric_is("node.zone.a.share", "1000") && metric_is("node.zone.a.why", "open")
    });
    assert_eq!(node.request(&get("r3", "")).status(), 200);
    assert_eq!(
        backend.next_request().value("x-call-id"),
        Some("r3"),
        "r2 was sent"
    );
    for path in [
        "/zones/a/close/0",
        "/zones/a/close/3601",
        "/zones/a/shut/5",
        "/zones/x/auto",
        "/zones/a",
    ] {
        assert_eq!(
            console_request(console, "POST", path).status(),
            404,
            "{path}"
        );
    }
    assert_eq!(
        console_request(console, "GET", "/zones/a/auto").status(),
        405
    );
    std::fs::remove_file(operator_file).unwrap();
}

#[test]
fn an_error_for_an_unknown_setting_names_the_setting() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let (_discovery, config) = config_with_console(&backend);
    let operator_file = file("bad", "[zones]\nwatch = true\nwatsh = 1\n");
    let NodeProcess { child, .. } = spawn_with_file(&config.to_string(), &operator_file);
    let output = child.wait_with_output().unwrap();
    assert!(!output.status.success());
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("watsh"),
        "{output:?}"
    );
    std::fs::remove_file(operator_file).unwrap();
}
