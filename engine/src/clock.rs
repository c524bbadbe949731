//! The process's one clock, and all waiting for it. In service it is the system's; in a rehearsal it stands
//! still but for the steps that the rehearsal kit makes, and then nothing here asks the system for the time.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use badgerpost_balancer::Nanos;

/// Nanoseconds that never step back, counted from the Unix time at the start, so that times told by other
/// machines compare with it. Cheap to clone.
#[derive(Clone)]
pub struct Clock(Mode);

#[derive(Clone)]
enum Mode {
    System { began: Instant, offset: Nanos },
    Stepped(Rc<VirtualClock>),
}

/// A clock that is moved by hand, and the waits on it.
pub struct VirtualClock {
    now: Cell<Nanos>,
    /// By time, then in the order in which they began.
    waits: RefCell<BTreeMap<(Nanos, u64), Waker>>,
    next: Cell<u64>,
}

impl VirtualClock {
    /// A clock that stands at this Unix time.
    pub fn at(now: Nanos) -> Rc<Self> {
        Rc::new(Self {
            now: Cell::new(now),
            waits: RefCell::default(),
            next: Cell::new(0),
        })
    }

    /// When the next wait ends, if anything waits.
    pub fn next_due(&self) -> Option<Nanos> {
        self.waits.borrow().keys().next().map(|(at, _)| *at)
    }

    /// Moves the clock, never back, and wakes the waits that are due, in order.
    pub fn advance(&self, to: Nanos) {
        self.now.set(self.now.get().max(to));
        loop {
            // A waker may end other waits, so it is called with nothing borrowed.
            let due = {
                let mut waits = self.waits.borrow_mut();
                match waits.first_key_value() {
                    Some(((at, _), _)) if *at <= self.now.get() => waits.pop_first(),
                    _ => None,
                }
            };
            match due {
                Some((_, waker)) => waker.wake(),
                None => return,
            }
        }
    }
}

impl Clock {
    /// The system's clock, read from now on.
    pub fn system() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self(Mode::System {
            began: Instant::now(),
            offset: nanos(unix),
        })
    }

    /// A clock moved by hand.
    pub fn stepped(steps: Rc<VirtualClock>) -> Self {
        Self(Mode::Stepped(steps))
    }

    /// Whether it is moved by hand.
    pub fn is_stepped(&self) -> bool {
        matches!(self.0, Mode::Stepped(_))
    }

    /// The present.
    pub fn now(&self) -> Nanos {
        match &self.0 {
            Mode::System { began, offset } => offset.saturating_add(nanos(began.elapsed())),
            Mode::Stepped(steps) => steps.now.get(),
        }
    }

    /// Waits until this time.
    pub fn sleep_until(&self, at: Nanos) -> Sleep {
        match &self.0 {
            Mode::System { began, offset } => {
                let at = *began + Duration::from_nanos(at.saturating_sub(*offset));
                Sleep {
                    kind: Kind::System {
                        sleep: tokio::time::sleep_until(at.into()),
                    },
                }
            }
            Mode::Stepped(steps) => Sleep {
                kind: Kind::Stepped {
                    wait: Wait {
                        steps: steps.clone(),
                        at,
                        key: None,
                    },
                },
            },
        }
    }

    /// Waits for so long.
    pub fn sleep(&self, span: Duration) -> Sleep {
        match &self.0 {
            Mode::System { .. } => Sleep {
                kind: Kind::System {
                    sleep: tokio::time::sleep(span),
                },
            },
            Mode::Stepped(_) => self.sleep_until(self.now().saturating_add(nanos(span))),
        }
    }

    /// Gives `work` this long to end. Work that ends at that very moment has ended in time.
    pub async fn timeout<F: Future>(&self, span: Duration, work: F) -> Result<F::Output, Elapsed> {
        tokio::select! {
            biased;
            output = work => Ok(output),
            () = self.sleep(span) => Err(Elapsed),
        }
    }

    /// Gives `work` until then to end.
    pub async fn timeout_at<F: Future>(&self, at: Nanos, work: F) -> Result<F::Output, Elapsed> {
        tokio::select! {
            biased;
            output = work => Ok(output),
            () = self.sleep_until(at) => Err(Elapsed),
        }
    }
}

/// The time given was up first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not in time")]
pub struct Elapsed;

pin_project_lite::pin_project! {
    /// A wait on a [`Clock`].
    #[must_use = "a wait does nothing unless it is awaited"]
    pub struct Sleep {
        #[pin]
        kind: Kind,
    }
}

pin_project_lite::pin_project! {
    #[project = KindProjection]
    enum Kind {
        System { #[pin] sleep: tokio::time::Sleep },
        Stepped { wait: Wait },
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        match self.project().kind.project() {
            KindProjection::System { sleep } => sleep.poll(cx),
            KindProjection::Stepped { wait } => wait.poll(cx),
        }
    }
}

/// A place in the queue of a clock moved by hand; given up when dropped.
struct Wait {
    steps: Rc<VirtualClock>,
    at: Nanos,
    key: Option<(Nanos, u64)>,
}

impl Wait {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.steps.now.get() >= self.at {
            self.leave();
            return Poll::Ready(());
        }
        let key = *self.key.get_or_insert_with(|| {
            let number = self.steps.next.get();
            self.steps.next.set(number + 1);
            (self.at, number)
        });
        self.steps
            .waits
            .borrow_mut()
            .insert(key, cx.waker().clone());
        Poll::Pending
    }

    fn leave(&mut self) {
        if let Some(key) = self.key.take() {
            self.steps.waits.borrow_mut().remove(&key);
        }
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        self.leave();
    }
}

/// A span in nanoseconds; one that is longer than these reach counts as the longest.
pub fn nanos(span: Duration) -> Nanos {
    u64::try_from(span.as_nanos()).unwrap_or(Nanos::MAX)
}

#[cfg(test)]
mod tests;
