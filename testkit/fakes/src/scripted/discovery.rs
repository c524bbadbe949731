//! A discovery service with an endpoint list that the test sets. Panics if a test has failed.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use super::backend::ok;
use super::message::read_message;
use super::wait::wait_until;

/// How long a watch waits for a change before the service responds with an empty update.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// A discovery service on a loopback port, with a thread for each connection.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<SharedState>,
    /// The request lines of all watches, in the order of their arrival.
    pub watch_requests: Arc<Mutex<Vec<String>>>,
}

struct SharedState {
    snapshot: Mutex<Snapshot>,
    changed: Condvar,
}

/// The current revision and the body of the response to watches from other revisions.
struct Snapshot {
    revision: u64,
    body: String,
}

impl Discovery {
    /// Starts a service with this endpoint list as revision 1.
    pub fn new(targets: Value) -> Self {
        Self::on_listener(TcpListener::bind("127.0.0.1:0").unwrap(), targets)
    }

    /// Starts a service on an existing listener, to which clients may have connected already.
    #[expect(clippy::needless_pass_by_value, reason = "callers hand the value over")]
    pub fn on_listener(listener: TcpListener, targets: Value) -> Self {
        let snapshot = Snapshot {
            revision: 1,
            body: endpoint_list(1, &targets),
        };
        let discovery = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::new(SharedState {
                snapshot: Mutex::new(snapshot),
                changed: Condvar::new(),
            }),
            watch_requests: Arc::default(),
        };
        let service = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                thread::spawn(move || service.serve_connection(stream));
            }
        });
        discovery
    }

    fn serve_connection(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(message) = read_message(&mut reader) {
            let known_revision = message
                .start_line
                .split("from=")
                .nth(1)
                .and_then(|text| text.split('&').next()?.parse().ok());
            self.watch_requests.lock().unwrap().push(message.start_line);
            let body = self.wait_for_change(known_revision);
            if writer.write_all(ok(&body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The body of the response to a watch: the set body as soon as the revision differs from the known one, or an
    /// empty update if that does not happen within the watch timeout.
    fn wait_for_change(&self, known_revision: Option<u64>) -> String {
        let snapshot = self.state.snapshot.lock().unwrap();
        let is_known = |snapshot: &mut Snapshot| Some(snapshot.revision) == known_revision;
        let (mut snapshot, _) = self
            .state
            .changed
            .wait_timeout_while(snapshot, WATCH_TIMEOUT, is_known)
            .unwrap();
        if is_known(&mut snapshot) {
            format!(
                r#"{{"rev":{},"all":false,"targets":[]}}"#,
                snapshot.revision
            )
        } else {
            snapshot.body.clone()
        }
    }

    /// Replaces the endpoint list under the next revision; watches get the complete list.
    #[expect(clippy::needless_pass_by_value, reason = "callers hand the value over")]
    pub fn set_endpoints(&self, targets: Value) {
        let revision = self.revision() + 1;
        self.set_response(revision, endpoint_list(revision, &targets));
    }

    /// Sets the body of the next responses, which may be an invalid endpoint list.
    pub fn set_response(&self, revision: u64, body: String) {
        *self.state.snapshot.lock().unwrap() = Snapshot { revision, body };
        self.state.changed.notify_all();
    }

    /// Waits for a watch from this revision: the node has then applied the revision.
    pub fn wait_for_watch_from(&self, revision: u64) {
        let parameter = format!("from={revision}&");
        wait_until("the node watches from the revision", || {
            self.watch_requests
                .lock()
                .unwrap()
                .iter()
                .any(|start_line| start_line.contains(&parameter))
        });
    }

    pub fn revision(&self) -> u64 {
        self.state.snapshot.lock().unwrap().revision
    }
}

fn endpoint_list(revision: u64, targets: &Value) -> String {
    json!({"rev": revision, "all": true, "targets": targets}).to_string()
}
