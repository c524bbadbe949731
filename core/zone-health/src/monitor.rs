//! One node's watch over all zones: takes the events in, keeps the clock of the time awake, and says the shares.

use std::collections::BTreeMap;

use crate::api::{Action, AttemptSignal, Event, Settings, ZoneStateReason};
use crate::evidence::{OutstandingAttempt, USUAL};
use crate::latency_histogram::LatencyHistogram;
use crate::observation::{ObservedState, ZoneObservation, hundredths};
use crate::peer_observations::{self, PeerObservations, PeerSummary};
use crate::random::LinearCongruentialGenerator;
use crate::time::{MILLISECOND, Nanos, SECOND};
use crate::traffic_division::{ZoneCapacity, divide_traffic};
use crate::zone_state::{CROWD_ALONE, EvidenceSnapshot, SLOW, ZoneStage, ZoneState};

/// How often open attempts are looked at.
const LOOK: Nanos = 25 * MILLISECOND;
/// A wake-up that comes so late means that this process did not run: that time says nothing of others.
const LATE: Nanos = 20 * MILLISECOND;
/// A burst of failures is weighed once in this time.
const LEAST_LOOK: Nanos = MILLISECOND;
/// Open attempts that are watched; the embedder has no more requests open than connections for them.
const OUTS_MOST: usize = 65_536;
/// A reported use of cores counts for so long.
const UTIL_FOR: Nanos = 4 * SECOND;
/// A change of a share that is worth telling.
const TELL: f64 = 0.05;
/// Answers of a class elsewhere that a comparison takes, as if they had failed as usual.
const ELSEWHERE: f64 = 5.0;
/// How long a trial's answer is waited for: so many times what nearly all answers take, within bounds.
const TRIAL_STRETCH: u64 = 3;
const TRIAL_WAIT: (Nanos, Nanos) = (50 * MILLISECOND, 2 * SECOND);

/// With an answer from a zone that is no older, this node hears from it.
const HEARS: Nanos = 100 * MILLISECOND;
/// Evidence that is worth telling the others, and the steps in which it grows, in hundredths.
const TELLS: u16 = 100;
const TELL_STEP: u16 = 50;
/// Beyond this it tells no more: one node's word is worth less.
const TELL_MOST: u16 = 300;
/// So many members tell one that is new what they see, in the mean.
const TELLERS: f64 = 8.0;
/// A node that hears from a zone others speak against says so no more often than this.
const HEARS_AGAIN: Nanos = 200 * MILLISECOND;

#[derive(Clone, Copy, Default)]
struct Place {
    servers: u32,
    size: f64,
    util: Option<(Nanos, f64)>,
    hand: Option<(bool, Nanos)>,
    told: Option<(f64, &'static str)>,
    /// What the other nodes were last told, and when.
    said: Option<(Nanos, ZoneObservation)>,
}

/// What one node knows of the zones.
pub struct ZoneMonitor {
    settings: Settings,
    courses: Vec<ZoneState>,
    places: Vec<Place>,
    listed: BTreeMap<u32, u32>,
    outs: BTreeMap<u64, OutstandingAttempt>,
    times: Vec<LatencyHistogram>,
    /// The time that this process did not run, and the last moment that it surely did.
    slept: Nanos,
    now: Nanos,
    wake: Option<Nanos>,
    looked: Nanos,
    /// No zone answers; until one does.
    cut_off: bool,
    /// The other nodes, where there are any.
    fleet: PeerObservations,
    /// They have said something that was not weighed yet.
    unweighed: bool,
    random: LinearCongruentialGenerator,
}

impl ZoneMonitor {
    /// A node that has seen nothing yet.
    pub fn new(settings: Settings, now: Nanos) -> Self {
        let zones = settings.zone_count as usize;
        Self {
            courses: (0..zones)
                .map(|_| ZoneState::new(settings.class_count))
                .collect(),
            places: vec![Place::default(); zones],
            listed: BTreeMap::new(),
            outs: BTreeMap::new(),
            times: vec![LatencyHistogram::new(); settings.class_count as usize],
            slept: 0,
            now,
            wake: None,
            looked: 0,
            cut_off: false,
            fleet: PeerObservations::default(),
            unweighed: false,
            random: LinearCongruentialGenerator::new(settings.seed),
            settings,
        }
    }

    /// Takes one event in and adds what is to be done. A clock that steps back stands still.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if let Some(due) = self.wake
            && self.now > due + LATE
        {
            self.slept += self.now - due;
            self.wake = Some(self.now);
        }
        let mut burst = false;
        let look = match event {
            Event::EndpointsListed(servers) => {
                self.list(&servers);
                true
            }
            Event::AttemptSent {
                attempt,
                server,
                zone,
                class,
            } => {
                self.sent(
                    attempt,
                    OutstandingAttempt {
                        server,
                        zone,
                        class,
                        since: self.awake(),
                    },
                );
                false
            }
            Event::AttemptEnded {
                attempt,
                seen,
                util,
            } => {
                burst = self.now < self.looked + LEAST_LOOK && self.wake.is_some();
                self.ended(attempt, seen, util)
            }
            Event::TimerFired => {
                self.wake = None;
                true
            }
            Event::OperatorOverride { zone, order } => {
                if let Some(place) = self.places.get_mut(zone as usize) {
                    place.hand = order;
                }
                true
            }
            Event::PeerChanged { member, home, up } => {
                self.fleet.member(member, home, up);
                if up {
                    self.tell_again();
                }
                false
            }
            Event::PeerObserved {
                member,
                zone,
                sent,
                sight,
            } => {
                let known = usize::from(zone) < self.courses.len();
                // A burst of words is weighed with the next look.
                burst = self.now < self.looked + LEAST_LOOK && self.wake.is_some();
                let counts = known && self.fleet.said(self.now, member, zone, sent, sight);
                self.unweighed |= counts;
                counts
            }
        };
        if look && !burst {
            self.look(actions);
        }
        self.arm(actions);
    }

    /// The clock of the time that this process ran.
    fn awake(&self) -> Nanos {
        self.now - self.slept.min(self.now)
    }

    fn crowd(&self) -> f64 {
        if self.fleet.len() > 0 {
            return f64::from(self.fleet.count(self.settings.local_zone as u8) + 1);
        }
        (f64::from(self.settings.node_count) / f64::from(self.settings.zone_count.max(1)))
            .clamp(1.0, CROWD_ALONE)
    }

    fn list(&mut self, servers: &[(u32, u32, f64)]) {
        let awake = self.awake();
        self.listed = servers
            .iter()
            .map(|(server, zone, _)| (*server, *zone))
            .collect();
        for (zone, (place, course)) in self.places.iter_mut().zip(&mut self.courses).enumerate() {
            let there = || servers.iter().filter(|(_, at, _)| *at as usize == zone);
            let before = std::mem::replace(&mut place.servers, there().count() as u32);
            if before == 0 && place.servers > 0 {
                course.listed_anew(awake);
            }
            place.size = there().map(|(.., size)| size).sum();
            let listed = &self.listed;
            course
                .evidence
                .retain(|server| listed.contains_key(&server));
        }
    }

    fn sent(&mut self, attempt: u64, out: OutstandingAttempt) {
        let known =
            (out.zone as usize) < self.courses.len() && (out.class as usize) < self.times.len();
        if known && self.outs.len() < OUTS_MOST {
            self.outs.insert(attempt, out);
        }
    }

    /// Whether it is worth a look.
    fn ended(&mut self, attempt: u64, seen: AttemptSignal, util: Option<f64>) -> bool {
        let Some(out) = self.outs.remove(&attempt) else {
            return false;
        };
        let (awake, zone, crowd, draw) = (
            self.awake(),
            out.zone as usize,
            self.crowd(),
            self.random.next_fraction(),
        );
        let elsewhere = self.elsewhere(out.zone, out.class);
        if let Some(util) = util.filter(|util| (0.0..=2.0).contains(util)) {
            let before = self.places[zone].util.map_or(util, |(_, before)| before);
            self.places[zone].util = Some((self.now, before + 0.1 * (util - before)));
        }
        let servers = self.places[zone].servers;
        if matches!(
            seen,
            AttemptSignal::Answered | AttemptSignal::Failed | AttemptSignal::Inconclusive
        ) && std::mem::take(&mut self.cut_off)
        {
            // The node itself was cut off: what stayed silent meanwhile speaks against nobody.
            self.courses
                .iter_mut()
                .for_each(|course| course.open(awake));
        }
        let course = &mut self.courses[zone];
        let span = awake.saturating_sub(out.since);
        match seen {
            AttemptSignal::Answered => {
                let times = &mut self.times[out.class as usize];
                let usual = times.median().unwrap_or(span).max(1);
                times.record(span);
                course.evidence.answered(awake, span as f64 / usual as f64);
                course.evidence.told(awake, &out, false, true, elsewhere);
                course.tried(awake, true, servers, crowd, draw);
            }
            AttemptSignal::Failed => {
                // An error is an answer: the zone is not silent.
                course.evidence.heard(awake);
                course.evidence.told(awake, &out, true, true, elsewhere);
                course.tried(awake, false, servers, crowd, draw);
            }
            AttemptSignal::ConnectionFailed => {
                course.evidence.told(awake, &out, true, false, elsewhere);
                course.tried(awake, false, servers, crowd, draw);
            }
            AttemptSignal::TimedOut => {
                course.evidence.fell_silent(&out, awake);
                if self.times[out.class as usize].silence_evidence(span, 2.0) > 1.0 {
                    course.tried(awake, false, servers, crowd, draw);
                }
            }
            AttemptSignal::Inconclusive => course.evidence.heard(awake),
            AttemptSignal::NotSent => return false,
        }
        seen != AttemptSignal::Answered || course.stage != ZoneStage::Healthy
    }

    /// Share of a class's requests that fails in the other zones now.
    fn elsewhere(&self, zone: u32, class: u32) -> f64 {
        let awake = self.awake();
        let others = self
            .courses
            .iter()
            .zip(0..)
            .filter(|(_, other)| *other != zone);
        let (failed, all) = others.fold((0.0, 0.0), |sum, (course, _)| {
            let (failed, all) = course.evidence.failed(class, awake);
            (sum.0 + failed, sum.1 + all)
        });
        (failed + USUAL * ELSEWHERE) / (all + ELSEWHERE)
    }

    fn hand(&self, zone: usize) -> Option<bool> {
        self.places[zone]
            .hand
            .filter(|(_, until)| self.now < *until)
            .map(|(closed, _)| closed)
    }

    /// Whether a zone could take what another does not.
    fn could_take(&self, zone: usize) -> bool {
        self.places[zone].servers > 0
            && self.hand(zone) != Some(true)
            && self.courses[zone].part() > 0.0
    }

    fn look(&mut self, actions: &mut Vec<Action>) {
        (self.looked, self.unweighed) = (self.now, false);
        let (awake, crowd) = (self.awake(), self.crowd());
        for zone in 0..self.courses.len() {
            if self.cut_off {
                break;
            }
            let draw = self.random.next_fraction();
            if self.hand(zone).is_some() {
                continue;
            }
            let seen = self.weighed(zone);
            self.courses[zone].weigh(awake, seen, crowd, draw);
            let elsewhere =
                (0..self.settings.class_count).map(|class| self.elsewhere(zone as u32, class));
            if self.courses[zone].no_worse_than(elsewhere.fold(0.0, f64::max)) {
                self.courses[zone].acquit(awake);
            }
            if let Some(theirs) = seen.fleet {
                self.say(zone, theirs, actions);
            }
            if self.courses[zone].trial(awake, crowd, draw) {
                actions.push(Action::RequestProbe {
                    zone: zone as u32,
                    wait: self.trial_wait(),
                });
            }
        }
        // With nowhere left to go nobody else is to blame, or nothing is gained by staying away.
        if !self.cut_off && !(0..self.courses.len()).any(|zone| self.could_take(zone)) {
            let doubted = self.courses.iter().any(|course| course.part() == 0.0);
            self.courses
                .iter_mut()
                .for_each(|course| course.open(awake));
            self.cut_off = doubted;
        }
        self.tell(actions);
    }

    /// The evidence of a zone's silence, where answers take `stretch` times as long as usual, and since when the first
    /// attempt there waits.
    fn silence(&self, zone: usize, stretch: f64) -> (f64, Nanos) {
        let outs = self.outs.values().filter(|out| out.zone as usize == zone);
        let (course, listed) = (&self.courses[zone], self.places[zone].servers);
        course
            .evidence
            .silence(outs, &self.times, self.awake(), listed, stretch)
    }

    fn weighed(&self, zone: usize) -> EvidenceSnapshot {
        let (awake, course, listed) =
            (self.awake(), &self.courses[zone], self.places[zone].servers);
        let (silent, first) = self.silence(zone, 2.0);
        let slower = self.silence(zone, course.patience()).0;
        let failing = course.evidence.failing(awake, listed);
        let hears = course.evidence.heard_within(awake, HEARS);
        let home = self.settings.local_zone as u8;
        let fleet = (self.fleet.len() > 0).then(|| {
            self.fleet
                .view(self.now, zone as u8, home, (slower, failing, hears))
        });
        // A node that hears from a zone believes nobody that it is silent.
        let theirs =
            |of: fn(&PeerSummary) -> f64| fleet.as_ref().filter(|_| !hears).map_or(0.0, of);
        EvidenceSnapshot {
            silence: silent + theirs(|view| view.silence),
            slower: slower + theirs(|view| view.silence),
            failing: failing + fleet.map_or(0.0, |view| view.failing),
            others: (0..self.courses.len()).any(|other| other != zone && self.could_take(other)),
            quiet: awake.saturating_sub(first),
            fleet,
            hears,
            own: silent.max(failing),
        }
    }

    /// Tells the other nodes what is to be seen of a zone, where that is news to them.
    fn say(&mut self, zone: usize, theirs: PeerSummary, actions: &mut Vec<Action>) {
        let (awake, course, listed) =
            (self.awake(), &self.courses[zone], self.places[zone].servers);
        let in_steps = |evidence| hundredths(evidence).min(TELL_MOST) / TELL_STEP * TELL_STEP;
        let home = self.settings.local_zone as u8;
        let (silent, failing) = (
            in_steps(self.silence(zone, SLOW).0),
            in_steps(course.evidence.failing(awake, listed)),
        );
        let hears = silent < TELLS && failing < TELLS && course.evidence.heard_within(awake, HEARS);
        let at = course.at(awake);
        let sight = ZoneObservation {
            home,
            silent,
            failing,
            has_answers: hears,
            state: at,
            is_own: course.saw,
        };
        let speaks = |sight: &ZoneObservation| {
            sight.silent.max(sight.failing) >= TELLS || sight.state != ObservedState::Healthy
        };
        let before = self.places[zone].said;
        let age = before.map_or(Nanos::MAX, |(at, _)| self.now - at);
        let due = match before {
            // Whom others doubt and this node hears from: they are to know.
            _ if !speaks(&sight) && hears && theirs.doubted => age >= HEARS_AGAIN,
            Some((_, said)) if speaks(&said) || speaks(&sight) => {
                told_apart(&said, &sight)
                    || (speaks(&sight) && age >= peer_observations::refresh(self.fleet.len()))
            }
            Some(_) => false,
            None => speaks(&sight),
        };
        if due {
            self.places[zone].said = Some((self.now, sight));
            actions.push(Action::Gossip {
                zone: zone as u8,
                sight,
            });
        }
    }

    /// One that is new has heard nothing yet: some members, drawn by lot, say again what they have said.
    fn tell_again(&mut self) {
        if self.random.next_fraction() * (self.fleet.len() as f64) < TELLERS {
            let said = self
                .places
                .iter_mut()
                .filter_map(|place| place.said.as_mut());
            said.for_each(|(at, _)| *at = 0);
            self.unweighed = true;
        }
    }

    fn trial_wait(&self) -> Nanos {
        let slowest = self
            .times
            .iter()
            .filter_map(|times| times.quantile(0.95))
            .max();
        slowest.map_or(TRIAL_WAIT.1, |span| {
            (span * TRIAL_STRETCH).clamp(TRIAL_WAIT.0, TRIAL_WAIT.1)
        })
    }

    /// Says the shares that have changed.
    fn tell(&mut self, actions: &mut Vec<Action>) {
        let home = self.settings.local_zone as usize;
        let part = |zone: usize| match self.hand(zone) {
            Some(closed) => f64::from(u8::from(!closed)),
            None => self.courses[zone].part(),
        };
        let parts: Vec<f64> = (0..self.courses.len()).map(part).collect();
        let rooms = self
            .places
            .iter()
            .enumerate()
            .map(|(zone, place)| ZoneCapacity {
                size: place.size * parts[zone],
                utilization: place
                    .util
                    .filter(|(at, _)| self.now < at + UTIL_FOR)
                    .map(|(_, util)| util),
                is_available: zone != home && parts[zone] > 0.0,
            });
        let rooms: Vec<ZoneCapacity> = rooms.collect();
        let divided = divide_traffic(&rooms);
        let home_part = parts.get(home).copied().unwrap_or(1.0);
        for zone in 0..self.courses.len() {
            let share = match (zone == home, parts[zone]) {
                (true, part) => part,
                (false, part) if home_part >= 1.0 => part,
                (false, part) => divided[zone].min(part),
            };
            let why = match self.hand(zone) {
                Some(_) => ZoneStateReason::OperatorOverride,
                None if self.cut_off => ZoneStateReason::NoAlternative,
                None => self.courses[zone].why(),
            };
            let place = &mut self.places[zone];
            let (before, word) = place
                .told
                .unwrap_or((1.0, ZoneStateReason::Healthy.as_str()));
            if (share - before).abs() < TELL
                && (share == 0.0) == (before == 0.0)
                && word == why.as_str()
            {
                continue;
            }
            place.told = Some((share, why.as_str()));
            let (zone, servers) = (zone as u32, place.servers);
            if share != before {
                actions.push(Action::SetShare { zone, share });
            }
            if word != why.as_str() {
                actions.push(Action::LogChange {
                    zone,
                    share,
                    why,
                    servers,
                });
            }
        }
    }

    fn arm(&mut self, actions: &mut Vec<Action>) {
        let follows = |course: &ZoneState| !matches!(course.stage, ZoneStage::Healthy);
        let follows = self.fleet.len() > 0 && self.courses.iter().any(follows);
        let look = (follows || self.unweighed || !self.outs.is_empty()).then_some(self.now + LOOK);
        let slept = self.slept;
        let courses = self
            .courses
            .iter()
            .filter_map(ZoneState::due)
            .map(|awake| awake + slept);
        let hands = self
            .places
            .iter()
            .filter_map(|place| place.hand)
            .map(|(_, until)| until);
        let due = courses
            .map(|at| at.max(self.now + MILLISECOND))
            .chain(hands.filter(|until| *until > self.now));
        let Some(next) = look.into_iter().chain(due).min() else {
            return;
        };
        // An earlier wake-up stands, and so does one that is no later by much than what is wanted.
        if self
            .wake
            .is_none_or(|at| at <= self.now || next + LOOK / 2 < at)
        {
            self.wake = Some(next);
            actions.push(Action::SetTimer { at: next });
        }
    }
}

/// Whether the others would learn something by the second of two sights: ages apart, which they know.
fn told_apart(one: &ZoneObservation, other: &ZoneObservation) -> bool {
    let news = |sight: &ZoneObservation| {
        let at = match sight.state {
            ObservedState::Ejected { good, bad_ms } => ObservedState::Ejected {
                good,
                bad_ms: u16::from(bad_ms < u16::MAX),
            },
            at => at,
        };
        ZoneObservation {
            state: at,
            has_answers: false,
            ..*sight
        }
    };
    news(one) != news(other)
}

#[cfg(test)]
mod tests;
