//! The requests of one client connection that have begun to arrive, in order: which are complete and since when, and
//! which the HTTP library has taken.

use std::collections::VecDeque;

use badgerpost_balancer::Nanos;
use badgerpost_http_framing::{FramingError, FramingEvent};

/// Requests sent ahead of their answers that are remembered. No more can be read: 32 KiB by the parser and 16 KiB before
/// it, and no request is shorter than 16 bytes.
const MAX_AHEAD: usize = 4096;

/// The requests of one connection.
#[derive(Debug, Default)]
pub(crate) struct RequestQueue {
    /// What was found of the heads that are complete and not taken yet.
    heads: VecDeque<Result<(), FramingError>>,
    /// Requests whose first byte has come.
    begun: u64,
    /// When the first byte of the last one of these came.
    last_begun_at: Nanos,
    /// Requests whose head has been taken.
    taken: u64,
    /// Requests whose last byte has come.
    complete: u64,
    /// When it came, of those from the last one taken on.
    completed_at: VecDeque<Nanos>,
}

impl RequestQueue {
    /// Records what the bytes that have come now tell.
    pub(crate) fn record(&mut self, event: FramingEvent, now: Nanos) {
        match event {
            FramingEvent::Started => {
                self.begun += 1;
                self.last_begun_at = now;
            }
            FramingEvent::HeadComplete(found) => {
                self.heads.truncate(MAX_AHEAD - 1);
                self.heads.push_back(found);
            }
            FramingEvent::MessageComplete => {
                self.complete += 1;
                self.completed_at.truncate(MAX_AHEAD - 1);
                self.completed_at.push_back(now);
            }
            FramingEvent::BodyInvalid(_) => {}
        }
    }

    /// The next request's head has been taken; returns whether its framing can be read in one way only.
    pub(crate) fn take(&mut self) -> Result<(), FramingError> {
        self.taken += 1;
        while !self.completed_at.is_empty() && self.first_completed() < self.taken {
            self.completed_at.pop_front();
        }
        self.heads.pop_front().unwrap_or(Ok(()))
    }

    /// When the last byte of the request taken last came; none before that.
    pub(crate) fn completed_at(&self) -> Option<Nanos> {
        let is_complete = self.first_completed() == self.taken;
        self.completed_at.front().copied().filter(|_| is_complete)
    }

    /// Whether another request has begun to come behind the one that was taken last.
    pub(crate) fn has_next(&self) -> bool {
        self.begun > self.taken
    }

    /// Since when a request comes in, where it is the only one that has not been taken.
    pub(crate) fn incomplete_since(&self) -> Option<Nanos> {
        let is_next = self.begun == self.taken + 1 && self.complete < self.begun;
        is_next.then_some(self.last_begun_at)
    }

    /// The number of the request, from 1, whose completion is the first one remembered.
    fn first_completed(&self) -> u64 {
        self.complete + 1 - self.completed_at.len() as u64
    }
}

#[cfg(test)]
mod tests;
