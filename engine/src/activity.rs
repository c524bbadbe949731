//! What a stepped clock has to know of the thread's work: whether a task has been polled, how many bytes have gone
//! through its sockets, how many connections have ended and how many are being made. Plain counters; nothing is
//! decided by them.

use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::task::JoinHandle;

thread_local! {
    static POLLS: Cell<u64> = const { Cell::new(0) };
    static READ: Cell<u64> = const { Cell::new(0) };
    static WRITTEN: Cell<u64> = const { Cell::new(0) };
    static ENDED: Cell<u64> = const { Cell::new(0) };
    static CONNECTING: Cell<u64> = const { Cell::new(0) };
}

/// What this thread's tasks have done since it began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Activity {
    /// Polls of tasks started by [`spawn`].
    pub polls: u64,
    /// Bytes read from sockets.
    pub read: u64,
    /// Bytes written to sockets.
    pub written: u64,
    /// Connections that have ended, from whichever side.
    pub ended: u64,
    /// Connections that are being made.
    pub connecting: u64,
}

/// The counters of this thread.
pub fn so_far() -> Activity {
    Activity {
        polls: POLLS.get(),
        read: READ.get(),
        written: WRITTEN.get(),
        ended: ENDED.get(),
        connecting: CONNECTING.get(),
    }
}

/// Counts bytes read from a socket.
pub fn read(bytes: usize) {
    READ.set(READ.get().wrapping_add(bytes as u64));
}

/// Counts bytes written to a socket.
pub fn written(bytes: usize) {
    WRITTEN.set(WRITTEN.get().wrapping_add(bytes as u64));
}

/// A connection whose end is counted: once, when it is seen or when this is dropped.
#[derive(Debug, Default)]
pub struct Connection {
    over: bool,
}

impl Connection {
    /// It has ended.
    pub fn over(&mut self) {
        if !std::mem::replace(&mut self.over, true) {
            ENDED.set(ENDED.get().wrapping_add(1));
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.over();
    }
}

/// One more connection is being made, until this is dropped.
struct Connecting;

impl Drop for Connecting {
    fn drop(&mut self) {
        CONNECTING.set(CONNECTING.get().saturating_sub(1));
    }
}

/// Makes a connection, counted while it takes.
pub async fn connecting<F: Future>(connect: F) -> F::Output {
    CONNECTING.set(CONNECTING.get() + 1);
    let _connecting = Connecting;
    connect.await
}

pin_project_lite::pin_project! {
    struct Counted<F> {
        #[pin]
        task: F,
    }
}

impl<F: Future> Future for Counted<F> {
    type Output = F::Output;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        POLLS.set(POLLS.get().wrapping_add(1));
        self.project().task.poll(cx)
    }
}

/// Starts a task on this thread whose polls are counted. Every task of the node is started here.
pub fn spawn<F: Future + 'static>(task: F) -> JoinHandle<F::Output> {
    tokio::task::spawn_local(Counted { task })
}
