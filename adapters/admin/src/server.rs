//! The console's thread, which accepts and serves connections.

use std::convert::Infallible;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_engine::TcpStream;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::task::{LocalSet, spawn_local};

use crate::api::AdminApi;
use crate::connections::{ConnectionSlot, Connections};

/// The time after which an open connection is closed. Clients of the console wait for a response for up to one second.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay before accepting again after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The maximum length of a request's head in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

impl AdminApi {
    /// Starts a thread that serves the console until the process exits.
    ///
    /// # Errors
    ///
    /// The thread or its runtime can't be started.
    pub fn start(self, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let serve = move || {
            LocalSet::new().block_on(&runtime, async {
                match tokio::net::TcpListener::from_std(listener) {
                    Ok(listener) => self.serve(listener).await,
                    Err(error) => {
                        tracing::error!(%error, "opening the console listener failed; the console is unavailable");
                    }
                }
            });
        };
        std::thread::Builder::new()
            .name("console".to_owned())
            .spawn(serve)?;
        Ok(())
    }

    /// Accepts connections. Does not return.
    async fn serve(self, listener: tokio::net::TcpListener) {
        let api = Rc::new(self);
        let connections = Rc::<Connections>::default();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let slot = Connections::open(&connections);
                    spawn_local(serve_connection(api.clone(), stream.into(), slot));
                }
                Err(error) => {
                    tracing::warn!(%error, "accepting a console connection failed; trying again");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Serves one connection until the request is answered, the connection is evicted or the timeout expires.
async fn serve_connection(api: Rc<AdminApi>, stream: TcpStream, mut slot: ConnectionSlot) {
    tokio::select! {
        biased;
        () = answer_request(&api, stream) => {}
        () = slot.evicted() => {}
        () = tokio::time::sleep(CONNECTION_TIMEOUT) => {}
    }
}

async fn answer_request(api: &AdminApi, stream: TcpStream) {
    let service =
        service_fn(async |request: Request<Incoming>| Ok::<_, Infallible>(api.respond(&request)));
    let mut builder = http1::Builder::new();
    builder.keep_alive(false).max_buf_size(MAX_HEAD_BYTES);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        tracing::debug!(%error, "console connection failed");
    }
}
