//! Counts what this thread's tasks do, so that the control of a virtual clock can tell when the process is idle: task
//! polls, bytes through sockets, connections being established, connections ended. The counts decide nothing but how long
//! [`yield_to_ready_tasks`] waits.

use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::task::{JoinHandle, yield_now};

thread_local! {
    static POLLS: Cell<u64> = const { Cell::new(0) };
    static BYTES_READ: Cell<u64> = const { Cell::new(0) };
    static BYTES_WRITTEN: Cell<u64> = const { Cell::new(0) };
    static CONNECTIONS_ENDED: Cell<u64> = const { Cell::new(0) };
    static CONNECTIONS_PENDING: Cell<u64> = const { Cell::new(0) };
}

/// What this thread's tasks have done since the thread began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Activity {
    /// Polls of tasks started by [`spawn`].
    pub polls: u64,
    /// Bytes read from sockets.
    pub bytes_read: u64,
    /// Bytes written to sockets.
    pub bytes_written: u64,
    /// Connections that have ended, from either side.
    pub connections_ended: u64,
    /// Connections that are being established now.
    pub connections_pending: u64,
}

/// The counts of this thread.
pub fn snapshot() -> Activity {
    Activity {
        polls: POLLS.get(),
        bytes_read: BYTES_READ.get(),
        bytes_written: BYTES_WRITTEN.get(),
        connections_ended: CONNECTIONS_ENDED.get(),
        connections_pending: CONNECTIONS_PENDING.get(),
    }
}

/// Counts bytes read from a socket.
pub fn record_bytes_read(bytes: usize) {
    BYTES_READ.set(BYTES_READ.get().wrapping_add(bytes as u64));
}

/// Counts bytes written to a socket.
pub fn record_bytes_written(bytes: usize) {
    BYTES_WRITTEN.set(BYTES_WRITTEN.get().wrapping_add(bytes as u64));
}

/// A connection whose end is counted once: when it is seen, or when this is dropped.
#[derive(Debug, Default)]
pub struct ConnectionEndCounter {
    is_counted: bool,
}

impl ConnectionEndCounter {
    /// Counts the connection's end.
    pub fn mark_ended(&mut self) {
        if self.is_counted {
            return;
        }
        self.is_counted = true;
        CONNECTIONS_ENDED.set(CONNECTIONS_ENDED.get().wrapping_add(1));
    }
}

impl Drop for ConnectionEndCounter {
    fn drop(&mut self) {
        self.mark_ended();
    }
}

/// Counts a connection as being established until dropped.
struct ConnectingGuard;

impl ConnectingGuard {
    fn new() -> Self {
        CONNECTIONS_PENDING.set(CONNECTIONS_PENDING.get() + 1);
        Self
    }
}

impl Drop for ConnectingGuard {
    fn drop(&mut self) {
        CONNECTIONS_PENDING.set(CONNECTIONS_PENDING.get().saturating_sub(1));
    }
}

/// Awaits `connect`, which establishes a connection, and counts it as being established meanwhile.
pub async fn track_connecting<F: Future>(connect: F) -> F::Output {
    let _guard = ConnectingGuard::new();
    connect.await
}

pin_project_lite::pin_project! {
    /// A future whose polls are counted.
    struct CountedTask<F> {
        #[pin]
        task: F,
    }
}

impl<F: Future> Future for CountedTask<F> {
    type Output = F::Output;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        POLLS.set(POLLS.get().wrapping_add(1));
        self.project().task.poll(cx)
    }
}

/// Turns of the runtime that [`yield_to_ready_tasks`] waits for at least. What is read in one of them passes through two more tasks at
/// most: that of an attempt, and that of the client's connection.
const MIN_SETTLE_TURNS: u32 = 3;
/// Turns that it waits for at most, while more bytes arrive all the time.
const MAX_SETTLE_TURNS: u32 = 16;

/// Lets all tasks of this thread handle what has arrived by now: in each turn of the runtime sockets that have become
/// readable wake their tasks, and all tasks that are awake run.
pub async fn yield_to_ready_tasks() {
    let mut read_before = BYTES_READ.get();
    for turn in 1..=MAX_SETTLE_TURNS {
        yield_now().await;
        let read = BYTES_READ.get();
        if turn >= MIN_SETTLE_TURNS && read == read_before {
            return;
        }
        read_before = read;
    }
}

/// Starts a task on this thread, whose polls are counted. Every task of the process has to be started here.
pub fn spawn<F: Future + 'static>(task: F) -> JoinHandle<F::Output> {
    tokio::task::spawn_local(CountedTask { task })
}
