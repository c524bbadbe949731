//! One node: built from its configuration in named steps, run until it is asked to stop, and shut down.

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
use virtual_clock_control::{VirtualClockControl, controller_gone};

/// Runs a node until it is asked to stop. `platform_file` is read again at each SIGHUP.
///
/// # Errors
///
/// The node can't start, or its virtual clock's controller has gone.
pub fn run(config: Config, platform_file: PathBuf) -> Result<(), NodeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        Node::start(config, platform_file).await?.run().await
    })
}

/// A node all of whose parts run.
struct Node {
    name: String,
    listen: SocketAddr,
    virtual_clock: Option<VirtualClockControl>,
    stop_signals: StopSignals,
    shutdown: Shutdown,
    background_tasks: BackgroundTasks,
}

impl Node {
    /// Starts all parts. The order of the tasks' starts is that of their first turns on the serving thread.
    async fn start(config: Config, platform_file: PathBuf) -> Result<Self, NodeError> {
        // Before anything else: until it is handled, SIGHUP ends the process.
        let reload_signal = signal(SignalKind::hangup())?;
        let site = config.platform.site()?;
        let mut startup = Startup::parse(config, &site.settings)?;
        let engine = startup.start_engine(site)?;
        let endpoint_watcher = startup.endpoint_watcher(&engine);
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

    /// Runs until the process is asked to stop and has shut down.
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
            stop_signals.received().await;
            tracing::info!(node = name, "stopping");
            shutdown.run().await;
        };
        let controller = virtual_clock.map(|control| control.follow(name.clone(), listen));
        // Not awaited here: this future is polled at every turn of the serving thread, and would poll all tasks' handles.
        spawn_local(async move { background_tasks.watch().await });
        tokio::select! {
            biased;
            () = lifetime => Ok(()),
            error = controller_gone(controller) => Err(error.into()),
        }
    }
}
