//! Mutants of a node, for tests of the rule checkers: each mutant breaks one rule on purpose. The program reads the
//! same configuration and supports the same virtual clock as the real node. The environment variable
//! `BADGERPOST_FAULT` selects the mutation: `resend`, `drop`, `drain`, `flood`, `crash` or `stray`. Without a mutation
//! the node keeps all rules as long as no server fails.

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

/// The environment variable that selects the mutation.
const MUTATION_VARIABLE: &str = "BADGERPOST_FAULT";
/// Pause before the node reconnects to the discovery service.
const WATCH_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The time budget of a request without `X-Budget-Ms`, in milliseconds.
const DEFAULT_BUDGET_MS: u64 = 1000;
/// With `Mutation::DropResponses`, a request gets no response if the attempts so far are a multiple of this number.
const DROP_INTERVAL: usize = 20;
/// Attempts after which `Mutation::Crash` exits the process.
const CRASH_AFTER_ATTEMPTS: usize = 100;
const CRASH_EXIT_CODE: i32 = 3;
/// With `Mutation::LeaveZone`, the node uses other zones in one second of every interval of this length.
const LEAVE_ZONE_INTERVAL_S: u64 = 3;
const SECOND_NS: u64 = 1_000_000_000;

/// The rule that the node breaks on purpose.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Mutation {
    None,
    /// Attempts each non-idempotent request twice, at different servers.
    Resend,
    /// Closes the connection without a response at every twentieth attempt.
    DropResponses,
    /// Continues to send requests to draining servers.
    IgnoreDraining,
    /// Sends all requests to the server that started last.
    FloodNewest,
    /// Exits the process after 100 attempts.
    Crash,
    /// Uses servers of other zones, instead of the healthy local zone, in every third second.
    LeaveZone,
}

impl Mutation {
    fn from_environment() -> Self {
        match std::env::var(MUTATION_VARIABLE).as_deref() {
            Ok("resend") => Self::Resend,
            Ok("drop") => Self::DropResponses,
            Ok("drain") => Self::IgnoreDraining,
            Ok("flood") => Self::FloodNewest,
            Ok("crash") => Self::Crash,
            Ok("stray") => Self::LeaveZone,
            _ => Self::None,
        }
    }
}

/// The node's configuration by the platform.
#[derive(Deserialize)]
struct EdgeConfig {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    settings: Settings,
}

#[derive(Deserialize)]
struct Settings {
    #[serde(rename = "az")]
    zone: String,
}

/// The part of the operators' configuration file that configures the virtual clock.
#[derive(Deserialize)]
struct OperatorConfig {
    #[serde(rename = "rehearsal")]
    virtual_clock: VirtualClockConfig,
}

#[derive(Deserialize)]
struct VirtualClockConfig {
    #[serde(rename = "control")]
    controller: SocketAddr,
    start_ns: u64,
}

/// A snapshot of the endpoint list, or the changes since the requested revision.
#[derive(Deserialize)]
struct EndpointUpdate {
    #[serde(rename = "rev")]
    revision: u64,
    #[serde(rename = "all")]
    is_snapshot: bool,
    #[serde(rename = "targets")]
    endpoints: Vec<Endpoint>,
}

#[derive(Clone, Deserialize)]
struct Endpoint {
    uid: String,
    #[serde(rename = "az")]
    zone: String,
    #[serde(rename = "endpoint")]
    address: SocketAddr,
    state: String,
    boot_ms: u64,
}

impl Endpoint {
    fn is_ready(&self) -> bool {
        self.state == "Ready"
    }

    fn is_gone(&self) -> bool {
        self.state == "Gone"
    }
}

struct Node {
    mutation: Mutation,
    zone: String,
    clock: Clock,
    endpoints: RefCell<Vec<Endpoint>>,
    /// The number of attempts so far.
    attempts: Cell<usize>,
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
    let edge: EdgeConfig = serde_json::from_slice(&std::fs::read(std::env::var("EDGE_CONFIG")?)?)?;
    let mut arguments = std::env::args()
        .skip_while(|argument| argument != "--config")
        .skip(1);
    let operator_config: Option<OperatorConfig> = arguments
        .next()
        .map(|path| badgerpost_settings::file::read(path.as_ref()))
        .transpose()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run(edge, operator_config))
}

/// Serves clients until the process is killed or the connection to the clock's controller closes.
async fn run(edge: EdgeConfig, operator_config: Option<OperatorConfig>) -> Result<(), Failure> {
    let controlled = operator_config
        .map(|config| ControlledClock::connect(&config.virtual_clock))
        .transpose()?;
    let clock = controlled
        .as_ref()
        .map_or_else(Clock::system, |controlled| {
            Clock::from_virtual(controlled.clock.clone())
        });
    let node = Rc::new(Node {
        mutation: Mutation::from_environment(),
        zone: edge.settings.zone.clone(),
        clock,
        endpoints: RefCell::default(),
        attempts: Cell::new(0),
    });
    let listener = TcpListener::bind(edge.listen).await?;
    let listen = listener.local_addr()?;
    spawn(node.clone().watch_endpoints(edge.discovery));
    spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn(node.clone().serve_connection(stream));
        }
    });
    eprintln!("serving node={} listen={listen}", edge.name);
    match controlled {
        Some(ControlledClock { clock, control }) => {
            let end = spawn_local(async move { control.follow(&edge.name, listen, clock).await });
            Err(end.await?.into())
        }
        None => std::future::pending().await,
    }
}

/// A virtual clock and the connection to the clock's controller.
struct ControlledClock {
    clock: Rc<VirtualClock>,
    control: ControlConnection,
}

impl ControlledClock {
    fn connect(config: &VirtualClockConfig) -> Result<Self, Failure> {
        Ok(Self {
            clock: VirtualClock::at(config.start_ns),
            control: ControlConnection::connect(config.controller)?,
        })
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
        activity::record_bytes_read(read);
        decoder.push(&buffer[..read]);
    }
}

async fn write(stream: &mut TcpStream, bytes: &[u8]) -> Option<()> {
    stream.write_all(bytes).await.ok()?;
    activity::record_bytes_written(bytes.len());
    Some(())
}

impl Node {
    async fn watch_endpoints(self: Rc<Self>, discovery: SocketAddr) {
        loop {
            let _ = self.watch_until_disconnected(discovery).await;
            self.clock.sleep(WATCH_RETRY_PAUSE).await;
        }
    }

    /// Long-polls the discovery service and applies each update.
    async fn watch_until_disconnected(&self, discovery: SocketAddr) -> Option<()> {
        let mut stream = activity::track_connecting(TcpStream::connect(discovery))
            .await
            .ok()?;
        let _connection = activity::ConnectionEndCounter::default();
        let mut decoder = MessageDecoder::new(MessageKind::Response);
        let mut path = "/registry/instances".to_owned();
        loop {
            let request = message::request("GET", &path, "Host: list\r\n", b"");
            write(&mut stream, &request).await?;
            let response = read(&mut stream, &mut decoder).await?;
            let update: EndpointUpdate = serde_json::from_slice(&response.body).ok()?;
            path = format!("/registry/instances?from={}&hold_ms=5000", update.revision);
            self.apply(update);
        }
    }

    fn apply(&self, update: EndpointUpdate) {
        let mut endpoints = self.endpoints.borrow_mut();
        if update.is_snapshot {
            endpoints.clear();
        }
        for endpoint in update.endpoints {
            endpoints.retain(|known| known.uid != endpoint.uid);
            if !endpoint.is_gone() {
                endpoints.push(endpoint);
            }
        }
        endpoints.sort_by(|a, b| a.uid.cmp(&b.uid));
    }

    /// Selects an eligible endpoint round-robin, unless the mutation prefers a specific one.
    fn select_endpoint(&self) -> Option<Endpoint> {
        let attempt = self.attempts.get();
        self.attempts.set(attempt + 1);
        let endpoints = self.endpoints.borrow();
        let eligible: Vec<&Endpoint> = endpoints
            .iter()
            .filter(|endpoint| self.is_eligible(endpoint))
            .collect();
        let preferred = match self.mutation {
            Mutation::FloodNewest => eligible
                .iter()
                .max_by_key(|endpoint| endpoint.boot_ms)
                .copied(),
            // Draining servers get every second attempt.
            Mutation::IgnoreDraining if attempt.is_multiple_of(2) => eligible
                .iter()
                .find(|endpoint| !endpoint.is_ready())
                .copied(),
            _ => None,
        };
        let selected = preferred.or_else(|| eligible.get(attempt % eligible.len().max(1)).copied());
        selected.cloned()
    }

    fn is_eligible(&self, endpoint: &Endpoint) -> bool {
        let accepts_requests = self.mutation == Mutation::IgnoreDraining || endpoint.is_ready();
        let second = self.clock.now() / SECOND_NS;
        let uses_local_zone = !second.is_multiple_of(LEAVE_ZONE_INTERVAL_S);
        let is_local = endpoint.zone == self.zone;
        accepts_requests && (self.mutation != Mutation::LeaveZone || is_local == uses_local_zone)
    }

    async fn serve_connection(self: Rc<Self>, mut stream: TcpStream) {
        let mut decoder = MessageDecoder::new(MessageKind::Request);
        let _connection = activity::ConnectionEndCounter::default();
        while let Some(request) = read(&mut stream, &mut decoder).await {
            let response = self.respond(&request).await;
            let attempts = self.attempts.get();
            if self.mutation == Mutation::Crash && attempts >= CRASH_AFTER_ATTEMPTS {
                eprintln!("mutation crash: exiting after {CRASH_AFTER_ATTEMPTS} attempts");
                std::process::exit(CRASH_EXIT_CODE);
            }
            if self.mutation == Mutation::DropResponses && attempts.is_multiple_of(DROP_INTERVAL) {
                return;
            }
            if write(&mut stream, &response).await.is_none() {
                return;
            }
        }
    }

    async fn respond(&self, request: &Message) -> Vec<u8> {
        let budget_ms = request
            .value("x-budget-ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(DEFAULT_BUDGET_MS);
        let budget = Duration::from_millis(budget_ms);
        let attempt = self.clock.timeout(budget, self.attempt(request)).await;
        let first = attempt.ok().flatten();
        let resends = self.mutation == Mutation::Resend && request.method == "POST";
        let response = if resends {
            self.attempt(request).await.or(first)
        } else {
            first
        };
        match response {
            Some(response) if response.status == 200 => message::response(200, "", &response.body),
            _ => message::response(502, "", b"failed"),
        }
    }

    async fn attempt(&self, request: &Message) -> Option<Message> {
        let endpoint = self.select_endpoint()?;
        let mut stream = activity::track_connecting(TcpStream::connect(endpoint.address))
            .await
            .ok()?;
        let _connection = activity::ConnectionEndCounter::default();
        let is_forwarded =
            |(name, _): &&(String, String)| !name.eq_ignore_ascii_case("content-length");
        let headers: String = request
            .headers
            .iter()
            .filter(is_forwarded)
            .map(|(name, value)| format!("{name}: {value}\r\n"))
            .collect();
        let forwarded = message::request(&request.method, &request.target, &headers, &request.body);
        write(&mut stream, &forwarded).await?;
        read(&mut stream, &mut MessageDecoder::new(MessageKind::Response)).await
    }
}
