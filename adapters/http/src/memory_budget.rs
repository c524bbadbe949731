//! One budget for the bytes of bodies that are held whole, over all requests. What does not fit is not waited for: it
//! is passed on as it comes, in pieces, and costs no more than a connection's buffers.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

/// The bytes that are left. Clones share them.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Rc<Cell<usize>>);

impl MemoryBudget {
    /// So many bytes.
    pub fn new(bytes: usize) -> Self {
        Self(Rc::new(Cell::new(bytes)))
    }

    /// Takes these bytes until what is returned is dropped; none if there are not so many.
    pub fn take(&self, bytes: usize) -> Option<Reservation> {
        self.0.set(self.0.get().checked_sub(bytes)?);
        Some(Reservation {
            budget: self.0.clone(),
            bytes,
        })
    }
}

/// Bytes that are held whole, and their part of the budget for as long.
#[derive(Debug, Default)]
pub struct BufferedBytes {
    /// The bytes.
    pub bytes: Bytes,
    _held: Option<Reservation>,
}

impl BufferedBytes {
    /// These bytes; what is held for more is given back.
    pub fn new(bytes: Bytes, mut held: Option<Reservation>) -> Self {
        held.iter_mut().for_each(|held| held.shrink(bytes.len()));
        Self { bytes, _held: held }
    }
}

/// Bytes that are gathered from the pieces in which they come; what comes in one is not copied.
#[derive(Debug, Default)]
pub struct BytesCollector {
    first: Bytes,
    all: BytesMut,
}

impl BytesCollector {
    /// Adds a piece.
    pub fn add(&mut self, piece: Bytes) {
        if self.count() == 0 {
            self.first = piece;
            return;
        }
        let first = std::mem::take(&mut self.first);
        self.all.extend_from_slice(&first);
        self.all.extend_from_slice(&piece);
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.first.len() + self.all.len()
    }

    /// All of them.
    pub fn into_bytes(self) -> Bytes {
        if self.all.is_empty() {
            self.first
        } else {
            self.all.freeze()
        }
    }
}

/// A part of a [`MemoryBudget`].
#[derive(Debug)]
pub struct Reservation {
    budget: Rc<Cell<usize>>,
    bytes: usize,
}

impl Reservation {
    /// Gives back what is more than this.
    fn shrink(&mut self, bytes: usize) {
        let spare = self.bytes.saturating_sub(bytes);
        self.bytes -= spare;
        self.budget.set(self.budget.get() + spare);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.set(self.budget.get() + self.bytes);
    }
}

#[cfg(test)]
mod tests;
