//! The state machine: events in, transitions out.

use std::time::Duration;

use crate::stage::Stage;

/// Time from a standby call or SIGTERM until idle connections are closed. By the platform's protocol new connections may
/// arrive for up to 0.4 s after either, and clients with a connection finish sending the request they had begun.
const DRAIN_ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// Time after that for accepting connections that crossed the closing of the idle ones.
const CLOSE_ACCEPT_PERIOD: Duration = Duration::from_millis(100);

/// An input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The operators ask for the node to be drained.
    Standby,
    /// The operators ask for the node to return to service.
    Active,
    /// The process has been asked to exit.
    Stop,
    /// Whether another process accepts connections on the same listening socket.
    ListenerShared(bool),
    /// The timer with this token has fired.
    TimerFired(TimerToken),
}

/// Identifies one requested timer, so that a timer of a stage that was left is recognized as stale.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TimerToken(pub(crate) u64);

/// A request to deliver [`Event::TimerFired`] later; it replaces the request before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timer {
    /// Time from now until the timer fires.
    pub after: Duration,
    /// The token to deliver with the event.
    pub token: TimerToken,
}

/// The result of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The stage after the event.
    pub stage: Stage,
    /// Whether the request is fulfilled; false for a call that comes too late.
    pub granted: bool,
    /// The timer to set, if the new stage ends by one.
    pub timer: Option<Timer>,
}

/// Lifecycle of one node.
#[derive(Clone, Debug, Default)]
pub struct Lifecycle {
    stage: Stage,
    /// The token of the current stage's timer; rises with every change of stage.
    timer_token: TimerToken,
    /// Whether another process accepts connections on the same listening socket.
    is_listener_shared: bool,
}

impl Lifecycle {
    /// A node in service.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The current stage.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether this process accepts new connections. From the beginning of its shutdown it leaves them to a successor
    /// on the same listening socket, if there is one.
    #[must_use]
    pub fn accepts(&self) -> bool {
        let is_left_to_successor = self.is_listener_shared && self.stage.is_shutting_down();
        self.stage.accepts() && !is_left_to_successor
    }

    /// Applies one event. A request for what is already the case changes nothing and is granted.
    pub fn handle(&mut self, event: Event) -> Transition {
        match event {
            Event::Standby => self.drain(),
            Event::Active => self.return_to_service(),
            Event::Stop => self.shut_down(),
            Event::ListenerShared(is_shared) => self.set_listener_shared(is_shared),
            Event::TimerFired(token) => self.on_timer(token),
        }
    }

    /// Starts to drain a node in service. In all other stages the node already is, or soon will be, without connections.
    fn drain(&mut self) -> Transition {
        if self.stage == Stage::Active {
            self.enter_with_timer(Stage::Draining, DRAIN_ACCEPT_PERIOD)
        } else {
            self.stay(true)
        }
    }

    /// Returns a drained or draining node to service; refused once shutdown has begun.
    fn return_to_service(&mut self) -> Transition {
        match self.stage {
            Stage::Active => self.stay(true),
            Stage::Draining | Stage::Empty => self.enter(Stage::Active),
            Stage::Stopping | Stage::Closing | Stage::Closed => self.stay(false),
        }
    }

    /// Begins shutdown, also while draining: the platform sends connections for a while after the signal just as after
    /// the standby call.
    fn shut_down(&mut self) -> Transition {
        if self.stage.is_shutting_down() {
            self.stay(true)
        } else {
            self.enter_with_timer(Stage::Stopping, DRAIN_ACCEPT_PERIOD)
        }
    }

    /// Notes whether another process accepts connections on the same socket.
    fn set_listener_shared(&mut self, is_shared: bool) -> Transition {
        self.is_listener_shared = is_shared;
        self.stay(true)
    }

    /// Ends the current stage, if the timer is its own; ignores a stale timer.
    fn on_timer(&mut self, token: TimerToken) -> Transition {
        if token != self.timer_token {
            return self.stay(true);
        }
        match self.stage {
            Stage::Draining => self.enter(Stage::Empty),
            Stage::Stopping => self.enter_with_timer(Stage::Closing, CLOSE_ACCEPT_PERIOD),
            Stage::Closing => self.enter(Stage::Closed),
            Stage::Active | Stage::Empty | Stage::Closed => self.stay(true),
        }
    }

    /// Changes to a stage that ends only by an event.
    fn enter(&mut self, stage: Stage) -> Transition {
        self.stage = stage;
        self.timer_token.0 += 1;
        self.stay(true)
    }

    /// Changes to a stage that ends after the given time.
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

    /// Reports the current stage without a timer.
    fn stay(&self, granted: bool) -> Transition {
        Transition {
            stage: self.stage,
            granted,
            timer: None,
        }
    }
}
