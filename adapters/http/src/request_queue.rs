//! The pipelined requests of one client connection, in their order: which of them have arrived, since when one is
//! incomplete, and which one the HTTP library is serving.

use std::collections::VecDeque;

use badgerpost_http_framing::{FramingError, FramingEvent};
use badgerpost_time::Nanos;

/// Most pipelined requests that are remembered. No more can have been read: 32 KiB by the HTTP library and 16 KiB ahead of
/// it, and no request is shorter than 16 bytes.
const MAX_PIPELINED_REQUESTS: usize = 4096;

/// The requests of one connection, numbered from 1.
#[derive(Debug, Default)]
pub(crate) struct RequestQueue {
    /// Number of requests whose first byte has arrived.
    started: u64,
    /// When the first byte of the last of these arrived.
    last_started_at: Nanos,
    /// Whether the framing of each request is unambiguous, for those whose head is complete and has not been parsed.
    head_results: VecDeque<Result<(), FramingError>>,
    /// Number of requests whose last byte has arrived.
    completed: u64,
    /// When the last byte of each of these arrived, from the current request on.
    completed_at: VecDeque<Nanos>,
    /// Number of the request whose head the HTTP library parsed last; 0 before the first.
    current: u64,
}

impl RequestQueue {
    /// Records what the bytes that have just arrived mean.
    pub(crate) fn record(&mut self, event: FramingEvent, now: Nanos) {
        match event {
            FramingEvent::Started => {
                self.started += 1;
                self.last_started_at = now;
            }
            FramingEvent::HeadComplete(result) => {
                self.head_results.truncate(MAX_PIPELINED_REQUESTS - 1);
                self.head_results.push_back(result);
            }
            FramingEvent::MessageComplete => {
                self.completed += 1;
                self.completed_at.truncate(MAX_PIPELINED_REQUESTS - 1);
                self.completed_at.push_back(now);
            }
            FramingEvent::BodyInvalid(_) => {}
        }
    }

    /// The HTTP library has parsed the head of the next request, which becomes the current one.
    ///
    /// # Errors
    ///
    /// The framing of that request is ambiguous.
    pub(crate) fn advance(&mut self) -> Result<(), FramingError> {
        self.current += 1;
        while !self.completed_at.is_empty() && self.first_completed() < self.current {
            self.completed_at.pop_front();
        }
        self.head_results.pop_front().unwrap_or(Ok(()))
    }

    /// When the last byte of the current request arrived; none before that.
    pub(crate) fn completed_at(&self) -> Option<Nanos> {
        let is_complete = self.first_completed() == self.current;
        self.completed_at.front().copied().filter(|_| is_complete)
    }

    /// Whether a request behind the current one has begun to arrive.
    pub(crate) fn has_next(&self) -> bool {
        self.started > self.current
    }

    /// Whether the head of the request behind the current one has arrived.
    pub(crate) fn has_next_head(&self) -> bool {
        !self.head_results.is_empty()
    }

    /// When the first byte of the next request arrived, if that is incomplete.
    pub(crate) fn incomplete_since(&self) -> Option<Nanos> {
        let is_last = self.started == self.current + 1;
        let is_incomplete = self.completed < self.started;
        (is_last && is_incomplete).then_some(self.last_started_at)
    }

    /// The number of the request whose completion is the first one remembered.
    fn first_completed(&self) -> u64 {
        self.completed + 1 - self.completed_at.len() as u64
    }
}

#[cfg(test)]
mod tests;
