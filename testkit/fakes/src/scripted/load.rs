//! A steady load of clients on a node, each with a connection that it reuses. Panics where a test has failed.

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
    /// The response's status; none where the connection was closed without a response.
    pub status: Option<u16>,
}

impl LoadResult {
    /// Whether the request was served with status 200.
    pub fn is_ok(&self) -> bool {
        self.status == Some(200)
    }
}

/// Returns the text of the request with this id.
pub type RequestText = fn(id: &str) -> String;

/// Clients that send one request after the other until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    results: Arc<Mutex<Vec<LoadResult>>>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts this many clients; each sends a request once in `period`. `name` begins the ids of the requests.
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
            // The clients start one after the other, so that their requests are spread over the period.
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

    /// Waits for the last responses, and returns how all requests ended.
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

/// Sends one request and returns the response's status. HTTP lets a node close an idle connection at any time, so a
/// reused connection that gives no response is replaced once.
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
