//! Simulated fleets of up to hundreds of members over a network with delay, loss and partitions: membership, the time
//! until gossip has spread, and its traffic. The network is a queue of datagrams; the seeds are printed.

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

/// Time of the start, as Unix time.
const START: u64 = 1_700_000_000 * SECOND;

/// A position in [`Fleet::members`].
type Position = usize;

/// What happens next in the simulation.
enum Due {
    /// A member's timer that was requested for this time.
    Timer { member: Position, at: u64 },
    /// A datagram arrives at a member.
    Datagram { member: Position, datagram: Vec<u8> },
}

/// Order of the simulation's steps: by time, then by their creation.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueKey {
    at: u64,
    sequence: u64,
}

/// Which member has received the gossip of which other one.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Reception {
    receiver: Position,
    publisher: MemberId,
}

/// Members and the network between them.
struct Fleet {
    now: u64,
    /// The members; none for one that has been killed.
    members: Vec<Option<Membership>>,
    /// Time of each member's latest timer.
    timers: Vec<u64>,
    queue: BTreeMap<DueKey, Due>,
    next_sequence: u64,
    random_state: u64,
    /// Probability that a datagram is lost.
    loss: f64,
    /// Whether the first half of the members is cut off from the second.
    is_partitioned: bool,
    /// Bytes that each member has sent.
    sent_bytes: Vec<u64>,
    /// Time of the first reception.
    received_at: BTreeMap<Reception, u64>,
}

fn address(member: Position) -> SocketAddr {
    let [high, low] = u16::try_from(member).unwrap().to_be_bytes();
    SocketAddr::from(([127, 0, high, low], 7946))
}

fn position(address: SocketAddr) -> Option<Position> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let [_, _, high, low] = address.ip().octets();
    Some(usize::from(high) << 8 | usize::from(low))
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: START,
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

    fn start(&mut self, member: Position, count: usize) {
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

    /// A random number from 0 to 1.
    fn random(&mut self) -> f64 {
        self.random_state = self
            .random_state
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.random_state >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A delay of the network from 0.2 to 1.2 ms, in nanoseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is from 0 to a million"
    )]
    fn random_delay(&mut self) -> u64 {
        200_000 + (self.random() * 1e6) as u64
    }

    fn schedule(&mut self, at: u64, due: Due) {
        let key = DueKey {
            at,
            sequence: self.next_sequence,
        };
        self.queue.insert(key, due);
        self.next_sequence += 1;
    }

    /// Passes an event to a member, unless it has been killed, and carries out its actions.
    fn handle(&mut self, member: Position, event: Event<'_>) {
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
                    self.schedule(at, Due::Timer { member, at });
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

    /// Sends a datagram with a random delay, unless the network loses it.
    fn send(&mut self, from: Position, to: SocketAddr, datagram: Vec<u8>) {
        let Some(to) = position(to) else { return };
        self.sent_bytes[from] += datagram.len() as u64;
        let half = self.members.len() / 2;
        let is_cut_off = self.is_partitioned && (to < half) != (from < half);
        if self.random() < self.loss || is_cut_off {
            return;
        }
        let delay = self.random_delay();
        let due = Due::Datagram {
            member: to,
            datagram,
        };
        self.schedule(self.now + delay, due);
    }

    fn run(&mut self, duration: u64) {
        let until = self.now + duration;
        while let Some(first) = self
            .queue
            .first_entry()
            .filter(|first| first.key().at <= until)
        {
            let (key, due) = first.remove_entry();
            self.now = key.at;
            match due {
                Due::Timer { member, at } if self.timers[member] == at => {
                    self.handle(member, Event::TimerFired);
                }
                Due::Timer { .. } => {}
                Due::Datagram { member, datagram } => {
                    self.handle(member, Event::Datagram(&datagram));
                }
            }
        }
        self.now = until;
    }

    /// How many others each running member knows.
    fn member_counts(&self) -> Vec<usize> {
        self.members
            .iter()
            .flatten()
            .map(Membership::member_count)
            .collect()
    }

    /// Asserts on how many others each running member knows.
    #[track_caller]
    fn assert_member_counts(&self, is_expected: impl Fn(usize) -> bool) {
        let counts = self.member_counts();
        assert!(counts.iter().all(|count| is_expected(*count)), "{counts:?}");
    }

    /// Bytes sent by the average member.
    fn mean_sent_bytes(&self) -> f64 {
        self.sent_bytes.iter().sum::<u64>() as f64 / self.members.len() as f64
    }
}

/// Traffic of the average member, and the delay of gossip.
struct Measurement {
    /// Bytes each second without gossip.
    quiet_bytes_per_second: f64,
    /// Bytes in the second in which a third of the members publish gossip.
    busy_bytes: f64,
    /// Milliseconds until nine tenths of the gossip received had been received.
    gossip_delay_p90: u64,
}

fn measure(count: usize, seed: u64) -> Measurement {
    println!("{count} members, seed {seed}");
    let mut fleet = Fleet::new(count, seed);
    fleet.run(40 * SECOND);
    fleet.assert_member_counts(|known| known == count - 1);
    let before_quiet = fleet.mean_sent_bytes();
    fleet.run(20 * SECOND);
    let quiet_bytes_per_second = (fleet.mean_sent_bytes() - before_quiet) / 20.0;
    // A third of the members publish at the same time, and repeatedly within a second.
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
        gossip_delay_p90: delays[delays.len() * 9 / 10] / MILLISECOND,
    }
}

#[test]
fn all_members_find_each_other_and_gossip_spreads_at_a_bounded_cost() {
    let Measurement {
        quiet_bytes_per_second,
        busy_bytes,
        gossip_delay_p90,
    } = measure(100, 5);
    println!(
        "quiet {quiet_bytes_per_second:.0} bytes a second, busy {busy_bytes:.0} in a second, nine tenths received after {gossip_delay_p90} ms"
    );
    assert!(quiet_bytes_per_second < 1500.0 && busy_bytes < 400_000.0 && gossip_delay_p90 < 300);
}

/// The figures of the operators' page; some minutes in a debug build: `cargo test --release ... -- --ignored`.
#[test]
#[ignore = "a measurement"]
fn cost_in_large_fleets() {
    for count in [300, 1000] {
        let Measurement {
            quiet_bytes_per_second,
            busy_bytes,
            gossip_delay_p90,
        } = measure(count, 5);
        println!(
            "{count}: quiet {quiet_bytes_per_second:.0} bytes/s, busy {busy_bytes:.0} bytes in a second, 90% received after {gossip_delay_p90} ms"
        );
    }
}

#[test]
fn membership_recovers_from_loss_a_partition_and_killed_members() {
    let mut fleet = Fleet::new(40, 9);
    fleet.loss = 0.2;
    fleet.run(30 * SECOND);
    fleet.assert_member_counts(|known| known >= 38);
    // Two halves, each of which considers the other down; they merge again by themselves.
    fleet.loss = 0.0;
    fleet.is_partitioned = true;
    fleet.run(60 * SECOND);
    fleet.assert_member_counts(|known| known <= 22);
    fleet.is_partitioned = false;
    fleet.run(60 * SECOND);
    fleet.assert_member_counts(|known| known == 39);
    // Ten are killed; one returns as a later incarnation.
    for member in 30..40 {
        fleet.members[member] = None;
    }
    fleet.run(30 * SECOND);
    fleet.assert_member_counts(|known| known == 29);
    fleet.start(30, 40);
    fleet.run(10 * SECOND);
    fleet.assert_member_counts(|known| known == 30);
    // A member that leaves is known to be gone at once.
    fleet.handle(30, Event::Leave);
    fleet.members[30] = None;
    fleet.run(2 * SECOND);
    fleet.assert_member_counts(|known| known == 29);
}

/// The member is killed and up again before the others consider it down.
#[test]
fn a_member_that_restarts_at_once_knows_the_others_at_once() {
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
