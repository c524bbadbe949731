//! The socket, and the task that moves what goes through it. Nothing is decided here.

use std::io;
use std::net::SocketAddr;

use badgerpost_engine::{
    Clock, DroppedDatagram, Engine, LogLimiter, PeerUpdate, Protocol, ZoneGossip, activity,
};
use badgerpost_membership::{
    Action, DropReason, Event, MAX_DATAGRAM_LENGTH, MemberId, Settings, Topic,
};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

use crate::config::Config;

/// Words that wait for the task, which takes them at once: some for each zone.
const WORDS: usize = 64;

/// Who this node is among the others.
#[derive(Clone, Copy, Debug)]
pub struct LocalMember<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its zone, by position.
    pub zone: u8,
    /// How many nodes are expected.
    pub nodes: u32,
    /// Drives its draws.
    pub seed: u64,
}

/// A node's talk with the others.
pub struct GossipService<F: Protocol> {
    socket: UdpSocket,
    core: badgerpost_membership::Membership,
    engine: Engine<F>,
    clock: Clock,
    words: mpsc::Receiver<ZoneGossip>,
    wake: Option<u64>,
    limiter: LogLimiter,
}

impl<F: Protocol + 'static> GossipService<F> {
    /// Opens the socket; the engine's words for the others go through it from now on.
    pub async fn open(
        config: &Config,
        key: badgerpost_membership::Key,
        me: LocalMember<'_>,
        engine: Engine<F>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(config.listen).await?;
        let clock = engine.clock().clone();
        let settings = Settings {
            member: MemberId::from_name(me.name),
            advertise: config.advertised(),
            zone: me.zone,
            incarnation: clock.now(),
            seeds: config.seeds.clone(),
            key,
            node_count: me.nodes,
            seed: me.seed,
        };
        let (talk, words) = mpsc::channel(WORDS);
        engine.set_gossip_sender(talk);
        engine.metrics().set_peers(1);
        tracing::info!(listen = %socket.local_addr()?, advertise = %config.advertised(), "peers may call");
        let (core, limiter) = (
            badgerpost_membership::Membership::new(settings),
            LogLimiter::new(clock.clone()),
        );
        Ok(Self {
            socket,
            core,
            engine,
            clock,
            words,
            wake: None,
            limiter,
        })
    }

    /// Talks until the node stops.
    pub async fn run(mut self, mut stopping: watch::Receiver<bool>) {
        // A new socket takes nothing until the system has said once that it does.
        if let Err(error) = self.socket.writable().await {
            tracing::warn!(%error, "datagrams can't be sent yet");
        }
        self.tell(Event::Start);
        // One byte more than fits shows that it does not.
        let mut buffer = [0; MAX_DATAGRAM_LENGTH + 1];
        loop {
            let wake = self.wake;
            let clock = self.clock.clone();
            let due = async move {
                match wake {
                    Some(at) => clock.sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                _ = stopping.wait_for(|stopping| *stopping) => {
                    self.tell(Event::Leave);
                    return;
                }
                Some(gossip) = self.words.recv() => self.tell(Event::Broadcast { topic: Topic(gossip.zone), body: &gossip.observation }),
                came = self.socket.recv_from(&mut buffer) => match came {
                    Ok((length, _)) => {
                        activity::read(length);
                        self.engine.metrics().peer_bytes_received(length as u64);
                        self.tell(Event::Datagram(&buffer[..length]));
                    }
                    // Of a datagram that went out before: its receiver is not there, which shows by itself.
                    Err(error) => tracing::debug!(%error, "datagram not taken"),
                },
                () = due => {
                    self.wake = None;
                    self.tell(Event::TimerFired);
                }
            }
        }
    }

    fn tell(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.core.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.send(to, &datagram),
                Action::SetTimer { at } => self.wake = Some(at),
                Action::MemberChanged {
                    member,
                    zone,
                    address: at,
                    is_up: up,
                } => {
                    tracing::info!(peer = %at, zone, up, members = self.core.member_count(), "peer changed");
                    self.engine
                        .metrics()
                        .set_peers(self.core.member_count() as u64 + 1);
                    self.engine.peer_updated(&PeerUpdate::Member {
                        member: member.0,
                        zone,
                        is_up: up,
                    });
                }
                Action::Received {
                    member,
                    topic,
                    sent_at: sent,
                    body,
                } => {
                    self.engine.peer_updated(&PeerUpdate::Gossip {
                        member: member.0,
                        sent_at: sent,
                        gossip: ZoneGossip {
                            zone: topic.0,
                            observation: body,
                        },
                    });
                }
                Action::DatagramDropped(dropped) => {
                    self.engine.metrics().datagram_dropped(match dropped {
                        DropReason::Unauthenticated => DroppedDatagram::Unauthenticated,
                        _ => DroppedDatagram::Malformed,
                    });
                    self.limiter.log(
                        |silenced| tracing::warn!(reason = ?dropped, silenced, "datagram dropped"),
                    );
                }
            }
        }
    }

    fn send(&self, to: SocketAddr, datagram: &[u8]) {
        // With its clock in other hands the node must reach nothing but a rehearsal's stand-ins.
        if self.clock.is_controlled() && !to.ip().is_loopback() {
            return;
        }
        // What does not go out at once is lost like what the network loses; the protocol bears that.
        match self.socket.try_send_to(datagram, to) {
            Ok(length) => {
                activity::written(length);
                self.engine.metrics().peer_bytes_sent(length as u64);
            }
            Err(error) => tracing::debug!(%to, %error, "datagram not sent"),
        }
    }
}
