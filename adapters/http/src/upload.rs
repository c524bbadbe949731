//! Forwards request bodies from a client to a backend. The part of a body that arrived before the first attempt is
//! kept, so that an attempt can be retried as long as it has forwarded nothing beyond that part.
//!
//! The request of the latest attempt reads the body. If a backend responds before the body is complete, the reader is
//! suspended until the engine has decided whether the response is final:
//!
//! ```text
//! forwarded --> suspended --> forwarded    the response is final, and the backend may read the rest
//!     \             \-------> replaced     another attempt follows and forwards the body from the start
//!      \-------------------> discarded    no backend reads the rest, and the client connection discards it
//! ```

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use tokio::sync::Notify;

use badgerpost_balancer::Nanos;
use badgerpost_engine::{AttemptId, Clock};

use crate::HttpEngine;
use crate::forwarded_body::{BodySource, ForwardedBody, StreamingBody};
use crate::memory_budget::BufferedBytes;

/// Memory reserved for an upload whose beginning is not kept: the buffers between its client and the backend.
pub(crate) const STREAM_BYTES: usize = 48 * 1024;

pub enum RequestBody {
    /// Read completely and held in memory.
    Buffered(BufferedBytes),
    /// Forwarded as it arrives.
    Streaming(Rc<Upload>),
}

/// The body of a request to a backend.
pub type OutgoingBody = ForwardedBody<UploadReader>;

impl RequestBody {
    /// Whether the whole body has been read from the client.
    pub fn is_complete(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streaming(upload) => upload.is_complete(),
        }
    }

    /// Whether the client has aborted the body.
    pub fn is_aborted(&self) -> bool {
        matches!(self, Self::Streaming(upload) if upload.is_aborted.get())
    }

    /// Creates the body for the request of an attempt. A body created before for the same client request ends with an
    /// error.
    pub fn outgoing_body(&self, engine: &HttpEngine, attempt: AttemptId) -> OutgoingBody {
        match self {
            Self::Buffered(buffered) => OutgoingBody::from(buffered.bytes.clone()),
            Self::Streaming(upload) => {
                let received = BufferedBytes::new(upload.received.borrow().bytes.clone(), None);
                let number = upload.replace_reader();
                upload.is_suspended.set(false);
                upload.has_reader.set(true);
                let reader = UploadReader {
                    number,
                    upload: upload.clone(),
                    engine: engine.clone(),
                    attempt,
                };
                OutgoingBody::Streaming(StreamingBody::from_source(reader, received, upload.length))
            }
        }
    }

    /// Ends all bodies that were created for attempts: none reads the upload any more.
    pub fn stop_forwarding(&self) {
        if let Self::Streaming(upload) = self {
            upload.replace_reader();
            upload.set_waiting_for_client(false);
        }
    }

    /// Suspends an incomplete upload after a backend has responded, until it is decided whether the response is final.
    /// If another attempt follows, that attempt needs the whole body.
    pub fn response_received(&self) {
        if let Self::Streaming(upload) = self
            && !upload.is_complete()
        {
            upload.suspend();
        }
    }

    /// Starts the exchange with a backend that uses the body created last.
    pub fn start_exchange(&self) -> UploadExchange {
        match self {
            Self::Buffered(_) => UploadExchange(None),
            Self::Streaming(upload) => UploadExchange(Some(ActiveUpload {
                upload: upload.clone(),
                reader: upload.current_reader.get(),
                has_early_response: false,
            })),
        }
    }
}

/// The upload's share in an exchange with a backend. The drop marks the end of the exchange.
#[derive(Default)]
pub struct UploadExchange(Option<ActiveUpload>);

struct ActiveUpload {
    upload: Rc<Upload>,
    reader: u64,
    /// Whether the response began before the body was complete.
    has_early_response: bool,
}

impl UploadExchange {
    /// Called when the response has begun.
    pub fn response_started(&mut self) {
        if let Some(active) = &mut self.0 {
            active.has_early_response = !active.upload.is_complete();
        }
    }

    /// Whether the response began before the request was sent completely. The backend may leave the rest of the request
    /// unread, so the connection must not be reused.
    pub fn has_early_response(&self) -> bool {
        self.0
            .as_ref()
            .is_some_and(|active| active.has_early_response)
    }
}

impl Drop for ActiveUpload {
    fn drop(&mut self) {
        if self.reader == self.upload.current_reader.get() {
            self.upload.exchange_ended();
        }
    }
}

/// A request body that is being uploaded.
pub struct Upload {
    /// The part that arrived before the first attempt, released once another attempt is impossible; and the memory
    /// reserved for the upload.
    received: RefCell<BufferedBytes>,
    /// `None` once the rest of the body is discarded.
    incoming: RefCell<Option<Incoming>>,
    /// Length of the whole body in bytes; `None` if the client has not declared one.
    length: Option<u64>,
    /// Number of the reader created last, the only one that may read.
    current_reader: Cell<u64>,
    /// Whether the current reader exists. The reader is dropped together with its connection to the backend.
    has_reader: Cell<bool>,
    /// Whether the current reader is suspended until a response is known to be final.
    is_suspended: Cell<bool>,
    /// Whether the exchange of the current reader has ended.
    has_exchange_ended: Cell<bool>,
    /// Waker of the reader that was polled last.
    reader_waker: RefCell<Option<Waker>>,
    /// Number of bytes that have been read from the client.
    read_bytes: Cell<u64>,
    /// Whether a byte beyond `received` has been read.
    is_consumed: Cell<bool>,
    is_aborted: Cell<bool>,
    is_complete: Cell<bool>,
    completed: Notify,
    /// Since when a reader waits for the client; `None` while the client waits for a reader.
    waiting_for_client_since: Cell<Option<Nanos>>,
    /// Total time that readers have waited for the client, without the wait in progress.
    total_client_wait: Cell<Nanos>,
    /// When the upload began, or when bytes from the client were last read.
    last_progress_at: Cell<Nanos>,
    clock: Clock,
}

impl Upload {
    /// Creates an upload of which `received` has arrived.
    pub fn new(
        received: BufferedBytes,
        incoming: Incoming,
        length: Option<u64>,
        clock: &Clock,
    ) -> Rc<Self> {
        Rc::new(Self {
            read_bytes: Cell::new(received.bytes.len() as u64),
            received: RefCell::new(received),
            incoming: RefCell::new(Some(incoming)),
            length,
            current_reader: Cell::new(0),
            has_reader: Cell::new(false),
            is_suspended: Cell::new(false),
            has_exchange_ended: Cell::new(false),
            reader_waker: RefCell::default(),
            is_consumed: Cell::new(false),
            is_aborted: Cell::new(false),
            is_complete: Cell::new(false),
            completed: Notify::new(),
            waiting_for_client_since: Cell::new(None),
            total_client_wait: Cell::new(0),
            last_progress_at: Cell::new(clock.now()),
            clock: clock.clone(),
        })
    }

    pub fn is_complete(&self) -> bool {
        self.is_complete.get()
    }

    /// Length of the whole body in bytes; `None` if the client has not declared one.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Number of bytes that have been read from the client.
    pub fn read_bytes(&self) -> u64 {
        self.read_bytes.get()
    }

    /// Resolves once the last byte has been read.
    pub async fn completed(&self) {
        self.completed.notified().await;
    }

    /// Since when the client waits for a backend to read; `None` while a backend waits for the client.
    pub fn waiting_for_backend_since(&self) -> Option<Nanos> {
        let waits_for_client = self.waiting_for_client_since.get().is_some();
        (!waits_for_client).then_some(self.last_progress_at.get())
    }

    /// When the wait for the client becomes too long: after `max_wait` without interruption, or after `max_wait` plus
    /// `allowance` in total. `None` while the client waits for a backend.
    pub fn client_stall_deadline(&self, max_wait: Nanos, allowance: Nanos) -> Option<Nanos> {
        let since = self.waiting_for_client_since.get()?;
        let remaining = max_wait
            .saturating_add(allowance)
            .saturating_sub(self.total_client_wait.get());
        Some(since.saturating_add(remaining.min(max_wait)))
    }

    /// Records whether a reader waits for the client from now on.
    fn set_waiting_for_client(&self, is_waiting: bool) {
        let now = self.clock.now();
        match (self.waiting_for_client_since.get(), is_waiting) {
            (None, true) => self.waiting_for_client_since.set(Some(now)),
            (Some(since), false) => {
                self.waiting_for_client_since.set(None);
                let waited = now.saturating_sub(since);
                self.total_client_wait
                    .set(self.total_client_wait.get().saturating_add(waited));
            }
            _ => {}
        }
    }

    /// Makes the next reader the current one, and returns its number. The previous reader fails, which closes its
    /// connection to the backend.
    fn replace_reader(&self) -> u64 {
        let number = self.current_reader.get() + 1;
        self.current_reader.set(number);
        self.has_reader.set(false);
        self.has_exchange_ended.set(false);
        self.wake_reader();
        number
    }

    fn wake_reader(&self) {
        if let Some(waker) = self.reader_waker.take() {
            waker.wake();
        }
    }

    fn suspend(&self) {
        self.is_suspended.set(true);
        self.set_waiting_for_client(false);
    }

    /// Called when the response is final: the backend that sent the response may read the rest of the body.
    pub fn resume(&self) {
        self.is_suspended.set(false);
        self.last_progress_at.set(self.clock.now());
        self.wake_reader();
    }

    /// Whether a backend can still read from the body.
    pub fn can_forward(&self) -> bool {
        self.has_reader.get() && !self.is_aborted.get() && self.incoming.borrow().is_some()
    }

    /// Discards the rest of the body. The connection to a backend that is still sending its response stays open until
    /// the response has ended.
    pub fn discard_rest(&self) {
        self.suspend();
        self.incoming.take();
        if self.has_exchange_ended.get() {
            self.replace_reader();
        }
    }

    /// Called when the exchange of the current reader has ended. Closes the reader's connection to the backend if the
    /// rest of the body is discarded.
    fn exchange_ended(&self) {
        self.has_exchange_ended.set(true);
        if self.incoming.borrow().is_none() {
            self.replace_reader();
        }
    }

    fn complete(&self) {
        if !self.is_complete.replace(true) {
            self.completed.notify_one();
        }
    }
}

/// Reads an upload for one attempt, until another reader replaces it.
pub struct UploadReader {
    upload: Rc<Upload>,
    number: u64,
    engine: HttpEngine,
    attempt: AttemptId,
}

impl BodySource for UploadReader {
    type Error = io::Error;

    fn check(&self) -> Result<(), io::Error> {
        if self.number == self.upload.current_reader.get() {
            return Ok(());
        }
        self.upload.set_waiting_for_client(false);
        Err(io::Error::other(
            "the attempt ended before the request body was sent completely",
        ))
    }

    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let upload = &self.upload;
        upload.reader_waker.replace(Some(cx.waker().clone()));
        if upload.is_suspended.get() {
            return Poll::Pending;
        }
        let polled = match &mut *upload.incoming.borrow_mut() {
            Some(incoming) => Pin::new(incoming).poll_frame(cx),
            None => return Poll::Pending,
        };
        upload.set_waiting_for_client(polled.is_pending());
        let polled = std::task::ready!(polled);
        upload.last_progress_at.set(upload.clock.now());
        match polled {
            None => Poll::Ready(None),
            Some(Err(error)) => {
                upload.is_aborted.set(true);
                Poll::Ready(Some(Err(io::Error::other(error))))
            }
            Some(Ok(frame)) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
                upload.read_bytes.set(upload.read_bytes.get() + bytes);
                if frame.is_data() && !upload.is_consumed.replace(true) {
                    upload.received.borrow_mut().release_all_but(STREAM_BYTES);
                    self.engine.body_consumed(self.attempt);
                }
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn complete(&mut self) {
        self.upload.complete();
    }
}

impl Drop for UploadReader {
    /// The connection to the backend has ended, or the whole body has been read.
    fn drop(&mut self) {
        if self.number == self.upload.current_reader.get() {
            self.upload.has_reader.set(false);
            self.upload.set_waiting_for_client(false);
        }
    }
}
