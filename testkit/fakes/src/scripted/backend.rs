//! A backend whose behaviour a test sets. Panics where a test has failed.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use super::message::{Message, read_message};
use super::wait::PATIENCE;

/// What a backend does with a request.
#[derive(Clone)]
pub enum Does {
    /// Writes these bytes and keeps the connection.
    Writes(String),
    /// Writes these bytes and closes.
    Ends(String),
    /// Writes these bytes, lets them arrive, and resets the connection.
    Resets(String),
    /// Writes these bytes, and in one go with them some more.
    Adds(String, String),
    /// Writes these bytes at once, and the others behind the gate.
    Then(String, Arc<Gate>, String),
    /// Says nothing and keeps the connection.
    Hangs,
    /// Waits for the gate and closes.
    Breaks(Arc<Gate>),
    /// Waits for the gate, then writes.
    Waits(Arc<Gate>, String),
}

pub fn ok(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn status(code: u16, headers: &str) -> String {
    format!("HTTP/1.1 {code} X\r\n{headers}Content-Length: 0\r\n\r\n")
}

/// Opens once.
#[derive(Default)]
pub struct Gate {
    open: Mutex<bool>,
    changed: Condvar,
}

impl Gate {
    pub fn open(&self) {
        *self.open.lock().unwrap() = true;
        self.changed.notify_all();
    }

    pub fn wait(&self) {
        let open = self.open.lock().unwrap();
        let (_open, timed_out) = self
            .changed
            .wait_timeout_while(open, PATIENCE, |open| !*open)
            .unwrap();
        assert!(!timed_out.timed_out(), "the gate never opened");
    }
}

/// A backend: what it gets can be received, what it does is set by the test.
pub struct Backend {
    pub at: SocketAddr,
    pub got: Receiver<Message>,
    pub connections: Arc<AtomicU32>,
    /// Connections that were ended here and that the node has closed in turn.
    pub closed: Arc<AtomicU32>,
}

impl Backend {
    pub fn new(does: impl Fn(&Message) -> Does + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let (send, got) = channel();
        let connections = Arc::new(AtomicU32::new(0));
        let closed = Arc::new(AtomicU32::new(0));
        let (does, counter, ended) = (Arc::new(does), connections.clone(), closed.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                counter.fetch_add(1, Ordering::SeqCst);
                let (does, send, ended) = (does.clone(), send.clone(), ended.clone());
                thread::spawn(move || attend(stream, &*does, &send, &ended));
            }
        });
        Self {
            at,
            got,
            connections,
            closed,
        }
    }

    #[expect(clippy::expect_used, reason = "a test fails here")]
    pub fn next(&self) -> Message {
        self.got
            .recv_timeout(PATIENCE)
            .expect("a request reaches the backend")
    }

    pub fn count(&self) -> usize {
        self.got.try_iter().count()
    }
}

fn attend(
    stream: TcpStream,
    does: &dyn Fn(&Message) -> Does,
    send: &Sender<Message>,
    ended: &AtomicU32,
) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader) {
        let next = does(&message);
        if send.send(message).is_err() {
            return;
        }
        let written = match next {
            Does::Writes(text) => writer.write_all(text.as_bytes()),
            Does::Waits(gate, text) => {
                gate.wait();
                writer.write_all(text.as_bytes())
            }
            Does::Breaks(gate) => return gate.wait(),
            Does::Ends(text) => {
                let _ = writer.write_all(text.as_bytes());
                let _ = writer.shutdown(Shutdown::Write);
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
                ended.fetch_add(1, Ordering::SeqCst);
                return;
            }
            Does::Resets(text) => {
                let _ = writer.write_all(text.as_bytes());
                thread::sleep(Duration::from_millis(20));
                return reset(&writer);
            }
            Does::Adds(text, more) => writer.write_all((text + &more).as_bytes()),
            Does::Then(first, gate, text) => {
                let written = writer.write_all(first.as_bytes());
                gate.wait();
                written.and_then(|()| writer.write_all(text.as_bytes()))
            }
            Does::Hangs => Ok(()),
        };
        if written.is_err() {
            return;
        }
    }
}

/// Has a connection end by a reset, once its last handle is dropped.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
