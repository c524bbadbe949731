//! Start, endpoint list updates, reconfiguration, shutdown and command line of a node.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::io::Read;
use std::sync::Arc;
use std::thread;

use badgerpost_fakes::scripted::*;
use serde_json::json;

fn serving(body: &'static str) -> Backend {
    Backend::new(move |_| ResponsePlan::Respond(ok(body)))
}

/// An address without a listener.
fn unused_address() -> std::net::SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

#[test]
fn a_node_starts_with_the_cached_list_while_discovery_is_down() {
    let backend = serving("yes");
    let node = Node::start(&config(
        unused_address(),
        json!([target("s-0", backend.address, "Ready")]),
    ));
    assert_eq!(
        node.request("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            .status(),
        200
    );
    assert_eq!(node.request(&get("k1", "")).status(), 200);
}

/// A node reports ready once it has a backend in service, or after a timeout if discovery does not respond or lists
/// none.
#[test]
fn a_node_is_ready_once_it_has_a_backend_or_its_start_timeout_is_over() {
    let ready = |node: &Node| {
        node.request("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            .status()
    };
    let backend = serving("yes");
    let down = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::start(&config(down.local_addr().unwrap(), json!([])));
    assert_eq!(ready(&node), 503, "there is no backend yet");
    let _discovery = Discovery::on_listener(down, json!([target("s-0", backend.address, "Ready")]));
    wait_until("the list is received", || ready(&node) == 200);
    assert_eq!(node.request(&get("w1", "")).status(), 200);

    let began = std::time::Instant::now();
    let idle_node = Node::start(&config(
        unused_address(),
        json!([target("s-0", backend.address, "Terminating")]),
    ));
    assert_eq!(ready(&idle_node), 503, "its backend is draining");
    wait_until("the timeout is over", || ready(&idle_node) == 200);
    assert!(
        began.elapsed() < std::time::Duration::from_secs(9),
        "{:?}",
        began.elapsed()
    );
}

#[test]
fn an_invalid_list_leaves_the_last_valid_one_in_force() {
    let backend = serving("yes");
    let (node, discovery) = Node::start_with_backends(&[&backend]);
    for (rev, text) in [
        (2, "{"),
        (
            3,
            r#"{"rev":3,"all":true,"targets":[{"uid":"s-9","endpoint":"here","az":"a","state":"Ready"}]}"#,
        ),
        (4, r#"{"rev":4,"all":true}"#),
    ] {
        discovery.set_response(rev, text.to_owned());
        wait_until("the bad list is logged", || {
            node.has_logged("error=not a list")
        });
        assert_eq!(node.request(&get(&format!("b{rev}"), "")).status(), 200);
    }
    let other = serving("other");
    discovery.set_response(
        5,
        json!({"rev": 5, "all": true, "targets": [target("s-1", other.address, "Ready")]})
            .to_string(),
    );
    discovery.wait_for_watch_from(5);
    assert_eq!(node.request(&get("b9", "")).body, b"other");
}

/// With discovery by polling, a failed call is repeated at the next poll.
#[test]
fn discovery_is_polled_again_after_a_failed_call() {
    let backend = serving("yes");
    let discovery = Discovery::new(json!([]));
    discovery.set_response(1, "no list".to_owned());
    let mut config = config(discovery.address, json!([]));
    config["settings"]["discovery"] = json!("on_request");
    let node = Node::start(&config);
    wait_until("the failure is logged", || {
        node.has_logged("error=not a list")
    });
    discovery.set_endpoints(json!([target("s-0", backend.address, "Ready")]));
    discovery.wait_for_watch_from(discovery.revision());
    assert_eq!(node.request(&get("a1", "")).status(), 200);
}

#[test]
fn no_attempt_goes_to_a_draining_or_removed_backend() {
    for state in ["Terminating", "Gone"] {
        let (old, new) = (serving("old"), serving("new"));
        let (node, discovery) = Node::start_with_backends(&[&old]);
        assert_eq!(node.request(&get("d0", "")).body, b"old");
        discovery.set_endpoints(json!([
            target("s-0", old.address, state),
            target("s-1", new.address, "Ready")
        ]));
        discovery.wait_for_watch_from(discovery.revision());
        for n in 1..10 {
            assert_eq!(
                node.request(&get(&format!("d{n}"), "")).body,
                b"new",
                "{state}"
            );
        }
        assert_eq!(old.take_request_count(), 1);
    }
}

#[test]
fn requests_follow_a_backend_whose_address_changes() {
    let (before, after) = (serving("before"), serving("after"));
    let (node, discovery) = Node::start_with_backends(&[&before]);
    assert_eq!(node.request(&get("e0", "")).body, b"before");
    discovery.set_endpoints(json!([target("s-0", after.address, "Ready")]));
    discovery.wait_for_watch_from(discovery.revision());
    for n in 1..5 {
        assert_eq!(node.request(&get(&format!("e{n}"), "")).body, b"after");
    }
}

/// After SIGTERM requests are still accepted, on existing connections and on new ones.
#[test]
fn every_request_is_answered_before_the_exit_on_sigterm() {
    let latch = Arc::new(Latch::default());
    let backend_latch = latch.clone();
    let backend = Backend::new(move |message| match message.value("x-call-id") {
        Some("slow") => ResponsePlan::RespondAfter(backend_latch.clone(), ok("slow")),
        _ => ResponsePlan::Respond(ok("yes")),
    });
    let (mut node, _discovery) = Node::start_with_backends(&[&backend]);
    let (mut slow, mut idle, mut kept) = (
        Client::connect(node.address),
        Client::connect(node.address),
        Client::connect(node.address),
    );
    assert_eq!(
        idle.request(&get("i0", "")).expect("a response").status(),
        200
    );
    assert_eq!(
        kept.request(&get("k0", "")).expect("a response").status(),
        200
    );
    slow.write(&get("slow", ""));
    wait_until("the slow request reaches the backend", || {
        backend
            .requests
            .try_iter()
            .any(|m| m.value("x-call-id") == Some("slow"))
    });
    node.signal("-TERM");
    wait_until("shutdown is logged", || node.has_logged("stopping node="));
    for (id, client) in [("a1", kept), ("a2", Client::connect(node.address))] {
        let mut client = client;
        let response = client
            .request(&get(id, ""))
            .expect("a response after the signal");
        assert_eq!(response.status(), 200);
        assert_eq!(response.value("connection"), Some("close"));
        assert!(
            client.read().is_none(),
            "the connection is closed after its response"
        );
    }
    assert!(idle.read().is_none(), "an idle connection is closed");
    latch.release();
    let response = slow.read().expect("a response to the slow request");
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, b"slow".as_slice())
    );
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// A new process binds the address while connections of the killed one are still in the kernel's tables.
#[test]
fn a_restarted_node_binds_its_address_at_once() {
    let backend = serving("yes");
    let known = json!([target("s-0", backend.address, "Ready")]);
    let mut node = Node::start(&config(unused_address(), known.clone()));
    let mut client = Client::connect(node.address);
    assert_eq!(
        client.request(&get("r0", "")).expect("a response").status(),
        200
    );
    node.child.kill().unwrap();
    node.child.wait().unwrap();
    let mut next_config = config(unused_address(), known);
    next_config["listen"] = json!(node.address.to_string());
    let next = Node::start(&next_config);
    assert_eq!(next.address, node.address);
    assert_eq!(next.request(&get("r1", "")).status(), 200);
}

#[test]
fn an_invalid_configuration_prints_one_line_and_exits_with_an_error() {
    let valid_config = config(unused_address(), json!([]));
    let without = |field: &str| {
        let mut config = valid_config.clone();
        config.as_object_mut().unwrap().remove(field);
        config.to_string()
    };
    let with = |field: &str, value: serde_json::Value| {
        let mut config = valid_config.clone();
        config[field] = value;
        config.to_string()
    };
    let texts = [
        "{".to_owned(),
        without("settings"),
        without("listen"),
        with("seed", json!("no number")),
        with("listen", json!("somewhere")),
        with("settings", json!({"zones": []})),
        with("limits", json!({"sockets": 3})),
    ];
    for text in texts {
        let NodeProcess { mut child, .. } = spawn(&text);
        let mut output = String::new();
        child
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut output)
            .unwrap();
        assert!(!child.wait().unwrap().success(), "{text}");
        assert!(
            output.starts_with("badgerpost: ") && output.lines().count() == 1,
            "{output:?}"
        );
    }
}

/// At the descriptor limit the node keeps serving open connections, and accepts more once descriptors are free.
#[test]
fn clients_beyond_the_descriptor_limit_are_served_once_connections_close() {
    let backend = serving("yes");
    let mut config = config(
        unused_address(),
        json!([target("s-0", backend.address, "Ready")]),
    );
    // Sixteen of the sockets are for client connections.
    config["limits"]["sockets"] = json!(50);
    let node = Node::start(&config);
    let at = node.address;
    let mut clients: Vec<Client> = Vec::new();
    // Each client sends a request before the next one connects: a connection without a request would be evicted.
    for n in 0..16 {
        clients.push(Client::connect(at));
        assert_eq!(
            clients[n]
                .request(&get(&format!("c{n}"), ""))
                .expect("a response")
                .status(),
            200
        );
    }
    let last = thread::spawn(move || {
        Client::connect(at)
            .request(&get("last", ""))
            .expect("a response")
            .status()
    });
    clients.clear();
    assert_eq!(last.join().unwrap(), 200);
}

/// The watch moves at once and starts without a version: versions of the old address are not valid at the new one.
#[test]
fn sighup_moves_the_watch_to_the_new_discovery_address() {
    let (old, new) = (serving("old"), serving("new"));
    let (mut node, first) = Node::start_with_backends(&[&old]);
    first.set_response(
        900,
        json!({"rev": 900, "all": false, "targets": []}).to_string(),
    );
    first.wait_for_watch_from(900);
    let second = Discovery::new(json!([target("s-1", new.address, "Ready")]));
    node.reconfigure(&config(second.address, json!([])).to_string());
    second.wait_for_watch_from(1);
    assert_eq!(
        second.watch_requests.lock().unwrap()[0],
        "GET /registry/instances HTTP/1.1"
    );
    assert_eq!(node.request(&get("h0", "")).body, b"new");
    // SIGTERM is still handled after a second SIGHUP.
    node.reconfigure(&config(first.address, json!([])).to_string());
    node.signal("-TERM");
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

#[test]
fn sighup_with_an_invalid_file_or_list_changes_nothing() {
    let backend = serving("yes");
    let (node, discovery) = Node::start_with_backends(&[&backend]);
    let mut unusable = config(discovery.address, json!([]));
    unusable["settings"] = json!({});
    for (n, text) in ["{".to_owned(), unusable.to_string()]
        .into_iter()
        .enumerate()
    {
        node.reconfigure(&text);
        wait_until("the rejected configuration is logged", || {
            node.log_count("the old one stays") == n + 1
        });
        assert_eq!(node.request(&get(&format!("u{n}"), "")).status(), 200);
    }
    let other = serving("other");
    discovery.set_endpoints(json!([target("s-1", other.address, "Ready")]));
    discovery.wait_for_watch_from(discovery.revision());
    assert_eq!(
        node.request(&get("u8", "")).body,
        b"other",
        "the old watch is still in use"
    );
    let bad = Discovery::new(json!([]));
    bad.set_response(1, "{".to_owned());
    node.reconfigure(&config(bad.address, json!([])).to_string());
    wait_until("the bad list is logged", || {
        node.has_logged("error=not a list")
    });
    assert_eq!(node.request(&get("u9", "")).body, b"other");
}

/// The discovery address is changed twice while calls to the earlier addresses are open: their late responses are
/// ignored.
#[test]
fn late_responses_of_earlier_discovery_addresses_are_ignored() {
    let (old, stale, new) = (serving("old"), serving("stale"), serving("new"));
    let list = |backend: &Backend, uid: &str| {
        let targets = [target(uid, backend.address, "Ready")];
        ok(&json!({"rev": 7, "all": true, "targets": targets}).to_string())
    };
    let latch = Arc::new(Latch::default());
    let first_list = list(&old, "s-0");
    let (backend_latch, late_list) = (latch.clone(), list(&stale, "s-1"));
    let first = Backend::new(move |message| match message.start_line.contains("from=") {
        false => ResponsePlan::Respond(first_list.clone()),
        true => ResponsePlan::RespondAfter(backend_latch.clone(), late_list.clone()),
    });
    let (backend_latch, late_list) = (latch.clone(), list(&stale, "s-2"));
    let second =
        Backend::new(move |_| ResponsePlan::RespondAfter(backend_latch.clone(), late_list.clone()));
    let node = Node::start(&config(first.address, json!([])));
    first.next_request();
    first.next_request();
    node.reconfigure(&config(second.address, json!([])).to_string());
    second.next_request();
    let third = Discovery::new(json!([target("s-3", new.address, "Ready")]));
    node.reconfigure(&config(third.address, json!([])).to_string());
    third.wait_for_watch_from(1);
    latch.release();
    for n in 0..20 {
        assert_eq!(node.request(&get(&format!("l{n}"), "")).body, b"new");
        thread::sleep(std::time::Duration::from_millis(10));
    }
}

#[test]
fn the_command_line_prints_its_usage() {
    let program = badgerpost_fakes::program("badgerpost").expect("built with its tests");
    let run = |arguments: &[&str]| {
        let output = std::process::Command::new(&program)
            .args(arguments)
            .env_remove("EDGE_CONFIG")
            .output();
        let output = output.expect("the program starts");
        (
            output.status.code(),
            String::from_utf8(output.stdout).unwrap(),
            String::from_utf8(output.stderr).unwrap(),
        )
    };
    let (code, _, error) = run(&[]);
    assert_eq!(code, Some(2));
    assert!(
        error.contains("EDGE_CONFIG is not set") && error.contains("Usage: badgerpost"),
        "{error}"
    );
    assert!(run(&["--help"]).1.contains("Examples:"));
    assert!(run(&["--version"]).1.starts_with("badgerpost "));
}

#[test]
fn check_prints_the_effective_configuration_or_the_error() {
    let program = badgerpost_fakes::program("badgerpost").expect("built with its tests");
    let folder = std::env::temp_dir().join(format!("badgerpost-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let edge = folder.join("edge.json");
    let check = |known: serde_json::Value, own: &str| {
        std::fs::write(&edge, config(unused_address(), known).to_string()).unwrap();
        let file = folder.join("own.toml");
        std::fs::write(&file, own).unwrap();
        let mut command = std::process::Command::new(&program);
        let result = command
            .args(["check", "--config"])
            .arg(&file)
            .env("EDGE_CONFIG", &edge)
            .output()
            .unwrap();
        let output = String::from_utf8([result.stdout, result.stderr].concat()).unwrap();
        (result.status.success(), output)
    };
    let (is_valid, output) = check(json!([]), "");
    assert!(
        is_valid && output.contains("clock: the system's"),
        "{output}"
    );
    let stepped = "[rehearsal]\ncontrol = \"127.0.0.1:9\"\nstart_ns = 1\n";
    let (is_valid, output) = check(json!([]), stepped);
    let virtual_clock =
        "clock: virtual, controlled by a test at 127.0.0.1:9; not for production use\n";
    assert!(is_valid && output.contains(virtual_clock), "{output}");
    let (is_valid, output) = check(json!([]), "\n[rehearsal]\ncontrl = 1\n");
    assert!(
        !is_valid && output.contains("own.toml:3: contrl: unknown field `contrl`"),
        "{output}"
    );
    // A stepped clock is allowed with loopback addresses only.
    let remote = target("s-7", "192.0.2.1:9".parse().unwrap(), "Ready");
    let (is_valid, output) = check(json!([remote]), stepped);
    assert!(
        !is_valid && output.contains("s-7") && output.contains("loopback"),
        "{output}"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Each line of a JSON log is an object; variable parts of a message are in fields.
#[test]
fn the_log_is_json_if_configured() {
    let (edge, own) = (
        config(unused_address(), json!([])),
        "[log]\nformat = \"json\"\n",
    );
    let file = std::env::temp_dir().join(format!("badgerpost-json-{}.toml", std::process::id()));
    std::fs::write(&file, own).unwrap();
    let NodeProcess {
        mut child,
        config_file: path,
    } = spawn_with_file(&edge.to_string(), &file);
    let mut stderr = child.stderr.take().unwrap();
    let (mut log, mut piece) = (String::new(), [0; 4096]);
    while !log.contains("asking discovery failed\"") {
        let read = stderr.read(&mut piece).unwrap();
        assert!(read > 0, "the node exited: {log}");
        log += &String::from_utf8_lossy(&piece[..read]);
    }
    child.kill().unwrap();
    child.wait().unwrap();
    let complete_lines = log.lines().filter(|line| line.ends_with('}'));
    let lines: Vec<serde_json::Value> = complete_lines
        .map(|line| serde_json::from_str(line).expect(line))
        .collect();
    let fields_of = |message: &str| {
        lines
            .iter()
            .map(|line| &line["fields"])
            .find(|f| f["message"] == message)
    };
    let serving = fields_of("serving").expect("a log line of the start");
    assert_eq!(serving["node"], edge["name"]);
    assert!(
        serving["listen"]
            .as_str()
            .is_some_and(|at| at.starts_with("127.0.0.1:")),
        "{serving}"
    );
    let failed =
        fields_of("asking discovery failed").expect("a log line of the failed discovery call");
    assert_eq!(
        (&failed["suppressed"], failed["at"].is_string()),
        (&json!(0), true),
        "{failed}"
    );
    for path in [path, file] {
        std::fs::remove_file(path).unwrap();
    }
}
