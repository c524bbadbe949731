//! The memory that clients with a session make the node hold: incomplete and unanswered messages, and prepared
//! statements. Each session may hold a little; what exceeds that is charged against a limit on the sum of all sessions.
//!
//! A charge that exceeds the limit ends a session: the one that has waited longest for the rest of a message or batch,
//! or else the one that needs the memory.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::Duration;

use badgerpost_balancer::Nanos;
use badgerpost_engine::{Clock, LogLimiter, nanos};

/// Bytes that each session may hold without a charge.
const FREE_BYTES_PER_SESSION: usize = 16 * 1024;
/// Time without a byte after which a client that has sent only a part of a message or batch can be evicted.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What one session holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldMemory {
    /// Size of messages and statements, in bytes.
    pub bytes: usize,
    /// Time of the last byte from a client that has sent only a part of a message or batch; `None` if nothing more is
    /// awaited from the client.
    pub waiting_since: Option<Nanos>,
}

/// The limit on memory is exceeded; the session has to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the node's memory for messages and statements of clients is used up")]
pub struct OutOfMemory;

/// One session's charge.
#[derive(Default)]
struct Holder {
    charged_bytes: Cell<usize>,
    waiting_since: Cell<Option<Nanos>>,
    is_evicted: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// The limit on the memory of all sessions, and their charges.
pub struct SessionMemory {
    limit_bytes: usize,
    charged_bytes: Cell<usize>,
    holders: RefCell<BTreeMap<u64, Rc<Holder>>>,
    next_number: Cell<u64>,
    refusals: Cell<u64>,
    log: RefCell<LogLimiter>,
}

impl SessionMemory {
    /// Creates a limit of `limit_bytes` bytes. The clock limits the number of log lines.
    pub fn new(limit_bytes: usize, clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            limit_bytes,
            charged_bytes: Cell::new(0),
            holders: RefCell::default(),
            next_number: Cell::new(0),
            refusals: Cell::new(0),
            log: RefCell::new(LogLimiter::new(clock)),
        })
    }

    /// Adds a session that holds nothing.
    pub fn open_account(self: &Rc<Self>) -> MemoryAccount {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let holder = Rc::new(Holder::default());
        self.holders.borrow_mut().insert(number, holder.clone());
        MemoryAccount {
            memory: self.clone(),
            number,
            holder,
        }
    }

    /// Bytes charged for all sessions.
    pub fn charged_bytes(&self) -> usize {
        self.charged_bytes.get()
    }

    /// Sessions that were ended because of the limit since the node started.
    pub fn refusals(&self) -> u64 {
        self.refusals.get()
    }

    fn set_charge(&self, holder: &Holder, bytes: usize) {
        let others = self.charged_bytes.get() - holder.charged_bytes.replace(bytes);
        self.charged_bytes.set(others + bytes);
    }

    /// Evicts the session that has waited longest for the rest of a message or batch. Returns false if there is none.
    fn evict_stalled(&self, now: Nanos) -> bool {
        let latest = now.saturating_sub(nanos(STALL_TIMEOUT));
        let holders = self.holders.borrow();
        let stalled = holders
            .values()
            .filter(|holder| holder.charged_bytes.get() > 0)
            .filter_map(|holder| Some((holder.waiting_since.get()?, holder)))
            .filter(|(since, _)| *since <= latest)
            .min_by_key(|(since, _)| *since);
        let Some((_, holder)) = stalled else {
            return false;
        };
        // The session drops its buffers as soon as its task runs.
        self.set_charge(holder, 0);
        holder.is_evicted.set(true);
        holder.waker.borrow().iter().for_each(Waker::wake_by_ref);
        self.refusals.set(self.refusals.get() + 1);
        true
    }
}

/// The memory charged for one session. Dropping it returns the memory.
pub struct MemoryAccount {
    memory: Rc<SessionMemory>,
    number: u64,
    holder: Rc<Holder>,
}

impl MemoryAccount {
    /// Charges what the session holds now. The task of `cx` is woken when the session is evicted.
    ///
    /// # Errors
    /// [`OutOfMemory`] if the session was evicted, or the limit is exceeded and no other session can be evicted.
    pub fn charge(
        &self,
        held: HeldMemory,
        now: Nanos,
        cx: &Context<'_>,
    ) -> Result<(), OutOfMemory> {
        if self.holder.is_evicted.get() {
            return Err(OutOfMemory);
        }
        self.holder.waiting_since.set(held.waiting_since);
        let bytes = held.bytes.saturating_sub(FREE_BYTES_PER_SESSION);
        if bytes > 0 {
            self.register(cx);
        }
        while bytes > self.available_bytes() {
            if !self.memory.evict_stalled(now) {
                self.memory.refusals.set(self.memory.refusals.get() + 1);
                return Err(OutOfMemory);
            }
            if self.holder.is_evicted.get() {
                return Err(OutOfMemory);
            }
        }
        self.memory.set_charge(&self.holder, bytes);
        Ok(())
    }

    /// Logs that the session ends, unless another one was logged shortly before. `log` gets the number of suppressed
    /// lines.
    pub fn log_refusal(&self, log: impl FnOnce(u64)) {
        self.memory.log.borrow_mut().log(log);
    }

    /// Bytes that this session can be charged for.
    fn available_bytes(&self) -> usize {
        let others = self.memory.charged_bytes.get() - self.holder.charged_bytes.get();
        self.memory.limit_bytes.saturating_sub(others)
    }

    fn register(&self, cx: &Context<'_>) {
        let mut waker = self.holder.waker.borrow_mut();
        let is_known = waker
            .as_ref()
            .is_some_and(|known| known.will_wake(cx.waker()));
        if !is_known {
            *waker = Some(cx.waker().clone());
        }
    }
}

impl Drop for MemoryAccount {
    fn drop(&mut self) {
        self.memory.set_charge(&self.holder, 0);
        self.memory.holders.borrow_mut().remove(&self.number);
    }
}

#[cfg(test)]
mod tests;
