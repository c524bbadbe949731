//! Request bodies on their way from a client to a backend. What has arrived of a body before the first attempt is kept,
//! so that an attempt that got no further can be retried. Once a byte beyond that was forwarded, it can't be.
//!
//! A body is read by the message of the latest attempt. If that is responded to before the body is complete, the reader
//! is suspended until it is known whether the response is final:
//!
//! ```text
//! forwarded --> suspended --> forwarded    the response is final, and the backend may read on
//!     \             \-------> replaced     another attempt follows; its message begins again
//!      \-------------------> discarded    no backend reads on: the rest is the connection's to discard
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

/// A request's body.
pub enum RequestBody {
    /// Held whole.
    Buffered(BufferedBytes),
    /// Being uploaded.
    Streaming(Rc<Upload>),
}

/// The body of a message to a backend.
pub type OutgoingBody = ForwardedBody<UploadReader>;

impl RequestBody {
    /// Whether all of it has been read from the client.
    pub fn is_complete(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streaming(upload) => upload.is_complete(),
        }
    }

    /// Whether its client has broken it off.
    pub fn is_aborted(&self) -> bool {
        matches!(self, Self::Streaming(upload) if upload.is_aborted.get())
    }

    /// The body of a message to a backend. One made before for the same request ends with an error.
    pub fn outgoing_body(&self, engine: &HttpEngine, attempt: AttemptId) -> OutgoingBody {
        match self {
            Self::Buffered(buffered) => OutgoingBody::from(buffered.bytes.clone()),
            Self::Streaming(upload) => {
                let received = BufferedBytes::new(upload.received.bytes.clone(), None);
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

    /// Ends all messages that were made: none reads any more of the body.
    pub fn stop_forwarding(&self) {
        if let Self::Streaming(upload) = self {
            upload.replace_reader();
            upload.set_waiting_for_client(false);
        }
    }

    /// A backend has responded. Nothing more of an incomplete body is read until it is known whether the response is
    /// final: another attempt might still be made, with all of the body.
    pub fn response_received(&self) {
        if let Self::Streaming(upload) = self
            && !upload.is_complete()
        {
            upload.suspend();
        }
    }

    /// The exchange that the message made last belongs to.
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

/// The upload's part in an exchange with a backend. The exchange has ended once this is dropped.
#[derive(Default)]
pub struct UploadExchange(Option<ActiveUpload>);

struct ActiveUpload {
    upload: Rc<Upload>,
    reader: u64,
    /// Whether the response began before the body was complete.
    has_early_response: bool,
}

impl UploadExchange {
    /// The response has begun.
    pub fn response_started(&mut self) {
        if let Some(active) = &mut self.0 {
            active.has_early_response = !active.upload.is_complete();
        }
    }

    /// Whether the response began before the request had been sent. What is sent since may lie unread in the system of a
    /// backend that has done with the request, so the connection is of no use to another one.
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
    /// What had arrived before the first attempt.
    received: BufferedBytes,
    /// None once the rest is discarded.
    incoming: RefCell<Option<Incoming>>,
    /// The length of the whole body, where its client has told it.
    length: Option<u64>,
    /// The number of the reader that may read: the one made last.
    current_reader: Cell<u64>,
    /// Whether that reader exists: it ends with its connection.
    has_reader: Cell<bool>,
    /// Whether it waits for the decision on a response.
    is_suspended: Cell<bool>,
    /// Whether the exchange that it belongs to has ended.
    has_exchange_ended: Cell<bool>,
    /// Wakes a reader that waits.
    reader_waker: RefCell<Option<Waker>>,
    /// A byte beyond `received` was read.
    is_consumed: Cell<bool>,
    is_aborted: Cell<bool>,
    is_complete: Cell<bool>,
    completed: Notify,
    /// Since when a reader waits for the client; none while the client waits for a reader.
    waiting_for_client_since: Cell<Option<Nanos>>,
    /// How long readers have waited for the client before that.
    total_client_wait: Cell<Nanos>,
    /// When the upload began, or the client last sent something that was read.
    last_progress_at: Cell<Nanos>,
    clock: Clock,
}

impl Upload {
    /// An upload of which `received` has arrived.
    pub fn new(
        received: BufferedBytes,
        incoming: Incoming,
        length: Option<u64>,
        clock: &Clock,
    ) -> Rc<Self> {
        Rc::new(Self {
            received,
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

    /// Whether its last byte has been read.
    pub fn is_complete(&self) -> bool {
        self.is_complete.get()
    }

    /// Resolves once its last byte has been read.
    pub async fn completed(&self) {
        self.completed.notified().await;
    }

    /// Since when its client waits for a backend to read on; none while the client is waited for.
    pub fn waiting_for_backend_since(&self) -> Option<Nanos> {
        let waits_for_client = self.waiting_for_client_since.get().is_some();
        (!waits_for_client).then_some(self.last_progress_at.get())
    }

    /// When the client will have been waited for too long: `max_wait` at a stretch, or `max_wait` and `allowance` in
    /// all. None while the client waits for a backend.
    pub fn client_stall_deadline(&self, max_wait: Nanos, allowance: Nanos) -> Option<Nanos> {
        let since = self.waiting_for_client_since.get()?;
        let remaining = max_wait
            .saturating_add(allowance)
            .saturating_sub(self.total_client_wait.get());
        Some(since.saturating_add(remaining.min(max_wait)))
    }

    /// Records whether the client is waited for from now on.
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

    /// Has only the next reader read; returns its number. The one before it ends at once, and its connection with it.
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

    /// The response is final: its backend may read on.
    pub fn resume(&self) {
        self.is_suspended.set(false);
        self.last_progress_at.set(self.clock.now());
        self.wake_reader();
    }

    /// Whether a backend may read on.
    pub fn can_forward(&self) -> bool {
        self.has_reader.get() && !self.is_aborted.get() && self.incoming.borrow().is_some()
    }

    /// No backend reads on. A response that is still arriving goes on: its connection ends only behind it.
    pub fn discard_rest(&self) {
        self.suspend();
        self.incoming.take();
        if self.has_exchange_ended.get() {
            self.replace_reader();
        }
    }

    /// The exchange that the current reader belongs to has ended. Its connection has no further use, but for a backend
    /// that reads on.
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

/// Reads an upload for one attempt, until another one does.
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
        Err(io::Error::other("the attempt has ended"))
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
                if frame.is_data() && !upload.is_consumed.replace(true) {
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
    /// The connection to the backend has ended, or has all of the body.
    fn drop(&mut self) {
        if self.number == self.upload.current_reader.get() {
            self.upload.has_reader.set(false);
            self.upload.set_waiting_for_client(false);
        }
    }
}
