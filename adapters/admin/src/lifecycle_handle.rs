//! Shares the node's lifecycle between threads: a lock guards the state machine, and watch channels publish the state.

use std::sync::{Arc, Mutex, PoisonError};

use badgerpost_lifecycle::{Event, Lifecycle, Stage, Timer, Transition};
use tokio::sync::watch;

/// A handle to the lifecycle of the node. Clones share the same lifecycle.
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
    /// Handles an event and publishes the resulting stage and timer request.
    pub fn handle(&self, event: Event) -> Transition {
        let shared = &*self.0;
        // The state stays consistent if a thread panics while holding the lock, so a poisoned lock is used as usual.
        let mut lifecycle = shared
            .lifecycle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let transition = lifecycle.handle(event);
        // The changes are published under the lock, so that subscribers see them in order.
        set_if_changed(&shared.stage, transition.stage);
        set_if_changed(&shared.accepts, lifecycle.accepts());
        if transition.timer.is_some() {
            shared.timer_request.send_replace(transition.timer);
        }
        transition
    }

    /// Subscribes to the stage.
    pub fn stage(&self) -> watch::Receiver<Stage> {
        self.0.stage.subscribe()
    }

    /// Subscribes to whether this process accepts new connections.
    pub fn accepts(&self) -> watch::Receiver<bool> {
        self.0.accepts.subscribe()
    }

    /// Subscribes to the latest timer request; `None` before the first one. The subscriber has to deliver
    /// [`Event::TimerFired`] when the timer fires.
    pub fn timer_request(&self) -> watch::Receiver<Option<Timer>> {
        self.0.timer_request.subscribe()
    }
}

/// Publishes a value if the value differs from the current one.
fn set_if_changed<T: PartialEq + Copy>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|current| std::mem::replace(current, value) != value);
}
