//! A node that breaks one of the rules on purpose, so that the kit's checkers can be seen to catch it. It takes
//! the same configuration as the real one, and its clock can be stepped alike. `BADGERPOST_FAULT` says what it
//! does wrong: `resend`, `drop`, `drain` or `flood`, `crash` in the midst of its work, or `stray` from its zone; without
//! it the node is plain and keeps the rules on a calm day. It is no part of the product.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_engine::{Clock, VirtualClock, activity, spawn};
use badgerpost_fakes::message::{self, Message, MessageDecoder, MessageKind};
use badgerpost_virtual_clock::ControlConnection;
use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Sends what may not be sent twice to two servers.
    Resend,
    /// Forgets the answer to one request of twenty.
    Drop,
    /// Goes on sending to servers that drain.
    Drain,
    /// Sends everything to the server that has started last.
    Flood,
    /// Ends at its hundredth request.
    Crash,
    /// Keeps to its zone, but for every third second.
    Stray,
}

#[derive(Deserialize)]
struct Edge {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    settings: Settings,
}

#[derive(Deserialize)]
struct Settings {
    az: String,
}

#[derive(Deserialize)]
struct Own {
    rehearsal: Rehearsal,
}

#[derive(Deserialize)]
struct Rehearsal {
    control: SocketAddr,
    start_ns: u64,
}

#[derive(Deserialize)]
struct List {
    rev: u64,
    all: bool,
    targets: Vec<Target>,
}

#[derive(Clone, Deserialize)]
struct Target {
    uid: String,
    az: String,
    endpoint: SocketAddr,
    state: String,
    boot_ms: u64,
}

struct Node {
    fault: Fault,
    zone: String,
    clock: Clock,
    targets: RefCell<Vec<Target>>,
    turn: Cell<usize>,
}

type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("badgerpost-faulty-node: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), Failure> {
    let edge: Edge = serde_json::from_slice(&std::fs::read(std::env::var("EDGE_CONFIG")?)?)?;
    let mut arguments = std::env::args()
        .skip_while(|argument| argument != "--config")
        .skip(1);
    let own: Option<Own> = arguments
        .next()
        .map(|path| badgerpost_settings::file::read(path.as_ref()))
        .transpose()?;
    let fault = match std::env::var("BADGERPOST_FAULT").as_deref() {
        Ok("resend") => Fault::Resend,
        Ok("drop") => Fault::Drop,
        Ok("drain") => Fault::Drain,
        Ok("flood") => Fault::Flood,
        Ok("crash") => Fault::Crash,
        Ok("stray") => Fault::Stray,
        _ => Fault::None,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(edge, own, fault))
}

async fn serve(edge: Edge, own: Option<Own>, fault: Fault) -> Result<(), Failure> {
    let hands = match own {
        Some(Own { rehearsal }) => Some((
            VirtualClock::at(rehearsal.start_ns),
            ControlConnection::connect(rehearsal.control)?,
        )),
        None => None,
    };
    let clock = hands
        .as_ref()
        .map_or_else(Clock::system, |(steps, _)| Clock::controlled(steps.clone()));
    let node = Rc::new(Node {
        fault,
        zone: edge.settings.az.clone(),
        clock,
        targets: RefCell::default(),
        turn: Cell::new(0),
    });
    let listener = TcpListener::bind(edge.listen).await?;
    let listen = listener.local_addr()?;
    spawn(node.clone().follow_list(edge.discovery));
    spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn(node.clone().converse(stream));
        }
    });
    eprintln!("serving node={} listen={listen}", edge.name);
    match hands {
        Some((steps, control)) => {
            let over =
                spawn_local(async move { control.follow(&edge.name, listen, steps).await }).await?;
            Err(over.into())
        }
        None => std::future::pending().await,
    }
}

async fn read(stream: &mut TcpStream, decoder: &mut MessageDecoder) -> Option<Message> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        if let Some(message) = decoder.next_message().ok()? {
            return Some(message);
        }
        let read = stream
            .read(&mut buffer)
            .await
            .ok()
            .filter(|read| *read > 0)?;
        activity::read(read);
        decoder.push(&buffer[..read]);
    }
}

async fn write(stream: &mut TcpStream, bytes: &[u8]) -> Option<()> {
    stream.write_all(bytes).await.ok()?;
    activity::written(bytes.len());
    Some(())
}

impl Node {
    async fn follow_list(self: Rc<Self>, at: SocketAddr) {
        loop {
            let _ = self.watch(at).await;
            self.clock.sleep(Duration::from_millis(50)).await;
        }
    }

    async fn watch(&self, at: SocketAddr) -> Option<()> {
        let mut stream = activity::connecting(TcpStream::connect(at)).await.ok()?;
        let _connection = activity::Connection::default();
        let mut decoder = MessageDecoder::new(MessageKind::Response);
        let mut target = "/registry/instances".to_owned();
        loop {
            write(
                &mut stream,
                &message::request("GET", &target, "Host: list\r\n", b""),
            )
            .await?;
            let answer = read(&mut stream, &mut decoder).await?;
            let list: List = serde_json::from_slice(&answer.body).ok()?;
            let mut targets = self.targets.borrow_mut();
            if list.all {
                targets.clear();
            }
            for target in list.targets {
                targets.retain(|known| known.uid != target.uid);
                if target.state != "Gone" {
                    targets.push(target);
                }
            }
            targets.sort_by(|a, b| a.uid.cmp(&b.uid));
            target = format!("/registry/instances?from={}&hold_ms=5000", list.rev);
        }
    }

    fn pick(&self) -> Option<Target> {
        let turn = self.turn.get();
        self.turn.set(turn + 1);
        let targets = self.targets.borrow();
        let drains = |target: &&Target| self.fault == Fault::Drain || target.state == "Ready";
        let home = !(self.clock.now() / 1_000_000_000).is_multiple_of(3);
        let strays =
            |target: &&Target| self.fault != Fault::Stray || (target.az == self.zone) == home;
        let usable: Vec<&Target> = targets.iter().filter(drains).filter(strays).collect();
        let chosen = match self.fault {
            Fault::Flood => usable.iter().max_by_key(|target| target.boot_ms).copied(),
            // The draining ones above all.
            Fault::Drain if turn.is_multiple_of(2) => usable
                .iter()
                .find(|target| target.state != "Ready")
                .copied(),
            _ => None,
        };
        let chosen = chosen.or_else(|| usable.get(turn % usable.len().max(1)).copied());
        chosen.cloned()
    }

    async fn converse(self: Rc<Self>, mut stream: TcpStream) {
        let mut decoder = MessageDecoder::new(MessageKind::Request);
        let _connection = activity::Connection::default();
        while let Some(request) = read(&mut stream, &mut decoder).await {
            let answer = self.serve(&request).await;
            if self.fault == Fault::Crash && self.turn.get() >= 100 {
                eprintln!("this is the hundredth request");
                std::process::exit(3);
            }
            if self.fault == Fault::Drop && self.turn.get().is_multiple_of(20) {
                return;
            }
            if write(&mut stream, &answer).await.is_none() {
                return;
            }
        }
    }

    async fn serve(&self, request: &Message) -> Vec<u8> {
        let budget = request
            .value("x-budget-ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(1000);
        let limit = Duration::from_millis(budget);
        let attempt = self.clock.timeout(limit, self.attempt(request)).await;
        let first = attempt.ok().flatten();
        let again = self.fault == Fault::Resend && request.method == "POST";
        let last = if again {
            self.attempt(request).await.or(first)
        } else {
            first
        };
        match last {
            Some(answer) if answer.status == 200 => message::response(200, "", &answer.body),
            _ => message::response(502, "", b"failed"),
        }
    }

    async fn attempt(&self, request: &Message) -> Option<Message> {
        let target = self.pick()?;
        let mut stream = activity::connecting(TcpStream::connect(target.endpoint))
            .await
            .ok()?;
        let _connection = activity::Connection::default();
        let passed = |(name, _): &&(String, String)| !name.eq_ignore_ascii_case("content-length");
        let headers: String = request
            .headers
            .iter()
            .filter(passed)
            .map(|(name, value)| format!("{name}: {value}\r\n"))
            .collect();
        write(
            &mut stream,
            &message::request(&request.method, &request.target, &headers, &request.body),
        )
        .await?;
        read(&mut stream, &mut MessageDecoder::new(MessageKind::Response)).await
    }
}
