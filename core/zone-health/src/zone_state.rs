//! The course of one zone: open, doubted, closed, tried, returning by steps. Which of these it is decides what it
//! gets; when it changes is decided here too, from what the evidence amounts to.

use crate::api::ZoneStateReason;
use crate::evidence::Evidence;
use crate::observation::ObservedState;
use crate::peer_observations::PeerSummary;
use crate::time::{MILLISECOND, Nanos, SECOND};

/// Evidence at which a zone gets nothing new: log-likelihoods, so chance comes to it once in 150 cases that are as
/// bad as the test can tell, and the next answer takes it back.
const DOUBT: f64 = 5.0;
/// The same for failures, which take nothing back by themselves once the zone gets nothing: three in a row at the
/// least, beside those of the worst server.
const DOUBT_FAILING: f64 = 8.0;
/// Own evidence at which a node has seen for itself what it tells the others.
const SEES: f64 = 2.0;
/// Evidence in the return at which the last step is taken back.
const WORSE: f64 = 2.5;
/// A slow zone is told from a dead one by answers that take so many times as long; new processes are cold, and
/// have an eighth of what they will have.
pub(crate) const SLOW: f64 = 4.0;
const COLD: f64 = 8.0;
/// A doubt that no answer has ended for so long closes the zone. A link that is cut for a moment ends it sooner.
const DOUBT_FOR: Nanos = 300 * MILLISECOND;
/// The same where the attempts that could still answer are too few to tell a dead zone from a slow one.
const DOUBT_MOST: Nanos = SECOND;
/// A closed zone is not tried earlier than this; doubled for each time that it was closed again.
const HOLD: Nanos = 500 * MILLISECOND;
const HOLDS: u32 = 7;
/// A zone that stayed open this long starts anew with the first.
const FORGIVEN: Nanos = 60 * SECOND;
/// Trials that must be answered, one after the other, before it returns.
const TRIALS: u32 = 3;
/// The same where it failed: a zone that fails three in ten answers three in a row once in three times.
const TRIALS_FAILED: u32 = 8;
/// Trials a second that the nodes of a zone make together.
const TRIALS_A_SECOND: f64 = 2.0;
/// Most nodes that a wait between two trials is reckoned for: alone, where nobody else's trial helps, and with words.
pub(crate) const CROWD_ALONE: f64 = 8.0;
const CROWD_MOST: f64 = 240.0;
/// After an answer the next trial follows soon.
const TRIAL_NEXT: Nanos = 50 * MILLISECOND;
/// The steps of the return and how long each lasts at least: long enough that answers to it have come.
const STEPS: [f64; 5] = [0.05, 0.1, 0.2, 0.4, 0.7];
const STEP_FOR: Nanos = 300 * MILLISECOND;
/// No further step while answers take this many times as long as usual, and as long again as in the first step: cold
/// servers are slow without any load. A step lasts no longer for that than this: the evidence still watches.
const STRETCHED: f64 = 3.0;
const WORSENED: f64 = 2.0;
const STEP_MOST: Nanos = 2 * SECOND;
/// Share of a class that fails elsewhere at which no zone is to blame, if it is half of what failed here.
const FAILING_TOO: f64 = 0.15;
/// A trial that was not answered stands against so many trials of other nodes for so long: with silence, and with
/// failures, where single answers prove little.
const BAD_FOR: Nanos = 500 * MILLISECOND;
const BAD_FAILED_FOR: Nanos = 4 * SECOND;
/// A node that has opened a zone by itself follows nobody who has not, for so long.
const OPENED: Nanos = 4 * SECOND;
/// Nodes that try a zone at once as another's trial is answered, in the mean over the fleet.
const SECONDERS: f64 = 6.0;
/// A zone that was wrongly closed for failures is not closed for them again so soon.
const ACQUITTED: Nanos = 10 * SECOND;

/// Where a zone stands. Times are on the clock of the time awake; a closed zone is held until `held`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ZoneStage {
    Healthy,
    Suspected {
        since: Nanos,
        why: ZoneStateReason,
    },
    Ejected {
        held: Nanos,
        why: ZoneStateReason,
        next: Nanos,
        answered: u32,
        tried: bool,
    },
    Recovering {
        step: usize,
        since: Nanos,
    },
}

/// What the evidence amounts to at one moment.
#[derive(Clone, Copy)]
pub(crate) struct EvidenceSnapshot {
    /// Of silence, with answers that take twice as long as usual, and as many times as [`ZoneState::patience`] says.
    pub(crate) silence: f64,
    pub(crate) slower: f64,
    /// Of failures.
    pub(crate) failing: f64,
    /// Another zone is left.
    pub(crate) others: bool,
    /// How long it has said nothing, at least.
    pub(crate) quiet: Nanos,
    /// What the other nodes say, where there are any; its evidence is in the figures above already.
    pub(crate) fleet: Option<PeerSummary>,
    /// This node had an answer from there in the last moments.
    pub(crate) hears: bool,
    /// The worst of this node's own evidence.
    pub(crate) own: f64,
}

/// One zone.
pub(crate) struct ZoneState {
    pub(crate) stage: ZoneStage,
    pub(crate) evidence: Evidence,
    strikes: u32,
    opened: Nanos,
    acquitted_until: Nanos,
    goods_at_step: u32,
    /// How much longer than usual answers took in the first step, and whether it returns with new processes.
    first_stretch: f64,
    cold: bool,
    /// Share of the last attempts that failed as it was closed.
    failed_at_close: f64,
    /// It was doubted by what this node saw itself.
    pub(crate) saw: bool,
    /// When the last trial was not answered, since it was closed.
    bad: Option<Nanos>,
    /// Another node's answered trial has been seconded, or not, by lot.
    seconded: bool,
}

impl ZoneState {
    pub(crate) fn new(classes: u32) -> Self {
        Self {
            stage: ZoneStage::Healthy,
            evidence: Evidence::new(classes),
            strikes: 0,
            opened: 0,
            acquitted_until: 0,
            goods_at_step: 0,
            first_stretch: 1.0,
            cold: false,
            failed_at_close: 0.0,
            saw: false,
            bad: None,
            seconded: false,
        }
    }

    /// Which part of what it could get it gets.
    pub(crate) fn part(&self) -> f64 {
        match self.stage {
            ZoneStage::Healthy => 1.0,
            ZoneStage::Suspected { .. } | ZoneStage::Ejected { .. } => 0.0,
            ZoneStage::Recovering { step, .. } => STEPS.get(step).copied().unwrap_or(1.0),
        }
    }

    pub(crate) fn why(&self) -> ZoneStateReason {
        match self.stage {
            ZoneStage::Healthy => ZoneStateReason::Healthy,
            ZoneStage::Ejected { tried: true, .. } => ZoneStateReason::Probing,
            ZoneStage::Suspected { why, .. } | ZoneStage::Ejected { why, .. } => why,
            ZoneStage::Recovering { .. } => ZoneStateReason::Recovering,
        }
    }

    /// Opens it at once, forgetting what spoke against it.
    pub(crate) fn open(&mut self, awake: Nanos) {
        self.stage = ZoneStage::Healthy;
        self.opened = awake;
        self.evidence.reset(awake);
    }

    /// Opens it, as it fails no more than the others do.
    pub(crate) fn acquit(&mut self, awake: Nanos) {
        self.open(awake);
        self.acquitted_until = awake + ACQUITTED;
    }

    /// Whether it was closed for failures that other zones now show as much.
    pub(crate) fn no_worse_than(&self, elsewhere: f64) -> bool {
        let failing = matches!(
            self.stage,
            ZoneStage::Ejected {
                why: ZoneStateReason::Failing { .. },
                ..
            } | ZoneStage::Suspected {
                why: ZoneStateReason::Failing { .. },
                ..
            }
        );
        failing && elsewhere >= FAILING_TOO.max(0.5 * self.failed_at_close)
    }

    fn close(&mut self, awake: Nanos, why: ZoneStateReason, crowd: f64, draw: f64) {
        let held = awake + (HOLD << self.strikes.min(HOLDS));
        let next = held + (draw * self.interval(crowd)) as Nanos;
        self.stage = ZoneStage::Ejected {
            held,
            why,
            next,
            answered: 0,
            tried: false,
        };
        self.strikes += 1;
        (self.bad, self.seconded) = (None, false);
    }

    /// Where it stands, for the other nodes.
    pub(crate) fn at(&self, awake: Nanos) -> ObservedState {
        match self.stage {
            ZoneStage::Healthy => ObservedState::Healthy,
            ZoneStage::Suspected { .. } => ObservedState::Suspected,
            ZoneStage::Ejected { answered, .. } => {
                let bad = self.bad.map(|bad| awake.saturating_sub(bad) / MILLISECOND);
                let bad_ms = bad
                    .and_then(|ms| u16::try_from(ms).ok())
                    .unwrap_or(u16::MAX);
                ObservedState::Ejected {
                    good: u8::try_from(answered).unwrap_or(u8::MAX),
                    bad_ms,
                }
            }
            ZoneStage::Recovering { step, .. } => ObservedState::Recovering {
                step: step as u8,
                good: self.evidence.goods > self.goods_at_step,
            },
        }
    }

    /// Weighs what is seen now.
    pub(crate) fn weigh(&mut self, awake: Nanos, seen: EvidenceSnapshot, crowd: f64, draw: f64) {
        let failing = if awake < self.acquitted_until {
            0.0
        } else {
            seen.failing
        };
        let failing = failing * DOUBT / DOUBT_FAILING;
        let why = if failing > seen.silence {
            ZoneStateReason::Failing { evidence: failing }
        } else {
            ZoneStateReason::Silent {
                evidence: seen.silence,
            }
        };
        let worst = failing.max(seen.silence);
        let middle = seen.fleet.and_then(|fleet| fleet.step);
        match self.stage {
            ZoneStage::Healthy => {
                if awake.saturating_sub(self.opened) >= FORGIVEN {
                    self.strikes = 0;
                }
                // The last zone left is given up only on plain evidence.
                if worst >= DOUBT && (seen.others || seen.quiet >= DOUBT_MOST) {
                    self.failed_at_close = self.evidence.recent;
                    self.evidence.goods = 0;
                    self.saw = seen.own >= SEES;
                    self.stage = ZoneStage::Suspected { since: awake, why };
                } else if let Some(fleet) = seen
                    .fleet
                    .filter(|_| seen.others && !seen.hears && !self.fresh(awake))
                {
                    // What the others did while this node saw nothing, or before it began.
                    self.saw = false;
                    if fleet.closed {
                        // Taken back with the others' doubt, or closed as theirs will be.
                        self.evidence.goods = 0;
                        self.stage = ZoneStage::Suspected {
                            since: awake,
                            why: ZoneStateReason::Silent { evidence: 0.0 },
                        };
                    } else if fleet.returning {
                        self.come_back(awake, false);
                        self.follow(awake, middle);
                    }
                }
            }
            ZoneStage::Suspected { since, why } => {
                let lasted = awake.saturating_sub(since);
                let silent = matches!(why, ZoneStateReason::Silent { .. });
                // The others' evidence grows old once they send nothing there; that takes nothing back.
                let withdrawn =
                    seen.fleet.is_some_and(|fleet| !fleet.held) && seen.silence < DOUBT / 2.0;
                if silent && (self.evidence.goods > 0 || withdrawn) {
                    self.stage = ZoneStage::Healthy;
                } else if lasted >= DOUBT_MOST
                    || (lasted >= DOUBT_FOR && (!silent || seen.slower >= DOUBT))
                {
                    self.close(awake, why, crowd, draw);
                }
            }
            ZoneStage::Ejected { held, why, .. } => {
                if let Some(fleet) = seen.fleet {
                    self.second(awake, fleet, crowd, draw);
                    let (wanted, bad_for) = match why {
                        ZoneStateReason::Failing { .. } => (TRIALS_FAILED, BAD_FAILED_FOR),
                        _ => (TRIALS, BAD_FOR),
                    };
                    let own_bad = self.bad.map_or(Nanos::MAX, |bad| awake.saturating_sub(bad));
                    let answered = fleet.triers >= 2 && fleet.trials >= wanted;
                    if awake >= held && answered && fleet.bad_ago.min(own_bad) >= bad_for {
                        self.come_back(awake, false);
                        self.follow(awake, middle);
                    }
                }
            }
            ZoneStage::Recovering { step, since } => {
                let lasted = awake.saturating_sub(since);
                // Cold servers are slow, not silent.
                let worst = failing.max(seen.slower);
                let stretched = STRETCHED.max(WORSENED * self.first_stretch);
                if worst >= DOUBT {
                    self.failed_at_close = self.evidence.recent;
                    self.saw = seen.own >= SEES;
                    self.close(awake, why, crowd, draw);
                } else if worst >= WORSE && lasted >= STEP_FOR / 2 {
                    self.stage = ZoneStage::Recovering {
                        step: step.saturating_sub(1),
                        since: awake,
                    };
                    self.goods_at_step = self.evidence.goods;
                } else if middle.is_some_and(|middle| step < middle) {
                    // One ramp for all: who sees little goes with the others.
                    self.follow(awake, middle);
                } else if lasted >= STEP_FOR
                    && middle.is_none_or(|middle| step <= middle)
                    && (self.evidence.goods > self.goods_at_step
                        || seen.fleet.is_some_and(|fleet| fleet.good))
                    && (self.evidence.stretch < stretched || lasted >= STEP_MOST)
                {
                    if step == 0 {
                        self.first_stretch = self.evidence.stretch;
                    }
                    self.goods_at_step = self.evidence.goods;
                    self.stage = ZoneStage::Recovering {
                        step: step + 1,
                        since: awake,
                    };
                    if step + 1 >= STEPS.len() {
                        self.stage = ZoneStage::Healthy;
                        self.opened = awake;
                    }
                }
            }
        }
    }

    /// An attempt there ended while it was closed: a trial, or one that went out before.
    pub(crate) fn tried(&mut self, awake: Nanos, good: bool, servers: u32, crowd: f64, draw: f64) {
        let ZoneStage::Ejected {
            held,
            why,
            next,
            answered,
            ..
        } = self.stage
        else {
            return;
        };
        if !good {
            self.bad = Some(awake);
            let next = next.max(awake + (draw * self.interval(crowd)) as Nanos);
            self.stage = ZoneStage::Ejected {
                held,
                why,
                next,
                answered: 0,
                tried: false,
            };
            return;
        }
        let answered = answered + 1;
        let wanted = match why {
            ZoneStateReason::Failing { .. } => TRIALS_FAILED,
            _ => TRIALS.min(servers.max(1)),
        };
        if answered >= wanted && awake >= held {
            self.come_back(awake, false);
            return;
        }
        let next = next.min(awake + TRIAL_NEXT).max(held);
        self.stage = ZoneStage::Ejected {
            held,
            why,
            next,
            answered,
            tried: true,
        };
    }

    /// Servers are listed anew where there were none: what was seen was seen of other processes. The first step is
    /// trial enough; a short trial would end before a cold server's answer.
    pub(crate) fn listed_anew(&mut self, awake: Nanos) {
        if matches!(self.stage, ZoneStage::Ejected { .. }) {
            self.come_back(awake, true);
        }
    }

    /// It has come back a moment ago: what the others said before that is older than what this node did itself.
    fn fresh(&self, awake: Nanos) -> bool {
        self.opened > 0 && awake.saturating_sub(self.opened) < OPENED
    }

    /// Goes to the step of the middle one of the others.
    fn follow(&mut self, awake: Nanos, middle: Option<usize>) {
        if let (ZoneStage::Recovering { step, .. }, Some(middle)) = (self.stage, middle)
            && step < middle
        {
            self.goods_at_step = self.evidence.goods;
            self.stage = ZoneStage::Recovering {
                step: middle.min(STEPS.len() - 1),
                since: awake,
            };
        }
    }

    /// The nodes among which the trials are shared: one that only follows leaves them to those that saw the trouble.
    fn crowd(&self, crowd: f64) -> f64 {
        if self.saw { crowd } else { CROWD_MOST }
    }

    /// Time between two trials of this node, in the mean.
    fn interval(&self, crowd: f64) -> f64 {
        (self.crowd(crowd).min(CROWD_MOST) / TRIALS_A_SECOND).max(0.25) * SECOND as f64
    }

    /// Another node's trial was answered: some nodes, drawn by lot, try at once, so that it is not one node's word.
    fn second(&mut self, awake: Nanos, fleet: PeerSummary, crowd: f64, draw: f64) {
        if fleet.trials > 0
            && !std::mem::replace(&mut self.seconded, true)
            && draw * self.crowd(crowd) < SECONDERS
            && let ZoneStage::Ejected { held, next, .. } = &mut self.stage
        {
            *next = (*next).min(awake.max(*held));
        }
    }

    fn come_back(&mut self, awake: Nanos, cold: bool) {
        self.cold = cold;
        self.evidence.reset(awake);
        self.goods_at_step = 0;
        self.stage = ZoneStage::Recovering {
            step: 0,
            since: awake,
        };
    }

    /// How many times longer than usual answers may take before their absence speaks for a dead zone.
    pub(crate) fn patience(&self) -> f64 {
        if self.cold && matches!(self.stage, ZoneStage::Recovering { .. }) {
            COLD
        } else {
            SLOW
        }
    }

    /// Whether a trial is due; the next one is set.
    pub(crate) fn trial(&mut self, awake: Nanos, crowd: f64, draw: f64) -> bool {
        let interval = self.interval(crowd);
        let ZoneStage::Ejected { next, .. } = &mut self.stage else {
            return false;
        };
        if awake < *next {
            return false;
        }
        *next = awake + ((0.5 + draw) * interval) as Nanos;
        true
    }

    /// When it has to be looked at again without any event, on the clock of the time awake.
    pub(crate) fn due(&self) -> Option<Nanos> {
        match self.stage {
            ZoneStage::Healthy => None,
            ZoneStage::Suspected { since, .. } => Some(since + DOUBT_FOR),
            ZoneStage::Ejected { next, .. } => Some(next),
            ZoneStage::Recovering { since, .. } => Some(since + STEP_FOR),
        }
    }
}
