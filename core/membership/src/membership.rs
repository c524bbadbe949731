//! One node's membership: foca with the datagrams, the timers and the facts around it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

use foca::{
    BroadcastHandler, Config, Foca, Invalidates, Notification, PeriodicParams, PostcardCodec,
    Runtime, Timer,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::api::{Action, DropReason, Event, MemberId, Nanos, Settings};
use crate::datagram_auth::MAX_CONTENT_LENGTH;
use crate::gossip_store::{GossipItem, GossipStore, GossipVersion};
use crate::member_identity::MemberIdentity;
use crate::{MS, SECOND};

/// A member is asked for life this often, and its answer is waited for so long before others are asked to try.
const PROBE: Duration = Duration::from_secs(1);
const ANSWER: Duration = Duration::from_millis(300);
/// A suspect has so long to say that it lives, times the logarithm of the fleet's size.
const SUSPECT: f64 = 3.0;
/// One that is gone is remembered for so long: longer than anything about it is under way.
const GONE: Duration = Duration::from_secs(600);
/// News is passed on so often to so many, where there is any; and at once, but no more often than `AT_ONCE`.
const GOSSIP: Duration = Duration::from_millis(100);
const TO: NonZeroUsize = NonZeroUsize::new(3).unwrap();
const AT_ONCE: Nanos = 20 * MS;
/// How often a member is asked for all whom it knows, and one that is gone whether it is back: a split heals so.
const ASK: Duration = Duration::from_secs(5);
const ASK_GONE: Duration = Duration::from_secs(3);
/// Without any member the seeds are asked this often.
const JOIN: Nanos = SECOND;

/// What is kept of the facts, and which of them are news.
#[derive(Default)]
struct Heard {
    facts: GossipStore,
    news: Vec<GossipItem>,
}

/// Foca's view of the facts.
struct Handler(Rc<RefCell<Heard>>);

#[derive(Clone, Copy, PartialEq, Eq)]
struct FactKey {
    of: (MemberId, u16),
    version: GossipVersion,
}

impl Invalidates for FactKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.of == other.of && self.version >= other.version
    }
}

impl BroadcastHandler<MemberIdentity> for Handler {
    type Key = FactKey;
    type Error = postcard::Error;

    fn receive_item(
        &mut self,
        data: &[u8],
        sender: Option<&MemberIdentity>,
    ) -> Result<Option<FactKey>, Self::Error> {
        let fact: GossipItem = postcard::from_bytes(data)?;
        let key = FactKey {
            of: (fact.member, fact.topic),
            version: fact.version,
        };
        let mut heard = self.0.borrow_mut();
        if !heard.facts.merge(fact.clone()) {
            return Ok(None);
        }
        if sender.is_some() {
            heard.news.push(fact);
        }
        Ok(Some(key))
    }
}

/// What one call of foca leaves to do.
#[derive(Default)]
struct Calls {
    sends: Vec<(SocketAddr, Vec<u8>)>,
    timers: Vec<(Duration, Timer<MemberIdentity>)>,
    members: Vec<(MemberIdentity, bool)>,
    renamed: Vec<MemberIdentity>,
}

impl Runtime<MemberIdentity> for &mut Calls {
    fn notify(&mut self, notification: Notification<'_, MemberIdentity>) {
        match notification {
            Notification::MemberUp(member) => self.members.push((*member, true)),
            Notification::MemberDown(member) => self.members.push((*member, false)),
            // Up again before anybody had missed it.
            Notification::Rename(_, member) => self.renamed.push(*member),
            _ => {}
        }
    }

    fn send_to(&mut self, to: MemberIdentity, data: &[u8]) {
        self.sends.push((to.at, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<MemberIdentity>, after: Duration) {
        self.timers.push((after, event));
    }
}

/// One node among its peers.
pub struct Membership {
    settings: Settings,
    foca: Foca<MemberIdentity, PostcardCodec, SmallRng, Handler>,
    heard: Rc<RefCell<Heard>>,
    /// Foca's, by time and then in the order in which they were set: some for each member at the most.
    timers: BTreeMap<(Nanos, u64), Timer<MemberIdentity>>,
    next: u64,
    count: u32,
    /// When the seeds are asked again, while nobody is known.
    join: Option<Nanos>,
    /// When news goes out, and when it last did.
    spread: Option<Nanos>,
    spread_at: Nanos,
    wake: Option<Nanos>,
    left: bool,
}

impl Membership {
    /// A node that knows nobody yet.
    pub fn new(settings: Settings) -> Self {
        let Settings {
            member,
            advertise,
            zone,
            incarnation: life,
            node_count: nodes,
            seed,
            ..
        } = settings;
        let identity = MemberIdentity {
            at: advertise,
            member,
            zone,
            life,
        };
        let heard = Rc::<RefCell<Heard>>::default();
        let foca = Foca::with_custom_broadcast(
            identity,
            config(nodes),
            SmallRng::seed_from_u64(seed),
            PostcardCodec,
            Handler(heard.clone()),
        );
        Self {
            settings,
            foca,
            heard,
            timers: BTreeMap::new(),
            next: 0,
            count: 0,
            join: None,
            spread: None,
            spread_at: 0,
            wake: None,
            left: false,
        }
    }

    /// Other members that are there.
    pub fn members(&self) -> usize {
        self.foca.num_members()
    }

    /// Takes one event in and adds what is to be done.
    pub fn handle(&mut self, now: Nanos, event: Event<'_>, actions: &mut Vec<Action>) {
        if self.left {
            return;
        }
        let mut calls = Calls::default();
        match event {
            Event::Start => self.join(now, &mut calls),
            Event::Datagram(datagram) => match self.settings.key.open(datagram) {
                Ok(content) => {
                    // From itself, where the network sends its own datagrams back: nothing to say about that.
                    if let Err(error) = self.foca.handle_data(content, &mut calls)
                        && !matches!(error, foca::Error::DataFromOurselves)
                    {
                        actions.push(Action::DatagramDropped(DropReason::Undecodable));
                    }
                }
                Err(dropped) => actions.push(Action::DatagramDropped(dropped)),
            },
            Event::TimerFired => self.wake = None,
            Event::Broadcast { topic, body } => self.say(now, topic, body),
            Event::Leave => {
                let _ = self.foca.leave_cluster(&mut calls);
                self.left = true;
            }
        }
        if !self.left {
            self.due(now, &mut calls);
        }
        self.carry_out(now, calls, actions);
    }

    fn say(&mut self, now: Nanos, topic: u16, body: &[u8]) {
        self.count = self.count.saturating_add(1);
        let version = GossipVersion {
            incarnation: self.settings.incarnation,
            count: self.count,
        };
        let fact = GossipItem {
            member: self.settings.member,
            topic,
            version,
            sent_at: now,
            body: body.to_vec(),
        };
        if let Ok(data) = postcard::to_allocvec(&fact)
            && self.foca.add_broadcast(&data).unwrap_or(false)
        {
            self.spread_soon(now);
        }
    }

    /// News goes out at once, or as soon as it may.
    fn spread_soon(&mut self, now: Nanos) {
        self.spread
            .get_or_insert(now.max(self.spread_at.saturating_add(AT_ONCE)));
    }

    fn join(&mut self, now: Nanos, calls: &mut Calls) {
        self.join = Some(now.saturating_add(JOIN));
        for at in self.settings.seeds.clone() {
            if at != self.settings.advertise {
                let _ = self.foca.announce(MemberIdentity::unknown(at), &mut *calls);
            }
        }
    }

    /// Does what the time has come for.
    fn due(&mut self, now: Nanos, calls: &mut Calls) {
        // As many as there are now: what they set anew is for later.
        for _ in 0..self.timers.len() {
            let Some(first) = self
                .timers
                .first_entry()
                .filter(|first| first.key().0 <= now)
            else {
                break;
            };
            let timer = first.remove();
            let _ = self.foca.handle_timer(timer, &mut *calls);
        }
        if self.join.is_some_and(|at| at <= now) && self.foca.num_members() == 0 {
            self.join(now, calls);
        }
        if !self.heard.borrow().news.is_empty() {
            self.spread_soon(now);
        }
        if self.spread.is_some_and(|at| at <= now) {
            (self.spread, self.spread_at) = (None, now);
            let _ = self.foca.broadcast(&mut *calls);
        }
    }

    fn carry_out(&mut self, now: Nanos, mut calls: Calls, actions: &mut Vec<Action>) {
        for renamed in std::mem::take(&mut calls.renamed) {
            if self
                .foca
                .iter_members()
                .any(|member| *member.id() == renamed)
            {
                calls.members.push((renamed, true));
            }
        }
        for (after, timer) in calls.timers {
            let after = u64::try_from(after.as_nanos()).unwrap_or(Nanos::MAX);
            self.timers
                .insert((now.saturating_add(after), self.next), timer);
            self.next += 1;
        }
        for (to, content) in calls.sends {
            actions.push(Action::Send {
                to,
                datagram: self.settings.key.seal(&content),
            });
        }
        for (
            MemberIdentity {
                at, member, zone, ..
            },
            up,
        ) in calls.members
        {
            if !up {
                self.heard.borrow_mut().facts.forget(member);
            }
            actions.push(Action::MemberChanged {
                member,
                zone,
                at,
                up,
            });
        }
        for GossipItem {
            member,
            topic,
            sent_at: sent,
            body,
            ..
        } in std::mem::take(&mut self.heard.borrow_mut().news)
        {
            actions.push(Action::Received {
                member,
                topic,
                sent,
                body,
            });
        }
        let alone = self.join.filter(|_| self.foca.num_members() == 0);
        let timer = self.timers.keys().next().map(|(at, _)| *at);
        let next = [timer, alone, self.spread].into_iter().flatten().min();
        if let Some(at) = next.filter(|_| !self.left && next != self.wake) {
            self.wake = Some(at);
            actions.push(Action::SetTimer { at });
        }
    }
}

/// Foca's settings for so many members.
fn config(nodes: u32) -> Config {
    let tens = f64::from(nodes.saturating_add(1)).log10().max(1.0);
    let every = |frequency, num_members| {
        Some(PeriodicParams {
            frequency,
            num_members,
        })
    };
    Config {
        probe_period: PROBE,
        probe_rtt: ANSWER,
        num_indirect_probes: TO,
        // SWIM's bound: so many times the logarithm, rounded up, that losing a message on all its ways is rare.
        max_transmissions: NonZeroU8::new(4 * tens.ceil() as u8).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_secs_f64(SUSPECT * tens),
        remove_down_after: Some(GONE),
        max_packet_size: NonZeroUsize::new(MAX_CONTENT_LENGTH).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: every(ASK, NonZeroUsize::MIN),
        periodic_announce_to_down_members: every(ASK_GONE, NonZeroUsize::MIN),
        periodic_gossip: every(GOSSIP, TO),
    }
}
