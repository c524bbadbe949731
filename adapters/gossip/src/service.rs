//! The socket, and the task that runs the membership on it. Nothing is decided here.

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

/// The most observations that wait for the task, which takes them at once: some for each zone.
const MAX_QUEUED_OBSERVATIONS: usize = 64;

/// This node as a member of its fleet.
#[derive(Clone, Copy, Debug)]
pub struct LocalMember<'a> {
    /// Its name.
    pub name: &'a str,
    /// The number of its zone.
    pub zone: u8,
    /// The number of nodes that the fleet is expected to have.
    pub node_count: u32,
    /// The seed of the membership's random draws.
    pub seed: u64,
}

/// Gossip of one node with the others.
pub struct GossipService<P: Protocol> {
    socket: UdpSocket,
    membership: Membership,
    engine: Engine<P>,
    clock: Clock,
    observations: mpsc::Receiver<ZoneGossip>,
    /// When the membership's timer fires.
    timer_at: Option<Nanos>,
    drop_log: LogLimiter,
}

impl<P: Protocol + 'static> GossipService<P> {
    /// Opens the socket. From now on the engine's observations for the other nodes go through it.
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
            advertise: config.advertised(),
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
        tracing::info!(listen = %socket.local_addr()?, advertise = %config.advertised(), "peers may call");
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

    /// Exchanges datagrams until `stopping` is true, and then announces that this node leaves.
    pub async fn run(mut self, mut stopping: watch::Receiver<bool>) {
        // A new socket sends nothing until the system has reported once that it is writable.
        if let Err(error) = self.socket.writable().await {
            tracing::warn!(%error, "datagrams can't be sent yet");
        }
        self.handle(Event::Start);
        // One byte more than the longest datagram, so that a longer one shows.
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
                    Ok((length, _)) => self.datagram_received(&buffer[..length]),
                    // Reported for a datagram sent before: nobody listens at its address, which the membership notices.
                    Err(error) => tracing::debug!(%error, "datagram not received"),
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

    fn datagram_received(&mut self, datagram: &[u8]) {
        activity::record_bytes_read(datagram.len());
        self.engine
            .metrics()
            .peer_bytes_received(datagram.len() as u64);
        self.handle(Event::Datagram(datagram));
    }

    /// Passes an event to the membership and carries out its actions.
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
            } => self.member_changed(member, zone, address, is_up),
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
            Action::DatagramDropped(reason) => self.datagram_dropped(reason),
        }
    }

    fn member_changed(&self, member: MemberId, zone: u8, address: SocketAddr, is_up: bool) {
        let members = self.membership.member_count();
        tracing::info!(peer = %address, zone, up = is_up, members, "peer changed");
        self.engine.metrics().set_member_count(members as u64 + 1);
        self.engine.peer_updated(&PeerUpdate::Member {
            member: member.0,
            zone,
            is_up,
        });
    }

    fn datagram_dropped(&mut self, reason: DropReason) {
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
        // What can't be sent at once is lost like what the network loses, which the protocol tolerates.
        match self.socket.try_send_to(datagram, to) {
            Ok(length) => {
                activity::record_bytes_written(length);
                self.engine.metrics().peer_bytes_sent(length as u64);
            }
            Err(error) => tracing::debug!(%to, %error, "datagram not sent"),
        }
    }
}

/// Waits until this time, and until what peers had sent by then is handled: acknowledgements that lie in the socket of a
/// node that has stood still have come in time. Forever without a time.
async fn wait_until(clock: Clock, at: Option<Nanos>) {
    match at {
        Some(at) => clock.wait_for_deadline(at).await,
        None => std::future::pending().await,
    }
}
