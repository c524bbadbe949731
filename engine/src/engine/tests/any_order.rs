//! Any order of arrivals, clients that leave, connects that come up, resets, answers, deadlines, drains and list changes:
//! one final answer to each client that stayed, nothing written for one that left or to a server past its grace, no effect
//! twice, and nothing left at the end.

use proptest::prelude::*;
use tokio::sync::oneshot::error::TryRecvError;

use super::*;
use crate::clock::VirtualClock;

const MS: Nanos = 1_000_000;
const GRACE: Nanos = 200 * MS;
const WINDOW: Nanos = 300 * MS;
const SERVERS: [(&str, &str); 3] = [("s0", "a"), ("s1", "a"), ("s2", "b")];

/// A request as its client and the servers know it.
struct Seen {
    class: ClassId,
    waiting: Option<PendingResponse<Plain>>,
    answers: usize,
    left: bool,
    /// Attempts that were written: when, where, and whether they may have run.
    written: Vec<(Nanos, usize, bool)>,
}

/// An attempt that has not ended.
struct Out {
    launch: AttemptCommand<Plain>,
    request: usize,
    server: usize,
    /// Its place among what was written.
    written: Option<usize>,
}

struct World {
    node: Engine<Plain>,
    kept: Rc<Kept>,
    steps: Rc<VirtualClock>,
    seen: Vec<Seen>,
    out: Vec<Out>,
    /// Since when each server is told to be out of service.
    drains: [Option<Nanos>; 3],
}

fn classes(count: usize) -> serde_json::Value {
    let class = |name: &str, effect: &str| {
        serde_json::json!({"name": name, "effect": effect, "key-scope": "zone", "window-ns": WINDOW,
            "on-time-ns": 600 * MS, "deadline-ns": 1000 * MS})
    };
    serde_json::json!(
        [
            class("read", "repeatable"),
            class("join", "by_key"),
            class("pay", "once")
        ][..count]
    )
}

impl World {
    fn new(second_copies: bool) -> Self {
        let config = serde_json::json!({"az": "a", "zones": ["a", "b"], "discovery": "pushed", "classes": classes(3),
            "policy-limits": {"attempts-cap": 4, "may-cancel": true, "second-copies": second_copies}, "goal": {},
            "rules": {"answer-slack-ns": 20 * MS, "drain-grace-ns": GRACE, "fall-ns": 1500 * MS,
                "start-capacity": 0.1, "tip-multiple": 2.5, "warm-after-ns": 20_000 * MS}});
        let site = badgerpost_settings::read(&config).expect("settings");
        let (kept, steps) = (Rc::new(Kept::default()), VirtualClock::at(1000 * MS));
        let clock = Clock::stepped(steps.clone());
        let node = Engine::new(site.settings, site.words, 7, clock, kept.clone()).expect("a node");
        let (seen, out) = (Vec::new(), Vec::new());
        let mut world = Self {
            node,
            kept,
            steps,
            seen,
            out,
            drains: [None; 3],
        };
        world.list(&[0, 1, 2], EndpointState::InService);
        world
    }

    fn now(&self) -> Nanos {
        self.node.clock().now()
    }

    fn list(&mut self, servers: &[usize], stage: EndpointState) {
        let of = |server: &usize| DiscoveredEndpoint {
            zone: SERVERS[*server].1.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 9 + *server as u16)),
            ..listed(SERVERS[*server].0, stage)
        };
        for server in servers {
            let told = self.drains[*server].unwrap_or(self.now());
            self.drains[*server] = (stage != EndpointState::InService).then_some(told);
        }
        let endpoints: Vec<_> = servers.iter().map(of).collect();
        self.node
            .endpoints_updated(EndpointUpdate::Delta, &endpoints);
        self.look();
    }

    /// Takes up what the engine wants and what it has answered.
    fn look(&mut self) {
        for launch in self.kept.attempts.borrow_mut().drain(..) {
            let server = usize::from(launch.address.port()) - 9;
            let request = launch.attempt.request.0 as usize;
            self.out.push(Out {
                launch,
                request,
                server,
                written: None,
            });
        }
        for seen in &mut self.seen {
            let Some(waiting) = &mut seen.waiting else {
                continue;
            };
            let answered = {
                let mut answer = std::pin::pin!(waiting.wait());
                answer
                    .as_mut()
                    .poll(&mut Context::from_waker(Waker::noop()))
                    .is_ready()
            };
            if answered {
                seen.answers += 1;
                seen.waiting = None;
            }
        }
        while let Some(n) =
            self.out
                .iter_mut()
                .position(|out| match out.launch.cancelled.try_recv() {
                    Ok(()) => true,
                    Err(TryRecvError::Empty | TryRecvError::Closed) => false,
                })
        {
            let outcome = if self.out[n].written.is_some() {
                Outcome::Cancelled
            } else {
                Outcome::NotSent
            };
            self.end(n, outcome);
        }
    }

    fn arrive(&mut self, class: ClassId) {
        let asked = IncomingRequest {
            class,
            ..asked(1000 * MS)
        };
        let waiting = self.node.submit(asked).expect("a new id");
        let written = Vec::new();
        self.seen.push(Seen {
            class,
            waiting: Some(waiting),
            answers: 0,
            left: false,
            written,
        });
        self.look();
    }

    fn leave(&mut self, n: usize) {
        let seen = &mut self.seen[n];
        if seen.waiting.take().is_some() {
            seen.left = true;
        }
        self.look();
    }

    /// A connection is up: written to, if the engine still wants it.
    fn connect_up(&mut self, n: usize) -> Result<(), TestCaseError> {
        let (now, out) = (self.now(), &self.out[n]);
        if out.written.is_some() {
            return Ok(());
        }
        if !self.node.may_write(out.launch.attempt) {
            self.end(n, Outcome::NotSent);
            return Ok(());
        }
        let (request, server) = (out.request, out.server);
        let seen = &mut self.seen[request];
        prop_assert!(!seen.left, "written for a client that has left");
        prop_assert_eq!(seen.answers, 0, "written behind the answer");
        prop_assert!(
            self.drains[server].is_none_or(|since| now < since + GRACE),
            "written past the grace"
        );
        for &(at, other, ran) in seen.written.iter().filter(|(_, _, ran)| *ran) {
            prop_assert!(
                seen.class != ClassId(2),
                "an unsafe request where another may have run: {ran}"
            );
            if seen.class == ClassId(1) {
                prop_assert!(SERVERS[other].1 == SERVERS[server].1, "out of its group");
                prop_assert!(now < at + WINDOW, "behind its window");
            }
        }
        seen.written.push((now, server, true));
        self.out[n].written = Some(self.seen[request].written.len() - 1);
        Ok(())
    }

    fn end(&mut self, n: usize, outcome: Outcome) {
        let out = self.out.remove(n);
        if let (Some(written), false) = (out.written, outcome.may_have_run()) {
            self.seen[out.request].written[written].2 = false;
        }
        let served = outcome == Outcome::Success;
        let answer = served.then_some("yes");
        self.node.attempt_ended(
            out.launch.attempt,
            AttemptEnd {
                response: answer,
                ..AttemptEnd::bare(outcome)
            },
        );
        self.look();
    }

    /// What comes on a connection that is up, or does not come up.
    fn comes(&mut self, n: usize, outcome: Outcome) {
        let written = self.out[n].written.is_some();
        self.end(
            n,
            if written {
                outcome
            } else {
                Outcome::ConnectFailed
            },
        );
    }

    fn pass(&mut self, span: Nanos) {
        let end = self.now() + span;
        while self.now() < end {
            self.steps.advance((self.now() + 10 * MS).min(end));
            self.node.fire_timers();
            self.look();
            // The transport's part: nobody waits past the time that a launch was given.
            while let Some(n) = self
                .out
                .iter()
                .position(|out| out.launch.attempt_deadline <= self.now())
            {
                let outcome = if self.out[n].written.is_some() {
                    Outcome::TimedOut
                } else {
                    Outcome::NotSent
                };
                self.end(n, outcome);
            }
        }
    }

    fn step(&mut self, kind: u8, which: usize) -> Result<(), TestCaseError> {
        let n = (!self.out.is_empty()).then(|| which % self.out.len().max(1));
        match (kind, n) {
            (0..=2, _) => self.arrive(ClassId(which as u32 % 3)),
            (3, _) if !self.seen.is_empty() => self.leave(which % self.seen.len()),
            (4..=6, Some(n)) => self.connect_up(n)?,
            (7, Some(n)) => self.comes(n, Outcome::Reset),
            (8, Some(n)) => self.comes(n, Outcome::Success),
            (9, Some(n)) => self.comes(n, Outcome::Rejected),
            (10, Some(n)) => self.comes(n, Outcome::Error),
            (11 | 12, _) => self.pass((which as Nanos % 30) * 10 * MS),
            (13, _) => self.list(&[which % 3], EndpointState::Draining),
            (14, _) => self.list(&[which % 3], EndpointState::Removed),
            (15, _) => self.list(&[which % 3], EndpointState::InService),
            _ => {}
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, ..ProptestConfig::default() })]

    #[test]
    fn any_order_ends_with_one_answer_and_nothing_left(
        second_copies: bool,
        steps in prop::collection::vec((0u8..16, 0usize..1000), 1..80),
    ) {
        let mut world = World::new(second_copies);
        for (kind, which) in steps {
            world.step(kind, which)?;
        }
        world.pass(3000 * MS);
        while !world.out.is_empty() {
            world.comes(0, Outcome::Reset);
        }
        for (n, seen) in world.seen.iter().enumerate() {
            prop_assert_eq!((seen.answers, seen.waiting.is_some()), (usize::from(!seen.left), false), "request {}", n);
        }
        prop_assert_eq!(open_requests(&world.node), (0, 0));
        prop_assert!(!world.node.driver.borrow().timers.any(|due| matches!(due, TimerPurpose::Backstop(_))));
    }
}
