//! The discovery service with one list, and the answers to watches on it. Panics where a test has failed.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use super::backend::ok;
use super::message::read_message;
use super::wait::until;

/// Discovery: one list, and the answers to watches on it.
#[derive(Clone)]
pub struct Discovery {
    pub at: SocketAddr,
    state: Arc<(Mutex<(u64, String)>, Condvar)>,
    /// Watches that have been answered or are waiting, by the version they came from.
    pub calls: Arc<Mutex<Vec<String>>>,
}

impl Discovery {
    pub fn new(targets: Value) -> Self {
        Self::at(TcpListener::bind("127.0.0.1:0").unwrap(), targets)
    }

    /// One that begins to answer now, at a listener that has been there before.
    #[expect(clippy::needless_pass_by_value, reason = "callers hand the value over")]
    pub fn at(listener: TcpListener, targets: Value) -> Self {
        let discovery = Self {
            at: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new((1, list(1, &targets))), Condvar::new())),
            calls: Arc::default(),
        };
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.attend(stream));
            }
        });
        discovery
    }

    fn attend(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(message) = read_message(&mut reader) {
            self.calls.lock().unwrap().push(message.first.clone());
            let from = message
                .first
                .split("from=")
                .nth(1)
                .and_then(|t| t.split('&').next()?.parse().ok());
            let (lock, changed) = &*self.state;
            let state = lock.lock().unwrap();
            let seen = |state: &mut (u64, String)| Some(state.0) == from;
            let wait = Duration::from_secs(4);
            let (state, _) = changed.wait_timeout_while(state, wait, seen).unwrap();
            let text = if Some(state.0) == from {
                format!(r#"{{"rev":{},"all":false,"targets":[]}}"#, state.0)
            } else {
                state.1.clone()
            };
            drop(state);
            if writer.write_all(ok(&text).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Changes the list; watches get it whole.
    #[expect(clippy::needless_pass_by_value, reason = "callers hand the value over")]
    pub fn set(&self, targets: Value) {
        let rev = self.state.0.lock().unwrap().0 + 1;
        self.set_text(rev, list(rev, &targets));
    }

    /// What watches get next, whatever it is.
    pub fn set_text(&self, rev: u64, text: String) {
        *self.state.0.lock().unwrap() = (rev, text);
        self.state.1.notify_all();
    }

    /// Waits until a watch from this version has come: what that version held has been taken in.
    pub fn watched_from(&self, rev: u64) {
        let mark = format!("from={rev}&");
        until("the watch goes on", || {
            self.calls
                .lock()
                .unwrap()
                .iter()
                .any(|call| call.contains(&mark))
        });
    }

    pub fn rev(&self) -> u64 {
        self.state.0.lock().unwrap().0
    }
}

fn list(rev: u64, targets: &Value) -> String {
    json!({"rev": rev, "all": true, "targets": targets}).to_string()
}
