#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! badgerpost, a load-balancing node: the decisions of `brookfield` on real sockets. This file reads the
//! configuration, starts the parts, heeds signals and ends the program.

mod discovery;
mod driver;
mod seats;
mod server;
mod sparing;
mod tap;
mod upstream;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

use driver::{Clock, Node};
use server::Phase;
use upstream::Upstream;

/// After SIGTERM connections go on coming for a while, up to here.
const STILL_TAKES: Duration = Duration::from_millis(500);
/// Connections that cross the closing of idle ones are taken up to here after that.
const LAST_ONES: Duration = Duration::from_millis(100);
const BACKLOG: u32 = 1024;

/// What the node is told at its start.
#[derive(Deserialize)]
struct Config {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    known: Option<discovery::List>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
}

/// Why the node can't start.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("EDGE_CONFIG is not set")]
    NoConfig,
    #[error("configuration {path}: {source}")]
    Unread { path: String, source: std::io::Error },
    #[error("configuration {path}: {source}")]
    Malformed { path: String, source: serde_json::Error },
    #[error("configuration: seed {0:?} is not a hexadecimal number of 64 bits")]
    Seed(String),
    #[error("configuration: limits.sockets: {0} descriptors are too few")]
    Sockets(usize),
    #[error("configuration: {0}")]
    Settings(String),
    #[error("can't listen at {at}: {source}")]
    Listen { at: SocketAddr, source: std::io::Error },
    #[error("can't start: {0}")]
    System(#[from] std::io::Error),
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).init();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("badgerpost: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), StartError> {
    let config = read_config()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(config))
}

fn read_config() -> Result<Config, StartError> {
    let path = std::env::var("EDGE_CONFIG").map_err(|_| StartError::NoConfig)?;
    let text = match std::fs::read(&path) {
        Ok(text) => text,
        Err(source) => return Err(StartError::Unread { path, source }),
    };
    serde_json::from_slice(&text).map_err(|source| StartError::Malformed { path, source })
}

async fn serve(config: Config) -> Result<(), StartError> {
    // Heeded before anything else: unheeded, it would end the program.
    let hangup = signal(SignalKind::hangup())?;
    let site = brookfield_settings::read(&config.settings).map_err(StartError::Settings)?;
    let seed = u64::from_str_radix(&config.seed, 16).map_err(|_| StartError::Seed(config.seed.clone()))?;
    // Half the descriptors are for clients, three eighths for backends; the rest is slack and the node's own.
    let sockets = config.limits.sockets;
    if sockets < 32 {
        return Err(StartError::Sockets(sockets));
    }
    let (clients, backends) = (sockets / 2, sockets * 3 / 8);
    let clock = Clock::start();
    let upstream = Upstream::new(site.links, clock, backends);
    spawn_local(Upstream::sweep(upstream.pool()));
    let node = Node::new(site.settings, site.words, seed, clock, Rc::new(upstream))
        .map_err(|error| StartError::Settings(error.to_string()))?;
    let watch = discovery::Watch::new(node.clone(), config.discovery, config.known);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let listener =
        listen(config.listen).map_err(|source| StartError::Listen { at: config.listen, source })?;
    tracing::info!("{} serves at {}", config.name, listener.local_addr()?);
    let (address, told) = tokio::sync::watch::channel(config.discovery);
    spawn_local(watch.run(told));
    spawn_local(heed_reloads(hangup, address));
    let timers = node.clone();
    spawn_local(async move { timers.run_timers().await });
    let (phase, phases) = watch::channel(Phase::Serving);
    let deadline = node.longest_deadline();
    let served = spawn_local(server::run(listener, node, clients, phases));
    asked_to_stop(&mut terminate, &mut interrupt).await;
    tracing::info!("{} stops", config.name);
    phase.send_replace(Phase::Stopping);
    sleep(STILL_TAKES).await;
    phase.send_replace(Phase::Closing);
    sleep(LAST_ONES).await;
    phase.send_replace(Phase::Closed);
    // Every request taken has had its answer by then; what is still open has nothing on it.
    let _ = timeout(deadline, served).await;
    Ok(())
}

/// Reads the configuration anew at each SIGHUP. Discovery's address is taken from it at once; all else counts
/// from the next start. With a file that can't be used everything stays as it is.
async fn heed_reloads(mut hangup: Signal, address: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        match reread() {
            Ok(discovery) => {
                tracing::info!("configuration read anew; discovery is at {discovery}");
                address.send_if_modified(|at| std::mem::replace(at, discovery) != discovery);
            }
            Err(error) => tracing::warn!("the old configuration stays: {error}"),
        }
    }
}

fn reread() -> Result<SocketAddr, StartError> {
    let config = read_config()?;
    brookfield_settings::read(&config.settings).map_err(StartError::Settings)?;
    Ok(config.discovery)
}

fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A restart must not wait for the last life's connections to leave the system's tables.
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

async fn asked_to_stop(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
