//! The UDP socket, and the task that carries out the actions of the membership's state machine.

use std::io;
use std::net::SocketAddr;

use badgerpost_engine::{
    Clock, DatagramDropReason, Engine, LogLimiter, PeerUpdate, Protocol, ZoneGossip, activity,
};
use badgerpost_membership::{
    Action, DropReason, Event, Key, MAX_DATAGRAM_BYTES, MemberId, Membership, Nanos, Settings,
    Topic,
};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

use crate::config::Config;

/// The capacity of the channel from the engine, which holds several observations of each zone.
const MAX_QUEUED_OBSERVATIONS: usize = 64;

/// This node as a member of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct LocalMember<'a> {
    /// The name of this node.
    pub name: &'a str,
    /// The index of this node's zone in the settings.
    pub zone: u8,
    /// The expected number of nodes in the fleet, including this one.
    pub node_count: u32,
    /// The seed of the membership's random draws.
    pub seed: u64,
}

/// The gossip of this node with the other nodes of the fleet.
pub struct GossipService<P: Protocol> {
    socket: UdpSocket,
    membership: Membership,
    engine: Engine<P>,
    clock: Clock,
    observations: mpsc::Receiver<ZoneGossip>,
    /// The time of the membership's timer; `None` if no timer is set.
    timer_at: Option<Nanos>,
    drop_log: LogLimiter,
}

impl<P: Protocol + 'static> GossipService<P> {
    /// Opens the socket and registers the service as the receiver of the engine's gossip.
    ///
    /// # Errors
    ///
    /// The socket can't be opened.
    pub async fn open(
        config: &Config,
        key: Key,
        local_member: LocalMember<'_>,
        engine: Engine<P>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(config.listen).await?;
        let clock = engine.clock().clone();
        let settings = Settings {
            member: MemberId::from_name(local_member.name),
            advertise: config.advertised_address(),
            zone: local_member.zone,
            incarnation: clock.now(),
            seeds: config.seeds.clone(),
            key,
            node_count: local_member.node_count,
            seed: local_member.seed,
        };
        let (gossip_sender, observations) = mpsc::channel(MAX_QUEUED_OBSERVATIONS);
        engine.set_gossip_sender(gossip_sender);
        engine.metrics().set_member_count(1);
        tracing::info!(listen = %socket.local_addr()?, advertise = %config.advertised_address(), "peers may call");
        Ok(Self {
            socket,
            membership: Membership::new(settings),
            engine,
            drop_log: LogLimiter::new(clock.clone()),
            clock,
            observations,
            timer_at: None,
        })
    }

    /// Exchanges datagrams until `stopping` is true, and then informs other members that this node leaves.
    pub async fn run(mut self, mut stopping: watch::Receiver<bool>) {
        // `try_send_to` fails until the runtime has been notified once that the socket is writable.
        if let Err(error) = self.socket.writable().await {
            tracing::warn!(%error, "gossip socket is not writable yet; datagrams may be lost");
        }
        self.handle(Event::Start);
        // The additional byte makes a datagram that is too long detectable.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let timer = wait_until(self.clock.clone(), self.timer_at);
            tokio::select! {
                biased;
                _ = stopping.wait_for(|stopping| *stopping) => {
                    self.handle(Event::Leave);
                    return;
                }
                Some(gossip) = self.observations.recv() => self.broadcast(&gossip),
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, _)) => self.handle_datagram(&buffer[..length]),
                    // The error reports that no process listens at the address of a datagram sent earlier. The
                    // membership detects such members by probes.
                    Err(error) => tracing::debug!(%error, "receiving on the gossip socket failed"),
                },
                () = timer => {
                    self.timer_at = None;
                    self.handle(Event::TimerFired);
                }
            }
        }
    }

    fn broadcast(&mut self, gossip: &ZoneGossip) {
        self.handle(Event::Broadcast {
            topic: Topic(gossip.zone),
            body: &gossip.observation,
        });
    }

    fn handle_datagram(&mut self, datagram: &[u8]) {
        activity::record_bytes_read(datagram.len());
        self.engine
            .metrics()
            .peer_bytes_received(datagram.len() as u64);
        self.handle(Event::Datagram(datagram));
    }

    /// Passes an event to the membership and carries out the resulting actions.
    fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.membership
            .handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.perform(action);
        }
        let ignored_items = self.membership.ignored_items();
        if ignored_items > 0 {
            self.engine.metrics().set_ignored_items(ignored_items);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { to, datagram } => self.send(to, &datagram),
            Action::SetTimer { at } => self.timer_at = Some(at),
            Action::MemberChanged {
                member,
                zone,
                address,
                is_up,
            } => self.report_member_change(member, zone, address, is_up),
            Action::Received {
                member,
                topic,
                sent_at,
                body,
            } => self.engine.peer_updated(&PeerUpdate::Gossip {
                member: member.0,
                sent_at,
                gossip: ZoneGossip {
                    zone: topic.0,
                    observation: body,
                },
            }),
            Action::DatagramDropped(reason) => self.report_dropped_datagram(reason),
        }
    }

    fn report_member_change(&self, member: MemberId, zone: u8, address: SocketAddr, is_up: bool) {
        let members = self.membership.member_count();
        tracing::info!(peer = %address, zone, up = is_up, members, "peer changed");
        self.engine.metrics().set_member_count(members as u64 + 1);
        self.engine.peer_updated(&PeerUpdate::Member {
            member: member.0,
            zone,
            is_up,
        });
    }

    fn report_dropped_datagram(&mut self, reason: DropReason) {
        self.engine.metrics().datagram_dropped(match reason {
            DropReason::Unauthenticated => DatagramDropReason::Unauthenticated,
            _ => DatagramDropReason::Malformed,
        });
        self.drop_log
            .log(|silenced| tracing::warn!(?reason, silenced, "datagram dropped"));
    }

    fn send(&self, to: SocketAddr, datagram: &[u8]) {
        // With a virtual clock the node must reach nothing outside this machine.
        if self.clock.is_virtual() && !to.ip().is_loopback() {
            return;
        }
        // A datagram that can't be sent immediately is dropped. The protocol tolerates the loss.
        match self.socket.try_send_to(datagram, to) {
            Ok(length) => {
                activity::record_bytes_written(length);
                self.engine.metrics().peer_bytes_sent(length as u64);
            }
            Err(error) => {
                tracing::debug!(%to, %error, "gossip datagram could not be sent");
            }
        }
    }
}

/// Waits until this time and until the datagrams received by then have been handled, so that a probe response in the
/// socket of a paused process counts as received in time. Waits forever if the time is `None`.
async fn wait_until(clock: Clock, at: Option<Nanos>) {
    match at {
        Some(at) => clock.wait_for_deadline(at).await,
        None => std::future::pending().await,
    }
}
