//! Starts the PostgreSQL adapter, which has its own engine and backends.

use std::future::Future;
use std::rc::Rc;

use badgerpost_balancer::EndpointUpdate;
use badgerpost_engine::Clock;
use badgerpost_http::discovery::EndpointWatcher;
use badgerpost_postgres::PostgresEngine;
use badgerpost_postgres::config::Config;
use badgerpost_postgres::pool::Pool;
use badgerpost_postgres::server::PostgresServer;
use badgerpost_postgres::session_memory::SessionMemory;
use badgerpost_postgres::tls::ServerTls;
use badgerpost_postgres::upstream::PostgresTransport;
use tokio::sync::watch;

use super::error::NodeError;
use crate::background_tasks::BackgroundTasks;
use crate::config::ConfigError;
use crate::listening::listen;

/// Opens the listener and starts the background tasks. `session_memory` limits the memory for messages and statements
/// of clients. Returns the server's future, which completes when `stopping` is
/// true and all sessions have ended.
pub async fn start_postgres(
    config: Config,
    session_memory: Rc<SessionMemory>,
    seed: u64,
    clock: &Clock,
    stopping: watch::Receiver<bool>,
    tasks: &mut BackgroundTasks,
) -> Result<impl Future<Output = ()> + use<>, NodeError> {
    let node_settings = config.site().map_err(ConfigError::from)?;
    let users = config.read_users().map_err(ConfigError::from)?;
    let pool = create_pool(&config, clock)?;
    let transport = Rc::new(PostgresTransport(pool.clone()));
    let engine = PostgresEngine::new(
        node_settings.settings,
        node_settings.names,
        seed,
        clock.clone(),
        transport,
    )
    .map_err(ConfigError::from)?;
    // With discovery, the complete endpoint list comes from discovery.
    let update = if config.discovery.is_some() {
        EndpointUpdate::Delta
    } else {
        EndpointUpdate::Snapshot
    };
    engine.endpoints_updated(update, &config.endpoints());
    let timers = engine.clone();
    tasks.spawn("PostgreSQL engine timers", async move {
        timers.run_timers().await;
    });
    if let Some(discovery) = config.discovery {
        let (_, address) = watch::channel(discovery);
        let watcher = EndpointWatcher::new(engine.clone(), discovery, None, seed);
        tasks.spawn("PostgreSQL endpoint watch", watcher.run(address));
    }
    let address = config.listen;
    let listener = listen(clock, address, false)
        .await
        .map_err(|source| NodeError::Listen { address, source })?;
    tracing::info!(listen = %listener.local_addr()?, "serving PostgreSQL clients");
    let server = PostgresServer::new(config, users, engine, pool, session_memory)
        .map_err(ConfigError::from)?;
    Ok(server.run(listener, stopping))
}

/// Creates an empty pool of connections to the servers.
fn create_pool(config: &Config, clock: &Clock) -> Result<Rc<Pool>, ConfigError> {
    let logins = config.read_logins()?;
    let tls = config.server_tls.as_ref();
    let tls = tls.map(ServerTls::connector).transpose()?;
    Ok(Pool::new(clock.clone(), logins, tls, config.limits()))
}
