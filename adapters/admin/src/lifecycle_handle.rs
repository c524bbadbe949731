//! The node's life cycle where several threads tell and read it: the state machine behind a lock that is held for no
//! longer than one step, and its stage on a watch.

use std::sync::{Arc, Mutex, PoisonError};

use badgerpost_lifecycle::{Event, Lifecycle, Stage, Timer, Transition};
use tokio::sync::watch;

/// A wake-up that the state machine wants.
pub type PendingTimer = Timer;

/// A handle on the life cycle. Cheap to clone.
#[derive(Clone)]
pub struct LifecycleHandle(Arc<Shared>);

struct Shared {
    machine: Mutex<Lifecycle>,
    stage: watch::Sender<Stage>,
    wake: watch::Sender<Option<PendingTimer>>,
    accepts: watch::Sender<bool>,
}

impl Default for LifecycleHandle {
    fn default() -> Self {
        let machine = Mutex::new(Lifecycle::new());
        let (stage, wake, accepts) = (
            watch::Sender::new(Stage::Active),
            watch::Sender::new(None),
            watch::Sender::new(true),
        );
        Self(Arc::new(Shared {
            machine,
            stage,
            wake,
            accepts,
        }))
    }
}

impl LifecycleHandle {
    /// Tells the node something; whether what was asked for holds now.
    pub fn tell(&self, event: Event) -> Transition {
        // A panic under the lock would have left a whole state: each step is one assignment.
        let mut machine = self
            .0
            .machine
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let step = machine.handle(event);
        // Told under the lock, so that stages are seen in the order in which they came about.
        self.0
            .stage
            .send_if_modified(|stage| std::mem::replace(stage, step.stage) != step.stage);
        let accepts = machine.accepts();
        self.0
            .accepts
            .send_if_modified(|before| std::mem::replace(before, accepts) != accepts);
        if step.timer.is_some() {
            self.0.wake.send_replace(step.timer);
        }
        step
    }

    /// The stage, and its changes.
    pub fn stage(&self) -> watch::Receiver<Stage> {
        self.0.stage.subscribe()
    }

    /// Whether new connections are taken, and changes of that.
    pub fn accepts(&self) -> watch::Receiver<bool> {
        self.0.accepts.subscribe()
    }

    /// The wake-up wanted last; who keeps the time tells [`Event::TimerFired`] when it is due.
    pub fn wakes(&self) -> watch::Receiver<Option<PendingTimer>> {
        self.0.wake.subscribe()
    }
}
