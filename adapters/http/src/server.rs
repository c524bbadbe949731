//! The accept loop for client connections.

use std::rc::Rc;

use badgerpost_engine::{AcceptBackoff, LogLimiter, spawn};
use badgerpost_lifecycle::Stage;
use tokio::net::TcpListener;

use crate::HttpEngine;
use crate::client_connection::serve_connection;
use crate::connection_limiter::ConnectionLimiter;
use crate::server_context::ServerContext;
pub use crate::server_context::{ServerLifecycle, ServerLimits};

/// Serves clients until the stage is [`Stage::Closed`] and all connections have ended.
pub async fn run(
    listener: TcpListener,
    engine: HttpEngine,
    limits: ServerLimits,
    lifecycle: ServerLifecycle,
) {
    let limiter = ConnectionLimiter::new(
        limits.max_connections,
        engine.clock().clone(),
        engine.metrics(),
    );
    let timeouts = spawn(limiter.clone().run_timeouts());
    let mut stage = lifecycle.stage.clone();
    let closed = stage.wait_for(|stage| *stage == Stage::Closed);
    let context = Rc::new(ServerContext {
        engine,
        memory_budget: limits.memory_budget,
        lifecycle,
    });
    // The accept branch is polled first, so that connections in the backlog are accepted before the listener is closed.
    tokio::select! {
        biased;
        () = accept_connections(&listener, &limiter, &context) => {}
        _ = closed => {}
    }
    drop(listener);
    limiter.wait_until_empty().await;
    timeouts.abort();
}

/// Accepts connections and serves each in its own task. Never returns.
async fn accept_connections(
    listener: &TcpListener,
    limiter: &Rc<ConnectionLimiter>,
    context: &Rc<ServerContext>,
) {
    let mut accepts = context.lifecycle.accepts.clone();
    let mut log = LogLimiter::new(context.clock().clone());
    let mut backoff = AcceptBackoff::default();
    loop {
        // During a shutdown, new connections are left to the successor process on the same socket, if there is one.
        if accepts.wait_for(|accepts| *accepts).await.is_err() {
            return std::future::pending().await;
        }
        let accepted = tokio::select! {
            biased;
            Ok(()) = accepts.changed() => continue,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                backoff.succeeded();
                let permit = limiter.admit().await;
                serve_connection(stream.into(), permit, context.clone());
            }
            Err(error) => {
                log.log(
                    |suppressed| tracing::warn!(%error, suppressed, "accepting a client failed"),
                );
                backoff.failed(context.clock()).await;
            }
        }
    }
}
