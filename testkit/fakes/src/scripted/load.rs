//! A steady load of clients on a node, each of which reuses its connection. Panics if a test has failed.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::Client;

/// How one request of a load ended.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// The request's id.
    pub id: String,
    /// The response's status; `None` if the connection was closed without a response.
    pub status: Option<u16>,
}

impl LoadResult {
    /// Whether the request was served with status 200.
    pub fn is_ok(&self) -> bool {
        self.status == Some(200)
    }
}

/// Builds the text of the request with this id.
pub type RequestText = fn(id: &str) -> String;

/// Running clients, each of which sends one request after the other until the load is stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    results: Arc<Mutex<Vec<LoadResult>>>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts clients that each send one request per `period`. The ids of the requests start with `name`.
    pub fn start(
        address: SocketAddr,
        name: &str,
        clients: usize,
        period: Duration,
        text: RequestText,
    ) -> Self {
        let (stop, results) = (Arc::<AtomicBool>::default(), Arc::default());
        let clients = (0..clients).map(|number| {
            let (stop, results) = (Arc::clone(&stop), Arc::clone(&results));
            let name = format!("{name}-{number}");
            // Staggered starts spread the requests over the period.
            let offset = period * u32::try_from(number).unwrap() / u32::try_from(clients).unwrap();
            thread::spawn(move || {
                thread::sleep(offset);
                send_requests(address, &name, period, text, &stop, &results);
            })
        });
        let clients = clients.collect();
        Self {
            stop,
            results,
            clients,
        }
    }

    /// Stops the clients, waits for their last responses and returns the results of all requests.
    #[must_use]
    pub fn stop(self) -> Vec<LoadResult> {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.join().unwrap();
        }
        std::mem::take(&mut *self.results.lock().unwrap())
    }
}

fn send_requests(
    address: SocketAddr,
    name: &str,
    period: Duration,
    text: RequestText,
    stop: &AtomicBool,
    results: &Mutex<Vec<LoadResult>>,
) {
    let mut idle: Option<Client> = None;
    let mut next = Instant::now();
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{name}-{number}");
        let status = send_request(address, &mut idle, &text(&id));
        results.lock().unwrap().push(LoadResult { id, status });
        next += period;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// Sends one request and returns the response's status. A node may close an idle connection at any time, so a request
/// without a response on a reused connection is sent once more on a new connection.
fn send_request(address: SocketAddr, idle: &mut Option<Client>, text: &str) -> Option<u16> {
    let reused = idle.take().filter(|client| !client.has_ended());
    let was_reused = reused.is_some();
    let mut client = reused.unwrap_or_else(|| Client::connect(address));
    let mut response = client.try_request(text);
    if response.is_none() && was_reused {
        client = Client::connect(address);
        response = client.try_request(text);
    }
    let response = response?;
    if response.value("connection").is_none() {
        *idle = Some(client);
    }
    Some(response.status())
}
