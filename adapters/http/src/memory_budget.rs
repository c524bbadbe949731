//! A memory budget for buffered bodies, shared by all requests and responses. A body that does not fit is not waited for:
//! it is streamed, and takes no more memory than the buffers of its connections.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

/// A number of bytes from which reservations are made. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    available_bytes: Rc<Cell<usize>>,
}

impl MemoryBudget {
    /// A budget of this many bytes.
    pub fn new(bytes: usize) -> Self {
        Self {
            available_bytes: Rc::new(Cell::new(bytes)),
        }
    }

    /// Reserves this many bytes until the reservation is dropped; none if there are fewer.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let available_bytes = self.available_bytes.get().checked_sub(bytes)?;
        self.available_bytes.set(available_bytes);
        Some(Reservation {
            available_bytes: self.available_bytes.clone(),
            bytes,
        })
    }
}

/// A part of a [`MemoryBudget`], returned to it when dropped.
#[derive(Debug)]
pub struct Reservation {
    /// What is left of the budget.
    available_bytes: Rc<Cell<usize>>,
    /// The size of the reservation.
    bytes: usize,
}

impl Reservation {
    /// Returns what exceeds this size.
    fn shrink(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.bytes -= excess;
        self.return_bytes(excess);
    }

    fn return_bytes(&self, bytes: usize) {
        self.available_bytes.set(self.available_bytes.get() + bytes);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.return_bytes(self.bytes);
    }
}

/// Buffered bytes, and the reservation for them.
#[derive(Debug, Default)]
pub struct BufferedBytes {
    /// The bytes.
    pub bytes: Bytes,
    /// Released together with the bytes.
    _reservation: Option<Reservation>,
}

impl BufferedBytes {
    /// Buffers these bytes; what is reserved beyond them is returned.
    pub fn new(bytes: Bytes, mut reservation: Option<Reservation>) -> Self {
        if let Some(reservation) = &mut reservation {
            reservation.shrink(bytes.len());
        }
        Self {
            bytes,
            _reservation: reservation,
        }
    }
}

/// Collects bytes that arrive in chunks. A single chunk is not copied.
#[derive(Debug, Default)]
pub(crate) struct BytesCollector {
    /// The only chunk so far; empty once there are more.
    first: Bytes,
    /// All chunks, once there is more than one.
    joined: BytesMut,
}

impl BytesCollector {
    /// Appends a chunk.
    pub(crate) fn add(&mut self, chunk: Bytes) {
        if self.len() == 0 {
            self.first = chunk;
            return;
        }
        let first = std::mem::take(&mut self.first);
        self.joined.extend_from_slice(&first);
        self.joined.extend_from_slice(&chunk);
    }

    /// Number of bytes collected.
    pub(crate) fn len(&self) -> usize {
        self.first.len() + self.joined.len()
    }

    /// All bytes, in order.
    pub(crate) fn into_bytes(self) -> Bytes {
        if self.joined.is_empty() {
            self.first
        } else {
            self.joined.freeze()
        }
    }
}

#[cfg(test)]
mod tests;
