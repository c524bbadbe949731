//! A node's way into and out of service: active, emptied by its operators, stopping, closed. One state that readiness,
//! the client side and the process's end all read; no flags beside it. It does no I/O and knows no clock: what has to
//! happen later is asked for with [`Transition::timer`] and comes back as [`Event::TimerFired`].

use std::time::Duration;

/// After a call to stand by, as after SIGTERM, new connections go on coming for a while (0.4 s at most, by the
/// platform's protocol), and those who have one send what they had begun to write: up to here.
const DRAIN_ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// Connections that cross the closing of idle ones are taken up to here after that.
const CLOSE_ACCEPT_PERIOD: Duration = Duration::from_millis(100);

/// Where a node stands. The order is that of the way out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// In service.
    #[default]
    Active,
    /// Told to stand by: takes what comes, and each answer ends its connection.
    Draining,
    /// Standing by: idle connections are closed too. It may be called back.
    Empty,
    /// Told to end: takes what comes, and each answer ends its connection.
    Stopping,
    /// About to end: idle connections are closed too, new ones are still taken.
    Closing,
    /// Takes no more connections, and ends with the last one.
    Closed,
}

impl Stage {
    /// Whether the node is to get new connections.
    pub fn is_ready(self) -> bool {
        self == Self::Active
    }

    /// Whether a connection may outlast its answer.
    pub fn keeps_connections(self) -> bool {
        self == Self::Active
    }

    /// Whether connections with nothing on them are closed.
    pub fn closes_idle(self) -> bool {
        matches!(self, Self::Empty | Self::Closing | Self::Closed)
    }

    /// Whether new connections are taken.
    pub fn accepts(self) -> bool {
        self != Self::Closed
    }
}

/// What a node is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Operators want it emptied.
    Standby,
    /// Operators want it back.
    Active,
    /// The process is to end.
    Stop,
    /// Another process takes what comes at the same listening socket from now on, or does so no longer.
    Shared(bool),
    /// The time that [`Transition::timer`] asked for is over.
    TimerFired(u64),
}

/// What an event has led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// Where the node stands now.
    pub stage: Stage,
    /// Whether what was asked for holds: false for a call that comes too late.
    pub granted: bool,
    /// Come back after so long with this number.
    pub timer: Option<(Duration, u64)>,
}

/// The state machine.
#[derive(Clone, Debug, Default)]
pub struct Lifecycle {
    stage: Stage,
    /// The wake-up that counts; older ones are of a stage that has been left.
    token: u64,
    shared: bool,
}

impl Lifecycle {
    /// A node in service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Where the node stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Takes in what the node is told. Calls that ask for what is so already change nothing and are granted.
    pub fn handle(&mut self, event: Event) -> Transition {
        use Stage::{Active, Closed, Closing, Draining, Empty, Stopping};
        let stage = self.stage;
        match event {
            Event::Standby if stage == Active => self.enter(Draining, Some(DRAIN_ACCEPT_PERIOD)),
            // Whoever ends is empty soon, which is what was asked for.
            Event::Standby => self.stay(true),
            Event::Active if matches!(stage, Draining | Empty) => self.enter(Active, None),
            Event::Active => self.stay(stage == Active),
            // Also out of a drain: the platform sends connections for a while after the signal as after the call.
            Event::Stop if stage < Stopping => self.enter(Stopping, Some(DRAIN_ACCEPT_PERIOD)),
            Event::Stop => self.stay(true),
            Event::Shared(shared) => {
                self.shared = shared;
                self.stay(true)
            }
            Event::TimerFired(token) if token != self.token => self.stay(true),
            Event::TimerFired(_) => match stage {
                Draining => self.enter(Empty, None),
                Stopping => self.enter(Closing, Some(CLOSE_ACCEPT_PERIOD)),
                Closing => self.enter(Closed, None),
                Active | Empty | Closed => self.stay(true),
            },
        }
    }

    /// Whether this process takes new connections: one that ends and has a successor at the same socket leaves them
    /// to it at once.
    pub fn accepts(&self) -> bool {
        self.stage.accepts() && !(self.shared && self.stage >= Stage::Stopping)
    }

    fn enter(&mut self, stage: Stage, after: Option<Duration>) -> Transition {
        self.stage = stage;
        self.token += 1;
        Transition {
            stage,
            granted: true,
            timer: after.map(|after| (after, self.token)),
        }
    }

    fn stay(&self, granted: bool) -> Transition {
        Transition {
            stage: self.stage,
            granted,
            timer: None,
        }
    }
}

#[cfg(test)]
mod tests;
