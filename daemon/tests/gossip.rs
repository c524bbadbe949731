//! Gossip between node processes: membership, dropped datagrams, invalid configuration, and false zone observations.
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

/// Creates a temporary file with these permissions.
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

/// Sockets at the advertised addresses of the nodes; each forwards datagrams to its node once the node's address is
/// known.
struct ForwardingSockets {
    sockets: Vec<UdpSocket>,
    nodes: Arc<Mutex<Vec<Option<SocketAddr>>>>,
}

impl ForwardingSockets {
    fn open(count: usize) -> Self {
        let sockets: Vec<_> = (0..count)
            .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
            .collect();
        let nodes = Arc::new(Mutex::new(vec![None; count]));
        for (number, socket) in sockets.iter().enumerate() {
            let (socket, nodes) = (socket.try_clone().unwrap(), nodes.clone());
            std::thread::spawn(move || {
                let mut buffer = [0; 2048];
                while let Ok((length, _)) = socket.recv_from(&mut buffer) {
                    if let Some(node) = nodes.lock().unwrap()[number] {
                        let _ = socket.send_to(&buffer[..length], node);
                    }
                }
            });
        }
        Self { sockets, nodes }
    }

    fn address(&self, number: usize) -> SocketAddr {
        self.sockets[number].local_addr().unwrap()
    }

    fn operator_file(&self, number: usize, key: &std::path::Path) -> String {
        format!(
            "[zones]\nwatch = true\n[peers]\nlisten = \"127.0.0.1:0\"\nadvertise = \"{}\"\nseeds = [\"{}\"]\nkey_file = \"{}\"\n",
            self.address(number),
            self.address(0),
            key.display()
        )
    }

    fn start(&self, number: usize, discovery: &Discovery, key: &std::path::Path) -> Node {
        let operator_file = file(
            &format!("n{number}.toml"),
            &self.operator_file(number, key),
            0o600,
        );
        let node = Node::start_with_file(
            &config_with_peers_allowed(discovery.address, number),
            &operator_file,
        );
        self.nodes.lock().unwrap()[number] = Some(node.logged_address("peers may call listen="));
        std::fs::remove_file(operator_file).unwrap();
        node
    }
}

/// An edge configuration that allows peers.
fn config_with_peers_allowed(discovery: SocketAddr, number: usize) -> Value {
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
fn nodes_discover_each_other_and_detect_a_leaving_member_at_once() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let discovery = Discovery::new(json!([target("s-0", backend.address, "Ready")]));
    let key = file("key", KEY, 0o600);
    let sockets = ForwardingSockets::open(3);
    let mut nodes: Vec<Node> = (0..3)
        .map(|number| sockets.start(number, &discovery, &key))
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
        "the member announced its departure"
    );
    // A node that is killed and restarted joins again under its address.
    nodes[1].signal("-KILL");
    drop(nodes.remove(1));
    let again = sockets.start(1, &discovery, &key);
    wait_until("the restarted node sees two members", || {
        number(&again, "node.peers.members") == Some(2)
    });
    wait_until("the other node sees two members", || {
        number(&nodes[0], "node.peers.members") == Some(2)
    });
    std::fs::remove_file(key).unwrap();
}

#[test]
fn unauthenticated_datagrams_are_counted_and_dropped() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let discovery = Discovery::new(json!([target("s-0", backend.address, "Ready")]));
    let (key, other_key) = (
        file("one", KEY, 0o600),
        file("other", "another key, of another fleet", 0o600),
    );
    let sockets = ForwardingSockets::open(2);
    let node = sockets.start(0, &discovery, &key);
    // A node with another fleet's key tries to join, and malformed datagrams arrive.
    let stranger = sockets.start(1, &discovery, &other_key);
    wait_until("the stranger is counted", || {
        number(&node, "node.peers.strangers") >= Some(1)
    });
    let noise = UdpSocket::bind("127.0.0.1:0").unwrap();
    let before = number(&node, "node.peers.malformed");
    for datagram in [&b""[..], b"x", &[0; 40], &[1; 4000]] {
        noise.send_to(datagram, sockets.address(0)).unwrap();
    }
    wait_until("malformed datagrams are counted", || {
        number(&node, "node.peers.malformed") >= before.map(|before| before + 3)
    });
    assert_eq!(
        number(&node, "node.peers.members"),
        Some(1),
        "a member joined without the key"
    );
    assert_eq!(number(&stranger, "node.peers.members"), Some(1));
    assert_eq!(node.request(&get("r1", "")).status(), 200);
    wait_until("the drop is logged", || node.has_logged("datagram dropped"));
    [key, other_key]
        .into_iter()
        .for_each(|path| std::fs::remove_file(path).unwrap());
}

#[test]
fn an_invalid_peers_section_is_an_error_that_names_the_setting() {
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
    let mut off = config_with_peers_allowed(discovery.address, 0);
    off["settings"]["policy-limits"]["peers"] = json!(false);
    let on = config_with_peers_allowed(discovery.address, 0);
    let unset = config(discovery.address, json!([]));
    for (edge_config, operator_file, expected) in [
        (&off, good.clone(), "settings.policy-limits.peers"),
        (&unset, good, "settings.policy-limits.peers"),
        (&on, unwatched, "[zones] watch = true"),
        (&on, section("127.0.0.1:7946", "", &open), "peers.key_file"),
        (&on, section("127.0.0.1:7946", "", &short), "peers.key_file"),
        (
            &on,
            section("127.0.0.1:7946", "", std::path::Path::new("/no/such/key")),
            "peers.key_file",
        ),
        (&on, section("127.0.0.1:0", "", &key), "peers.listen"),
        (&on, section("0.0.0.0:7946", "", &key), "peers.advertise"),
        (
            &on,
            section("127.0.0.1:7946", "\"127.0.0.1:0\"", &key),
            "peers.seeds",
        ),
        (
            &on,
            section("127.0.0.1:7946", "", &key) + "port = 1\n",
            "port",
        ),
    ] {
        let operator_file = file("bad.toml", &operator_file, 0o600);
        let NodeProcess { child, .. } = spawn_with_file(&edge_config.to_string(), &operator_file);
        let output = child.wait_with_output().unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && stderr.contains(expected),
            "{expected}: {stderr}"
        );
    }
    [key, open, short]
        .into_iter()
        .for_each(|path| std::fs::remove_file(path).unwrap());
}

/// A member with the fleet's key that broadcasts the strongest failure evidence about zone `a` five times a second.
struct FalseObserver {
    is_stopping: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl FalseObserver {
    #[expect(
        clippy::too_many_lines,
        reason = "one scenario, read from top to bottom"
    )]
    fn start(number: usize, seed: SocketAddr) -> Self {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let ended = is_stopping.clone();
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
                member: MemberId::from_name(&format!("false-observer{number}")),
                advertise: socket.local_addr().unwrap(),
                zone: 0,
                incarnation: now(),
                seeds: vec![seed],
                key: Key::parse(KEY).unwrap(),
                node_count: 5,
                seed: number as u64,
            });
            let (mut buffer, mut timer, mut last_broadcast) = ([0; 2048], None, Instant::now());
            let observation = ZoneObservation {
                observer_zone: GossipZone(0),
                silence_evidence: u16::MAX,
                failure_evidence: u16::MAX,
                has_recent_success: false,
                state: ObservedState::Suspected,
                is_first_hand: true,
            };
            let mut handle = |event: Event<'_>, timer: &mut Option<u64>| {
                let mut actions = Vec::new();
                core.handle(now(), event, &mut actions);
                for action in actions {
                    match action {
                        Action::Send { to, datagram } => drop(socket.send_to(&datagram, to)),
                        Action::SetTimer { at } => *timer = Some(at),
                        _ => {}
                    }
                }
            };
            handle(Event::Start, &mut timer);
            while !ended.load(Ordering::Relaxed) {
                if let Ok((length, _)) = socket.recv_from(&mut buffer) {
                    handle(Event::Datagram(&buffer[..length]), &mut timer);
                }
                if timer.is_some_and(|at| at <= now()) {
                    timer = None;
                    handle(Event::TimerFired, &mut timer);
                }
                if last_broadcast.elapsed() > Duration::from_millis(200) {
                    last_broadcast = Instant::now();
                    handle(
                        Event::Broadcast {
                            topic: Topic(0),
                            body: &observation.to_bytes(),
                        },
                        &mut timer,
                    );
                }
            }
            handle(Event::Leave, &mut timer);
        });
        Self {
            is_stopping,
            thread: Some(thread),
        }
    }
}

impl Drop for FalseObserver {
    fn drop(&mut self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.thread
            .take()
            .into_iter()
            .for_each(|thread| drop(thread.join()));
    }
}

#[test]
fn a_zone_is_ejected_by_two_false_observers_but_not_by_one() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let mut there = target("s-1", backend.address, "Ready");
    there["az"] = json!("b");
    let discovery = Discovery::new(json!([target("s-0", backend.address, "Ready"), there]));
    let key = file("liars", KEY, 0o600);
    let sockets = ForwardingSockets::open(3);
    let nodes: Vec<Node> = (0..3)
        .map(|number| sockets.start(number, &discovery, &key))
        .collect();
    let all_have_members = |members| {
        nodes
            .iter()
            .all(|node| number(node, "node.peers.members") == Some(members))
    };
    wait_until("three members", || all_have_members(3));
    let share = |node: &Node| number(node, "node.zone.a.share");
    let _one = FalseObserver::start(1, sockets.address(0));
    wait_until("the false observer is a member", || all_have_members(4));
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(2) {
        assert!(
            nodes.iter().all(|node| share(node) == Some(1000)),
            "one observer changed the share of the zone"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(!nodes.iter().any(|node| node.has_logged("zone changed")));
    // Two of five members agree, and no node has had a response from the zone, so the zone is ejected.
    let _two = FalseObserver::start(2, sockets.address(0));
    wait_until("all nodes eject the zone", || {
        nodes.iter().all(|node| share(node) == Some(0))
    });
    std::fs::remove_file(key).unwrap();
}
