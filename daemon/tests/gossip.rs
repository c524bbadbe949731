//! Nodes that talk to each other, as processes: who is let in, what is dropped, what is refused at the start.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::net::{SocketAddr, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use badgerpost_fakes::scripted::*;
use badgerpost_membership::{Action, Event, Key, MemberId, Membership, Settings, Topic};
use badgerpost_zone_health::{GossipZone, ObservedState, ZoneObservation};
use serde_json::{Value, json};

const KEY: &str = "a key that the fleet's nodes have";

/// A file that only its owner may read, or everybody.
fn file(name: &str, text: &str, mode: u32) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!(
        "badgerpost-peers-{name}-{}-{number}",
        std::process::id()
    ));
    std::fs::write(&path, text).unwrap();
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
    path
}

/// Doors at which the nodes are reached; what comes to one goes on to its node, once that is known.
struct Doors {
    doors: Vec<UdpSocket>,
    nodes: Arc<Mutex<Vec<Option<SocketAddr>>>>,
}

impl Doors {
    fn open(count: usize) -> Self {
        let doors: Vec<_> = (0..count)
            .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
            .collect();
        let nodes = Arc::new(Mutex::new(vec![None; count]));
        for (number, door) in doors.iter().enumerate() {
            let (door, nodes) = (door.try_clone().unwrap(), nodes.clone());
            std::thread::spawn(move || {
                let mut buffer = [0; 2048];
                while let Ok((length, _)) = door.recv_from(&mut buffer) {
                    if let Some(node) = nodes.lock().unwrap()[number] {
                        let _ = door.send_to(&buffer[..length], node);
                    }
                }
            });
        }
        Self { doors, nodes }
    }

    fn at(&self, number: usize) -> SocketAddr {
        self.doors[number].local_addr().unwrap()
    }

    fn own(&self, number: usize, key: &std::path::Path) -> String {
        format!(
            "[zones]\nwatch = true\n[peers]\nlisten = \"127.0.0.1:0\"\nadvertise = \"{}\"\nseeds = [\"{}\"]\nkey_file = \"{}\"\n",
            self.at(number),
            self.at(0),
            key.display()
        )
    }

    fn start(&self, number: usize, discovery: &Discovery, key: &std::path::Path) -> Node {
        let own = file(&format!("n{number}.toml"), &self.own(number, key), 0o600);
        let node = Node::start_with_file(&allowed(discovery.address, number), &own);
        self.nodes.lock().unwrap()[number] = Some(node.logged_address("peers may call listen="));
        std::fs::remove_file(own).unwrap();
        node
    }
}

/// A configuration where the platform allows peers.
fn allowed(discovery: SocketAddr, number: usize) -> Value {
    let mut config = config(discovery, json!([]));
    config["console"] = json!("127.0.0.1:0");
    config["name"] = json!(format!("n{number}"));
    config["settings"]["policy-limits"]["peers"] = json!(true);
    config
}

fn number(node: &Node, name: &str) -> Option<u64> {
    metric(node.console(), name)?.parse().ok()
}

#[test]
fn nodes_discover_each_other_and_learn_at_once_who_leaves() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let discovery = Discovery::new(json!([target("s-0", backend.address, "Ready")]));
    let key = file("key", KEY, 0o600);
    let doors = Doors::open(3);
    let mut nodes: Vec<Node> = (0..3)
        .map(|number| doors.start(number, &discovery, &key))
        .collect();
    for node in &nodes {
        wait_until("three members", || {
            number(node, "node.peers.members") == Some(3)
        });
    }
    nodes[2].signal("-TERM");
    let began = Instant::now();
    for node in &nodes[..2] {
        wait_until("two members", || {
            number(node, "node.peers.members") == Some(2)
        });
    }
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "it said so, nobody had to suspect it"
    );
    // One that is killed and starts anew is let in again under its address.
    nodes[1].signal("-KILL");
    drop(nodes.remove(1));
    let again = doors.start(1, &discovery, &key);
    wait_until("let in again", || {
        number(&again, "node.peers.members") == Some(2)
    });
    wait_until("known again", || {
        number(&nodes[0], "node.peers.members") == Some(2)
    });
    std::fs::remove_file(key).unwrap();
}

#[test]
fn unauthenticated_datagrams_are_counted_and_dropped() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let discovery = Discovery::new(json!([target("s-0", backend.address, "Ready")]));
    let (key, other) = (
        file("one", KEY, 0o600),
        file("other", "another key, of another fleet", 0o600),
    );
    let doors = Doors::open(2);
    let node = doors.start(0, &discovery, &key);
    // Another fleet's node knocks, and noise comes.
    let stranger = doors.start(1, &discovery, &other);
    wait_until("the stranger is counted", || {
        number(&node, "node.peers.strangers") >= Some(1)
    });
    let noise = UdpSocket::bind("127.0.0.1:0").unwrap();
    let before = number(&node, "node.peers.malformed");
    for datagram in [&b""[..], b"x", &[0; 40], &[1; 4000]] {
        noise.send_to(datagram, doors.at(0)).unwrap();
    }
    wait_until("noise is counted", || {
        number(&node, "node.peers.malformed") >= before.map(|before| before + 3)
    });
    assert_eq!(
        number(&node, "node.peers.members"),
        Some(1),
        "nobody was let in"
    );
    assert_eq!(number(&stranger, "node.peers.members"), Some(1));
    assert_eq!(node.request(&get("r1", "")).status(), 200);
    wait_until("the drop is logged", || node.has_logged("datagram dropped"));
    [key, other]
        .into_iter()
        .for_each(|path| std::fs::remove_file(path).unwrap());
}

#[test]
fn an_invalid_peers_section_is_an_error_that_names_the_key() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let discovery = Discovery::new(json!([target("s-0", backend.address, "Ready")]));
    let (key, open) = (file("good", KEY, 0o600), file("open", KEY, 0o644));
    let short = file("short", "abc", 0o600);
    let section = |listen: &str, seeds: &str, key: &std::path::Path| {
        format!(
            "[zones]\nwatch = true\n[peers]\nlisten = \"{listen}\"\nseeds = [{seeds}]\nkey_file = \"{}\"\n",
            key.display()
        )
    };
    let good = section("127.0.0.1:7946", "\"127.0.0.1:7947\"", &key);
    let unwatched = good.replace("watch = true", "watch = false");
    let mut forbidden = allowed(discovery.address, 0);
    forbidden["settings"]["policy-limits"]["peers"] = json!(false);
    let yes = allowed(discovery.address, 0);
    let silent = config(discovery.address, json!([]));
    for (edge, own, wanted) in [
        (&forbidden, good.clone(), "settings.policy-limits.peers"),
        (&silent, good, "settings.policy-limits.peers"),
        (&yes, unwatched, "[zones] watch = true"),
        (&yes, section("127.0.0.1:7946", "", &open), "peers.key_file"),
        (
            &yes,
            section("127.0.0.1:7946", "", &short),
            "peers.key_file",
        ),
        (
            &yes,
            section("127.0.0.1:7946", "", std::path::Path::new("/no/such/key")),
            "peers.key_file",
        ),
        (&yes, section("127.0.0.1:0", "", &key), "peers.listen"),
        (&yes, section("0.0.0.0:7946", "", &key), "peers.advertise"),
        (
            &yes,
            section("127.0.0.1:7946", "\"127.0.0.1:0\"", &key),
            "peers.seeds",
        ),
        (
            &yes,
            section("127.0.0.1:7946", "", &key) + "port = 1\n",
            "port",
        ),
    ] {
        let own = file("bad.toml", &own, 0o600);
        let NodeProcess { child, .. } = spawn_with_file(&edge.to_string(), &own);
        let output = child.wait_with_output().unwrap();
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && said.contains(wanted),
            "{wanted}: {said}"
        );
    }
    [key, open, short]
        .into_iter()
        .for_each(|path| std::fs::remove_file(path).unwrap());
}

/// A member that has the fleet's key and says of zone `a`, five times a second, that it is as dead as can be said.
struct Liar {
    over: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Liar {
    #[expect(
        clippy::too_many_lines,
        reason = "one scenario, read from top to bottom"
    )]
    fn start(number: usize, seed: SocketAddr) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let ended = over.clone();
        let now = || {
            SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_nanos() as u64
        };
        let thread = std::thread::spawn(move || {
            let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
            socket
                .set_read_timeout(Some(Duration::from_millis(5)))
                .unwrap();
            let mut core = Membership::new(Settings {
                member: MemberId::from_name(&format!("liar{number}")),
                advertise: socket.local_addr().unwrap(),
                zone: 0,
                incarnation: now(),
                seeds: vec![seed],
                key: Key::parse(KEY).unwrap(),
                node_count: 5,
                seed: number as u64,
            });
            let (mut buffer, mut wake, mut said) = ([0; 2048], None, Instant::now());
            let dead = ZoneObservation {
                observer_zone: GossipZone(0),
                silence_evidence: u16::MAX,
                failure_evidence: u16::MAX,
                has_recent_success: false,
                state: ObservedState::Suspected,
                is_first_hand: true,
            };
            let mut tell = |event: Event<'_>, wake: &mut Option<u64>| {
                let mut actions = Vec::new();
                core.handle(now(), event, &mut actions);
                for action in actions {
                    match action {
                        Action::Send { to, datagram } => drop(socket.send_to(&datagram, to)),
                        Action::SetTimer { at } => *wake = Some(at),
                        _ => {}
                    }
                }
            };
            tell(Event::Start, &mut wake);
            while !ended.load(Ordering::Relaxed) {
                if let Ok((length, _)) = socket.recv_from(&mut buffer) {
                    tell(Event::Datagram(&buffer[..length]), &mut wake);
                }
                if wake.is_some_and(|at| at <= now()) {
                    wake = None;
                    tell(Event::TimerFired, &mut wake);
                }
                if said.elapsed() > Duration::from_millis(200) {
                    said = Instant::now();
                    tell(
                        Event::Broadcast {
                            topic: Topic(0),
                            body: &dead.to_bytes(),
                        },
                        &mut wake,
                    );
                }
            }
            tell(Event::Leave, &mut wake);
        });
        Self {
            over,
            thread: Some(thread),
        }
    }
}

impl Drop for Liar {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.thread
            .take()
            .into_iter()
            .for_each(|thread| drop(thread.join()));
    }
}

#[test]
fn one_false_observation_ejects_no_zone_and_two_do() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let mut there = target("s-1", backend.address, "Ready");
    there["az"] = json!("b");
    let discovery = Discovery::new(json!([target("s-0", backend.address, "Ready"), there]));
    let key = file("liars", KEY, 0o600);
    let doors = Doors::open(3);
    let nodes: Vec<Node> = (0..3)
        .map(|number| doors.start(number, &discovery, &key))
        .collect();
    let all = |members| {
        nodes
            .iter()
            .all(|node| number(node, "node.peers.members") == Some(members))
    };
    wait_until("three members", || all(3));
    let share = |node: &Node| number(node, "node.zone.a.share");
    let _one = Liar::start(1, doors.at(0));
    wait_until("the liar is a member", || all(4));
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(2) {
        assert!(
            nodes.iter().all(|node| share(node) == Some(1000)),
            "one member's word moves a node"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(!nodes.iter().any(|node| node.has_logged("zone changed")));
    // Two of five agree, and nobody has had an answer from there: the check can fail.
    let _two = Liar::start(2, doors.at(0));
    wait_until("all have left", || {
        nodes.iter().all(|node| share(node) == Some(0))
    });
    std::fs::remove_file(key).unwrap();
}
