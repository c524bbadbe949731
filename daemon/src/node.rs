//! A node: started from its configuration, run until a stop signal, and shut down.

mod client_listener;
mod console;
mod error;
mod lifecycle_timers;
mod postgres;
mod reload;
mod shutdown;
mod startup;
mod virtual_clock_control;

use std::net::SocketAddr;
use std::path::PathBuf;

use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

use crate::background_tasks::BackgroundTasks;
use crate::config::Config;

pub use error::NodeError;
use shutdown::{Shutdown, StopSignals};
use startup::Startup;
use virtual_clock_control::{VirtualClockControl, wait_for_controller_end};

/// Runs a node until SIGTERM or SIGINT. `platform_file` is read again at each SIGHUP.
///
/// # Errors
///
/// The node can't start, or the controller of the virtual clock has disconnected.
pub fn run(config: Config, platform_file: PathBuf) -> Result<(), NodeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        Node::start(config, platform_file).await?.run().await
    })
}

/// A running node.
struct Node {
    name: String,
    listen: SocketAddr,
    virtual_clock: Option<VirtualClockControl>,
    stop_signals: StopSignals,
    shutdown: Shutdown,
    background_tasks: BackgroundTasks,
}

impl Node {
    /// Starts all parts of the node. Tasks are first polled in the order in which they are started.
    async fn start(config: Config, platform_file: PathBuf) -> Result<Self, NodeError> {
        // Must come first: without a handler, SIGHUP terminates the process.
        let reload_signal = signal(SignalKind::hangup())?;
        let node_settings = config.platform.node_settings()?;
        let mut startup = Startup::prepare(config, &node_settings.settings)?;
        let engine = startup.start_engine(node_settings)?;
        let endpoint_watcher = startup.create_endpoint_watcher(&engine);
        let stop_signals = StopSignals::register()?;
        let client_listener = startup.take_over_or_bind().await?;
        let listen = client_listener.address;
        startup.start_discovery(endpoint_watcher, reload_signal, platform_file);
        startup.start_timers(&engine);
        startup.start_console(&engine).await?;
        startup.start_gossip(&engine).await?;
        let shutdown = startup.start_servers(engine, client_listener).await?;
        Ok(Self {
            name: startup.platform.name,
            listen,
            virtual_clock: startup.virtual_clock,
            stop_signals,
            shutdown,
            background_tasks: startup.background_tasks,
        })
    }

    /// Runs until a stop signal, and then shuts the node down.
    async fn run(self) -> Result<(), NodeError> {
        let Self {
            name,
            listen,
            virtual_clock,
            mut stop_signals,
            shutdown,
            mut background_tasks,
        } = self;
        let lifetime = async {
            stop_signals.wait().await;
            tracing::info!(node = name, "stopping");
            shutdown.run().await;
        };
        let controller = virtual_clock.map(|control| control.follow(name.clone(), listen));
        // A task of its own: this future is polled at every turn of the serving thread, and would poll all tasks'
        // handles.
        spawn_local(async move { background_tasks.log_ends().await });
        tokio::select! {
            biased;
            () = lifetime => Ok(()),
            error = wait_for_controller_end(controller) => Err(error.into()),
        }
    }
}
