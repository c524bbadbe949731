//! A steady load of clients on a node, each with a connection that it keeps. Panics where a test has failed.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::Client;

/// How a request ended: the answer's status, or none where its connection ended with no answer.
pub type LoadResult = (String, Option<u16>);

/// The text of the request with this number.
pub type RequestText = fn(id: &str) -> String;

/// Clients that ask one thing after the other until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    results: Arc<Mutex<Vec<LoadResult>>>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// So many clients, each asking once in `every`. `name` begins the ids of their requests.
    pub fn start(
        at: SocketAddr,
        name: &str,
        clients: usize,
        every: Duration,
        text: RequestText,
    ) -> Self {
        let (stop, results) = (Arc::<AtomicBool>::default(), Arc::default());
        let clients = (0..clients).map(|number| {
            let (stop, results) = (Arc::clone(&stop), Arc::clone(&results));
            let name = format!("{name}-{number}");
            // Not all in step.
            let offset = every * u32::try_from(number).unwrap() / u32::try_from(clients).unwrap();
            thread::spawn(move || {
                thread::sleep(offset);
                ask_on(at, &name, every, text, &stop, &results);
            })
        });
        let clients = clients.collect();
        Self {
            stop,
            results,
            clients,
        }
    }

    /// Waits for the last answers, and returns how all requests ended.
    #[must_use]
    pub fn stop(self) -> Vec<LoadResult> {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.join().unwrap();
        }
        std::mem::take(&mut *self.results.lock().unwrap())
    }
}

fn ask_on(
    at: SocketAddr,
    name: &str,
    every: Duration,
    text: RequestText,
    stop: &AtomicBool,
    results: &Mutex<Vec<LoadResult>>,
) {
    let mut kept: Option<Client> = None;
    let mut next = Instant::now();
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{name}-{number}");
        let status = ask(at, &mut kept, &text(&id));
        results.lock().unwrap().push((id, status));
        next += every;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// One request. A connection that the node has closed between requests is replaced once, as the protocol says.
fn ask(at: SocketAddr, kept: &mut Option<Client>, text: &str) -> Option<u16> {
    let reused = kept.take().filter(|client| !client.has_ended());
    let was_reused = reused.is_some();
    let mut client = reused.unwrap_or_else(|| Client::to(at));
    let mut answer = client.try_ask(text);
    if answer.is_none() && was_reused {
        client = Client::to(at);
        answer = client.try_ask(text);
    }
    let answer = answer?;
    if answer.value("connection").is_none() {
        *kept = Some(client);
    }
    Some(answer.status())
}
