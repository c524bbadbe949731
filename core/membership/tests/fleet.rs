//! Hundreds of members over a network that is late and loses: who knows whom, how fast news goes round, and what it
//! costs. The network is a queue here; the seeds are printed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use badgerpost_membership::{Action, Event, Key, Membership, Settings, member_id};

const MS: u64 = 1_000_000;
const SECOND: u64 = 1000 * MS;
const BASE: u64 = 1_700_000_000 * SECOND;

enum Due {
    Wake(usize, u64),
    Comes(usize, Vec<u8>),
}

struct Fleet {
    now: u64,
    members: Vec<Option<Membership>>,
    wakes: Vec<u64>,
    queue: BTreeMap<(u64, u64), Due>,
    next: u64,
    random: u64,
    loss: f64,
    parted: bool,
    bytes: Vec<u64>,
    /// Who has heard whose latest news, when.
    heard: BTreeMap<(usize, u64), u64>,
}

fn at(member: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (member >> 8) as u8, member as u8], 7946))
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: BASE,
            members: Vec::new(),
            wakes: vec![0; count],
            queue: BTreeMap::new(),
            next: 0,
            random: seed,
            loss: 0.0,
            parted: false,
            bytes: vec![0; count],
            heard: BTreeMap::new(),
        };
        for member in 0..count {
            fleet.members.push(None);
            fleet.start(member, count);
        }
        fleet
    }

    fn start(&mut self, member: usize, count: usize) {
        self.members[member] = Some(Membership::new(Settings {
            member: member_id(&format!("n{member}")),
            advertise: at(member),
            zone: (member % 3) as u8,
            incarnation: self.now,
            seeds: (0..3).map(at).collect(),
            key: Key::read("a key for a test").unwrap(),
            node_count: count as u32,
            seed: self.random ^ member as u64,
        }));
        self.tell(member, Event::Start);
    }

    fn draw(&mut self) -> f64 {
        self.random = self
            .random
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    fn tell(&mut self, member: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        let Some(peers) = &mut self.members[member] else {
            return;
        };
        peers.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, datagram } => {
                    let SocketAddr::V4(to) = to else { continue };
                    let octets = to.ip().octets();
                    let to = usize::from(octets[2]) << 8 | usize::from(octets[3]);
                    self.bytes[member] += datagram.len() as u64;
                    let half = self.members.len() / 2;
                    let cut = self.parted && (to < half) != (member < half);
                    if self.draw() < self.loss || cut {
                        continue;
                    }
                    let delay = 200_000 + (self.draw() * 1e6) as u64;
                    self.queue
                        .insert((self.now + delay, self.next), Due::Comes(to, datagram));
                    self.next += 1;
                }
                Action::SetTimer { at } => {
                    self.wakes[member] = at;
                    self.queue.insert((at, self.next), Due::Wake(member, at));
                    self.next += 1;
                }
                Action::Received { member: of, .. } => {
                    self.heard.entry((member, of)).or_insert(self.now);
                }
                Action::MemberChanged { .. } => {}
                Action::DatagramDropped(dropped) => panic!("{dropped:?}"),
            }
        }
    }

    fn run(&mut self, span: u64) {
        let until = self.now + span;
        while let Some(first) = self
            .queue
            .first_entry()
            .filter(|first| first.key().0 <= until)
        {
            let ((at, _), due) = first.remove_entry();
            self.now = at;
            match due {
                Due::Wake(member, at) if self.wakes[member] == at => {
                    self.tell(member, Event::TimerFired)
                }
                Due::Wake(..) => {}
                Due::Comes(member, datagram) => self.tell(member, Event::Datagram(&datagram)),
            }
        }
        self.now = until;
    }

    fn known(&self) -> Vec<usize> {
        self.members
            .iter()
            .flatten()
            .map(Membership::members)
            .collect()
    }
}

fn figures(count: usize, seed: u64) -> (f64, f64, u64) {
    println!("{count} members, seed {seed}");
    let mut fleet = Fleet::new(count, seed);
    fleet.run(40 * SECOND);
    assert!(
        fleet.known().iter().all(|known| *known == count - 1),
        "all know all"
    );
    let total = |fleet: &Fleet| fleet.bytes.iter().sum::<u64>() as f64 / count as f64;
    let before = total(&fleet);
    fleet.run(20 * SECOND);
    let quiet = (total(&fleet) - before) / 20.0;
    // A third of them have something to say at once, and say more for a second.
    let (said, before) = (fleet.now, total(&fleet));
    for round in 0..4u8 {
        for member in (0..count).step_by(3) {
            fleet.tell(
                member,
                Event::Broadcast {
                    topic: 1,
                    body: &[round; 12],
                },
            );
        }
        fleet.run(250 * MS);
    }
    let busy = total(&fleet) - before;
    fleet.run(2 * SECOND);
    // The news of one third: nine tenths of the members have heard nine tenths of it after so long.
    let mut spans: Vec<u64> = fleet.heard.values().map(|heard| heard - said).collect();
    let all = count * count.div_ceil(3);
    assert!(
        spans.len() as f64 > 0.97 * all as f64,
        "{} of {all}",
        spans.len()
    );
    spans.sort_unstable();
    (quiet, busy, spans[spans.len() * 9 / 10] / MS)
}

#[test]
fn all_find_all_and_news_goes_round_at_a_bounded_cost() {
    let (quiet, busy, heard) = figures(100, 5);
    println!(
        "quiet {quiet:.0} bytes a second, busy {busy:.0} in a second, nine tenths heard after {heard} ms"
    );
    assert!(quiet < 1500.0 && busy < 400_000.0 && heard < 300);
}

/// The figures of the operators' page; some minutes in a debug build: `cargo test --release ... -- --ignored`.
#[test]
#[ignore = "a measurement"]
fn what_it_costs_in_large_fleets() {
    for count in [300, 1000] {
        let (quiet, busy, heard) = figures(count, 5);
        println!(
            "{count}: quiet {quiet:.0} bytes/s, busy {busy:.0} bytes in a second, 90% heard after {heard} ms"
        );
    }
}

#[test]
fn loss_a_split_and_deaths_are_got_over() {
    let mut fleet = Fleet::new(40, 9);
    fleet.loss = 0.2;
    fleet.run(30 * SECOND);
    assert!(
        fleet.known().iter().all(|known| *known >= 38),
        "{:?}",
        fleet.known()
    );
    // Two halves, each of which takes the other for gone; then they find together again by themselves.
    (fleet.loss, fleet.parted) = (0.0, true);
    fleet.run(60 * SECOND);
    assert!(
        fleet.known().iter().all(|known| *known <= 22),
        "{:?}",
        fleet.known()
    );
    fleet.parted = false;
    fleet.run(60 * SECOND);
    assert!(
        fleet.known().iter().all(|known| *known == 39),
        "{:?}",
        fleet.known()
    );
    // Ten die; one comes back at once, with a later life.
    (30..40).for_each(|member| fleet.members[member] = None);
    fleet.run(30 * SECOND);
    assert!(
        fleet.known().iter().all(|known| *known == 29),
        "{:?}",
        fleet.known()
    );
    fleet.start(30, 40);
    fleet.run(10 * SECOND);
    assert!(
        fleet.known().iter().all(|known| *known == 30),
        "{:?}",
        fleet.known()
    );
    // An orderly leave is known at once.
    fleet.tell(30, Event::Leave);
    fleet.members[30] = None;
    fleet.run(2 * SECOND);
    assert!(
        fleet.known().iter().all(|known| *known == 29),
        "{:?}",
        fleet.known()
    );
}

/// Killed and up again before anybody has missed it.
#[test]
fn a_member_that_starts_anew_at_once_knows_the_others_at_once() {
    let mut fleet = Fleet::new(12, 3);
    fleet.run(10 * SECOND);
    fleet.members[4] = None;
    fleet.run(200 * MS);
    fleet.start(4, 12);
    fleet.run(100 * MS);
    assert!(fleet.known()[4] >= 8, "{:?}", fleet.known());
    fleet.run(2 * SECOND);
    assert!(
        fleet.known().iter().all(|known| *known == 11),
        "{:?}",
        fleet.known()
    );
}
