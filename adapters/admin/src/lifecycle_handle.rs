//! The node's lifecycle where several threads change and read it: the state machine behind a lock that is held for one
//! step, and its outputs as watch channels.

use std::sync::{Arc, Mutex, PoisonError};

use badgerpost_lifecycle::{Event, Lifecycle, Stage, Timer, Transition};
use tokio::sync::watch;

/// A handle on the lifecycle. Cheap to clone.
#[derive(Clone)]
pub struct LifecycleHandle(Arc<Shared>);

struct Shared {
    lifecycle: Mutex<Lifecycle>,
    stage: watch::Sender<Stage>,
    timer_request: watch::Sender<Option<Timer>>,
    accepts: watch::Sender<bool>,
}

impl Default for LifecycleHandle {
    fn default() -> Self {
        Self(Arc::new(Shared {
            lifecycle: Mutex::new(Lifecycle::new()),
            stage: watch::Sender::new(Stage::Active),
            timer_request: watch::Sender::new(None),
            accepts: watch::Sender::new(true),
        }))
    }
}

impl LifecycleHandle {
    /// Applies an event.
    pub fn handle(&self, event: Event) -> Transition {
        let shared = &*self.0;
        // A thread that panicked with the lock held leaves the state usable: each step is a single assignment.
        let mut lifecycle = shared
            .lifecycle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let transition = lifecycle.handle(event);
        // Published under the lock, so that stages are seen in the order of their changes.
        set_if_changed(&shared.stage, transition.stage);
        set_if_changed(&shared.accepts, lifecycle.accepts());
        if transition.timer.is_some() {
            shared.timer_request.send_replace(transition.timer);
        }
        transition
    }

    /// The stage, and its changes.
    pub fn stage(&self) -> watch::Receiver<Stage> {
        self.0.stage.subscribe()
    }

    /// Whether new connections are accepted, and changes of that.
    pub fn accepts(&self) -> watch::Receiver<bool> {
        self.0.accepts.subscribe()
    }

    /// The timer requested last. Whoever runs it delivers [`Event::TimerFired`] when it fires.
    pub fn timer_request(&self) -> watch::Receiver<Option<Timer>> {
        self.0.timer_request.subscribe()
    }
}

/// Publishes a value unless it is the one published last.
fn set_if_changed<T: PartialEq + Copy>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|current| std::mem::replace(current, value) != value);
}
