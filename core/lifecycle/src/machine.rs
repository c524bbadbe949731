//! The state machine that turns events into transitions.

use std::time::Duration;

use crate::stage::Stage;

/// The time from a standby call or SIGTERM until idle connections are closed. The platform may route new connections to
/// the node for up to 0.4 s after either, and clients may still be sending a request that they had begun.
const DRAIN_ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// The time from closing idle connections until the node stops accepting: connections established meanwhile are served.
const CLOSE_ACCEPT_PERIOD: Duration = Duration::from_millis(100);

/// An input of the lifecycle state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The operators request that the node drain.
    Standby,
    /// The operators request that the node return to service.
    Active,
    /// The process has received a request to exit, such as SIGTERM.
    Stop,
    /// Another process has started (true) or stopped (false) accepting connections on the same listening socket.
    ListenerShared(bool),
    /// The timer with this token has fired.
    TimerFired(TimerToken),
}

/// Identifies one requested timer, so that a timer of an earlier stage is recognized as stale.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TimerToken(pub(crate) u64);

/// A request to deliver [`Event::TimerFired`] later. A new request replaces the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timer {
    /// The time from the transition until the timer fires.
    pub after: Duration,
    /// The token to deliver with [`Event::TimerFired`].
    pub token: TimerToken,
}

/// The result of handling an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The stage after the event.
    pub stage: Stage,
    /// Whether the request was granted; false only for a return to service after shutdown has begun.
    pub granted: bool,
    /// The timer to set; `None` unless the event started a stage that ends by a timer.
    pub timer: Option<Timer>,
}

/// The lifecycle of one node.
#[derive(Clone, Debug, Default)]
pub struct Lifecycle {
    stage: Stage,
    /// The token of the current stage's timer; incremented at every change of stage.
    timer_token: TimerToken,
    /// Whether another process accepts connections on the same listening socket.
    is_listener_shared: bool,
}

impl Lifecycle {
    /// Creates the lifecycle of a node in service.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The current stage.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether this process accepts new connections. A process that shuts down does not accept while another process
    /// accepts on the same listening socket.
    #[must_use]
    pub fn accepts(&self) -> bool {
        let defers_to_successor = self.is_listener_shared && self.stage.is_shutting_down();
        self.stage.accepts() && !defers_to_successor
    }

    /// Handles one event. A request for the current state is granted and changes nothing.
    pub fn handle(&mut self, event: Event) -> Transition {
        match event {
            Event::Standby => self.drain(),
            Event::Active => self.return_to_service(),
            Event::Stop => self.shut_down(),
            Event::ListenerShared(is_shared) => self.set_listener_shared(is_shared),
            Event::TimerFired(token) => self.on_timer(token),
        }
    }

    /// Starts to drain a node in service. In every other stage the node is already draining, drained or shutting down.
    fn drain(&mut self) -> Transition {
        if self.stage == Stage::Active {
            self.enter_with_timer(Stage::Draining, DRAIN_ACCEPT_PERIOD)
        } else {
            self.transition(true)
        }
    }

    /// Returns a draining or drained node to service. The request is refused once shutdown has begun.
    fn return_to_service(&mut self) -> Transition {
        match self.stage {
            Stage::Active => self.transition(true),
            Stage::Draining | Stage::Empty => self.enter(Stage::Active),
            Stage::Stopping | Stage::Closing | Stage::Closed => self.transition(false),
        }
    }

    /// Begins shutdown. A draining node waits the full period again, because the platform may route new connections to
    /// the node for a while after SIGTERM too.
    fn shut_down(&mut self) -> Transition {
        if self.stage.is_shutting_down() {
            self.transition(true)
        } else {
            self.enter_with_timer(Stage::Stopping, DRAIN_ACCEPT_PERIOD)
        }
    }

    fn set_listener_shared(&mut self, is_shared: bool) -> Transition {
        self.is_listener_shared = is_shared;
        self.transition(true)
    }

    /// Ends the current stage, unless the timer belongs to an earlier stage.
    fn on_timer(&mut self, token: TimerToken) -> Transition {
        if token != self.timer_token {
            return self.transition(true);
        }
        match self.stage {
            Stage::Draining => self.enter(Stage::Empty),
            Stage::Stopping => self.enter_with_timer(Stage::Closing, CLOSE_ACCEPT_PERIOD),
            Stage::Closing => self.enter(Stage::Closed),
            Stage::Active | Stage::Empty | Stage::Closed => self.transition(true),
        }
    }

    /// Enters a stage that has no timer.
    fn enter(&mut self, stage: Stage) -> Transition {
        self.stage = stage;
        self.timer_token.0 += 1;
        self.transition(true)
    }

    /// Enters a stage that ends when a timer fires after this duration.
    fn enter_with_timer(&mut self, stage: Stage, after: Duration) -> Transition {
        let transition = self.enter(stage);
        let timer = Timer {
            after,
            token: self.timer_token,
        };
        Transition {
            timer: Some(timer),
            ..transition
        }
    }

    /// Returns the current stage as a transition without a timer.
    fn transition(&self, granted: bool) -> Transition {
        Transition {
            stage: self.stage,
            granted,
            timer: None,
        }
    }
}
