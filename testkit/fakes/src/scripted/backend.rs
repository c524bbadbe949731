//! An HTTP backend that executes a plan of the test for each request. Panics if a test has failed.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use super::latch::Latch;
use super::message::{Message, read_message};
use super::wait::TEST_TIMEOUT;

/// How long a backend waits between writing a response and resetting the connection, so that the response arrives.
const DELIVERY_TIME: Duration = Duration::from_millis(20);

/// What a backend does with one request.
#[derive(Clone)]
pub enum ResponsePlan {
    /// Writes the response and keeps the connection open.
    Respond(String),
    /// Writes the response, closes the connection and waits until the node has closed it too.
    RespondAndClose(String),
    /// Writes the response, waits until it has arrived, and resets the connection.
    RespondAndReset(String),
    /// Writes the response, followed by further bytes in the same write.
    RespondWithExtraBytes { response: String, extra: String },
    /// Writes the first part at once, and the second part after the latch is released.
    RespondInTwoParts {
        first: String,
        latch: Arc<Latch>,
        second: String,
    },
    /// Writes the parts, each after its pause. Then closes the connection if `closes`, else keeps the connection open.
    RespondInParts { parts: Vec<TimedPart>, closes: bool },
    /// Waits for the latch, then writes the response.
    RespondAfter(Arc<Latch>, String),
    /// Waits for the latch, then closes the connection without a response.
    CloseAfter(Arc<Latch>),
    /// Never responds and keeps the connection open.
    Hang,
}

/// A part of a response.
#[derive(Clone)]
pub struct TimedPart {
    /// The time between the previous part and this one.
    pub pause: Duration,
    pub text: String,
}

/// Whether the connection can serve another request.
#[derive(PartialEq, Eq)]
enum ConnectionState {
    KeptAlive,
    Closed,
}

/// The text of a response with status 200.
pub fn ok(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The text of a response with this status and these headers, and without a body. `headers` are complete lines.
pub fn status(code: u16, headers: &str) -> String {
    format!("HTTP/1.1 {code} X\r\n{headers}Content-Length: 0\r\n\r\n")
}

/// A backend on a free port, with a thread for each connection.
pub struct Backend {
    pub address: SocketAddr,
    /// Requests in the order in which they were read.
    pub requests: Receiver<Message>,
    /// The number of connections accepted so far.
    pub connections: Arc<AtomicU32>,
    /// The number of connections that the node has closed after [`ResponsePlan::RespondAndClose`].
    pub closed_by_node: Arc<AtomicU32>,
}

impl Backend {
    /// Starts a backend that calls `plan` for each request and executes the returned plan.
    pub fn new(plan: impl Fn(&Message) -> ResponsePlan + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, requests) = channel();
        let connections = Arc::new(AtomicU32::new(0));
        let closed_by_node = Arc::new(AtomicU32::new(0));
        let (plan, accepted, closed) =
            (Arc::new(plan), connections.clone(), closed_by_node.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepted.fetch_add(1, Ordering::SeqCst);
                let (plan, sender, closed) = (plan.clone(), sender.clone(), closed.clone());
                thread::spawn(move || serve_connection(stream, &*plan, &sender, &closed));
            }
        });
        Self {
            address,
            requests,
            connections,
            closed_by_node,
        }
    }

    /// Waits for the next request.
    #[expect(clippy::expect_used, reason = "a test fails here")]
    pub fn next_request(&self) -> Message {
        self.requests
            .recv_timeout(TEST_TIMEOUT)
            .expect("a request should reach the backend within the test timeout")
    }

    /// Takes the requests that have been read since the last call and returns their number.
    pub fn take_request_count(&self) -> usize {
        self.requests.try_iter().count()
    }
}

fn serve_connection(
    stream: TcpStream,
    plan: &dyn Fn(&Message) -> ResponsePlan,
    requests: &Sender<Message>,
    closed_by_node: &AtomicU32,
) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader) {
        let plan = plan(&message);
        if requests.send(message).is_err() {
            return;
        }
        match execute(plan, &mut writer, &mut reader, closed_by_node) {
            Ok(ConnectionState::KeptAlive) => {}
            Ok(ConnectionState::Closed) | Err(_) => return,
        }
    }
}

fn execute(
    plan: ResponsePlan,
    writer: &mut TcpStream,
    reader: &mut BufReader<TcpStream>,
    closed_by_node: &AtomicU32,
) -> io::Result<ConnectionState> {
    match plan {
        ResponsePlan::Respond(response) => writer.write_all(response.as_bytes())?,
        ResponsePlan::RespondAfter(latch, response) => {
            latch.wait();
            writer.write_all(response.as_bytes())?;
        }
        ResponsePlan::CloseAfter(latch) => {
            latch.wait();
            return Ok(ConnectionState::Closed);
        }
        ResponsePlan::RespondAndClose(response) => {
            let _ = writer.write_all(response.as_bytes());
            let _ = writer.shutdown(Shutdown::Write);
            let _ = io::copy(reader, &mut io::sink());
            closed_by_node.fetch_add(1, Ordering::SeqCst);
            return Ok(ConnectionState::Closed);
        }
        ResponsePlan::RespondAndReset(response) => {
            let _ = writer.write_all(response.as_bytes());
            thread::sleep(DELIVERY_TIME);
            reset_on_drop(writer);
            return Ok(ConnectionState::Closed);
        }
        ResponsePlan::RespondWithExtraBytes { response, extra } => {
            writer.write_all((response + &extra).as_bytes())?;
        }
        ResponsePlan::RespondInTwoParts {
            first,
            latch,
            second,
        } => {
            let written = writer.write_all(first.as_bytes());
            latch.wait();
            written?;
            writer.write_all(second.as_bytes())?;
        }
        ResponsePlan::RespondInParts { parts, closes } => {
            for part in parts {
                thread::sleep(part.pause);
                writer.write_all(part.text.as_bytes())?;
            }
            if closes {
                return Ok(ConnectionState::Closed);
            }
        }
        ResponsePlan::Hang => {}
    }
    Ok(ConnectionState::KeptAlive)
}

/// Makes the system reset the connection when the last handle of the socket is dropped.
fn reset_on_drop(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
