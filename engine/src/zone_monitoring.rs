//! Connects the [`ZoneMonitor`] to the engine: translates attempts, endpoint lists, peer updates and operator overrides
//! into events for the monitor, and the monitor's actions into a [`ZoneOutput`] for the driver.

use std::collections::BTreeMap;

use badgerpost_balancer::{
    BackendId, ClassId, Endpoint, EndpointState, EndpointUpdate, Event as BalancerEvent, Nanos,
    Outcome, Settings, ZoneId,
};
use badgerpost_zone_health::{
    Action, AttemptKey, AttemptSignal, ClassIndex, Event, GossipZone, ListedServer, MemberId,
    ServerId, Settings as ZoneSettings, ZoneIndex, ZoneMonitor, ZoneObservation,
    ZoneOverride as MonitorOverride, ZoneStateReason,
};

use crate::attempt::AttemptId;

/// The number of low bits of an [`AttemptKey`] that hold the attempt's number. The other bits hold the request id.
const ATTEMPT_NUMBER_BITS: u32 = 8;

const MAX_ATTEMPT_NUMBER: u32 = (1 << ATTEMPT_NUMBER_BITS) - 1;

/// An encoded observation of a zone that nodes send to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneGossip {
    /// The zone's number, which is also the gossip topic of the observation.
    pub zone: u16,
    /// The encoded [`ZoneObservation`].
    pub observation: Vec<u8>,
}

/// An update from or about another node of the fleet.
#[derive(Clone, Debug)]
pub enum PeerUpdate {
    /// A node joined or left.
    Member {
        /// The node's id.
        member: u64,
        /// The number of the node's own zone.
        zone: u8,
        /// Whether the node is up.
        is_up: bool,
    },
    /// A node sent an observation of a zone.
    Gossip {
        /// The node's id.
        member: u64,
        /// When the gossip was sent, in nanoseconds of Unix time on the sender's clock.
        sent_at: Nanos,
        /// The observation.
        gossip: ZoneGossip,
    },
}

/// An operator's override that holds a zone open or closed regardless of the zone monitor's findings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneOverride {
    /// The state in which the zone is held.
    pub state: ForcedZoneState,
    /// How long the override lasts, counted from when the engine receives the override.
    pub duration: Nanos,
}

/// The state in which an operator's override holds a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForcedZoneState {
    /// The zone gets no requests.
    Closed,
    /// The zone gets its full share.
    Open,
}

/// The zone monitor's actions, translated for the driver.
#[derive(Default)]
pub(crate) struct ZoneOutput {
    pub(crate) balancer_events: Vec<BalancerEvent>,
    /// State changes, for the log and the metrics.
    pub(crate) changes: Vec<ZoneChange>,
    /// Observations for the other nodes.
    pub(crate) gossip: Vec<ZoneGossip>,
    /// The new setting of the monitor's timer; `None` if the timer did not change.
    pub(crate) timer: Option<TimerChange>,
}

impl ZoneOutput {
    fn notify_balancer(&mut self, event: BalancerEvent) {
        self.balancer_events.push(event);
    }
}

/// A new setting of the zone monitor's only timer.
pub(crate) struct TimerChange {
    /// When the timer fires.
    pub(crate) at: Nanos,
    /// When the replaced timer would have fired; `None` if no timer was set.
    pub(crate) replaces: Option<Nanos>,
}

/// A change of a zone's state.
pub(crate) struct ZoneChange {
    pub(crate) zone: ZoneId,
    /// The zone's new share, from 0 to 1.
    pub(crate) share: f64,
    pub(crate) reason: ZoneStateReason,
    /// The number of servers in the zone.
    pub(crate) servers: u32,
}

/// The zone and size of a backend in service.
struct MonitoredBackend {
    zone: ZoneId,
    size: f64,
}

/// A [`ZoneMonitor`] with the state needed to build the monitor's events.
pub(crate) struct ZoneMonitoring {
    monitor: ZoneMonitor,
    zone_count: u32,
    /// The backends in service. The endpoint list bounds the number of entries.
    backends: BTreeMap<BackendId, MonitoredBackend>,
    /// When the monitor's timer fires; `None` if no timer is set.
    timer_at: Option<Nanos>,
}

impl ZoneMonitoring {
    /// Creates a monitor without backends. `seed` initialises the monitor's random number generator.
    pub(crate) fn new(settings: &Settings, seed: u64, now: Nanos) -> Self {
        let zone_settings = ZoneSettings {
            local_zone: settings.local_zone.0,
            zone_count: settings.zone_count,
            class_count: u32::try_from(settings.classes.len()).unwrap_or(u32::MAX),
            node_count: settings.node_count,
            seed,
        };
        Self {
            monitor: ZoneMonitor::new(zone_settings, now),
            zone_count: settings.zone_count,
            backends: BTreeMap::new(),
            timer_at: None,
        }
    }

    /// Handles an endpoint update.
    pub(crate) fn endpoints_updated(
        &mut self,
        now: Nanos,
        update: EndpointUpdate,
        endpoints: &[Endpoint],
    ) -> ZoneOutput {
        if update != EndpointUpdate::Delta {
            self.backends.clear();
        }
        for endpoint in endpoints {
            self.update_backend(endpoint);
        }
        let listed = self.backends.iter().map(|(id, backend)| ListedServer {
            server: ServerId(id.0),
            zone: ZoneIndex(backend.zone.0),
            capacity: backend.size,
        });
        let event = Event::EndpointsListed(listed.collect());
        self.handle(now, event)
    }

    /// Adds a backend if it is in service in one of the configured zones; otherwise removes the backend.
    fn update_backend(&mut self, endpoint: &Endpoint) {
        let is_in_service = endpoint.state == EndpointState::InService;
        if is_in_service && endpoint.zone.0 < self.zone_count {
            let backend = MonitoredBackend {
                zone: endpoint.zone,
                size: endpoint.size_or_one(),
            };
            self.backends.insert(endpoint.backend, backend);
        } else {
            self.backends.remove(&endpoint.backend);
        }
    }

    /// Starts to observe an attempt: when the attempt is sent or, for an upload, when the upload is complete.
    pub(crate) fn attempt_sent(
        &mut self,
        now: Nanos,
        attempt: AttemptId,
        class: ClassId,
    ) -> ZoneOutput {
        let Some(backend) = self.backends.get(&attempt.backend) else {
            return ZoneOutput::default();
        };
        let event = Event::AttemptSent {
            attempt: attempt_key(attempt),
            server: ServerId(attempt.backend.0),
            zone: ZoneIndex(backend.zone.0),
            class: ClassIndex(class.0),
        };
        self.handle(now, event)
    }

    /// Handles the end of an attempt. `has_response_time` is false if the request's upload was not complete; then only
    /// failures count as evidence. `utilization` is the utilization that the backend reported, if any.
    pub(crate) fn attempt_ended(
        &mut self,
        now: Nanos,
        attempt: AttemptId,
        outcome: Outcome,
        has_response_time: bool,
        utilization: Option<f64>,
    ) -> ZoneOutput {
        let signal = match attempt_signal(outcome) {
            AttemptSignal::Success if !has_response_time => AttemptSignal::Inconclusive,
            AttemptSignal::TimedOut if !has_response_time => AttemptSignal::NotSent,
            signal => signal,
        };
        let event = Event::AttemptEnded {
            attempt: attempt_key(attempt),
            signal,
            utilization,
        };
        self.handle(now, event)
    }

    /// Handles the firing of the monitor's timer.
    pub(crate) fn on_timer(&mut self, now: Nanos) -> ZoneOutput {
        self.timer_at = None;
        self.handle(now, Event::TimerFired)
    }

    /// Sets an operator's override of a zone's state, or ends the override if `zone_override` is `None`.
    pub(crate) fn operator_override(
        &mut self,
        now: Nanos,
        zone: ZoneId,
        zone_override: Option<ZoneOverride>,
    ) -> ZoneOutput {
        let monitor_override = zone_override.map(|zone_override| {
            let is_closed = zone_override.state == ForcedZoneState::Closed;
            MonitorOverride::new(is_closed, now.saturating_add(zone_override.duration))
        });
        let event = Event::OperatorOverride {
            zone: ZoneIndex(zone.0),
            zone_override: monitor_override,
        };
        self.handle(now, event)
    }

    /// Handles that another node joined, left or sent gossip. Gossip that can't be decoded is ignored.
    pub(crate) fn peer_updated(&mut self, now: Nanos, update: &PeerUpdate) -> ZoneOutput {
        match peer_event(update) {
            Some(event) => self.handle(now, event),
            None => ZoneOutput::default(),
        }
    }

    /// Passes an event to the monitor and translates the resulting actions.
    fn handle(&mut self, now: Nanos, event: Event) -> ZoneOutput {
        let mut actions = Vec::new();
        self.monitor.handle(now, event, &mut actions);
        let mut output = ZoneOutput::default();
        for action in &actions {
            self.apply(action, &mut output);
        }
        output
    }

    /// Translates one of the monitor's actions.
    fn apply(&mut self, action: &Action, output: &mut ZoneOutput) {
        match *action {
            Action::SetShare { zone, share } => {
                let zone = ZoneId(zone.0);
                output.notify_balancer(BalancerEvent::ZoneShareChanged { zone, share });
            }
            Action::RequestProbe { zone, timeout } => {
                let zone = ZoneId(zone.0);
                output.notify_balancer(BalancerEvent::ZoneProbeRequested { zone, timeout });
            }
            Action::Gossip {
                zone,
                ref observation,
            } => output.gossip.push(ZoneGossip {
                zone: u16::from(zone.0),
                observation: observation.to_bytes(),
            }),
            Action::SetTimer { at } => {
                let replaces = self.timer_at.replace(at);
                output.timer = Some(TimerChange { at, replaces });
            }
            Action::LogChange {
                zone,
                share,
                reason,
                server_count,
            } => output.changes.push(ZoneChange {
                zone: ZoneId(zone.0),
                share,
                reason,
                servers: server_count,
            }),
        }
    }
}

/// Translates a peer update into an event for the monitor. Returns `None` if the gossip can't be decoded.
fn peer_event(update: &PeerUpdate) -> Option<Event> {
    match update {
        PeerUpdate::Member {
            member,
            zone,
            is_up,
        } => Some(Event::PeerChanged {
            member: MemberId(*member),
            home_zone: GossipZone(*zone),
            is_up: *is_up,
        }),
        PeerUpdate::Gossip {
            member,
            sent_at,
            gossip,
        } => Some(Event::PeerObserved {
            member: MemberId(*member),
            zone: GossipZone(u8::try_from(gossip.zone).ok()?),
            sent_at: *sent_at,
            observation: ZoneObservation::from_bytes(&gossip.observation)?,
        }),
    }
}

/// The evidence that an attempt's outcome provides about the health of the backend's zone.
fn attempt_signal(outcome: Outcome) -> AttemptSignal {
    match outcome {
        Outcome::Success => AttemptSignal::Success,
        Outcome::Error => AttemptSignal::ErrorResponse,
        Outcome::ConnectFailed | Outcome::Reset => AttemptSignal::ConnectionFailed,
        Outcome::TimedOut | Outcome::Cancelled => AttemptSignal::TimedOut,
        Outcome::Rejected | Outcome::InvalidResponse => AttemptSignal::Inconclusive,
        Outcome::NotSent => AttemptSignal::NotSent,
    }
}

/// The monitor's key for an attempt. The settings limit the attempts of a request to far less than
/// [`MAX_ATTEMPT_NUMBER`].
fn attempt_key(attempt: AttemptId) -> AttemptKey {
    let number = attempt.number.0.min(MAX_ATTEMPT_NUMBER);
    AttemptKey((attempt.request.0 << ATTEMPT_NUMBER_BITS) | u64::from(number))
}
