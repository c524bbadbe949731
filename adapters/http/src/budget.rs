//! One budget for the bytes of bodies that are held whole, over all requests. What does not fit is not waited for: it
//! is passed on as it comes, in pieces, and costs no more than a connection's buffers.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

/// The bytes that are left. Clones share them.
#[derive(Clone, Debug)]
pub struct Budget(Rc<Cell<usize>>);

impl Budget {
    /// So many bytes.
    pub fn new(bytes: usize) -> Self {
        Self(Rc::new(Cell::new(bytes)))
    }

    /// Takes these bytes until what is returned is dropped; none if there are not so many.
    pub fn take(&self, bytes: usize) -> Option<Held> {
        self.0.set(self.0.get().checked_sub(bytes)?);
        Some(Held {
            budget: self.0.clone(),
            bytes,
        })
    }
}

/// Bytes that are held whole, and their part of the budget for as long.
#[derive(Debug, Default)]
pub struct Kept {
    /// The bytes.
    pub bytes: Bytes,
    _held: Option<Held>,
}

impl Kept {
    /// These bytes; what is held for more is given back.
    pub fn new(bytes: Bytes, mut held: Option<Held>) -> Self {
        held.iter_mut().for_each(|held| held.shrink(bytes.len()));
        Self { bytes, _held: held }
    }
}

/// Bytes that are gathered from the pieces in which they come; what comes in one is not copied.
#[derive(Debug, Default)]
pub struct Gathered {
    first: Bytes,
    all: BytesMut,
}

impl Gathered {
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
    pub fn whole(self) -> Bytes {
        if self.all.is_empty() {
            self.first
        } else {
            self.all.freeze()
        }
    }
}

/// A part of a [`Budget`].
#[derive(Debug)]
pub struct Held {
    budget: Rc<Cell<usize>>,
    bytes: usize,
}

impl Held {
    /// Gives back what is more than this.
    fn shrink(&mut self, bytes: usize) {
        let spare = self.bytes.saturating_sub(bytes);
        self.bytes -= spare;
        self.budget.set(self.budget.get() + spare);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.budget.set(self.budget.get() + self.bytes);
    }
}

#[cfg(test)]
mod tests;
