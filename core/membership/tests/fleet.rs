//! Simulated fleets of up to hundreds of members over a network with delay, loss and partitions. The tests check the
//! membership, the delay of gossip and the traffic. The network is a queue of datagrams.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use badgerpost_membership::{Action, Event, Key, MemberId, Membership, Settings, Topic};
use badgerpost_time::{MILLISECOND, SECOND};

/// The Unix time at which a simulation starts, in nanoseconds.
const START_NS: u64 = 1_700_000_000 * SECOND;

/// An index into [`Fleet::members`].
type MemberIndex = usize;

/// A step of the simulation.
enum Step {
    /// A member's timer, requested for this time, fires.
    Timer { member: MemberIndex, at: u64 },
    /// A datagram arrives at a member.
    Datagram {
        member: MemberIndex,
        datagram: Vec<u8>,
    },
}

/// The order of the simulation's steps: by time, then by insertion.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct StepKey {
    at: u64,
    sequence: u64,
}

/// The reception of one member's gossip by another member.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Reception {
    receiver: MemberIndex,
    publisher: MemberId,
}

/// The members and the network between them.
struct Fleet {
    now: u64,
    /// The members; `None` for a killed member.
    members: Vec<Option<Membership>>,
    /// The time of each member's latest timer request.
    timers: Vec<u64>,
    queue: BTreeMap<StepKey, Step>,
    next_sequence: u64,
    random_state: u64,
    /// The probability that a datagram is lost.
    loss: f64,
    /// Whether datagrams between the first and the second half of the members are lost.
    is_partitioned: bool,
    /// The number of bytes that each member has sent.
    sent_bytes: Vec<u64>,
    /// The time of the first reception.
    received_at: BTreeMap<Reception, u64>,
}

fn address(member: MemberIndex) -> SocketAddr {
    let [high, low] = u16::try_from(member).unwrap().to_be_bytes();
    SocketAddr::from(([127, 0, high, low], 7946))
}

fn member_index(address: SocketAddr) -> Option<MemberIndex> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let [_, _, high, low] = address.ip().octets();
    Some(usize::from(high) << 8 | usize::from(low))
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: START_NS,
            members: Vec::new(),
            timers: vec![0; count],
            queue: BTreeMap::new(),
            next_sequence: 0,
            random_state: seed,
            loss: 0.0,
            is_partitioned: false,
            sent_bytes: vec![0; count],
            received_at: BTreeMap::new(),
        };
        for member in 0..count {
            fleet.members.push(None);
            fleet.start(member, count);
        }
        fleet
    }

    fn start(&mut self, member: MemberIndex, count: usize) {
        self.members[member] = Some(Membership::new(Settings {
            member: MemberId::from_name(&format!("n{member}")),
            advertise: address(member),
            zone: u8::try_from(member % 3).unwrap(),
            incarnation: self.now,
            seeds: (0..3).map(address).collect(),
            key: Key::parse("a key for a test").unwrap(),
            node_count: u32::try_from(count).unwrap(),
            seed: self.random_state ^ member as u64,
        }));
        self.handle(member, Event::Start);
    }

    /// Returns a random number from 0 (inclusive) to 1 (exclusive).
    fn random(&mut self) -> f64 {
        self.random_state = self
            .random_state
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.random_state >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a random network delay from 0.2 to 1.2 ms, in nanoseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is between 0 and a million"
    )]
    fn random_delay(&mut self) -> u64 {
        200_000 + (self.random() * 1e6) as u64
    }

    fn schedule(&mut self, at: u64, step: Step) {
        let key = StepKey {
            at,
            sequence: self.next_sequence,
        };
        self.queue.insert(key, step);
        self.next_sequence += 1;
    }

    /// Passes an event to a member and carries out the actions. Events of killed members are ignored.
    fn handle(&mut self, member: MemberIndex, event: Event<'_>) {
        let mut actions = Vec::new();
        let Some(membership) = &mut self.members[member] else {
            return;
        };
        membership.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.send(member, to, datagram),
                Action::SetTimer { at } => {
                    self.timers[member] = at;
                    self.schedule(at, Step::Timer { member, at });
                }
                Action::Received {
                    member: publisher, ..
                } => {
                    let reception = Reception {
                        receiver: member,
                        publisher,
                    };
                    self.received_at.entry(reception).or_insert(self.now);
                }
                Action::MemberChanged { .. } => {}
                Action::DatagramDropped(reason) => panic!("{reason:?}"),
            }
        }
    }

    /// Delivers a datagram after a random delay, unless the datagram is lost.
    fn send(&mut self, from: MemberIndex, to: SocketAddr, datagram: Vec<u8>) {
        let Some(to) = member_index(to) else { return };
        self.sent_bytes[from] += datagram.len() as u64;
        let half = self.members.len() / 2;
        let is_cut_off = self.is_partitioned && (to < half) != (from < half);
        if self.random() < self.loss || is_cut_off {
            return;
        }
        let delay = self.random_delay();
        let step = Step::Datagram {
            member: to,
            datagram,
        };
        self.schedule(self.now + delay, step);
    }

    fn run(&mut self, duration: u64) {
        let until = self.now + duration;
        while let Some(first) = self
            .queue
            .first_entry()
            .filter(|first| first.key().at <= until)
        {
            let (key, step) = first.remove_entry();
            self.now = key.at;
            match step {
                Step::Timer { member, at } if self.timers[member] == at => {
                    self.handle(member, Event::TimerFired);
                }
                Step::Timer { .. } => {}
                Step::Datagram { member, datagram } => {
                    self.handle(member, Event::Datagram(&datagram));
                }
            }
        }
        self.now = until;
    }

    /// Returns the number of other members that each running member considers up.
    fn member_counts(&self) -> Vec<usize> {
        self.members
            .iter()
            .flatten()
            .map(Membership::member_count)
            .collect()
    }

    /// Asserts that each running member considers an expected number of other members up.
    #[track_caller]
    fn assert_member_counts(&self, is_expected: impl Fn(usize) -> bool) {
        let counts = self.member_counts();
        assert!(counts.iter().all(|count| is_expected(*count)), "{counts:?}");
    }

    /// Returns the mean number of bytes sent by a member.
    fn mean_sent_bytes(&self) -> f64 {
        self.sent_bytes.iter().sum::<u64>() as f64 / self.members.len() as f64
    }
}

/// The mean traffic of a member, and the delay of gossip.
struct Measurement {
    /// The bytes sent per second without gossip.
    quiet_bytes_per_second: f64,
    /// The bytes sent in a second in which a third of the members publish gossip.
    busy_bytes: f64,
    /// The 90th percentile of the time from publication to reception of an item, in milliseconds.
    gossip_delay_p90_ms: u64,
}

fn measure(count: usize, seed: u64) -> Measurement {
    println!("{count} members, seed {seed}");
    let mut fleet = Fleet::new(count, seed);
    fleet.run(40 * SECOND);
    fleet.assert_member_counts(|known| known == count - 1);
    let before_quiet = fleet.mean_sent_bytes();
    fleet.run(20 * SECOND);
    let quiet_bytes_per_second = (fleet.mean_sent_bytes() - before_quiet) / 20.0;
    // A third of the members publish simultaneously, four times within a second.
    let published_at = fleet.now;
    let before_busy = fleet.mean_sent_bytes();
    for round in 0..4u8 {
        for member in (0..count).step_by(3) {
            let event = Event::Broadcast {
                topic: Topic(1),
                body: &[round; 12],
            };
            fleet.handle(member, event);
        }
        fleet.run(250 * MILLISECOND);
    }
    let busy_bytes = fleet.mean_sent_bytes() - before_busy;
    fleet.run(2 * SECOND);
    let mut delays: Vec<u64> = fleet
        .received_at
        .values()
        .map(|received_at| received_at - published_at)
        .collect();
    let expected = count * count.div_ceil(3);
    assert!(
        delays.len() as f64 > 0.97 * expected as f64,
        "{} of {expected}",
        delays.len()
    );
    delays.sort_unstable();
    Measurement {
        quiet_bytes_per_second,
        busy_bytes,
        gossip_delay_p90_ms: delays[delays.len() * 9 / 10] / MILLISECOND,
    }
}

#[test]
fn all_members_join_and_gossip_stays_within_traffic_and_delay_limits() {
    let Measurement {
        quiet_bytes_per_second,
        busy_bytes,
        gossip_delay_p90_ms,
    } = measure(100, 5);
    println!(
        "quiet {quiet_bytes_per_second:.0} bytes a second, busy {busy_bytes:.0} in a second, nine tenths received after {gossip_delay_p90_ms} ms"
    );
    assert!(quiet_bytes_per_second < 1500.0 && busy_bytes < 400_000.0 && gossip_delay_p90_ms < 300);
}

/// Prints the traffic and the delay of gossip for large fleets. Takes minutes in a debug build; run with
/// `cargo test --release -p badgerpost-membership -- --ignored`.
#[test]
#[ignore = "a measurement"]
fn cost_in_large_fleets() {
    for count in [300, 1000] {
        let Measurement {
            quiet_bytes_per_second,
            busy_bytes,
            gossip_delay_p90_ms,
        } = measure(count, 5);
        println!(
            "{count}: quiet {quiet_bytes_per_second:.0} bytes/s, busy {busy_bytes:.0} bytes in a second, 90% received after {gossip_delay_p90_ms} ms"
        );
    }
}

#[test]
fn membership_recovers_from_loss_a_partition_and_killed_members() {
    let mut fleet = Fleet::new(40, 9);
    fleet.loss = 0.2;
    fleet.run(30 * SECOND);
    fleet.assert_member_counts(|known| known >= 38);
    // During a partition, each half considers the other half down. After the partition, all members rejoin.
    fleet.loss = 0.0;
    fleet.is_partitioned = true;
    fleet.run(60 * SECOND);
    fleet.assert_member_counts(|known| known <= 22);
    fleet.is_partitioned = false;
    fleet.run(60 * SECOND);
    fleet.assert_member_counts(|known| known == 39);
    // Ten members are killed, and one of them restarts as a later incarnation.
    for member in 30..40 {
        fleet.members[member] = None;
    }
    fleet.run(30 * SECOND);
    fleet.assert_member_counts(|known| known == 29);
    fleet.start(30, 40);
    fleet.run(10 * SECOND);
    fleet.assert_member_counts(|known| known == 30);
    // The others learn at once that a member has left.
    fleet.handle(30, Event::Leave);
    fleet.members[30] = None;
    fleet.run(2 * SECOND);
    fleet.assert_member_counts(|known| known == 29);
}

/// Guards against a delayed rejoin of a member that restarts before the others consider it down.
#[test]
fn a_member_that_restarts_before_its_failure_is_detected_rejoins_at_once() {
    let mut fleet = Fleet::new(12, 3);
    fleet.run(10 * SECOND);
    fleet.members[4] = None;
    fleet.run(200 * MILLISECOND);
    fleet.start(4, 12);
    fleet.run(100 * MILLISECOND);
    let counts = fleet.member_counts();
    assert!(counts[4] >= 8, "{counts:?}");
    fleet.run(2 * SECOND);
    fleet.assert_member_counts(|known| known == 11);
}
