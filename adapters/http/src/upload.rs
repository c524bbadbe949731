//! Request bodies on their way to a backend: held whole, or passed on as they come. What has come of a body before its
//! first attempt is kept, so that an attempt that never got further can be followed by another; once a byte beyond that
//! has gone out, the request can't be sent again.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::Notify;

use badgerpost_balancer::Nanos;
use badgerpost_engine::{AttemptId, Clock};

use crate::HttpEngine;
use crate::memory_budget::BufferedBytes;

/// A request's body.
pub enum RequestBody {
    /// Held whole.
    Buffered(BufferedBytes),
    /// Still on the way.
    Streaming(Rc<Upload>),
}

impl RequestBody {
    /// Whether all of it has come.
    pub fn is_whole(&self) -> bool {
        match self {
            Self::Buffered(..) => true,
            Self::Streaming(upload) => upload.is_whole(),
        }
    }

    /// Whether its client has broken it off.
    pub fn is_broken(&self) -> bool {
        matches!(self, Self::Streaming(upload) if upload.broken.get())
    }

    /// The body of a message to a backend. One made before for the same request ends with an error.
    pub fn message(&self, node: &HttpEngine, ticket: AttemptId) -> OutgoingBody {
        match self {
            Self::Buffered(kept) => OutgoingBody::Buffered(Full::new(kept.bytes.clone())),
            Self::Streaming(upload) => {
                upload.turn.set(upload.turn.get() + 1);
                OutgoingBody::Streaming(StreamingBody {
                    first: Some(upload.first.bytes.clone()).filter(|first| !first.is_empty()),
                    left: upload.length,
                    turn: upload.turn.get(),
                    upload: upload.clone(),
                    node: node.clone(),
                    ticket,
                })
            }
        }
    }

    /// No message that has been made takes anything more of it.
    pub fn abandon(&self) {
        if let Self::Streaming(upload) = self {
            upload.turn.set(upload.turn.get() + 1);
            upload.set_starved(false);
        }
    }
}

/// A body that is still on the way.
pub struct Upload {
    /// What had come before the first attempt, and its part of the budget.
    first: BufferedBytes,
    rest: RefCell<Incoming>,
    /// The whole body's length, where its client has told it.
    length: Option<u64>,
    /// Which message may take of it: the one made last.
    turn: Cell<u64>,
    spent: Cell<bool>,
    broken: Cell<bool>,
    whole: Cell<bool>,
    ended: Notify,
    /// Since when whoever takes of it waits for its client; none where its client waits for somebody to take of it.
    starved_since: Cell<Option<Nanos>>,
    /// How long its client has been waited for before that.
    client_wait: Cell<Nanos>,
    /// When it was made, or last moved.
    moved: Cell<Nanos>,
    clock: Clock,
}

impl Upload {
    /// A body of which `first` has come.
    pub fn new(
        first: BufferedBytes,
        rest: Incoming,
        length: Option<u64>,
        clock: &Clock,
    ) -> Rc<Self> {
        Rc::new(Self {
            starved_since: Cell::new(None),
            client_wait: Cell::new(0),
            moved: Cell::new(clock.now()),
            clock: clock.clone(),
            first,
            rest: RefCell::new(rest),
            length,
            turn: Cell::new(0),
            spent: Cell::new(false),
            broken: Cell::new(false),
            whole: Cell::new(false),
            ended: Notify::new(),
        })
    }

    /// Whether its last byte has been taken.
    pub fn is_whole(&self) -> bool {
        self.whole.get()
    }

    /// Since when its client waits for somebody to take of it; none while it is the client that is waited for.
    pub fn waits_since(&self) -> Option<Nanos> {
        let is_starved = self.starved_since.get().is_some();
        (!is_starved).then_some(self.moved.get())
    }

    /// When its client has kept it waiting for too long: for `most` in one go, or for `most` and `paid` in all.
    pub fn stalls_at(&self, most: Nanos, paid: Nanos) -> Option<Nanos> {
        let since = self.starved_since.get()?;
        let left = most
            .saturating_add(paid)
            .saturating_sub(self.client_wait.get());
        Some(since.saturating_add(left.min(most)))
    }

    /// Notes whether its client is waited for now.
    fn set_starved(&self, is_starved: bool) {
        let now = self.clock.now();
        match (self.starved_since.get(), is_starved) {
            (None, true) => self.starved_since.set(Some(now)),
            (Some(since), false) => {
                self.starved_since.set(None);
                let waited = now.saturating_sub(since);
                self.client_wait
                    .set(self.client_wait.get().saturating_add(waited));
            }
            _ => {}
        }
    }

    /// Resolves once its last byte has been taken.
    pub async fn taken(&self) {
        self.ended.notified().await;
    }

    fn end(&self) {
        if !self.whole.replace(true) {
            self.ended.notify_one();
        }
    }
}

/// The body of a message to a backend.
pub enum OutgoingBody {
    /// Held whole.
    Buffered(Full<Bytes>),
    /// As it comes.
    Streaming(StreamingBody),
}

/// A body that is passed on as it comes.
pub struct StreamingBody {
    first: Option<Bytes>,
    left: Option<u64>,
    turn: u64,
    upload: Rc<Upload>,
    node: HttpEngine,
    ticket: AttemptId,
}

impl StreamingBody {
    fn give(&mut self, data: Bytes) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(left) = &mut self.left {
            *left = left.saturating_sub(data.len() as u64);
            if *left == 0 {
                // With a length, nobody asks whether more follows.
                self.upload.end();
            }
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.turn != self.upload.turn.get() {
            self.upload.set_starved(false);
            return Poll::Ready(Some(Err(io::Error::other("the attempt has ended"))));
        }
        if let Some(first) = self.first.take() {
            return self.give(first);
        }
        loop {
            let polled = Pin::new(&mut *self.upload.rest.borrow_mut()).poll_frame(cx);
            self.upload.set_starved(polled.is_pending());
            let frame = std::task::ready!(polled);
            self.upload.moved.set(self.upload.clock.now());
            match frame {
                None => {
                    self.upload.end();
                    return Poll::Ready(None);
                }
                Some(Err(error)) => {
                    self.upload.broken.set(true);
                    return Poll::Ready(Some(Err(io::Error::other(error))));
                }
                // Trailers are the client's connection's own.
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if !self.upload.spent.replace(true) {
                        self.node.body_consumed(self.ticket);
                    }
                    return self.give(data);
                }
            }
        }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Buffered(full) => Pin::new(full)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Streaming(passing) => passing.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(full) => full.is_end_stream(),
            Self::Streaming(passing) => passing.left == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(full) => full.size_hint(),
            Self::Streaming(StreamingBody {
                left: Some(left), ..
            }) => SizeHint::with_exact(*left),
            Self::Streaming(_) => SizeHint::default(),
        }
    }
}
