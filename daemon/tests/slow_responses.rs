//! Backends that write their responses slowly: in parts with pauses, in every framing, within and beyond the client's
//! deadline.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::io::Read;
use std::thread;
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;
use serde_json::{Value, json};

/// The deadline of all classes, in milliseconds.
const DEADLINE_MS: u64 = 1000;
/// How long after its deadline a client still accepts the end of its answer.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// How the end of a response is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    Close,
}

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Close];

/// How a backend paces a response of `bytes` bytes. Its head is written at once.
#[derive(Clone, Copy, Debug)]
struct Pace {
    bytes: usize,
    parts: usize,
    /// Pause before the first part.
    first_pause: Duration,
    /// Pause before each of the other parts.
    pause: Duration,
}

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// All bytes at once, after a pause behind the head.
const fn silent(bytes: usize, first_pause: Duration) -> Pace {
    Pace {
        bytes,
        parts: 1,
        first_pause,
        pause: Duration::ZERO,
    }
}

/// Parts of equal size, the first of which follows the head at once.
const fn lumps(bytes: usize, parts: usize, pause: Duration) -> Pace {
    Pace {
        bytes,
        parts,
        first_pause: Duration::ZERO,
        pause,
    }
}

impl Framing {
    fn head(self, bytes: usize) -> String {
        match self {
            Self::Length => format!("HTTP/1.1 200 OK\r\nContent-Length: {bytes}\r\n\r\n"),
            Self::Chunks => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
            Self::Close => "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_owned(),
        }
    }

    fn piece(self, bytes: &str) -> String {
        match self {
            Self::Chunks => format!("{:x}\r\n{bytes}\r\n", bytes.len()),
            Self::Length | Self::Close => bytes.to_owned(),
        }
    }

    fn end(self) -> &'static str {
        match self {
            Self::Chunks => "0\r\n\r\n",
            Self::Length | Self::Close => "",
        }
    }

    /// A response with this pace.
    fn response(self, pace: Pace) -> ResponsePlan {
        let mut parts = vec![TimedPart {
            pause: Duration::ZERO,
            text: self.head(pace.bytes),
        }];
        let part_bytes = "x".repeat(pace.bytes / pace.parts);
        for part in 0..pace.parts {
            let is_first = part == 0;
            let is_last = part + 1 == pace.parts;
            parts.push(TimedPart {
                pause: if is_first {
                    pace.first_pause
                } else {
                    pace.pause
                },
                text: self.piece(&part_bytes) + if is_last { self.end() } else { "" },
            });
        }
        ResponsePlan::RespondInParts {
            parts,
            closes: self == Self::Close,
        }
    }

    /// A response that stops after these bytes and never ends.
    fn unending(self, declared_bytes: usize, bytes: usize) -> ResponsePlan {
        let text = self.head(declared_bytes) + &self.piece(&"x".repeat(bytes));
        ResponsePlan::RespondInParts {
            parts: vec![
                TimedPart {
                    pause: Duration::ZERO,
                    text,
                },
                TimedPart {
                    pause: Duration::from_secs(60),
                    text: String::new(),
                },
            ],
            closes: true,
        }
    }
}

/// Settings with deadlines of 1 s and up to four attempts, with or without hedged requests.
fn slow_settings(hedging: bool) -> Value {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().unwrap() {
        class["deadline-ns"] = json!(DEADLINE_MS * 1_000_000);
        class["on-time-ns"] = json!(DEADLINE_MS * 500_000);
    }
    settings["policy-limits"]["attempts-cap"] = json!(4);
    settings["policy-limits"]["second-copies"] = json!(hedging);
    settings["policy-limits"]["connect-timeout-ns"] = json!(100_000_000);
    settings
}

fn start_node(backends: &[&Backend], hedging: bool) -> (Node, Discovery) {
    let targets: Vec<Value> = (0..)
        .zip(backends)
        .map(|(n, backend)| target(&format!("s-{n}"), backend.address, "Ready"))
        .collect();
    let discovery = Discovery::new(json!(targets));
    let mut config = config(discovery.address, json!([]));
    config["settings"] = slow_settings(hedging);
    let node = Node::start(&config);
    discovery.wait_for_watch_from(1);
    (node, discovery)
}

/// The request of a class that may be repeated, and that of one that may not.
fn requests(budget_ms: u64) -> [(&'static str, String); 2] {
    let budget = format!("Budget-Ms: {budget_ms}");
    [
        ("GET", get("g", "").replace("Budget-Ms: 3000", &budget)),
        (
            "POST",
            post("pay", "p", "", "x").replace("Budget-Ms: 3000", &budget),
        ),
    ]
}

/// Sends both requests to nodes of their own and checks that each is answered whole, with at most `sends` attempts.
fn check_whole(framing: Framing, pace: Pace, budget_ms: u64, hedging: bool, sends: usize) {
    for (name, text) in requests(budget_ms) {
        let backends = [(); 2].map(|()| Backend::new(move |_| framing.response(pace)));
        let (node, _discovery) = start_node(&[&backends[0], &backends[1]], hedging);
        let case = format!("{framing:?}, {pace:?}, {name}, {budget_ms} ms, hedging {hedging}");
        let response = Client::connect(node.address).request(&text);
        let response = response.unwrap_or_else(|| panic!("cut off: {case}"));
        assert_eq!(
            (response.status(), response.body.len()),
            (200, pace.bytes),
            "{case}"
        );
        let attempts: usize = backends.iter().map(Backend::take_request_count).sum();
        assert!(attempts <= sends, "{attempts} sends: {case}");
    }
}

/// Runs the checks at the same time, as each of them mostly waits.
fn check_all_whole(cases: Vec<(Framing, Pace, u64, bool)>) {
    let checks: Vec<_> = cases
        .into_iter()
        .map(|(framing, pace, budget_ms, hedging)| {
            thread::spawn(move || check_whole(framing, pace, budget_ms, hedging, 2))
        })
        .collect();
    for check in checks {
        check.join().unwrap();
    }
}

/// Guards against cutting off a large response whose backend pauses after the head, within the deadline and beyond it.
#[test]
fn a_large_response_that_pauses_after_its_head_is_forwarded_whole() {
    let mut cases = Vec::new();
    for framing in FRAMINGS {
        for pause in [ms(125), ms(600), ms(1250)] {
            for budget_ms in [500, 1000] {
                cases.push((framing, silent(130_000, pause), budget_ms, true));
            }
        }
        cases.push((framing, silent(220_000, ms(600)), 150, true));
        cases.push((framing, silent(220_000, ms(600)), 500, false));
    }
    check_all_whole(cases);
}

/// Guards against cutting off a large response that its backend writes slowly, steadily or in parts with pauses.
#[test]
fn a_large_response_that_is_written_slowly_is_forwarded_whole() {
    let mut cases = Vec::new();
    for framing in FRAMINGS {
        for hedging in [true, false] {
            cases.push((framing, lumps(130_000, 4, ms(300)), 1000, hedging));
            cases.push((framing, lumps(193_848, 4, ms(500)), 500, hedging));
            cases.push((framing, lumps(130_000, 25, ms(100)), 1000, hedging));
            cases.push((framing, lumps(216_200, 25, ms(120)), 500, hedging));
        }
    }
    check_all_whole(cases);
}

/// Guards against giving up a small response because of a pause although all of it comes in time.
#[test]
fn a_small_response_with_pauses_that_is_complete_in_time_is_served() {
    let mut cases = Vec::new();
    for framing in FRAMINGS {
        for hedging in [true, false] {
            cases.push((framing, lumps(40_000, 4, ms(150)), 1000, hedging));
            cases.push((framing, silent(3_000, ms(300)), 1000, hedging));
            cases.push((framing, silent(3_000, ms(125)), 500, hedging));
        }
    }
    check_all_whole(cases);
}

/// Guards against a response that never ends keeping its client waiting. The request is repeated where that is allowed;
/// else the client can tell in time that the request has failed or that the response is truncated.
#[test]
fn a_response_that_never_ends_is_replaced_or_ends_in_time() {
    let checks: Vec<_> = FRAMINGS
        .into_iter()
        .flat_map(|framing| [(framing, true), (framing, false)])
        .map(|(framing, hedging)| thread::spawn(move || check_unending(framing, hedging)))
        .collect();
    for check in checks {
        check.join().unwrap();
    }
}

fn check_unending(framing: Framing, hedging: bool) {
    for (name, text) in requests(DEADLINE_MS) {
        let case = format!("{framing:?}, {name}, hedging {hedging}");
        let requests = std::sync::atomic::AtomicUsize::new(0);
        let backend = Backend::new(move |_| {
            match requests.fetch_add(1, std::sync::atomic::Ordering::SeqCst) {
                0 => framing.unending(3000, 1000),
                _ => ResponsePlan::Respond(ok("good")),
            }
        });
        let (node, _discovery) = start_node(&[&backend], hedging);
        let client = Client::connect(node.address);
        let began = Instant::now();
        let mut stream = client.stream();
        std::io::Write::write_all(&mut stream, text.as_bytes()).unwrap();
        let response = read_until_end(stream, began, &case);
        let is_replaceable = name == "GET" && (hedging || framing == Framing::Length);
        if is_replaceable {
            assert!(response.ends_with(b"good"), "not replaced: {case}");
        } else if framing == Framing::Length {
            assert!(response.starts_with(b"HTTP/1.1 502 "), "{case}");
            assert!(began.elapsed() < ms(DEADLINE_MS) + ANSWER_SLACK, "{case}");
        } else {
            assert!(!response.ends_with(b"0\r\n\r\n"), "looks whole: {case}");
        }
    }
}

/// Reads until the response is complete or the node ends the connection, which has to happen within 3 s of the deadline.
fn read_until_end(mut stream: std::net::TcpStream, began: Instant, case: &str) -> Vec<u8> {
    let limit = ms(DEADLINE_MS) + Duration::from_secs(3);
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let is_complete = received.ends_with(b"good") || received.ends_with(b"failed");
        if is_complete {
            return received;
        }
        let left = limit.saturating_sub(began.elapsed());
        assert!(left > Duration::ZERO, "no end: {case}");
        stream.set_read_timeout(Some(left)).unwrap();
        match stream.read(&mut buffer) {
            Ok(0) => return received,
            Ok(read) => received.extend_from_slice(&buffer[..read]),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return received,
            Err(_) => panic!("no end: {case}"),
        }
    }
}
