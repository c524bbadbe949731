//! A node's start, its list of backends, and its end.
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
    Backend::new(move |_| Does::Writes(ok(body)))
}

/// An address at which nobody listens.
fn nowhere() -> std::net::SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

#[test]
fn starts_with_the_cached_list_while_discovery_is_down() {
    let backend = serving("yes");
    let node = Node::start(&config(
        nowhere(),
        json!([target("s-0", backend.at, "Ready")]),
    ));
    assert_eq!(
        node.ask("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            .status(),
        200
    );
    assert_eq!(node.ask(&get("k1", "")).status(), 200);
}

/// A restart beside a list that comes late, or not at all: ready means that there is somebody to send to, and the wait for
/// that is bounded, as nine in ten have to be ready within 10 s.
#[test]
fn is_ready_once_it_knows_a_backend_or_the_timeout_is_over() {
    let ready = |node: &Node| {
        node.ask("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            .status()
    };
    let backend = serving("yes");
    let down = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::start(&config(down.local_addr().unwrap(), json!([])));
    assert_eq!(ready(&node), 503, "nobody to send to");
    let _discovery = Discovery::at(down, json!([target("s-0", backend.at, "Ready")]));
    until("the list is there", || ready(&node) == 200);
    assert_eq!(node.ask(&get("w1", "")).status(), 200);

    let began = std::time::Instant::now();
    let alone = Node::start(&config(
        nowhere(),
        json!([target("s-0", backend.at, "Terminating")]),
    ));
    assert_eq!(ready(&alone), 503, "nobody that wants anything new");
    until("it has waited long enough", || ready(&alone) == 200);
    assert!(
        began.elapsed() < std::time::Duration::from_secs(9),
        "{:?}",
        began.elapsed()
    );
}

#[test]
fn an_invalid_list_leaves_the_last_valid_one_in_force() {
    let backend = serving("yes");
    let (node, discovery) = Node::with(&[&backend]);
    for (rev, text) in [
        (2, "{"),
        (
            3,
            r#"{"rev":3,"all":true,"targets":[{"uid":"s-9","endpoint":"here","az":"a","state":"Ready"}]}"#,
        ),
        (4, r#"{"rev":4,"all":true}"#),
    ] {
        discovery.set_text(rev, text.to_owned());
        until("the bad list is logged", || node.logged("error=not a list"));
        assert_eq!(node.ask(&get(&format!("b{rev}"), "")).status(), 200);
    }
    let other = serving("other");
    discovery.set_text(
        5,
        json!({"rev": 5, "all": true, "targets": [target("s-1", other.at, "Ready")]}).to_string(),
    );
    discovery.watched_from(5);
    assert_eq!(node.ask(&get("b9", "")).body, b"other");
}

/// Where discovery has to be asked, a call that failed is made again when the module asks for it.
#[test]
fn polls_again_after_a_failed_call() {
    let backend = serving("yes");
    let discovery = Discovery::new(json!([]));
    discovery.set_text(1, "no list".to_owned());
    let mut config = config(discovery.at, json!([]));
    config["settings"]["discovery"] = json!("on_request");
    let node = Node::start(&config);
    until("the failure is logged", || node.logged("error=not a list"));
    discovery.set(json!([target("s-0", backend.at, "Ready")]));
    discovery.watched_from(discovery.rev());
    assert_eq!(node.ask(&get("a1", "")).status(), 200);
}

#[test]
fn no_attempt_goes_to_a_draining_or_removed_backend() {
    for state in ["Terminating", "Gone"] {
        let (old, new) = (serving("old"), serving("new"));
        let (node, discovery) = Node::with(&[&old]);
        assert_eq!(node.ask(&get("d0", "")).body, b"old");
        discovery.set(json!([
            target("s-0", old.at, state),
            target("s-1", new.at, "Ready")
        ]));
        discovery.watched_from(discovery.rev());
        for n in 1..10 {
            assert_eq!(node.ask(&get(&format!("d{n}"), "")).body, b"new", "{state}");
        }
        assert_eq!(old.count(), 1);
    }
}

#[test]
fn follows_a_backend_whose_address_changes() {
    let (before, after) = (serving("before"), serving("after"));
    let (node, discovery) = Node::with(&[&before]);
    assert_eq!(node.ask(&get("e0", "")).body, b"before");
    discovery.set(json!([target("s-0", after.at, "Ready")]));
    discovery.watched_from(discovery.rev());
    for n in 1..5 {
        assert_eq!(node.ask(&get(&format!("e{n}"), "")).body, b"after");
    }
}

/// At a planned restart requests go on coming: on connections from before, and on new ones.
#[test]
fn answers_every_request_before_it_ends_on_sigterm() {
    let gate = Arc::new(Gate::default());
    let waits = gate.clone();
    let backend = Backend::new(move |message| match message.value("x-call-id") {
        Some("slow") => Does::Waits(waits.clone(), ok("slow")),
        _ => Does::Writes(ok("yes")),
    });
    let (mut node, _discovery) = Node::with(&[&backend]);
    let (mut slow, mut idle, mut kept) = (
        Client::to(node.at),
        Client::to(node.at),
        Client::to(node.at),
    );
    assert_eq!(idle.ask(&get("i0", "")).expect("an answer").status(), 200);
    assert_eq!(kept.ask(&get("k0", "")).expect("an answer").status(), 200);
    slow.write(&get("slow", ""));
    until("the slow one is out", || {
        backend
            .got
            .try_iter()
            .any(|m| m.value("x-call-id") == Some("slow"))
    });
    node.signal("-TERM");
    until("the node has heard", || node.logged("stopping node="));
    for (id, client) in [("a1", kept), ("a2", Client::to(node.at))] {
        let mut client = client;
        let answer = client
            .ask(&get(id, ""))
            .expect("an answer after the signal");
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.value("connection"), Some("close"));
        assert!(
            client.read().is_none(),
            "the connection ends with its answer"
        );
    }
    assert!(idle.read().is_none(), "an idle connection is closed");
    gate.open();
    let answer = slow.read().expect("the slow one is answered");
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, b"slow".as_slice())
    );
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// The next life binds the address at once, with the last one's connections still in the system's tables.
#[test]
fn a_restarted_node_binds_its_address_at_once() {
    let backend = serving("yes");
    let known = json!([target("s-0", backend.at, "Ready")]);
    let mut node = Node::start(&config(nowhere(), known.clone()));
    let mut client = Client::to(node.at);
    assert_eq!(client.ask(&get("r0", "")).expect("an answer").status(), 200);
    node.child.kill().unwrap();
    node.child.wait().unwrap();
    let mut again = config(nowhere(), known);
    again["listen"] = json!(node.at.to_string());
    let next = Node::start(&again);
    assert_eq!(next.at, node.at);
    assert_eq!(next.ask(&get("r1", "")).status(), 200);
}

#[test]
fn an_invalid_configuration_is_one_line_and_an_exit_code() {
    let good = config(nowhere(), json!([]));
    let without = |field: &str| {
        let mut config = good.clone();
        config.as_object_mut().unwrap().remove(field);
        config.to_string()
    };
    let with = |field: &str, value: serde_json::Value| {
        let mut config = good.clone();
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
        let (mut child, _) = spawn(&text);
        let mut said = String::new();
        child
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut said)
            .unwrap();
        assert!(!child.wait().unwrap().success(), "{text}");
        assert!(
            said.starts_with("badgerpost: ") && said.lines().count() == 1,
            "{said:?}"
        );
    }
}

/// With few descriptors the node goes on serving those it has, and takes the rest as they come free.
#[test]
fn more_clients_than_descriptors_are_served_in_turn() {
    let backend = serving("yes");
    let mut config = config(nowhere(), json!([target("s-0", backend.at, "Ready")]));
    // Sixteen of these are for clients.
    config["limits"]["sockets"] = json!(50);
    let node = Node::start(&config);
    let at = node.at;
    let mut clients: Vec<Client> = Vec::new();
    // Each has asked before the next one comes: a silent one would have to make room.
    for n in 0..16 {
        clients.push(Client::to(at));
        assert_eq!(
            clients[n]
                .ask(&get(&format!("c{n}"), ""))
                .expect("an answer")
                .status(),
            200
        );
    }
    let last = thread::spawn(move || {
        Client::to(at)
            .ask(&get("last", ""))
            .expect("an answer")
            .status()
    });
    clients.clear();
    assert_eq!(last.join().unwrap(), 200);
}

/// The watch moves at once, and versions of the old address mean nothing at the new one.
#[test]
fn sighup_moves_the_watch_to_another_discovery_address() {
    let (old, new) = (serving("old"), serving("new"));
    let (mut node, first) = Node::with(&[&old]);
    first.set_text(
        900,
        json!({"rev": 900, "all": false, "targets": []}).to_string(),
    );
    first.watched_from(900);
    let second = Discovery::new(json!([target("s-1", new.at, "Ready")]));
    node.reconfigure(&config(second.at, json!([])).to_string());
    second.watched_from(1);
    assert_eq!(
        second.calls.lock().unwrap()[0],
        "GET /registry/instances HTTP/1.1"
    );
    assert_eq!(node.ask(&get("h0", "")).body, b"new");
    // Once more, and out: a signal of one kind must not deafen the node to the other.
    node.reconfigure(&config(first.at, json!([])).to_string());
    node.signal("-TERM");
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

#[test]
fn sighup_with_an_invalid_file_or_list_changes_nothing() {
    let backend = serving("yes");
    let (node, discovery) = Node::with(&[&backend]);
    let mut unusable = config(discovery.at, json!([]));
    unusable["settings"] = json!({});
    for (n, text) in ["{".to_owned(), unusable.to_string()]
        .into_iter()
        .enumerate()
    {
        node.reconfigure(&text);
        until("it is logged", || node.count("the old one stays") == n + 1);
        assert_eq!(node.ask(&get(&format!("u{n}"), "")).status(), 200);
    }
    let other = serving("other");
    discovery.set(json!([target("s-1", other.at, "Ready")]));
    discovery.watched_from(discovery.rev());
    assert_eq!(
        node.ask(&get("u8", "")).body,
        b"other",
        "the old watch goes on"
    );
    let bad = Discovery::new(json!([]));
    bad.set_text(1, "{".to_owned());
    node.reconfigure(&config(bad.at, json!([])).to_string());
    until("the bad list is logged", || node.logged("error=not a list"));
    assert_eq!(node.ask(&get("u9", "")).body, b"other");
}

/// Two new configurations within one call that discovery is slow to answer: what the addresses before answer later counts
/// no more.
#[test]
fn late_responses_of_earlier_discovery_addresses_are_ignored() {
    let (old, stale, new) = (serving("old"), serving("stale"), serving("new"));
    let list = |server: &Backend, uid: &str| {
        let targets = [target(uid, server.at, "Ready")];
        ok(&json!({"rev": 7, "all": true, "targets": targets}).to_string())
    };
    let gate = Arc::new(Gate::default());
    let first_list = list(&old, "s-0");
    let (waits, late_list) = (gate.clone(), list(&stale, "s-1"));
    let first = Backend::new(move |message| match message.first.contains("from=") {
        false => Does::Writes(first_list.clone()),
        true => Does::Waits(waits.clone(), late_list.clone()),
    });
    let (waits, late_list) = (gate.clone(), list(&stale, "s-2"));
    let second = Backend::new(move |_| Does::Waits(waits.clone(), late_list.clone()));
    let node = Node::start(&config(first.at, json!([])));
    first.next();
    first.next();
    node.reconfigure(&config(second.at, json!([])).to_string());
    second.next();
    let third = Discovery::new(json!([target("s-3", new.at, "Ready")]));
    node.reconfigure(&config(third.at, json!([])).to_string());
    third.watched_from(1);
    gate.open();
    for n in 0..20 {
        assert_eq!(node.ask(&get(&format!("l{n}"), "")).body, b"new");
        thread::sleep(std::time::Duration::from_millis(10));
    }
}

/// What a newcomer sees first, and what an operator asks before a change.
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
fn check_prints_what_would_run_and_what_is_invalid() {
    let program = badgerpost_fakes::program("badgerpost").expect("built with its tests");
    let folder = std::env::temp_dir().join(format!("badgerpost-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let edge = folder.join("edge.json");
    let check = |known: serde_json::Value, own: &str| {
        std::fs::write(&edge, config(nowhere(), known).to_string()).unwrap();
        let file = folder.join("own.toml");
        std::fs::write(&file, own).unwrap();
        let mut command = std::process::Command::new(&program);
        let output = command
            .args(["check", "--config"])
            .arg(&file)
            .env("EDGE_CONFIG", &edge)
            .output()
            .unwrap();
        let said = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
        (output.status.success(), said)
    };
    let (good, said) = check(json!([]), "");
    assert!(good && said.contains("clock: the system's"), "{said}");
    let stepped = "[rehearsal]\ncontrol = \"127.0.0.1:9\"\nstart_ns = 1\n";
    let (good, said) = check(json!([]), stepped);
    assert!(good && said.contains("STEPPED"), "{said}");
    let (good, said) = check(json!([]), "\n[rehearsal]\ncontrl = 1\n");
    assert!(
        !good && said.contains("own.toml:3: contrl: unknown field `contrl`"),
        "{said}"
    );
    // A stepped clock goes with loopback addresses only.
    let far = target("s-7", "192.0.2.1:9".parse().unwrap(), "Ready");
    let (good, said) = check(json!([far]), stepped);
    assert!(
        !good && said.contains("s-7") && said.contains("loopback"),
        "{said}"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A log that a program reads: each line is an object, and what varies stands in fields.
#[test]
fn the_log_is_json_if_configured() {
    let (edge, own) = (config(nowhere(), json!([])), "[log]\nformat = \"json\"\n");
    let file = std::env::temp_dir().join(format!("badgerpost-json-{}.toml", std::process::id()));
    std::fs::write(&file, own).unwrap();
    let (mut child, path) = spawn_with(&edge.to_string(), Some(&file));
    let mut stderr = child.stderr.take().unwrap();
    let (mut log, mut piece) = (String::new(), [0; 4096]);
    while !log.contains("asking discovery failed\"") {
        let read = stderr.read(&mut piece).unwrap();
        assert!(read > 0, "the node ended: {log}");
        log += &String::from_utf8_lossy(&piece[..read]);
    }
    child.kill().unwrap();
    child.wait().unwrap();
    let whole = log.lines().filter(|line| line.ends_with('}'));
    let lines: Vec<serde_json::Value> = whole
        .map(|line| serde_json::from_str(line).expect(line))
        .collect();
    let of = |message: &str| {
        lines
            .iter()
            .map(|line| &line["fields"])
            .find(|f| f["message"] == message)
    };
    let serving = of("serving").expect("a line of its start");
    assert_eq!(serving["node"], edge["name"]);
    assert!(
        serving["listen"]
            .as_str()
            .is_some_and(|at| at.starts_with("127.0.0.1:")),
        "{serving}"
    );
    let failed = of("asking discovery failed").expect("a line of its discovery");
    assert_eq!(
        (&failed["suppressed"], failed["at"].is_string()),
        (&json!(0), true),
        "{failed}"
    );
    for path in [path, file] {
        std::fs::remove_file(path).unwrap();
    }
}
