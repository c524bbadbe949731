//! A match server, as far as a node notices: slots and a bounded queue, work that takes its time, a load report
//! that is refreshed now and then, and a cold start during which too much work pushes it over. It does no I/O.

use std::collections::{BTreeSet, VecDeque};

use badgerpost_time::Nanos;

/// What a server is like.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Requests that it works on together, each at full speed.
    pub slots: usize,
    /// Requests that may wait; with that many waiting the next one is turned away.
    pub queue: usize,
    /// Its speed against that of a standard one.
    pub speed: f64,
    /// Share of its speed with which it starts.
    pub cold_share: f64,
    /// How long after its start it is warm; its speed grows in a straight line until then.
    pub warm_after: Nanos,
    /// Cold and sent more than this multiple of what it can do ...
    pub tip_multiple: f64,
    /// ... over a span of this length, it falls over and stays down.
    pub fall_span: Nanos,
    /// The mean work of a request, where it bears as many more of them as chance may bring: N + 2 * sqrt(N) + 2, N being
    /// what that multiple allows, or N + 3 * sqrt(N) + 3 for an N under 30. Such a one works at its full speed while it is
    /// cold: nothing shows before it falls.
    pub mean_work: Option<Nanos>,
    /// How often its load report is refreshed.
    pub report_period: Nanos,
    /// How it slows down once too many requests wait in it, if it does.
    pub choke: Option<Choke>,
}

/// A server that has been crowded for a while works more slowly, until it has been mostly idle for a while.
#[derive(Clone, Copy, Debug)]
pub struct Choke {
    /// With so many waiting, or more ...
    pub waiting: usize,
    /// ... for so long, it chokes.
    pub over: Nanos,
    /// Its speed is divided by this from then on ...
    pub slower: f64,
    /// ... until nothing has waited, and a quarter of its slots at most were in use, for so long.
    pub rest: Nanos,
}

/// What became of a request that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It runs, or waits for its turn.
    Taken,
    /// The queue is full; it never runs.
    TurnedAway,
    /// It was the one too many: the server has fallen over, with all that it held.
    Felled,
}

/// One server's work.
#[derive(Debug)]
pub struct Server {
    figures: Figures,
    /// When it started; none for long ago.
    booted: Option<Nanos>,
    /// What runs, by the time of its end.
    running: BTreeSet<(Nanos, u64)>,
    waiting: VecDeque<(u64, Nanos)>,
    /// Work that was sent while it was cold, and when.
    sent: VecDeque<(Nanos, Nanos)>,
    fallen: bool,
    choked: bool,
    /// All work takes so many times as long.
    pace: f64,
    /// Since when it is crowded, or, once choked, mostly idle.
    since: Option<Nanos>,
    /// Slot time used since the report was refreshed last, up to `counted`.
    used: Nanos,
    counted: Nanos,
    refreshed: Nanos,
    util: f64,
}

impl Server {
    /// A server that started at `booted`, or long ago.
    pub fn new(figures: Figures, booted: Option<Nanos>, now: Nanos) -> Self {
        Self {
            figures,
            booted,
            running: BTreeSet::new(),
            waiting: VecDeque::new(),
            sent: VecDeque::new(),
            fallen: false,
            choked: false,
            pace: 1.0,
            since: None,
            used: 0,
            counted: now,
            refreshed: now,
            util: 0.0,
        }
    }

    /// Its process starts anew: what it held is gone, and it is cold.
    pub fn restart(&mut self, now: Nanos) {
        *self = Self {
            pace: self.pace,
            ..Self::new(self.figures, Some(now), now)
        };
    }

    /// From now on work that is begun takes so many times as long.
    pub fn set_pace(&mut self, times: f64) {
        self.pace = times.max(1.0);
    }

    /// Whether it has fallen over.
    pub fn has_fallen(&self) -> bool {
        self.fallen
    }

    /// Whether it is slow from having been crowded.
    pub fn is_choked(&self) -> bool {
        self.choked
    }

    /// Looks whether it has been crowded, or choked and mostly idle, for long enough by now.
    fn watch_crowd(&mut self, now: Nanos) {
        let Some(choke) = self.figures.choke else {
            return;
        };
        let (goes_on, span) = if self.choked {
            (
                self.waiting.is_empty() && self.running.len() <= self.figures.slots / 4,
                choke.rest,
            )
        } else {
            (self.waiting.len() >= choke.waiting, choke.over)
        };
        let since = *self.since.get_or_insert(now);
        if !goes_on {
            self.since = None;
        } else if now.saturating_sub(since) >= span {
            (self.choked, self.since) = (!self.choked, None);
        }
    }

    /// Its speed at this time.
    fn speed(&self, now: Nanos) -> f64 {
        let Figures {
            speed,
            cold_share,
            warm_after,
            ..
        } = self.figures;
        let warmth = self.booted.map_or(1.0, |booted| {
            let age = now.saturating_sub(booted) as f64 / warm_after.max(1) as f64;
            (cold_share + (1.0 - cold_share) * age).clamp(0.001, 1.0)
        });
        speed * warmth
            / self.pace
            / self
                .figures
                .choke
                .filter(|_| self.choked)
                .map_or(1.0, |choke| choke.slower)
    }

    fn is_cold(&self, now: Nanos) -> bool {
        self.booted
            .is_some_and(|booted| now.saturating_sub(booted) < self.figures.warm_after)
    }

    /// How much it was sent over the last fall span, as a multiple of what it can do now; none once warm.
    pub fn cold_load(&self, now: Nanos) -> Option<f64> {
        let lately = |sent: &&(Nanos, Nanos)| now.saturating_sub(sent.0) < self.figures.fall_span;
        let sent: Nanos = self.sent.iter().filter(lately).map(|(_, work)| work).sum();
        let can = self.speed(now) * self.figures.slots as f64 * self.figures.fall_span as f64;
        self.is_cold(now).then(|| sent as f64 / can)
    }

    /// The most that it bears now, in the same unit.
    fn most_cold_load(&self, now: Nanos) -> f64 {
        let tip = self.figures.tip_multiple;
        let Some(mean_work) = self.figures.mean_work else {
            return tip;
        };
        let can = self.speed(now) * self.figures.slots as f64 * self.figures.fall_span as f64;
        let requests = tip * can / mean_work as f64;
        let chance = if requests < 30.0 { 3.0 } else { 2.0 };
        let most = requests + chance * requests.sqrt() + chance;
        tip * most / requests
    }

    /// A request of so much work, in nanoseconds on a standard server, under a number of the caller's.
    pub fn offer(&mut self, now: Nanos, ticket: u64, work: Nanos) -> Offer {
        self.count(now);
        self.watch_crowd(now);
        if self.is_cold(now) {
            self.sent.push_back((now, work));
            let span = self.figures.fall_span;
            while self
                .sent
                .front()
                .is_some_and(|(at, _)| now.saturating_sub(*at) >= span)
            {
                self.sent.pop_front();
            }
            if self
                .cold_load(now)
                .is_some_and(|load| load > self.most_cold_load(now))
            {
                self.fallen = true;
                self.running.clear();
                self.waiting.clear();
                return Offer::Felled;
            }
        }
        if self.running.len() < self.figures.slots {
            self.begin(now, ticket, work);
        } else if self.waiting.len() < self.figures.queue {
            self.waiting.push_back((ticket, work));
        } else {
            return Offer::TurnedAway;
        }
        self.watch_crowd(now);
        Offer::Taken
    }

    fn begin(&mut self, now: Nanos, ticket: u64, work: Nanos) {
        let speed = match self.figures.mean_work {
            Some(_) => self.figures.speed / self.pace,
            None => self.speed(now),
        };
        let takes = (work as f64 / speed) as Nanos;
        self.running
            .insert((now.saturating_add(takes.max(1)), ticket));
    }

    /// When the next request is done.
    pub fn next_done(&self) -> Option<Nanos> {
        self.running.first().map(|(at, _)| *at)
    }

    /// A request that is done by now, if there is one; another takes its slot.
    pub fn take_done(&mut self, now: Nanos) -> Option<u64> {
        let (at, ticket) = *self.running.first().filter(|(at, _)| *at <= now)?;
        self.count(at);
        self.watch_crowd(at);
        self.running.remove(&(at, ticket));
        if let Some((next, work)) = self.waiting.pop_front() {
            self.begin(at, next, work);
        }
        self.watch_crowd(at);
        Some(ticket)
    }

    /// The share of its slots in use, as refreshed last.
    pub fn util(&mut self, now: Nanos) -> f64 {
        self.count(now);
        self.util
    }

    fn count(&mut self, now: Nanos) {
        let span = now.saturating_sub(self.counted);
        self.used += span.saturating_mul(self.running.len() as u64);
        self.counted = self.counted.max(now);
        let since = now.saturating_sub(self.refreshed);
        if since >= self.figures.report_period {
            self.util = self.used as f64 / (since as f64 * self.figures.slots as f64);
            (self.used, self.refreshed) = (0, now);
        }
    }
}

#[cfg(test)]
mod tests;
