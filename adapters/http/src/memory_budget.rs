//! A memory budget for buffered bodies, shared by all requests and responses. A body for which no memory can be
//! reserved is streamed; it occupies only the buffers of its connections.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

/// A number of bytes from which reservations are made. Clones share the same budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    available_bytes: Rc<Cell<usize>>,
}

impl MemoryBudget {
    /// Creates a budget of `bytes` bytes.
    pub fn new(bytes: usize) -> Self {
        Self {
            available_bytes: Rc::new(Cell::new(bytes)),
        }
    }

    /// Reserves `bytes` bytes until the reservation is dropped; `None` if fewer are available.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let available_bytes = self.available_bytes.get().checked_sub(bytes)?;
        self.available_bytes.set(available_bytes);
        Some(Reservation {
            available_bytes: self.available_bytes.clone(),
            bytes,
        })
    }
}

/// Reserved bytes of a [`MemoryBudget`], returned to the budget on drop.
#[derive(Debug)]
pub struct Reservation {
    /// The bytes that are still available in the budget.
    available_bytes: Rc<Cell<usize>>,
    bytes: usize,
}

impl Reservation {
    /// Reduces the reservation to `bytes` bytes, if it is larger.
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
    /// Contents of the buffer.
    pub bytes: Bytes,
    /// Released together with the bytes. `None` if no memory was reserved for them.
    _reservation: Option<Reservation>,
}

impl BufferedBytes {
    /// Buffers `bytes`, and returns the excess of the reservation to the budget.
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

/// Concatenates chunks. A single chunk is not copied.
#[derive(Debug, Default)]
pub(crate) struct BytesCollector {
    /// The only chunk so far; empty once there are more.
    first: Bytes,
    /// All chunks, once there is more than one.
    joined: BytesMut,
}

impl BytesCollector {
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
