//! Counts the activity of this thread's tasks, so that the controller of a virtual clock can tell when the process is
//! idle: task polls, bytes read and written, connections being established, and connections ended. Apart from that, the
//! counts only affect how long [`yield_to_ready_tasks`] waits.

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

/// The activity of this thread's tasks since the thread started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Activity {
    /// Polls of tasks that were started with [`spawn`].
    pub polls: u64,
    /// Bytes read from sockets.
    pub bytes_read: u64,
    /// Bytes written to sockets.
    pub bytes_written: u64,
    /// Connections ended by either side.
    pub connections_ended: u64,
    /// Connections that are currently being established.
    pub connections_pending: u64,
}

/// The current counts of this thread.
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

/// Counts the end of a connection once: at [`mark_ended`](Self::mark_ended), or when this is dropped.
#[derive(Debug, Default)]
pub struct ConnectionEndCounter {
    is_counted: bool,
}

impl ConnectionEndCounter {
    /// Counts the end of the connection, unless it has been counted before.
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

/// Awaits `connect`, which establishes a connection, and counts the connection as being established in the meantime.
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

/// The minimum number of runtime turns that [`yield_to_ready_tasks`] waits for. Data that is read in one turn passes
/// through at most two more tasks: the task of the attempt and the task of the client connection.
const MIN_YIELD_TURNS: u32 = 3;
/// The maximum number of runtime turns that [`yield_to_ready_tasks`] waits for while more bytes keep arriving.
const MAX_YIELD_TURNS: u32 = 16;

/// Lets all tasks of this thread handle the data that has arrived. In each turn of the runtime, readable sockets wake
/// their tasks, and all woken tasks run.
pub async fn yield_to_ready_tasks() {
    let mut read_before = BYTES_READ.get();
    for turn in 1..=MAX_YIELD_TURNS {
        yield_now().await;
        let read = BYTES_READ.get();
        if turn >= MIN_YIELD_TURNS && read == read_before {
            return;
        }
        read_before = read;
    }
}

/// Starts a task on this thread and counts its polls. All tasks of the process must be started with this function.
pub fn spawn<F: Future + 'static>(task: F) -> JoinHandle<F::Output> {
    tokio::task::spawn_local(CountedTask { task })
}
