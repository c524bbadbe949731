//! Connects the operators' console, which runs on its own thread, to the node.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use badgerpost_admin::{AdminApi, LifecycleHandle, ZoneOverrideCommand};
use badgerpost_http::HttpEngine;
use tokio::sync::mpsc;

use super::error::NodeError;
use crate::background_tasks::BackgroundTasks;
use crate::listening::retry_transient;

/// The console reports the node as ready once the node has an endpoint list, or after this time: while discovery is
/// down, the node serves with the endpoint list from its configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(1);
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the backend counts in the metrics are updated.
const BACKEND_COUNT_INTERVAL: Duration = Duration::from_millis(200);
/// Capacity of the queue of zone overrides from the console's thread to the serving thread.
const MAX_QUEUED_OVERRIDES: usize = 16;

/// Opens the console and starts its tasks on the serving thread.
pub async fn start_console(
    address: SocketAddr,
    lifecycle: &LifecycleHandle,
    engine: &HttpEngine,
    tasks: &mut BackgroundTasks,
) -> Result<(), NodeError> {
    let listener = retry_transient(engine.clock(), || TcpListener::bind(address))
        .await
        .map_err(|source| NodeError::Console { address, source })?;
    let is_ready = Arc::new(AtomicBool::new(false));
    tracing::info!(console = %listener.local_addr()?, "operators may call");
    let (overrides, queued_overrides) = mpsc::channel(MAX_QUEUED_OVERRIDES);
    let console = AdminApi {
        lifecycle: lifecycle.clone(),
        metrics: engine.metrics(),
        is_ready: is_ready.clone(),
        zone_overrides: overrides,
    };
    console.start(listener)?;
    tasks.spawn(
        "zone overrides",
        apply_zone_overrides(engine.clone(), queued_overrides),
    );
    tasks.spawn(
        "readiness and backend counts",
        update_console(engine.clone(), is_ready),
    );
    Ok(())
}

/// Applies the operators' zone overrides.
async fn apply_zone_overrides(
    engine: HttpEngine,
    mut overrides: mpsc::Receiver<ZoneOverrideCommand>,
) {
    while let Some(command) = overrides.recv().await {
        engine.override_zone(&command.zone, command.zone_override);
    }
}

/// Sets `is_ready` once the node is ready, and then updates the backend counts in the metrics. Never returns.
async fn update_console(engine: HttpEngine, is_ready: Arc<AtomicBool>) {
    let clock = engine.clock().clone();
    let has_endpoint_list = async {
        while !engine.has_endpoint_list() {
            clock.sleep(READY_CHECK_INTERVAL).await;
        }
    };
    let _ = clock.timeout(READY_TIMEOUT, has_endpoint_list).await;
    is_ready.store(true, Ordering::Relaxed);
    loop {
        engine.update_backend_counts();
        clock.sleep(BACKEND_COUNT_INTERVAL).await;
    }
}
