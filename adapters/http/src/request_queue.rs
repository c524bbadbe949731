//! The pipelined requests of one client connection, in order: which of them have arrived, when the first byte of an
//! incomplete one arrived, and which request hyper is serving.

use std::collections::VecDeque;

use badgerpost_http_framing::{FramingError, FramingEvent};
use badgerpost_time::Nanos;

/// Maximum number of pipelined requests that are tracked. More cannot have been read: hyper buffers 32 KiB, the
/// read-ahead buffer holds 8 KiB, and no request is shorter than 16 bytes.
const MAX_PIPELINED_REQUESTS: usize = 4096;

/// The requests of one connection, numbered from 1.
#[derive(Debug, Default)]
pub(crate) struct RequestQueue {
    /// Number of requests whose first byte has arrived.
    started: u64,
    /// When the first byte of the latest started request arrived.
    last_started_at: Nanos,
    /// Whether the framing is unambiguous, for each request whose head is complete and has not been parsed by hyper.
    head_results: VecDeque<Result<(), FramingError>>,
    /// Number of requests whose last byte has arrived.
    completed: u64,
    /// When the last byte of each completed request arrived, from the current request on.
    completed_at: VecDeque<Nanos>,
    /// Number of the request whose head hyper parsed last; 0 before the first.
    current: u64,
}

impl RequestQueue {
    /// Records a framing event of the bytes that have just arrived.
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

    /// Makes the next request the current one. Called when hyper has parsed its head.
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

    /// When the last byte of the current request arrived; `None` while the request is incomplete.
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

    /// When the first byte of the next request arrived; `None` unless the next request is incomplete.
    pub(crate) fn incomplete_since(&self) -> Option<Nanos> {
        let is_last = self.started == self.current + 1;
        let is_incomplete = self.completed < self.started;
        (is_last && is_incomplete).then_some(self.last_started_at)
    }

    /// The number of the first request in `completed_at`.
    fn first_completed(&self) -> u64 {
        self.completed + 1 - self.completed_at.len() as u64
    }
}

#[cfg(test)]
mod tests;
