//! Request bodies on their way from a client to a backend. What has arrived of a body before the first attempt is kept,
//! so that an attempt that got no further can be retried. Once a byte beyond that was forwarded, it can't be.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

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
    pub fn is_broken(&self) -> bool {
        matches!(self, Self::Streaming(upload) if upload.is_broken.get())
    }

    /// The body of a message to a backend. One made before for the same request ends with an error.
    pub fn message(&self, engine: &HttpEngine, attempt: AttemptId) -> OutgoingBody {
        match self {
            Self::Buffered(buffered) => OutgoingBody::from(buffered.bytes.clone()),
            Self::Streaming(upload) => {
                let received = BufferedBytes::new(upload.received.bytes.clone(), None);
                let reader = UploadReader {
                    number: upload.replace_reader(),
                    upload: upload.clone(),
                    engine: engine.clone(),
                    attempt,
                };
                OutgoingBody::Streaming(StreamingBody::from_source(reader, received, upload.length))
            }
        }
    }

    /// Ends all messages that were made: none reads any more of the body.
    pub fn abandon(&self) {
        if let Self::Streaming(upload) = self {
            upload.replace_reader();
            upload.set_waiting_for_client(false);
        }
    }
}

/// A request body that is being uploaded.
pub struct Upload {
    /// What had arrived before the first attempt.
    received: BufferedBytes,
    incoming: RefCell<Incoming>,
    /// The length of the whole body, where its client has told it.
    length: Option<u64>,
    /// The number of the reader that may read: the one made last.
    current_reader: Cell<u64>,
    /// A byte beyond `received` was read.
    is_consumed: Cell<bool>,
    is_broken: Cell<bool>,
    is_complete: Cell<bool>,
    completed: Notify,
    /// Since when a reader waits for the client; none while the client waits for a reader.
    waiting_for_client_since: Cell<Option<Nanos>>,
    /// How long readers have waited for the client before that.
    client_wait: Cell<Nanos>,
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
            incoming: RefCell::new(incoming),
            length,
            current_reader: Cell::new(0),
            is_consumed: Cell::new(false),
            is_broken: Cell::new(false),
            is_complete: Cell::new(false),
            completed: Notify::new(),
            waiting_for_client_since: Cell::new(None),
            client_wait: Cell::new(0),
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
            .saturating_sub(self.client_wait.get());
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
                self.client_wait
                    .set(self.client_wait.get().saturating_add(waited));
            }
            _ => {}
        }
    }

    /// Has only the next reader read; returns its number.
    fn replace_reader(&self) -> u64 {
        let number = self.current_reader.get() + 1;
        self.current_reader.set(number);
        number
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
        let polled = Pin::new(&mut *upload.incoming.borrow_mut()).poll_frame(cx);
        upload.set_waiting_for_client(polled.is_pending());
        let polled = std::task::ready!(polled);
        upload.last_progress_at.set(upload.clock.now());
        match polled {
            None => Poll::Ready(None),
            Some(Err(error)) => {
                upload.is_broken.set(true);
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
