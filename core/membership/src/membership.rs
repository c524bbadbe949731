//! The state machine of one member: connects foca with datagrams, timers and gossip.

use std::cell::RefCell;
use std::rc::Rc;

use foca::{Foca, PostcardCodec};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::api::{Action, Event, Settings, Topic};
use crate::broadcast_schedule::BroadcastSchedule;
use crate::drop_reason::DropReason;
use crate::gossip_handler::{GossipHandler, GossipState};
use crate::gossip_store::{GossipItem, GossipVersion};
use crate::member_identity::MemberIdentity;
use crate::swim_config::swim_config;
use crate::swim_output::{MemberChange, Packet, SwimOutput, TimerRequest};
use crate::timer_queue::TimerQueue;
use badgerpost_time::{Nanos, SECOND};

/// The interval between two announcements to the seeds while no other member is known.
const JOIN_RETRY_INTERVAL: Nanos = SECOND;

/// The states of this member.
///
/// ```text
///     Created --Start--> Joined --Leave--> Left
///        |                                  ^
///        +---------------Leave--------------+
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The member responds to other members, but does not announce itself.
    Created,
    /// The member announces itself to the seeds until another member is known.
    Joined {
        /// The time of the next announcement, if no other member is known by then.
        next_announcement_at: Nanos,
    },
    /// The member has left the fleet and ignores all events.
    Left,
}

/// One member of a fleet, with this member's view of the others.
pub struct Membership {
    settings: Settings,
    state: State,
    foca: Foca<MemberIdentity, PostcardCodec, SmallRng, GossipHandler>,
    gossip: Rc<RefCell<GossipState>>,
    /// The number of gossip items that this member has published.
    published_count: u32,
    broadcasts: BroadcastSchedule,
    timers: TimerQueue,
    /// The time of the last [`Action::SetTimer`]; `None` after the timer has fired.
    requested_timer: Option<Nanos>,
}

impl Membership {
    /// Creates a member that has not joined the fleet yet.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let identity = MemberIdentity {
            address: settings.advertise,
            member: settings.member,
            zone: settings.zone,
            incarnation: settings.incarnation,
        };
        let gossip = Rc::<RefCell<GossipState>>::default();
        let foca = Foca::with_custom_broadcast(
            identity,
            swim_config(settings.node_count),
            SmallRng::seed_from_u64(settings.seed),
            PostcardCodec,
            GossipHandler(gossip.clone()),
        );
        Self {
            settings,
            state: State::Created,
            foca,
            gossip,
            published_count: 0,
            broadcasts: BroadcastSchedule::default(),
            timers: TimerQueue::default(),
            requested_timer: None,
        }
    }

    /// The number of other members that are up.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.foca.num_members()
    }

    /// The number of gossip items that were ignored because the limit of stored items was reached.
    #[must_use]
    pub fn ignored_items(&self) -> u64 {
        self.gossip.borrow().ignored_count
    }

    /// Handles one event at the time `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Nanos, event: Event<'_>, actions: &mut Vec<Action>) {
        if self.state == State::Left {
            return;
        }
        let mut output = SwimOutput::default();
        match event {
            Event::Start => self.announce_to_seeds(now, &mut output),
            Event::Datagram(datagram) => {
                if let Err(reason) = self.receive(datagram, &mut output) {
                    actions.push(Action::DatagramDropped(reason));
                }
            }
            Event::TimerFired => self.requested_timer = None,
            Event::Broadcast { topic, body } => self.publish(now, topic, body),
            Event::Leave => self.leave(&mut output),
        }
        if self.state != State::Left {
            self.run_due_tasks(now, &mut output);
        }
        self.emit(now, output, actions);
    }

    /// Announces this member to the seeds. The state is `Joined` afterwards.
    fn announce_to_seeds(&mut self, now: Nanos, output: &mut SwimOutput) {
        self.state = State::Joined {
            next_announcement_at: now.saturating_add(JOIN_RETRY_INTERVAL),
        };
        for seed in &self.settings.seeds {
            if *seed == self.settings.advertise {
                continue;
            }
            // A failed announcement is repeated after `JOIN_RETRY_INTERVAL`, as if the datagram had been lost.
            let _ = self
                .foca
                .announce(MemberIdentity::from_seed_address(*seed), &mut *output);
        }
    }

    /// Verifies a datagram and passes the content to foca.
    fn receive(&mut self, datagram: &[u8], output: &mut SwimOutput) -> Result<(), DropReason> {
        let content = self.settings.key.verify(datagram)?;
        match self.foca.handle_data(content, output) {
            // Some networks return a member's datagrams to the sender. This is not an error.
            Ok(()) | Err(foca::Error::DataFromOurselves) => Ok(()),
            Err(_) => Err(DropReason::Undecodable),
        }
    }

    /// Publishes a gossip item of this member. An item that is too long is ignored.
    fn publish(&mut self, now: Nanos, topic: Topic, body: &[u8]) {
        self.published_count = self.published_count.saturating_add(1);
        let item = GossipItem {
            member: self.settings.member,
            topic,
            version: GossipVersion {
                incarnation: self.settings.incarnation,
                count: self.published_count,
            },
            sent_at: now,
            body: body.to_vec(),
        };
        let Ok(data) = postcard::to_allocvec(&item) else {
            return;
        };
        if self.foca.add_broadcast(&data).unwrap_or(false) {
            self.broadcasts.request(now);
        }
    }

    /// Informs some members, which inform the others, and enters `Left`. If these datagrams are lost, the other members
    /// detect the failure by their probes.
    fn leave(&mut self, output: &mut SwimOutput) {
        let _ = self.foca.leave_cluster(output);
        self.state = State::Left;
    }

    /// Runs the tasks that are due: foca's timers, announcements to the seeds and broadcasts.
    fn run_due_tasks(&mut self, now: Nanos, output: &mut SwimOutput) {
        // The loop ends because new timers are added to the output, not to the queue.
        while let Some(timer) = self.timers.pop_due(now) {
            // Foca continues with the next timer after an error.
            let _ = self.foca.handle_timer(timer, &mut *output);
        }
        if self.next_announcement_at().is_some_and(|at| at <= now) {
            self.announce_to_seeds(now, output);
        }
        if !self.gossip.borrow().unreported.is_empty() {
            self.broadcasts.request(now);
        }
        if self.broadcasts.take_due(now) {
            // Items that are not sent here are sent in foca's periodic rounds.
            let _ = self.foca.broadcast(output);
        }
    }

    /// The time of the next announcement to the seeds; `None` while another member is known.
    fn next_announcement_at(&self) -> Option<Nanos> {
        match self.state {
            State::Joined {
                next_announcement_at,
            } if self.foca.num_members() == 0 => Some(next_announcement_at),
            State::Joined { .. } | State::Created | State::Left => None,
        }
    }

    /// Converts the outputs of foca to actions.
    fn emit(&mut self, now: Nanos, output: SwimOutput, actions: &mut Vec<Action>) {
        let SwimOutput {
            packets,
            timers,
            mut member_changes,
            replacements,
        } = output;
        member_changes.extend(self.restarted_members(replacements));
        self.insert_timers(now, timers);
        self.send_packets(packets, actions);
        self.report_members(member_changes, actions);
        self.report_gossip(actions);
        self.request_timer(actions);
    }

    /// Returns the changes for members whose identity was replaced and that are still up.
    fn restarted_members(
        &self,
        replacements: Vec<MemberIdentity>,
    ) -> impl Iterator<Item = MemberChange> {
        replacements
            .into_iter()
            .filter(|identity| {
                self.foca
                    .iter_members()
                    .any(|member| member.id() == identity)
            })
            .map(|identity| MemberChange {
                identity,
                is_up: true,
            })
    }

    /// Adds the timers that foca has requested to the queue.
    fn insert_timers(&mut self, now: Nanos, timers: Vec<TimerRequest>) {
        for TimerRequest { after, timer } in timers {
            let after = Nanos::try_from(after.as_nanos()).unwrap_or(Nanos::MAX);
            self.timers.insert(now.saturating_add(after), timer);
        }
    }

    /// Signs packets and requests sending the resulting datagrams.
    fn send_packets(&self, packets: Vec<Packet>, actions: &mut Vec<Action>) {
        for Packet { to, content } in packets {
            actions.push(Action::Send {
                to,
                datagram: self.settings.key.sign(&content),
            });
        }
    }

    /// Reports member changes, and removes the gossip items of members that are no longer up.
    fn report_members(&self, member_changes: Vec<MemberChange>, actions: &mut Vec<Action>) {
        for MemberChange { identity, is_up } in member_changes {
            if !is_up {
                let mut gossip = self.gossip.borrow_mut();
                gossip.store.remove_member(identity.member);
            }
            actions.push(Action::MemberChanged {
                member: identity.member,
                zone: identity.zone,
                address: identity.address,
                is_up,
            });
        }
    }

    /// Reports the gossip items received from other members.
    fn report_gossip(&self, actions: &mut Vec<Action>) {
        let unreported = std::mem::take(&mut self.gossip.borrow_mut().unreported);
        for item in unreported {
            actions.push(Action::Received {
                member: item.member,
                topic: item.topic,
                sent_at: item.sent_at,
                body: item.body,
            });
        }
    }

    /// Requests a timer for the next due task, unless that timer is already requested.
    fn request_timer(&mut self, actions: &mut Vec<Action>) {
        if self.state == State::Left {
            return;
        }
        let candidates = [
            self.timers.next_due_at(),
            self.next_announcement_at(),
            self.broadcasts.due_at(),
        ];
        let Some(at) = candidates.into_iter().flatten().min() else {
            return;
        };
        if self.requested_timer != Some(at) {
            self.requested_timer = Some(at);
            actions.push(Action::SetTimer { at });
        }
    }
}
