//! A memory budget for bodies, shared by all requests and responses. A response for which no memory can be reserved is
//! streamed; it occupies only the buffers of its connections. A request body that is streamed reserves memory for the
//! buffers between its client and the backend, and waits until there is enough.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use tokio::sync::Notify;

/// Divisor of the budget: streams leave this fraction of it to buffered bodies.
const BUFFERED_RESERVE_DIVISOR: usize = 4;

/// A number of bytes from which reservations are made. Clones share the same budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<BudgetState>);

/// Atomic because the owner of bytes that hyper holds must be `Send`; used by the serving thread only.
#[derive(Debug)]
struct BudgetState {
    limit_bytes: AtomicUsize,
    reserved_bytes: AtomicUsize,
    released: Notify,
}

impl MemoryBudget {
    /// Creates a budget of `bytes` bytes.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(BudgetState {
            limit_bytes: AtomicUsize::new(bytes),
            reserved_bytes: AtomicUsize::new(0),
            released: Notify::new(),
        }))
    }

    /// Sets the number of bytes that may be reserved. Existing reservations stay.
    pub fn set_limit(&self, bytes: usize) {
        self.0.limit_bytes.store(bytes, Ordering::Relaxed);
        self.0.released.notify_one();
    }

    /// Reserves `bytes` bytes until the reservation is dropped; `None` if fewer are available.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        self.reserve_within(bytes, self.limit_bytes())
    }

    /// Reserves `bytes` bytes for a stream as soon as they are available, apart from the part of the budget that streams
    /// leave to buffered bodies.
    pub(crate) async fn reserve_for_stream(&self, bytes: usize) -> Reservation {
        loop {
            let limit_bytes = self.limit_bytes();
            let stream_limit = limit_bytes - limit_bytes / BUFFERED_RESERVE_DIVISOR;
            if let Some(reservation) = self.reserve_within(bytes, stream_limit) {
                // The next waiter may find enough memory too.
                self.0.released.notify_one();
                return reservation;
            }
            self.0.released.notified().await;
        }
    }

    fn limit_bytes(&self) -> usize {
        self.0.limit_bytes.load(Ordering::Relaxed)
    }

    fn reserve_within(&self, bytes: usize, limit_bytes: usize) -> Option<Reservation> {
        let reserved_bytes = self.0.reserved_bytes.load(Ordering::Relaxed);
        if reserved_bytes.checked_add(bytes)? > limit_bytes {
            return None;
        }
        self.0.reserved_bytes.fetch_add(bytes, Ordering::Relaxed);
        Some(Reservation {
            budget: self.0.clone(),
            bytes,
        })
    }
}

/// Reserved bytes of a [`MemoryBudget`], returned to the budget on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<BudgetState>,
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
        self.budget
            .reserved_bytes
            .fetch_sub(bytes, Ordering::Relaxed);
        if bytes > 0 {
            self.budget.released.notify_one();
        }
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
    reservation: Option<Reservation>,
}

impl BufferedBytes {
    /// Buffers `bytes`, and returns the excess of the reservation to the budget.
    pub fn new(bytes: Bytes, mut reservation: Option<Reservation>) -> Self {
        if let Some(reservation) = &mut reservation {
            reservation.shrink(bytes.len());
        }
        Self { bytes, reservation }
    }

    /// The bytes, which keep their memory reserved until the last part of them is dropped.
    pub(crate) fn into_reserved_bytes(self) -> Bytes {
        if self.reservation.is_some() {
            Bytes::from_owner(self)
        } else {
            self.bytes
        }
    }

    /// Reserved memory without bytes.
    pub(crate) fn reserved(reservation: Reservation) -> Self {
        Self {
            bytes: Bytes::new(),
            reservation: Some(reservation),
        }
    }

    /// Releases the bytes, and all but `bytes` of the memory reserved for them.
    pub(crate) fn release_all_but(&mut self, bytes: usize) {
        self.bytes = Bytes::new();
        if let Some(reservation) = &mut self.reservation {
            reservation.shrink(bytes);
        }
    }
}

impl AsRef<[u8]> for BufferedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Concatenates chunks. A single chunk is not copied. Several chunks are copied into a buffer of the expected size, which
/// is neither enlarged nor shares the memory of the chunks.
#[derive(Debug)]
pub(crate) struct BytesCollector {
    /// Number of bytes that are expected at most.
    capacity: usize,
    /// The only chunk so far; empty once there are more.
    first: Bytes,
    /// All chunks, once there is more than one.
    joined: BytesMut,
}

impl BytesCollector {
    /// A collector for at most `capacity` bytes. More can be added, but take more memory than they have bytes.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            first: Bytes::new(),
            joined: BytesMut::new(),
        }
    }

    pub(crate) fn add(&mut self, chunk: Bytes) {
        if self.len() == 0 {
            self.first = chunk;
            return;
        }
        if self.joined.capacity() == 0 {
            self.joined = BytesMut::with_capacity(self.capacity);
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
