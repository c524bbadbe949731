//! Wires a node's parts, heeds signals and ends it all.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use badgerpost_admin::{AdminApi, LifecycleHandle, ZoneOverrideCommand};
use badgerpost_balancer::EndpointUpdate;
use badgerpost_engine::{Clock, ForcedZoneState, VirtualClock, ZoneOverride, nanos, spawn};
use badgerpost_gossip::{GossipService, LocalMember};
use badgerpost_http::memory_budget::MemoryBudget;
use badgerpost_http::server::{self, ServerHandle, ServerLimits};
use badgerpost_http::upstream::HttpTransport;
use badgerpost_http::{HttpEngine, discovery};
use badgerpost_lifecycle::{Event, Stage};
use badgerpost_postgres::pool::Pool;
use badgerpost_postgres::server::PostgresServer;
use badgerpost_postgres::{self as postgres, PostgresEngine};
use badgerpost_virtual_clock::{Control, ControlError};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};

use crate::config::{Config, ConfigError, Edge, Rehearsal};
use crate::descriptor_quota::DescriptorQuota;
use crate::handover::Handover;
use crate::listening::{listen, open_patiently};

/// A process says that it can serve once it has heard from discovery, or this long after its start: with discovery
/// down it serves what it knew.
const READY_MOST: Duration = Duration::from_secs(1);
/// The same to clients' front, which takes a node in once it has said so: it knows a server, or this is over.
const READY_BY: Duration = Duration::from_secs(5);
/// How often it looks whether it has, and how often the figures of the servers are brought up to date.
const LOOK: Duration = Duration::from_millis(20);
const COUNT: Duration = Duration::from_millis(200);
/// Orders of the operators that wait for the serving thread, which takes them at once.
const ORDERS: usize = 16;
/// The last answer to what comes after the signal to end has left this long after the longest deadline, counted from the
/// signal: SIGKILL comes 0.7 s after it at the soonest, by the platform's protocol.
const LEAVES_AFTER: Duration = Duration::from_millis(500);
/// A longer deadline counts as this there.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// Transactions that are under way at the end are waited for so long.
const TRANSACTIONS_END: Duration = Duration::from_secs(10);

/// Why the node can't start, or go on.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The address can't be listened at.
    #[error("can't listen at {at}: {source}")]
    Listen {
        /// The address.
        at: SocketAddr,
        /// What happened.
        source: std::io::Error,
    },
    /// The operators' address can't be listened at.
    #[error("configuration: console: can't listen at {at}: {source}")]
    Console {
        /// The address.
        at: SocketAddr,
        /// What happened.
        source: std::io::Error,
    },
    /// The other nodes' datagrams can't be taken.
    #[error("configuration: peers.listen: {at}: {source}")]
    Peers {
        /// The address.
        at: SocketAddr,
        /// What happened.
        source: std::io::Error,
    },
    /// The system refuses something else.
    #[error("can't start: {0}")]
    System(#[from] std::io::Error),
    /// Its clock is in the hands of a rehearsal, which has ended.
    #[error(transparent)]
    Control(#[from] ControlError),
}

/// Runs a node until it is asked to stop. `file` is where its configuration is read anew.
pub fn start(config: Config, file: PathBuf) -> Result<(), ServeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(config, file))
}

#[expect(clippy::too_many_lines, reason = "to be split with the module")]
async fn serve(config: Config, file: PathBuf) -> Result<(), ServeError> {
    // Heeded before anything else: unheeded, it would end the program.
    let hangup = signal(SignalKind::hangup())?;
    let Config { edge, own } = config;
    let (site, seed, (clients, servers)) = (edge.site()?, edge.seed()?, edge.shares()?);
    let shares = DescriptorQuota::new(clients, servers);
    let hands = own.rehearsal.map(VirtualClockControl::take).transpose()?;
    let clock = hands.as_ref().map_or_else(Clock::system, |hands| {
        Clock::controlled(hands.steps.clone())
    });
    let bodies = MemoryBudget::new(edge.bodies());
    let (zone, nodes) = (site.settings.local_zone.0 as u8, site.settings.node_count);
    let upstream = HttpTransport::new(
        site.connections,
        clock.clone(),
        shares.servers.clone(),
        bodies.clone(),
    );
    spawn(HttpTransport::sweep(upstream.pool()));
    let node = HttpEngine::new(
        site.settings,
        site.names,
        seed,
        clock.clone(),
        Rc::new(upstream),
    )
    .map_err(|error| ConfigError::Settings(error.to_string()))?;
    if own.zones.is_some_and(|zones| zones.watch) {
        node.start_zone_monitoring(seed);
    }
    let watch = discovery::EndpointWatcher::new(node.clone(), edge.discovery, edge.known, seed);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Operators start the next version beside this one, at the same address: it takes over the socket, so that what
    // waits in its queue is lost to nobody.
    let handover = edge
        .console
        .and_then(|_| Handover::new(edge.listen, shares.clone(), clock.clone()));
    let given = match &handover {
        Some(handover) => handover.take().await,
        None => None,
    };
    let listener = match &given {
        Some(given) => given.listener.try_clone()?,
        None => own_listener(&clock, edge.listen, edge.console.is_some()).await?,
    };
    listener.set_nonblocking(true)?;
    let hand_on = handover
        .as_ref()
        .map(|_| listener.try_clone())
        .transpose()?;
    let listener = TcpListener::from_std(listener)?;
    let listens_at = listener.local_addr()?;
    announce(&edge.name, listens_at, edge.discovery);
    let (address, told) = watch::channel(edge.discovery);
    spawn(watch.run(told));
    spawn(heed_reloads(hangup, address, file));
    let timers = node.clone();
    spawn(async move { timers.run_timers().await });
    let life = LifecycleHandle::default();
    spawn(keep_time(life.clone(), clock.clone()));
    if let Some(at) = edge.console {
        operators_call(at, &life, &node).await?;
    }
    let (stop, stopping) = watch::channel(false);
    if let Some(peers) = &own.peers {
        let me = LocalMember {
            name: &edge.name,
            zone,
            nodes,
            seed,
        };
        join_peers(peers, me, &node, &stopping).await?;
    }
    let deadline = node.longest_deadline();
    let leaves = Rc::new(Cell::new(None));
    let ready_by = clock.now().saturating_add(nanos(READY_BY));
    let served = spawn(server::run(
        listener,
        node,
        ServerLimits {
            max_connections: shares.clients,
            memory_budget: bodies,
        },
        ServerHandle {
            stage: life.stage(),
            ready_by,
            respond_by: leaves.clone(),
            accepts: life.accepts(),
        },
    ));
    if let (Some(handover), Some(listener_to_hand_on)) = (handover, hand_on) {
        spawn(handover.run(listener_to_hand_on, given, life.clone()));
    }
    let postgres = match own.postgres {
        Some(postgres) => Some(spawn(
            serve_postgres(postgres, seed, &clock, stopping).await?,
        )),
        None => None,
    };
    let name = edge.name.clone();
    let ended = async {
        tokio::select! {
            biased;
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        tracing::info!(node = edge.name, "stopping");
        // Whatever comes until then is answered by then, also where nobody answers this node.
        leaves.set(Some(clock.now().saturating_add(nanos(
            deadline.min(LONGEST_COUNTED) + LEAVES_AFTER,
        ))));
        life.tell(Event::Stop);
        stop.send_replace(true);
        let _ = life.stage().wait_for(|stage| *stage == Stage::Closed).await;
        // Every request taken has had its answer by then; what is still open has nothing on it.
        let _ = clock.timeout(deadline, served).await;
        if let Some(postgres) = postgres {
            // Transactions under way end by their deadlines; a session that idles in one is ended then too.
            let _ = clock.timeout(TRANSACTIONS_END, postgres).await;
        }
        Ok(())
    };
    match hands {
        None => ended.await,
        Some(VirtualClockControl { steps, control }) => {
            // Not counted among the node's tasks: it is what waits for these to come to rest.
            let followed =
                spawn_local(async move { control.follow(&name, listens_at, steps).await });
            tokio::select! {
                biased;
                result = ended => result,
                Ok(over) = followed => Err(over.into()),
            }
        }
    }
}

/// Says in the log that the node serves; whoever started it waits for this line.
fn announce(node: &str, listens_at: SocketAddr, discovery: SocketAddr) {
    tracing::info!(node, listen = %listens_at, %discovery, "serving");
}

/// Begins to talk to the other nodes.
async fn join_peers(
    peers: &badgerpost_gossip::Config,
    me: LocalMember<'_>,
    node: &HttpEngine,
    stopping: &watch::Receiver<bool>,
) -> Result<(), ServeError> {
    let key = peers.key().map_err(ConfigError::from)?;
    let opened = GossipService::open(peers, key, me, node.clone()).await;
    let service = opened.map_err(|source| ServeError::Peers {
        at: peers.listen,
        source,
    })?;
    spawn(service.run(stopping.clone()));
    Ok(())
}

/// The clients' listener, where none was handed over.
async fn own_listener(
    clock: &Clock,
    at: SocketAddr,
    beside: bool,
) -> Result<std::net::TcpListener, ServeError> {
    listen(clock, at, beside)
        .await
        .and_then(TcpListener::into_std)
        .map_err(|source| ServeError::Listen { at, source })
}

/// Keeps the time for the life cycle; never ends.
async fn keep_time(life: LifecycleHandle, clock: Clock) {
    let mut wakes = life.wakes();
    loop {
        let wake = *wakes.borrow_and_update();
        let Some(timer) = wake else {
            let _ = wakes.changed().await;
            continue;
        };
        // A newer wish puts the one before out of force.
        tokio::select! {
            biased;
            Ok(()) = wakes.changed() => {}
            () = clock.sleep(timer.after) => {
                life.tell(Event::TimerFired(timer.token));
                let _ = wakes.wait_for(|next| *next != wake).await;
            }
        }
    }
}

/// Opens the operators' listener and keeps what it shows up to date.
async fn operators_call(
    at: SocketAddr,
    life: &LifecycleHandle,
    node: &HttpEngine,
) -> Result<(), ServeError> {
    let listener = open_patiently(node.clock(), || std::net::TcpListener::bind(at))
        .await
        .map_err(|source| ServeError::Console { at, source })?;
    let ready = Arc::new(AtomicBool::new(false));
    tracing::info!(console = %listener.local_addr()?, "operators may call");
    let (orders, mut ordered) = mpsc::channel::<ZoneOverrideCommand>(ORDERS);
    let console = AdminApi {
        life: life.clone(),
        tally: node.metrics(),
        ready: ready.clone(),
        orders,
    };
    console.start(listener)?;
    let zones = node.clone();
    spawn(async move {
        while let Some(ZoneOverrideCommand { zone, order }) = ordered.recv().await {
            let zone_override = order.map(|(closed, span)| ZoneOverride {
                state: if closed {
                    ForcedZoneState::Closed
                } else {
                    ForcedZoneState::Open
                },
                duration: nanos(span),
            });
            zones.override_zone(&zone, zone_override);
        }
    });
    let node = node.clone();
    spawn(async move {
        let clock = node.clock().clone();
        let heard = async {
            while !node.has_endpoint_list() {
                clock.sleep(LOOK).await;
            }
        };
        let _ = clock.timeout(READY_MOST, heard).await;
        ready.store(true, Ordering::Relaxed);
        loop {
            node.update_backend_counts();
            clock.sleep(COUNT).await;
        }
    });
    Ok(())
}

/// Wires the PostgreSQL front: a fleet with an engine of its own.
async fn serve_postgres(
    config: postgres::config::Config,
    seed: u64,
    clock: &Clock,
    stopping: watch::Receiver<bool>,
) -> Result<impl Future<Output = ()> + use<>, ServeError> {
    let (site, users) = (
        config.site().map_err(ConfigError::from)?,
        config.read_users().map_err(ConfigError::from)?,
    );
    let logins = config.read_logins().map_err(ConfigError::from)?;
    let tls = config
        .server_tls
        .as_ref()
        .map(postgres::tls::ServerTls::connector)
        .transpose();
    let pool = Pool::new(
        clock.clone(),
        logins,
        tls.map_err(ConfigError::from)?,
        config.limits(),
    );
    let launcher = Rc::new(postgres::upstream::PostgresTransport(pool.clone()));
    let fleet = PostgresEngine::new(site.settings, site.names, seed, clock.clone(), launcher)
        .map_err(|error| ConfigError::Settings(error.to_string()))?;
    fleet.endpoints_updated(
        if config.discovery.is_some() {
            EndpointUpdate::Delta
        } else {
            EndpointUpdate::Snapshot
        },
        &config.endpoints(),
    );
    let timers = fleet.clone();
    spawn(async move { timers.run_timers().await });
    if let Some(discovery) = config.discovery {
        let (_, told) = watch::channel(discovery);
        spawn(discovery::EndpointWatcher::new(fleet.clone(), discovery, None, seed).run(told));
    }
    let at = config.listen;
    let listener = listen(clock, at, false)
        .await
        .map_err(|source| ServeError::Listen { at, source })?;
    tracing::info!(listen = %listener.local_addr()?, "serving PostgreSQL clients");
    let front = PostgresServer::new(config, users, fleet, pool).map_err(ConfigError::from)?;
    Ok(front.run(listener, stopping))
}

/// A rehearsal's hold on the clock.
struct VirtualClockControl {
    steps: Rc<VirtualClock>,
    control: Control,
}

impl VirtualClockControl {
    fn take(rehearsal: Rehearsal) -> Result<Self, ControlError> {
        let Rehearsal { control, start_ns } = rehearsal;
        tracing::warn!(%control, "STEPPED CLOCK in a rehearsal's hands; not for service");
        Ok(Self {
            steps: VirtualClock::at(start_ns),
            control: Control::connect(control)?,
        })
    }
}

/// Reads the configuration anew at each SIGHUP. Discovery's address is taken from it at once; all else counts
/// from the next start. With a file that can't be used everything stays as it is.
async fn heed_reloads(mut hangup: Signal, address: watch::Sender<SocketAddr>, file: PathBuf) {
    while hangup.recv().await.is_some() {
        match Edge::read(&file).and_then(|edge| edge.site().map(|_| edge.discovery)) {
            Ok(discovery) => {
                tracing::info!(%discovery, "configuration reloaded");
                address.send_if_modified(|at| std::mem::replace(at, discovery) != discovery);
            }
            Err(error) => tracing::warn!(%error, "configuration not reloaded; the old one stays"),
        }
    }
}
