//! What speaks against one zone. Two sequential tests side by side: one of failures (CUSUM of a log-likelihood
//! ratio), one of silence (what the open attempts' ages say against the class's answer times).

use std::collections::BTreeMap;

use crate::decaying_cusum::{DecayingCusum, decay_factor};
use crate::latency_histogram::LatencyHistogram;
use crate::time::Nanos;

/// Share of failures that a zone in trouble has at least.
const FAILING: f64 = 0.3;
/// Share of failures that is nothing unusual where none is known.
pub(crate) const USUAL: f64 = 0.02;
/// The most that one server or class is charged with: it can't speak for the others.
const SERVER_MOST: f64 = 5.0;
/// Ended attempts whose silence is kept: more tell nothing new, each is worth up to 2.5.
const ENDED_MOST: usize = 64;

/// An attempt without an answer yet.
pub(crate) struct OutstandingAttempt {
    pub(crate) server: u32,
    pub(crate) zone: u32,
    pub(crate) class: u32,
    /// On the clock of the time awake.
    pub(crate) since: Nanos,
}

/// Failures in the last seconds, of one class in one zone.
#[derive(Clone, Copy, Default)]
struct Counts {
    failed: f64,
    all: f64,
    at: Nanos,
}

/// What speaks against one zone.
#[derive(Default)]
pub(crate) struct Evidence {
    servers: BTreeMap<u32, DecayingCusum>,
    classes: Vec<DecayingCusum>,
    unreached: DecayingCusum,
    counts: Vec<Counts>,
    /// Silent attempts that have ended: since when, at which server, how long.
    ended: Vec<(Nanos, u32, u32, Nanos)>,
    /// When the last answer came, awake; attempts much older than that prove nothing.
    answered: Option<Nanos>,
    /// When the last usable answer came, awake; no reset forgets it.
    good: Option<Nanos>,
    /// Usable answers since the last reset.
    pub(crate) goods: u32,
    /// Share of the last ten attempts or so that failed.
    pub(crate) recent: f64,
    /// How much longer than usual the answers took, smoothed.
    pub(crate) stretch: f64,
}

impl Evidence {
    pub(crate) fn new(classes: u32) -> Self {
        let classes = classes as usize;
        Self {
            classes: vec![DecayingCusum::default(); classes],
            counts: vec![Counts::default(); classes],
            stretch: 1.0,
            ..Self::default()
        }
    }

    /// Starts anew: what was seen before says nothing of what comes.
    pub(crate) fn reset(&mut self, awake: Nanos) {
        let classes = self.classes.len() as u32;
        let answered = Some(awake);
        *self = Self {
            answered,
            good: self.good,
            ..Self::new(classes)
        };
    }

    /// Keeps only servers that are still listed.
    pub(crate) fn retain(&mut self, listed: impl Fn(u32) -> bool) {
        self.servers.retain(|server, _| listed(*server));
        self.ended.retain(|(_, server, ..)| listed(*server));
    }

    /// Share of a class's requests that failed here in the last seconds, and of how many.
    pub(crate) fn failed(&self, class: u32, awake: Nanos) -> (f64, f64) {
        let Some(counts) = self.counts.get(class as usize) else {
            return (0.0, 0.0);
        };
        let kept = decay_factor(awake, counts.at);
        (counts.failed * kept, counts.all * kept)
    }

    /// Takes an answer or a failure in. `elsewhere` is the share of the class that fails in other zones now.
    pub(crate) fn told(
        &mut self,
        awake: Nanos,
        out: &OutstandingAttempt,
        failed: bool,
        reached: bool,
        elsewhere: f64,
    ) {
        let usual = elsewhere.clamp(USUAL, 0.8);
        let failing = (3.0 * usual).clamp(FAILING, 0.95);
        let step = if failed {
            (failing / usual).ln()
        } else {
            ((1.0 - failing) / (1.0 - usual)).ln()
        };
        self.servers
            .entry(out.server)
            .or_default()
            .add(awake, step, SERVER_MOST);
        // No class is to blame for a connection that does not come about.
        if reached && let Some(class) = self.classes.get_mut(out.class as usize) {
            class.add(awake, step, 2.0 * SERVER_MOST);
        }
        if !failed || !reached {
            self.unreached.add(awake, step, 4.0 * SERVER_MOST);
        }
        self.recent += 0.1 * (f64::from(u8::from(failed)) - self.recent);
        if let Some(counts) = self.counts.get_mut(out.class as usize) {
            let kept = decay_factor(awake, counts.at);
            counts.failed = counts.failed * kept + f64::from(u8::from(failed));
            counts.all = counts.all * kept + 1.0;
            counts.at = awake;
        }
    }

    /// Whether an answer came in this last span.
    pub(crate) fn heard_within(&self, awake: Nanos, span: Nanos) -> bool {
        self.good.is_some_and(|at| awake < at + span)
    }

    /// An answer, of whatever kind: the zone is not silent.
    pub(crate) fn heard(&mut self, awake: Nanos) {
        self.answered = Some(awake);
        self.ended.clear();
    }

    /// A usable answer.
    pub(crate) fn answered(&mut self, awake: Nanos, stretch: f64) {
        self.heard(awake);
        self.good = Some(awake);
        self.goods = self.goods.saturating_add(1);
        self.stretch += 0.3 * (stretch - self.stretch);
    }

    /// An attempt ended without a word.
    pub(crate) fn fell_silent(&mut self, out: &OutstandingAttempt, awake: Nanos) {
        if self.ended.len() < ENDED_MOST {
            self.ended.push((
                out.since,
                out.server,
                out.class,
                awake.saturating_sub(out.since),
            ));
        }
    }

    /// The evidence of failures: without the worst server, and without the worst class where there are several.
    pub(crate) fn failing(&self, awake: Nanos, listed: u32) -> f64 {
        let by_server = leave_worst(
            self.servers.values().map(|cusum| cusum.value_at(awake)),
            listed > 2,
        );
        let used = self.counts.iter().filter(|counts| counts.all > 1.0).count();
        let by_class = leave_worst(
            self.classes.iter().map(|cusum| cusum.value_at(awake)),
            used > 1,
        );
        by_server.min(by_class + self.unreached.value_at(awake))
    }

    /// The evidence of silence, where answers take `stretch` times as long as usual: what the attempts say that were
    /// open when the last answer came or went out later, without the worst server. And since when the first of them
    /// waits.
    pub(crate) fn silence<'a>(
        &self,
        outs: impl Iterator<Item = &'a OutstandingAttempt>,
        times: &[LatencyHistogram],
        awake: Nanos,
        listed: u32,
        stretch: f64,
    ) -> (f64, Nanos) {
        let mut first = awake;
        let mut servers: BTreeMap<u32, f64> = BTreeMap::new();
        let open = outs.map(|out| {
            (
                out.since,
                out.server,
                out.class,
                awake.saturating_sub(out.since),
            )
        });
        for (since, server, class, age) in open.chain(self.ended.iter().copied()) {
            let Some(times) = times.get(class as usize) else {
                continue;
            };
            let usual = times.median().unwrap_or(0);
            if self.answered.is_none_or(|at| since + usual >= at) {
                *servers.entry(server).or_default() += times.silence_evidence(age, stretch);
                first = first.min(since);
            }
        }
        (leave_worst(servers.into_values(), listed > 2), first)
    }
}

/// The sum, without the largest where there are enough to leave one out.
fn leave_worst(values: impl Iterator<Item = f64>, leave: bool) -> f64 {
    let (mut sum, mut worst) = (0.0, 0.0f64);
    for value in values {
        sum += value;
        worst = worst.max(value);
    }
    if leave { sum - worst } else { sum }
}
