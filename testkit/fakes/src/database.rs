//! A database, as far as a pooling node and its clients' drivers notice: the PostgreSQL protocol, transactions, a small
//! SQL over tables in memory, and bad days. A thread each connection.
//!
//! It speaks: CREATE/DROP/TRUNCATE TABLE, INSERT, SELECT from one table or generate_series, UPDATE, DELETE, RETURNING,
//! ON CONFLICT, BEGIN to ROLLBACK with savepoints, SET, SHOW, RESET, DISCARD, PREPARE, cursors, COPY in text, LISTEN and
//! NOTIFY, advisory locks, pg_sleep and the functions that drivers call first. No joins, no subqueries, no GROUP BY.

mod catalogue;
mod control;
mod copy;
mod describe;
mod expr;
mod faults;
mod functions;
mod numeric;
mod query;
mod session;
mod storage;
mod value;
mod wire;

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use badgerpost_postgres_session::scram::{self, Verifier};

pub use faults::Bad;
use storage::Store;
pub use value::{Type, Value};
pub use wire::{Backend, BackendEnded};

/// No message of a client is longer.
const MOST: usize = 8 * 1024 * 1024;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;

/// A statement that can't be run: its SQLSTATE, and what is said of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal(pub &'static str, pub String);

/// Who waits for what was notified: from whom, on which channel, what.
type Notices = BTreeMap<u64, VecDeque<(u64, String, String)>>;

struct Connection {
    stream: TcpStream,
    cancelled: Arc<AtomicBool>,
}

struct Shared {
    store: Mutex<Store>,
    /// Connections that stand, by number.
    open: Mutex<BTreeMap<u64, Connection>>,
    /// Advisory locks: whose, and how often taken.
    advisory: Mutex<BTreeMap<String, (u64, u32)>>,
    notices: Mutex<Notices>,
    version: Mutex<String>,
    /// Who may log in, by SCRAM; anybody while it is empty.
    users: Mutex<BTreeMap<String, Verifier>>,
    up: AtomicBool,
    /// It takes connections and says nothing on any.
    paused: AtomicBool,
    most_connections: AtomicU64,
    connections: AtomicU64,
    logins: AtomicU64,
    statements: AtomicU64,
    begun: AtomicU64,
    /// The text that something goes wrong at, and what.
    bad: Mutex<Option<(String, Bad)>>,
    cancelled: AtomicU32,
    /// Signalled when a transaction ends.
    transactions: (Mutex<()>, Condvar),
}

/// A stand-in database on a loopback port.
pub struct Database {
    /// Where it listens.
    pub at: SocketAddr,
    shared: Arc<Shared>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Database {
    /// Starts one.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let shared = Arc::new(Shared::new());
        let served = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                let serve = move || {
                    let number = served.connections.fetch_add(1, Ordering::SeqCst) + 1;
                    let _ = serve(&served, stream, number);
                };
                let _ = thread::Builder::new().stack_size(512 * 1024).spawn(serve);
            }
        });
        Ok(Self { at, shared })
    }

    /// A connection of one without any socket: messages in, bytes out. `store` keeps one database for several.
    pub fn backend(store: &Offline) -> Backend {
        let number = store.0.connections.fetch_add(1, Ordering::SeqCst) + 1;
        let mut backend = Backend::new(store.0.clone(), number);
        backend.greet();
        backend.take_out();
        backend
    }

    /// Its process dies: all connections are cut, and new ones too, until it is up again. What is committed stays.
    pub fn kill(&self) {
        self.shared.kill();
    }

    /// It takes connections again.
    pub fn revive(&self) {
        self.shared.up.store(true, Ordering::SeqCst);
    }

    /// It takes what comes and says nothing, until it is let go on.
    pub fn pause(&self, paused: bool) {
        self.shared.paused.store(paused, Ordering::SeqCst);
        self.shared.ended();
    }

    /// Something goes wrong, once, at the next statement that holds this text.
    pub fn set_bad(&self, text: &str, bad: Bad) {
        *lock(&self.shared.bad) = Some((text.to_owned(), bad));
    }

    /// Nothing goes wrong any more.
    pub fn clear_bad(&self) {
        *lock(&self.shared.bad) = None;
    }

    /// From now on only these may log in, and have to show it.
    pub fn set_user(&self, name: &str, password: &str) {
        let verifier = Verifier::from_password(password, format!("salt of {name}").as_bytes());
        lock(&self.shared.users).insert(name.to_owned(), verifier);
    }

    /// What connections made from now on are told of its version.
    pub fn set_version(&self, version: &str) {
        version.clone_into(&mut lock(&self.shared.version));
    }

    /// It refuses more connections than this together, as a server that is full.
    pub fn set_most_connections(&self, most: u64) {
        self.shared.most_connections.store(most, Ordering::SeqCst);
    }

    /// The rows of a table that are committed.
    pub fn rows(&self, table: &str) -> Vec<Vec<Value>> {
        let store = lock(&self.shared.store);
        let rows = store.rows(table, None, None).unwrap_or_default();
        rows.into_iter().map(|(_, row)| row.to_vec()).collect()
    }

    /// Whether it takes connections.
    pub fn is_up(&self) -> bool {
        self.shared.up.load(Ordering::SeqCst)
    }

    /// Transactions that were begun so far, those of one statement too.
    pub fn begun(&self) -> u64 {
        self.shared.begun.load(Ordering::SeqCst)
    }

    /// Connections that it has been asked for so far.
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::SeqCst)
    }

    /// Connections that have logged in so far.
    pub fn logins(&self) -> u64 {
        self.shared.logins.load(Ordering::SeqCst)
    }

    /// Connections that stand now.
    pub fn open(&self) -> usize {
        lock(&self.shared.open).len()
    }

    /// Statements that it has begun so far.
    pub fn statements(&self) -> u64 {
        self.shared.statements.load(Ordering::SeqCst)
    }

    /// Transactions that were committed so far and had changed something.
    pub fn commits(&self) -> u64 {
        lock(&self.shared.store).committed
    }

    /// Cancels that it has been asked for so far.
    pub fn cancels(&self) -> u32 {
        self.shared.cancelled.load(Ordering::SeqCst)
    }
}

/// A database without sockets, for tests of what speaks to one.
pub struct Offline(Arc<Shared>);

impl Default for Offline {
    fn default() -> Self {
        Self(Arc::new(Shared::new()))
    }
}

impl Offline {
    /// The rows of a table that are committed.
    pub fn rows(&self, table: &str) -> Vec<Vec<Value>> {
        let store = lock(&self.0.store);
        let rows = store.rows(table, None, None).unwrap_or_default();
        rows.into_iter().map(|(_, row)| row.to_vec()).collect()
    }
}

impl Shared {
    fn new() -> Self {
        Self {
            store: Mutex::default(),
            open: Mutex::default(),
            advisory: Mutex::default(),
            notices: Mutex::default(),
            version: Mutex::new("16.4".to_owned()),
            users: Mutex::default(),
            up: AtomicBool::new(true),
            paused: AtomicBool::new(false),
            most_connections: AtomicU64::new(u64::MAX),
            connections: AtomicU64::new(0),
            logins: AtomicU64::new(0),
            statements: AtomicU64::new(0),
            begun: AtomicU64::new(0),
            bad: Mutex::default(),
            cancelled: AtomicU32::new(0),
            transactions: (Mutex::default(), Condvar::new()),
        }
    }

    /// The secret of a connection's cancel key.
    fn secret(&self, number: u64) -> u32 {
        (number as u32).wrapping_mul(0x9e37_79b9) ^ 0x5bd1_e995
    }

    fn cut(&self, number: u64) {
        if let Some(connection) = lock(&self.open).remove(&number) {
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    fn kill(&self) {
        {
            // No commit is under way then.
            let _store = lock(&self.store);
            self.up.store(false, Ordering::SeqCst);
        }
        let numbers: Vec<u64> = lock(&self.open).keys().copied().collect();
        numbers.into_iter().for_each(|number| self.cut(number));
        self.ended();
    }

    /// What goes wrong at this text, if anything.
    fn bad(&self, sql: &str) -> Option<Bad> {
        let mut bad = lock(&self.bad);
        let hit = bad
            .as_ref()
            .is_some_and(|(text, _)| sql.contains(text.as_str()));
        if hit {
            bad.take().map(|(_, bad)| bad)
        } else {
            None
        }
    }

    /// Says nothing until the server is killed.
    fn hang(&self) {
        while self.up.load(Ordering::SeqCst) {
            self.pause(Duration::from_millis(20));
        }
    }

    /// Waits a little, or until a transaction ends.
    fn pause(&self, span: Duration) {
        let guard = lock(&self.transactions.0);
        drop(
            self.transactions
                .1
                .wait_timeout(guard, span)
                .unwrap_or_else(PoisonError::into_inner),
        );
    }

    /// A transaction has ended: whoever waits looks again.
    fn ended(&self) {
        self.transactions.1.notify_all();
    }

    fn notify(&self, from: u64, channel: &str, payload: &str) {
        let open: Vec<u64> = lock(&self.open).keys().copied().collect();
        let mut notices = lock(&self.notices);
        for number in open {
            let waiting = notices.entry(number).or_default();
            if waiting.len() < 1000 {
                waiting.push_back((from, channel.to_owned(), payload.to_owned()));
            }
        }
    }

    fn take_notices(&self, number: u64, listens: &[String]) -> Vec<(u64, String, String)> {
        let waiting = lock(&self.notices).remove(&number).unwrap_or_default();
        waiting
            .into_iter()
            .filter(|(_, channel, _)| listens.contains(channel))
            .collect()
    }

    /// Writes to a connection at once; whether it still stands.
    fn write(&self, number: u64, bytes: &[u8]) -> bool {
        let stream = lock(&self.open)
            .get(&number)
            .and_then(|connection| connection.stream.try_clone().ok());
        stream.is_some_and(|mut stream| stream.write_all(bytes).is_ok())
    }
}

/// Reads a connection's messages from its socket, several at a time.
struct Reader {
    stream: TcpStream,
    bytes: Vec<u8>,
    from: usize,
}

impl Reader {
    fn read(&mut self, length: usize) -> io::Result<&[u8]> {
        if length > MOST {
            return Err(io::ErrorKind::InvalidData.into());
        }
        while self.bytes.len() - self.from < length {
            self.bytes.drain(..self.from);
            self.from = 0;
            let mut piece = [0; 16 * 1024];
            let read = self.stream.read(&mut piece)?;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.bytes.extend_from_slice(&piece[..read]);
        }
        self.from += length;
        Ok(&self.bytes[self.from - length..self.from])
    }

    fn word(&mut self) -> io::Result<u32> {
        self.read(4)
            .map(|four| u32::from_be_bytes([four[0], four[1], four[2], four[3]]))
    }

    fn message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        let tag = self.read(1)?[0];
        let length = self.word()? as usize;
        Ok((tag, self.read(length.saturating_sub(4))?.to_vec()))
    }
}

fn serve(shared: &Arc<Shared>, mut stream: TcpStream, number: u64) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut backend = Backend::new(shared.clone(), number);
    let connection = Connection {
        stream: stream.try_clone()?,
        cancelled: backend.session.cancelled.clone(),
    };
    lock(&shared.open).insert(number, connection);
    if !shared.up.load(Ordering::SeqCst) {
        shared.cut(number);
        return Ok(());
    }
    let mut reader = Reader {
        stream: stream.try_clone()?,
        bytes: Vec::new(),
        from: 0,
    };
    let result = converse(shared, &mut backend, &mut reader, &mut stream);
    // Whatever ended it, what was not committed is gone with it.
    backend.session.close();
    shared.cut(number);
    result
}

fn converse(
    shared: &Arc<Shared>,
    backend: &mut Backend,
    reader: &mut Reader,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let parameters = loop {
        let length = reader.word()? as usize;
        let code = reader.word()?;
        match code {
            SSL_REQUEST | GSS_REQUEST => stream.write_all(b"N")?,
            CANCEL_REQUEST => {
                let (number, secret) = (u64::from(reader.word()?), reader.word()?);
                shared.cancelled.fetch_add(1, Ordering::SeqCst);
                if let Some(connection) = lock(&shared.open).get(&number)
                    && secret == shared.secret(number)
                {
                    connection.cancelled.store(true, Ordering::SeqCst);
                    shared.ended();
                }
                return Ok(());
            }
            _ => break wire::read_parameters(reader.read(length.saturating_sub(8))?),
        }
    };
    while shared.paused.load(Ordering::SeqCst) && shared.up.load(Ordering::SeqCst) {
        shared.pause(Duration::from_millis(20));
    }
    let fatal = |backend: &mut Backend, stream: &mut TcpStream, refusal: &Refusal| {
        backend.refuse("FATAL", refusal);
        stream.write_all(&backend.take_out())
    };
    let user = parameters.get("user").cloned().unwrap_or_default();
    if !lock(&shared.users).is_empty() && !log_in(shared, backend, reader, stream, &user)? {
        let refusal = Refusal(
            "28P01",
            format!("password authentication failed for user \"{user}\""),
        );
        return fatal(backend, stream, &refusal);
    }
    let logged_in = lock(&shared.open).len() as u64;
    if logged_in > shared.most_connections.load(Ordering::SeqCst) {
        return fatal(
            backend,
            stream,
            &Refusal("53300", "sorry, too many clients already".to_owned()),
        );
    }
    if let Err(refusal) = backend.session.start(&parameters) {
        return fatal(backend, stream, &refusal);
    }
    shared.logins.fetch_add(1, Ordering::SeqCst);
    backend.greet();
    stream.write_all(&backend.take_out())?;
    loop {
        let (tag, body) = reader.message()?;
        while shared.paused.load(Ordering::SeqCst) && shared.up.load(Ordering::SeqCst) {
            shared.pause(Duration::from_millis(20));
        }
        let ended = backend.take(tag, &body);
        if backend.wants_out() || ended.is_err() {
            stream.write_all(&backend.take_out())?;
        }
        if ended.is_err() {
            return Ok(());
        }
    }
}

/// The exchange by which a client shows that it knows its password.
fn log_in(
    shared: &Arc<Shared>,
    backend: &mut Backend,
    reader: &mut Reader,
    stream: &mut TcpStream,
    user: &str,
) -> io::Result<bool> {
    let known = lock(&shared.users).get(user).cloned();
    let verifier = known.unwrap_or_else(|| Verifier::unknown(b"a stand-in", user));
    let request = |kind: u32, rest: &[u8]| [&kind.to_be_bytes(), rest].concat();
    backend.put(
        b'R',
        &request(10, &[scram::MECHANISM.as_bytes(), b"\0\0"].concat()),
    );
    stream.write_all(&backend.take_out())?;
    let (_, first) = reader.message()?;
    let end = first.iter().position(|byte| *byte == 0).unwrap_or(0);
    let mechanism = String::from_utf8_lossy(&first[..end]).into_owned();
    let message = first.get(end + 5..).unwrap_or_default();
    let nonce = format!("stand-in-{}", shared.connections.load(Ordering::SeqCst));
    let Ok(started) = scram::begin(verifier, &mechanism, message, None, &nonce) else {
        return Ok(false);
    };
    backend.put(b'R', &request(11, started.server_first.as_bytes()));
    stream.write_all(&backend.take_out())?;
    let (_, last) = reader.message()?;
    let Ok(answer) = started.exchange.finish(&last) else {
        return Ok(false);
    };
    backend.put(b'R', &request(12, answer.as_bytes()));
    Ok(true)
}
