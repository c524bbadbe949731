//! The watch over the zones, where it is switched on: what the driver does and sees is told to the core, and what the
//! core says becomes events of the decision module.

use std::collections::BTreeMap;

use badgerpost_balancer::{
    BackendId, Endpoint, EndpointState, EndpointUpdate, Event as BalancerEvent, Nanos, Outcome,
    RequestId, Settings, ZoneId,
};
use badgerpost_zone_health::{
    Action, AttemptSignal, Event, Settings as Zones, ZoneMonitor, ZoneObservation, ZoneStateReason,
};

/// What the core has left to do.
#[derive(Default)]
pub(crate) struct ZoneOutput {
    /// For the decision module.
    pub(crate) events: Vec<BalancerEvent>,
    /// For the log and the figures.
    pub(crate) changed: Vec<ZoneChange>,
    /// For the other nodes, by zone.
    pub(crate) says: Vec<ZoneGossip>,
    /// When to wake it, and the wish before that this replaces.
    pub(crate) wake: Option<(Nanos, Option<Nanos>)>,
}

/// What a node says of a zone to the others, as it goes over the network.
pub type ZoneGossip = (u16, Vec<u8>);

/// What comes from the other nodes.
#[derive(Clone, Debug)]
pub enum PeerUpdate {
    /// One is there, or no longer.
    Member {
        /// Which.
        member: u64,
        /// Its zone, by position.
        home: u8,
        /// Whether it is there.
        up: bool,
    },
    /// One has said something of a zone.
    Gossip {
        /// Which.
        member: u64,
        /// When, by its clock, in Unix time.
        sent: Nanos,
        /// What.
        word: ZoneGossip,
    },
}

/// A zone's state has changed.
pub(crate) struct ZoneChange {
    pub(crate) zone: ZoneId,
    pub(crate) share: f64,
    pub(crate) why: ZoneStateReason,
    pub(crate) servers: u32,
}

/// A watch and what it needs to be told.
pub(crate) struct ZoneMonitoring {
    watch: ZoneMonitor,
    zones: u32,
    /// The servers in service. Bounded by the list.
    listed: BTreeMap<BackendId, (ZoneId, f64)>,
    wake: Option<Nanos>,
}

impl ZoneMonitoring {
    pub(crate) fn new(settings: &Settings, seed: u64, now: Nanos) -> Self {
        let zones = Zones {
            local_zone: settings.local_zone.0,
            zone_count: settings.zone_count,
            class_count: settings.classes.len() as u32,
            node_count: settings.node_count,
            seed,
        };
        Self {
            watch: ZoneMonitor::new(zones, now),
            zones: settings.zone_count,
            listed: BTreeMap::new(),
            wake: None,
        }
    }

    pub(crate) fn list(
        &mut self,
        now: Nanos,
        scope: EndpointUpdate,
        members: &[Endpoint],
    ) -> ZoneOutput {
        if scope != EndpointUpdate::Delta {
            self.listed.clear();
        }
        for member in members {
            if member.state == EndpointState::InService && member.zone.0 < self.zones {
                self.listed
                    .insert(member.backend, (member.zone, member.size_or_one()));
            } else {
                self.listed.remove(&member.backend);
            }
        }
        let servers = self
            .listed
            .iter()
            .map(|(backend, (zone, size))| (backend.0, zone.0, *size));
        let event = Event::EndpointsListed(servers.collect());
        self.handle(now, event)
    }

    pub(crate) fn sent(
        &mut self,
        now: Nanos,
        request: RequestId,
        attempt: u32,
        server: BackendId,
        class: u32,
    ) -> ZoneOutput {
        let Some((zone, _)) = self.listed.get(&server) else {
            return ZoneOutput::default();
        };
        let event = Event::AttemptSent {
            attempt: number(request, attempt),
            server: server.0,
            zone: zone.0,
            class,
        };
        self.handle(now, event)
    }

    pub(crate) fn ended(
        &mut self,
        now: Nanos,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        util: Option<f64>,
    ) -> ZoneOutput {
        let seen = match outcome {
            Outcome::Success => AttemptSignal::Answered,
            Outcome::Error => AttemptSignal::Failed,
            Outcome::ConnectFailed | Outcome::Reset => AttemptSignal::ConnectionFailed,
            Outcome::TimedOut | Outcome::Cancelled => AttemptSignal::TimedOut,
            Outcome::Rejected | Outcome::InvalidResponse => AttemptSignal::Inconclusive,
            Outcome::NotSent => AttemptSignal::NotSent,
        };
        self.handle(
            now,
            Event::AttemptEnded {
                attempt: number(request, attempt),
                seen,
                util,
            },
        )
    }

    pub(crate) fn on_timer(&mut self, now: Nanos) -> ZoneOutput {
        self.wake = None;
        self.handle(now, Event::TimerFired)
    }

    pub(crate) fn operator_override(
        &mut self,
        now: Nanos,
        zone: ZoneId,
        order: Option<(bool, Nanos)>,
    ) -> ZoneOutput {
        self.handle(
            now,
            Event::OperatorOverride {
                zone: zone.0,
                order,
            },
        )
    }

    pub(crate) fn peer_updated(&mut self, now: Nanos, told: &PeerUpdate) -> ZoneOutput {
        let event = match told {
            PeerUpdate::Member { member, home, up } => Event::PeerChanged {
                member: *member,
                home: *home,
                up: *up,
            },
            PeerUpdate::Gossip {
                member,
                sent,
                word: (zone, bytes),
            } => {
                let (Ok(zone), Some(sight)) =
                    (u8::try_from(*zone), ZoneObservation::from_bytes(bytes))
                else {
                    return ZoneOutput::default();
                };
                Event::PeerObserved {
                    member: *member,
                    zone,
                    sent: *sent,
                    sight,
                }
            }
        };
        self.handle(now, event)
    }

    fn handle(&mut self, now: Nanos, event: Event) -> ZoneOutput {
        let (mut actions, mut output) = (Vec::new(), ZoneOutput::default());
        self.watch.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetShare { zone, share } => {
                    output.events.push(BalancerEvent::ZoneShareChanged {
                        zone: ZoneId(zone),
                        share,
                    });
                }
                Action::RequestProbe { zone, wait } => {
                    output.events.push(BalancerEvent::ZoneProbeRequested {
                        zone: ZoneId(zone),
                        timeout: wait,
                    });
                }
                Action::Gossip { zone, sight } => {
                    output.says.push((u16::from(zone), sight.to_bytes()))
                }
                Action::SetTimer { at } => output.wake = Some((at, self.wake.replace(at))),
                Action::LogChange {
                    zone,
                    share,
                    why,
                    servers,
                } => {
                    output.changed.push(ZoneChange {
                        zone: ZoneId(zone),
                        share,
                        why,
                        servers,
                    });
                }
            }
        }
        output
    }
}

/// A number for an attempt. A request has fewer than 256: the site's limit is far below.
fn number(request: RequestId, attempt: u32) -> u64 {
    (request.0 << 8) | u64::from(attempt.min(255))
}
