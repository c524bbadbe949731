//! Connects the zone-health core to the engine: translates the attempts, endpoint lists, peer updates and operator
//! overrides that the driver sees into events of the core, and the core's actions into work for the driver.

use std::collections::BTreeMap;

use badgerpost_balancer::{
    BackendId, ClassId, Endpoint, EndpointState, EndpointUpdate, Event as BalancerEvent, Nanos,
    Outcome, Settings, ZoneId,
};
use badgerpost_zone_health::{
    Action, AttemptKey, AttemptSignal, ClassIndex, Event, GossipZone, ListedServer, MemberId,
    ServerId, Settings as ZoneSettings, ZoneIndex, ZoneMonitor, ZoneObservation,
    ZoneOverride as CoreOverride, ZoneStateReason,
};

use crate::attempt::AttemptId;

/// Attempt ids of the zone-health core keep this many low bits for the attempt's number.
const ATTEMPT_NUMBER_BITS: u32 = 8;

/// The highest attempt number that fits into these bits.
const MAX_ATTEMPT_NUMBER: u32 = (1 << ATTEMPT_NUMBER_BITS) - 1;

/// A node's observation of a zone for its peers, as encoded for the network.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneGossip {
    /// The zone's number; the topic under which it is broadcast.
    pub zone: u16,
    /// The encoded [`ZoneObservation`].
    pub observation: Vec<u8>,
}

/// An update from or about another node of the fleet.
#[derive(Clone, Debug)]
pub enum PeerUpdate {
    /// A node has joined or left.
    Member {
        /// The node's id.
        member: u64,
        /// The number of the node's own zone.
        zone: u8,
        /// Whether the node is up.
        is_up: bool,
    },
    /// A node has sent what it observed of a zone.
    Gossip {
        /// The node's id.
        member: u64,
        /// When it was sent, by the sender's clock, in Unix time.
        sent_at: Nanos,
        /// The observation.
        gossip: ZoneGossip,
    },
}

/// An operator's order to close a zone or to keep it open, whatever the zone monitor finds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneOverride {
    /// The state that the zone is held in.
    pub state: ForcedZoneState,
    /// How long the override lasts from now on.
    pub duration: Nanos,
}

/// The state that an operator holds a zone in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForcedZoneState {
    /// The zone gets no requests.
    Closed,
    /// The zone gets its full share.
    Open,
}

/// What the core's actions leave for the driver to do.
#[derive(Default)]
pub(crate) struct ZoneOutput {
    /// Events for the balancer.
    pub(crate) balancer_events: Vec<BalancerEvent>,
    /// State changes, for the log and the metrics.
    pub(crate) changes: Vec<ZoneChange>,
    /// Observations for the other nodes.
    pub(crate) gossip: Vec<ZoneGossip>,
    /// The core's one timer is set anew.
    pub(crate) timer: Option<TimerChange>,
}

impl ZoneOutput {
    fn notify_balancer(&mut self, event: BalancerEvent) {
        self.balancer_events.push(event);
    }
}

/// A timer that replaces an earlier one.
pub(crate) struct TimerChange {
    /// When it fires.
    pub(crate) at: Nanos,
    /// When the timer that it replaces would have fired.
    pub(crate) replaces: Option<Nanos>,
}

/// A zone's state has changed.
pub(crate) struct ZoneChange {
    /// The zone.
    pub(crate) zone: ZoneId,
    /// Its new share, from 0 to 1.
    pub(crate) share: f64,
    /// The reason for the change.
    pub(crate) reason: ZoneStateReason,
    /// The number of servers in the zone.
    pub(crate) servers: u32,
}

/// A backend in service, as the zone-health core knows it.
struct MonitoredBackend {
    zone: ZoneId,
    size: f64,
}

/// A [`ZoneMonitor`] and the state needed to feed it.
pub(crate) struct ZoneMonitoring {
    monitor: ZoneMonitor,
    zone_count: u32,
    /// The backends in service. Bounded by the endpoint list.
    backends: BTreeMap<BackendId, MonitoredBackend>,
    /// When the core's timer fires.
    timer_at: Option<Nanos>,
}

impl ZoneMonitoring {
    /// A monitor with no backends yet. The seed drives its random draws.
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

    /// An endpoint update has come.
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

    /// Adds a backend that is in service in one of the configured zones, and removes any other.
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

    /// An attempt has been sent.
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

    /// An attempt has ended. `utilization` is the backend's, if it reported one. Without a response time, as its request
    /// was not complete yet, only failures are evidence.
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

    /// The timer has fired.
    pub(crate) fn on_timer(&mut self, now: Nanos) -> ZoneOutput {
        self.timer_at = None;
        self.handle(now, Event::TimerFired)
    }

    /// Operators override a zone's state; none ends an override.
    pub(crate) fn operator_override(
        &mut self,
        now: Nanos,
        zone: ZoneId,
        zone_override: Option<ZoneOverride>,
    ) -> ZoneOutput {
        let core_override = zone_override.map(|zone_override| {
            let is_closed = zone_override.state == ForcedZoneState::Closed;
            CoreOverride::new(is_closed, now.saturating_add(zone_override.duration))
        });
        let event = Event::OperatorOverride {
            zone: ZoneIndex(zone.0),
            zone_override: core_override,
        };
        self.handle(now, event)
    }

    /// Another node has joined, left or sent gossip. Gossip that can't be decoded is ignored.
    pub(crate) fn peer_updated(&mut self, now: Nanos, update: &PeerUpdate) -> ZoneOutput {
        match peer_event(update) {
            Some(event) => self.handle(now, event),
            None => ZoneOutput::default(),
        }
    }

    /// Passes an event to the core and collects what its actions ask for.
    fn handle(&mut self, now: Nanos, event: Event) -> ZoneOutput {
        let mut actions = Vec::new();
        self.monitor.handle(now, event, &mut actions);
        let mut output = ZoneOutput::default();
        for action in &actions {
            self.apply(action, &mut output);
        }
        output
    }

    /// Translates one of the core's actions.
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

/// A peer update as an event of the core, or none if its gossip can't be decoded.
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

/// The evidence that an attempt's outcome is for the health of its backend's zone.
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

/// The core's number of an attempt. A request has far fewer attempts than fit: settings limit them.
fn attempt_key(attempt: AttemptId) -> AttemptKey {
    let number = attempt.number.0.min(MAX_ATTEMPT_NUMBER);
    AttemptKey((attempt.request.0 << ATTEMPT_NUMBER_BITS) | u64::from(number))
}
