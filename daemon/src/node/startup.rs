//! The steps of a node's start, and the state that the steps share.

use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_admin::LifecycleHandle;
use badgerpost_balancer::Settings;
use badgerpost_engine::{Clock, nanos, spawn};
use badgerpost_gossip::{GossipService, LocalMember};
use badgerpost_http::discovery::EndpointWatcher;
use badgerpost_http::server::{self, ServerLifecycle, ServerLimits};
use badgerpost_http::upstream::HttpTransport;
use badgerpost_http::{Http, HttpEngine};
use badgerpost_postgres::session_memory::SessionMemory;
use badgerpost_settings::NodeSettings;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::client_listener::ClientListener;
use super::console::start_console;
use super::error::NodeError;
use super::lifecycle_timers::run_lifecycle_timers;
use super::postgres::start_postgres;
use super::reload::reload_on_signal;
use super::shutdown::Shutdown;
use super::virtual_clock_control::VirtualClockControl;
use crate::background_tasks::BackgroundTasks;
use crate::config::{Config, ConfigError, OperatorConfig, PlatformConfig};
use crate::resource_quota::ResourceQuota;

/// The readiness check for HTTP clients succeeds once the node has a backend, or this long after the node's start.
const READY_TIMEOUT: Duration = Duration::from_secs(5);

/// The state shared by the steps of a node's start.
pub struct Startup {
    /// The platform's configuration.
    pub platform: PlatformConfig,
    operator: OperatorConfig,
    /// Id of the node's zone.
    zone: u8,
    /// Number of nodes in the fleet.
    node_count: u32,
    seed: u64,
    quota: ResourceQuota,
    clock: Clock,
    /// The connection to the controller of the virtual clock. `None` with the system's clock.
    pub virtual_clock: Option<VirtualClockControl>,
    lifecycle: LifecycleHandle,
    stopping: watch::Sender<bool>,
    /// The background tasks started by previous steps.
    pub background_tasks: BackgroundTasks,
}

impl Startup {
    /// Creates the shared state from the configuration. Connects to the controller of a virtual clock, if there is one.
    pub fn prepare(config: Config, settings: &Settings) -> Result<Self, NodeError> {
        let Config { platform, operator } = config;
        let seed = platform.seed()?;
        let quota = ResourceQuota::new(platform.resource_plan(operator.postgres.is_some())?);
        let virtual_clock = operator
            .virtual_clock
            .map(VirtualClockControl::connect)
            .transpose()?;
        let clock = virtual_clock
            .as_ref()
            .map_or_else(Clock::system, VirtualClockControl::clock);
        Ok(Self {
            platform,
            operator,
            zone: settings.local_zone.0 as u8,
            node_count: settings.node_count,
            seed,
            quota,
            clock,
            virtual_clock,
            lifecycle: LifecycleHandle::default(),
            stopping: watch::Sender::new(false),
            background_tasks: BackgroundTasks::default(),
        })
    }

    /// Starts the engine for HTTP and the pool of connections to HTTP backends.
    pub fn start_engine(&mut self, node_settings: NodeSettings) -> Result<HttpEngine, NodeError> {
        let transport = HttpTransport::new(
            node_settings.connections,
            self.clock.clone(),
            self.quota.backends.clone(),
            self.quota.body_memory.clone(),
        );
        self.background_tasks.spawn(
            "connection pool sweep",
            HttpTransport::sweep(transport.pool()),
        );
        let engine = HttpEngine::new(
            node_settings.settings,
            node_settings.names,
            self.seed,
            self.clock.clone(),
            Rc::new(transport),
        )
        .map_err(ConfigError::from)?;
        if self.operator.monitors_zones() {
            engine.start_zone_monitoring(self.seed);
        }
        Ok(engine)
    }

    /// Creates the client of service discovery. The engine starts with the endpoint list from the configuration.
    pub fn create_endpoint_watcher(&mut self, engine: &HttpEngine) -> EndpointWatcher<Http> {
        let known_endpoints = self.platform.known_endpoints.take();
        EndpointWatcher::new(
            engine.clone(),
            self.platform.discovery,
            known_endpoints,
            self.seed,
        )
    }

    /// Takes over or opens the listener for HTTP clients. The logged line signals that the node accepts connections.
    pub async fn take_over_or_bind(&self) -> Result<ClientListener, NodeError> {
        let opened =
            ClientListener::take_over_or_bind(&self.platform, &self.quota, &self.clock).await?;
        tracing::info!(
            node = self.platform.name,
            listen = %opened.address,
            discovery = %self.platform.discovery,
            "serving"
        );
        Ok(opened)
    }

    /// Starts the client of service discovery, and the task that reloads the address of discovery.
    pub fn start_discovery(
        &mut self,
        watcher: EndpointWatcher<Http>,
        reload_signal: Signal,
        platform_file: PathBuf,
    ) {
        let (address_sender, address) = watch::channel(self.platform.discovery);
        self.background_tasks
            .spawn("endpoint watch", watcher.run(address));
        self.background_tasks.spawn(
            "configuration reload",
            reload_on_signal(reload_signal, address_sender, platform_file),
        );
    }

    /// Starts the timers of the engine and the lifecycle.
    pub fn start_timers(&mut self, engine: &HttpEngine) {
        let timers = engine.clone();
        self.background_tasks.spawn("engine timers", async move {
            timers.run_timers().await;
        });
        self.background_tasks.spawn(
            "lifecycle timers",
            run_lifecycle_timers(self.lifecycle.clone(), self.clock.clone()),
        );
    }

    /// Starts the operators' console, if enabled.
    pub async fn start_console(&mut self, engine: &HttpEngine) -> Result<(), NodeError> {
        let Some(address) = self.platform.console else {
            return Ok(());
        };
        let tasks = &mut self.background_tasks;
        start_console(address, &self.lifecycle, engine, tasks).await
    }

    /// Starts gossip with the other nodes of the fleet, if enabled.
    pub async fn start_gossip(&mut self, engine: &HttpEngine) -> Result<(), NodeError> {
        let Some(peers) = &self.operator.peers else {
            return Ok(());
        };
        let local_member = LocalMember {
            name: &self.platform.name,
            zone: self.zone,
            node_count: self.node_count,
            seed: self.seed,
        };
        let key = peers.key().map_err(ConfigError::from)?;
        let service = GossipService::open(peers, key, local_member, engine.clone())
            .await
            .map_err(|source| NodeError::Gossip {
                address: peers.listen,
                source,
            })?;
        self.background_tasks
            .spawn("gossip", service.run(self.stopping.subscribe()));
        Ok(())
    }

    /// Starts the HTTP server, the handover of the HTTP listener, and the PostgreSQL server. Returns the [`Shutdown`]
    /// that stops the servers.
    pub async fn start_servers(
        &mut self,
        engine: HttpEngine,
        client_listener: ClientListener,
    ) -> Result<Shutdown, NodeError> {
        let longest_deadline = engine.longest_deadline();
        let respond_by = Rc::new(Cell::new(None));
        let handle = ServerLifecycle {
            stage: self.lifecycle.stage(),
            ready_by: self.clock.now().saturating_add(nanos(READY_TIMEOUT)),
            respond_by: respond_by.clone(),
            accepts: self.lifecycle.accepts(),
        };
        let limits = ServerLimits {
            max_connections: self.quota.clients.clone(),
            memory_budget: self.quota.body_memory.clone(),
        };
        let http_server = spawn(server::run(
            client_listener.listener,
            engine.clone(),
            limits,
            handle,
        ));
        if let Some(handover) = client_listener.handover {
            self.background_tasks.spawn(
                "listener handover",
                handover.run(self.lifecycle.clone(), engine),
            );
        }
        let postgres_server = self.start_postgres().await?;
        Ok(Shutdown {
            clock: self.clock.clone(),
            lifecycle: self.lifecycle.clone(),
            stopping: self.stopping.clone(),
            respond_by,
            longest_deadline,
            http_server,
            postgres_server,
        })
    }

    /// Starts the PostgreSQL server, if enabled.
    async fn start_postgres(&mut self) -> Result<Option<JoinHandle<()>>, NodeError> {
        let Some(config) = self.operator.postgres.take() else {
            return Ok(None);
        };
        let stopping = self.stopping.subscribe();
        let tasks = &mut self.background_tasks;
        let memory = SessionMemory::new(self.platform.postgres_session_bytes(), self.clock.clone());
        let server =
            start_postgres(config, memory, self.seed, &self.clock, stopping, tasks).await?;
        Ok(Some(spawn(server)))
    }
}
