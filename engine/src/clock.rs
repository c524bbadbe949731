//! The process's only clock, and all sleeps and timeouts. In production, the clock follows the system's monotonic
//! clock. In tests, it can follow a [`VirtualClock`], which the test advances; the system's time is then never read.

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

/// A monotonic clock in nanoseconds. The clock starts at the current Unix time, so that its times are comparable with
/// those of other machines. Cloning is cheap, and clones share the clock.
#[derive(Clone)]
pub struct Clock(Source);

/// The source of a clock's time.
#[derive(Clone)]
enum Source {
    /// The system's monotonic clock, which showed `started` at the Unix time `started_at`.
    System {
        started: Instant,
        started_at: Nanos,
        heartbeat: Rc<Heartbeat>,
    },
    /// A clock that a test controls.
    Virtual(Rc<VirtualClock>),
}

/// The position of a sleep in the queue of a [`VirtualClock`]. Sleeps end in order of time; sleeps that end at the same
/// time end in the order in which they started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SleepKey {
    at: Nanos,
    number: u64,
}

/// A clock that moves only when [`advance`](Self::advance) is called, with a queue of sleeps.
pub struct VirtualClock {
    now: Cell<Nanos>,
    sleepers: RefCell<BTreeMap<SleepKey, Waker>>,
    next_sleep_number: Cell<u64>,
}

impl VirtualClock {
    /// Creates a clock that shows `now`, in nanoseconds of Unix time.
    pub fn at(now: Nanos) -> Rc<Self> {
        Rc::new(Self {
            now: Cell::new(now),
            sleepers: RefCell::default(),
            next_sleep_number: Cell::new(0),
        })
    }

    /// When the next sleep ends; `None` if there are no sleeps.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.sleepers.borrow().keys().next().map(|key| key.at)
    }

    /// Moves the clock forward to `to`, and wakes the sleeps that have ended, in order. The clock does not move if `to`
    /// is in the past.
    pub fn advance(&self, to: Nanos) {
        self.now.set(self.now.get().max(to));
        // `sleepers` must not be borrowed while a waker is called, because the waker may drop other sleeps.
        while let Some(waker) = self.take_expired_waker() {
            waker.wake();
        }
    }

    /// Removes the next sleep from the queue if the sleep has ended, and returns the sleep's waker.
    fn take_expired_waker(&self) -> Option<Waker> {
        let mut sleepers = self.sleepers.borrow_mut();
        let next = sleepers.first_entry()?;
        if next.key().at > self.now.get() {
            return None;
        }
        Some(next.remove())
    }

    /// Allocates a position in the queue behind all other sleeps that end at this time.
    fn new_sleep_key(&self, at: Nanos) -> SleepKey {
        let number = self.next_sleep_number.get();
        self.next_sleep_number.set(number + 1);
        SleepKey { at, number }
    }
}

impl Clock {
    /// Creates a clock that follows the system's monotonic clock and starts at the current Unix time.
    pub fn system() -> Self {
        Self(Source::System {
            started: Instant::now(),
            started_at: unix_time(),
            heartbeat: Rc::default(),
        })
    }

    /// Creates a clock that follows a virtual clock.
    pub fn from_virtual(virtual_clock: Rc<VirtualClock>) -> Self {
        Self(Source::Virtual(virtual_clock))
    }

    /// Whether the clock follows a virtual clock.
    pub fn is_virtual(&self) -> bool {
        matches!(self.0, Source::Virtual(_))
    }

    /// The current time.
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

    /// How far the wall clock is ahead of this clock, in nanoseconds; negative if the wall clock is behind. The two
    /// clocks diverge when the wall clock is stepped.
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

    /// Waits for `interval` as a heartbeat: if the wait ends much too late, the process was paused. Exactly one task
    /// must call this in a loop.
    pub async fn heartbeat(&self, interval: Duration) {
        let due_at = self.now().saturating_add(nanos(interval));
        let Source::System { heartbeat, .. } = &self.0 else {
            return self.sleep_until(due_at).await;
        };
        heartbeat.schedule(due_at);
        self.sleep_until(due_at).await;
        heartbeat.record(self.now());
    }

    /// The time from `since` to an event that is being handled. Returns `None` if the process was paused in between and
    /// has only just resumed, because the event may have happened at any time during the pause.
    pub(crate) fn elapsed_unless_paused(&self, since: Nanos) -> Option<Nanos> {
        let now = self.now();
        let is_known = match &self.0 {
            Source::System { heartbeat, .. } => !heartbeat.has_just_resumed(now, since),
            Source::Virtual(_) => true,
        };
        is_known.then(|| now.saturating_sub(since))
    }

    /// Waits until this time, and then until the other tasks have handled the data that has arrived. For deadlines
    /// whose events are handled by other tasks: after a pause of the process, data that arrived before the deadline
    /// must be handled before the deadline counts as exceeded.
    pub async fn wait_for_deadline(&self, at: Nanos) {
        self.sleep_until(at).await;
        self.yield_to_ready_tasks().await;
    }

    /// Lets all tasks handle the data that has arrived. Does nothing on a virtual clock, whose time does not advance
    /// until all arrived data is handled.
    pub async fn yield_to_ready_tasks(&self) {
        if !self.is_virtual() {
            activity::yield_to_ready_tasks().await;
        }
    }

    /// Limits a future to this duration. The future is still in time if it completes with data that had arrived when
    /// the time limit was reached.
    ///
    /// # Errors
    ///
    /// Returns an error if the future does not complete in time.
    pub async fn timeout<F: Future>(
        &self,
        duration: Duration,
        future: F,
    ) -> Result<F::Output, Elapsed> {
        self.timeout_at(self.now().saturating_add(nanos(duration)), future)
            .await
    }

    /// Like [`timeout`](Self::timeout), with a point in time as the limit.
    ///
    /// # Errors
    ///
    /// Returns an error if the future does not complete in time.
    pub async fn timeout_at<F: Future>(&self, at: Nanos, future: F) -> Result<F::Output, Elapsed> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.wait_for_deadline(at) => Err(Elapsed),
        }
    }
}

/// The time of the wall clock.
fn unix_time() -> Nanos {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    nanos(since_epoch.unwrap_or_default())
}

fn signed_difference(later: Nanos, earlier: Nanos) -> i64 {
    let difference = i128::from(later) - i128::from(earlier);
    i64::try_from(difference).unwrap_or(if difference < 0 { i64::MIN } else { i64::MAX })
}

/// The error of a future that reached its time limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("time limit exceeded")]
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
    fn system(sleep: tokio::time::Sleep) -> Self {
        Self {
            kind: SleepKind::System { sleep },
        }
    }

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

/// A sleep on a [`VirtualClock`]. The sleep is queued from its first poll until it ends or is dropped.
struct VirtualSleep {
    clock: Rc<VirtualClock>,
    at: Nanos,
    /// `None` while the sleep is not queued.
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

/// Converts a duration to nanoseconds. Durations above the maximum of about 584 years are clamped.
pub fn nanos(duration: Duration) -> Nanos {
    u64::try_from(duration.as_nanos()).unwrap_or(Nanos::MAX)
}

#[cfg(test)]
mod tests;
