//! The process's one clock, and all waiting for it. In service it is the system's; under a test's control it is a
//! [`VirtualClock`], which does not move between the test's steps, and then nothing here asks the system for the time.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use badgerpost_balancer::Nanos;

use crate::activity;
use crate::heartbeat::Heartbeat;

/// A monotonic clock. It counts nanoseconds from the Unix time at its start, so that times sent by other machines
/// compare with it. Cheap to clone; clones are the same clock.
#[derive(Clone)]
pub struct Clock(Source);

/// Where a clock's time comes from.
#[derive(Clone)]
enum Source {
    /// The system's monotonic clock. It read `started` when the Unix time was `started_at`.
    System {
        started: Instant,
        started_at: Nanos,
        heartbeat: Rc<Heartbeat>,
    },
    /// A clock that a test controls.
    Virtual(Rc<VirtualClock>),
}

/// A sleep's place in the queue of a [`VirtualClock`]: sleeps end by time, then in the order in which they began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SleepKey {
    at: Nanos,
    number: u64,
}

/// A clock that moves only by [`advance`](Self::advance), and the sleeps on it.
pub struct VirtualClock {
    now: Cell<Nanos>,
    sleepers: RefCell<BTreeMap<SleepKey, Waker>>,
    next_sleep_number: Cell<u64>,
}

impl VirtualClock {
    /// A clock that shows this Unix time.
    pub fn at(now: Nanos) -> Rc<Self> {
        Rc::new(Self {
            now: Cell::new(now),
            sleepers: RefCell::default(),
            next_sleep_number: Cell::new(0),
        })
    }

    /// When the next sleep ends, if there is any.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.sleepers.borrow().keys().next().map(|key| key.at)
    }

    /// Moves the clock forward to this time, and wakes the sleeps that have ended, in order. A time in the past leaves
    /// the clock where it is.
    pub fn advance(&self, to: Nanos) {
        self.now.set(self.now.get().max(to));
        // A waker may end other sleeps, so nothing is borrowed while it is called.
        while let Some(waker) = self.take_expired_waker() {
            waker.wake();
        }
    }

    /// Removes the next sleep from the queue if it has ended.
    fn take_expired_waker(&self) -> Option<Waker> {
        let mut sleepers = self.sleepers.borrow_mut();
        let next = sleepers.first_entry()?;
        if next.key().at > self.now.get() {
            return None;
        }
        Some(next.remove())
    }

    /// A place in the queue behind all other sleeps that end at this time.
    fn new_sleep_key(&self, at: Nanos) -> SleepKey {
        let number = self.next_sleep_number.get();
        self.next_sleep_number.set(number + 1);
        SleepKey { at, number }
    }
}

impl Clock {
    /// The system's clock, read from now on.
    pub fn system() -> Self {
        Self(Source::System {
            started: Instant::now(),
            started_at: unix_time(),
            heartbeat: Rc::default(),
        })
    }

    /// A clock that a test controls.
    pub fn from_virtual(virtual_clock: Rc<VirtualClock>) -> Self {
        Self(Source::Virtual(virtual_clock))
    }

    /// Whether a test controls the clock.
    pub fn is_virtual(&self) -> bool {
        matches!(self.0, Source::Virtual(_))
    }

    /// The present time.
    pub fn now(&self) -> Nanos {
        match &self.0 {
            Source::System {
                started,
                started_at,
                ..
            } => started_at.saturating_add(nanos(started.elapsed())),
            Source::Virtual(virtual_clock) => virtual_clock.now.get(),
        }
    }

    /// By how many nanoseconds the wall clock is ahead of this one now; negative where it is behind. It may have
    /// stepped since the start.
    pub(crate) fn wall_clock_lead(&self) -> i64 {
        match &self.0 {
            Source::System { .. } => signed_difference(unix_time(), self.now()),
            Source::Virtual(_) => 0,
        }
    }

    /// Waits until this time.
    pub fn sleep_until(&self, at: Nanos) -> Sleep {
        match &self.0 {
            Source::System {
                started,
                started_at,
                ..
            } => {
                let at = *started + Duration::from_nanos(at.saturating_sub(*started_at));
                Sleep::system(tokio::time::sleep_until(at.into()))
            }
            Source::Virtual(virtual_clock) => Sleep::on(virtual_clock.clone(), at),
        }
    }

    /// Waits for this long.
    pub fn sleep(&self, duration: Duration) -> Sleep {
        match &self.0 {
            Source::System { .. } => Sleep::system(tokio::time::sleep(duration)),
            Source::Virtual(virtual_clock) => {
                let at = self.now().saturating_add(nanos(duration));
                Sleep::on(virtual_clock.clone(), at)
            }
        }
    }

    /// Waits for this long. The wait is a heartbeat: if it ends much too late, the process has stood still. To be awaited
    /// all the time, by one task.
    pub async fn heartbeat(&self, interval: Duration) {
        let due_at = self.now().saturating_add(nanos(interval));
        let Source::System { heartbeat, .. } = &self.0 else {
            return self.sleep_until(due_at).await;
        };
        heartbeat.expect(due_at);
        self.sleep_until(due_at).await;
        heartbeat.beat(self.now());
    }

    /// The time from `since` to an event that is handled now. None if the process has stood still until a moment ago:
    /// the event may have happened at any time in between.
    pub fn known_time_since(&self, since: Nanos) -> Option<Nanos> {
        let now = self.now();
        let is_known = match &self.0 {
            Source::System { heartbeat, .. } => !heartbeat.has_just_resumed(now, since),
            Source::Virtual(_) => true,
        };
        is_known.then(|| now.saturating_sub(since))
    }

    /// Waits until this time, and until what had arrived by then has been handled. For a time limit whose other side is
    /// handled by other tasks: a process that has stood still finds the limit and what came before it at once, and the
    /// limit must not be seen first.
    pub async fn wait_for_deadline(&self, at: Nanos) {
        self.sleep_until(at).await;
        self.yield_to_ready_tasks().await;
    }

    /// Lets all tasks handle what has arrived by now. Does nothing on a clock that a test controls, where time stands
    /// still until all that has arrived is handled.
    pub async fn yield_to_ready_tasks(&self) {
        if !self.is_virtual() {
            activity::yield_to_ready_tasks().await;
        }
    }

    /// Limits a future to this duration. One that completes with what had arrived at that very moment is in time.
    ///
    /// # Errors
    ///
    /// The time is up first.
    pub async fn timeout<F: Future>(
        &self,
        duration: Duration,
        future: F,
    ) -> Result<F::Output, Elapsed> {
        self.timeout_at(self.now().saturating_add(nanos(duration)), future)
            .await
    }

    /// Limits a future until this time. One that completes with what had arrived at that very moment is in time.
    ///
    /// # Errors
    ///
    /// The time is up first.
    pub async fn timeout_at<F: Future>(&self, at: Nanos, future: F) -> Result<F::Output, Elapsed> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.wait_for_deadline(at) => Err(Elapsed),
        }
    }
}

/// What the wall clock shows.
fn unix_time() -> Nanos {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    nanos(since_epoch.unwrap_or_default())
}

fn signed_difference(later: Nanos, earlier: Nanos) -> i64 {
    let difference = i128::from(later) - i128::from(earlier);
    i64::try_from(difference).unwrap_or(if difference < 0 { i64::MIN } else { i64::MAX })
}

/// A time limit was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not in time")]
pub struct Elapsed;

pin_project_lite::pin_project! {
    /// A sleep on a [`Clock`].
    #[must_use = "a sleep does nothing unless it is awaited"]
    pub struct Sleep {
        #[pin]
        kind: SleepKind,
    }
}

pin_project_lite::pin_project! {
    #[project = SleepKindProjection]
    enum SleepKind {
        System { #[pin] sleep: tokio::time::Sleep },
        Virtual { sleep: VirtualSleep },
    }
}

impl Sleep {
    /// A sleep on the system's clock.
    fn system(sleep: tokio::time::Sleep) -> Self {
        Self {
            kind: SleepKind::System { sleep },
        }
    }

    /// A sleep on a virtual clock.
    fn on(clock: Rc<VirtualClock>, at: Nanos) -> Self {
        let sleep = VirtualSleep {
            clock,
            at,
            key: None,
        };
        Self {
            kind: SleepKind::Virtual { sleep },
        }
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        match self.project().kind.project() {
            SleepKindProjection::System { sleep } => sleep.poll(cx),
            SleepKindProjection::Virtual { sleep } => sleep.poll(cx),
        }
    }
}

/// A sleep on a [`VirtualClock`]. It is queued from its first poll until it ends or is dropped.
struct VirtualSleep {
    clock: Rc<VirtualClock>,
    at: Nanos,
    /// None while not queued.
    key: Option<SleepKey>,
}

impl VirtualSleep {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.clock.now.get() >= self.at {
            self.dequeue();
            return Poll::Ready(());
        }
        let key = *self
            .key
            .get_or_insert_with(|| self.clock.new_sleep_key(self.at));
        let waker = cx.waker().clone();
        self.clock.sleepers.borrow_mut().insert(key, waker);
        Poll::Pending
    }

    fn dequeue(&mut self) {
        if let Some(key) = self.key.take() {
            self.clock.sleepers.borrow_mut().remove(&key);
        }
    }
}

impl Drop for VirtualSleep {
    fn drop(&mut self) {
        self.dequeue();
    }
}

/// A duration in nanoseconds. One that is too long for these counts as the longest, about 584 years.
pub fn nanos(duration: Duration) -> Nanos {
    u64::try_from(duration.as_nanos()).unwrap_or(Nanos::MAX)
}

#[cfg(test)]
mod tests;
