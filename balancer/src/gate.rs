//! The contract gate: whether a request may go to a server at all, by what may have run, drains and cold
//! budgets, and whether it would be answered in time there.

use crate::api::{DedupScope, EndpointState, Idempotency, Nanos, RequestId, ZoneId};
use crate::health::IDLE_LOAD;
use crate::random::lot;
use crate::state::{Attempt, Backend, Balancer, Phase, Request};
use crate::tuning::{SECOND, UTIL_TRUST};

/// A send is admitted if its expected delay fits into this share of the time left to its aim.
pub(crate) const ADMIT: f64 = 0.6;
/// The same for a repeat within the node: its time is nearly up, and its work is half done.
const ADMIT_AGAIN: f64 = 1.0;
/// An idle backend no slower than this takes one at any expected delay, should base times exceed the aim.
const IDLE_SLOW: f64 = 1.1;
/// A backend that reports less use than this has room for what may be late.
const ROOMY: f64 = 0.7;
/// Backends of a zone that one of many nodes uses as long as one of them can take the request.
pub(crate) const SUBSET: usize = 4;
/// Part of the cold budget that nodes together use; the rest is for chance and for late figures.
const COLD_SHARE: f64 = 0.4;

impl Balancer {
    /// The contract gate: whether this request may be sent to this backend now. Every send passes it.
    pub(crate) fn permits(&self, request: &Request, backend: &Backend) -> bool {
        let live = matches!(request.phase, Phase::Open | Phase::Held) && self.now < request.not_after;
        let attempts_left = (request.attempts.len() as u32) < self.settings.limits.max_attempts;
        let alone = self.settings.limits.hedging || !request.attempts.iter().any(Attempt::out);
        let harmless = self.harmless(request, None, backend.member.zone, backend.member.cell, self.now);
        // A wanted margin to the drain grace: nothing is sent once told.
        let in_service = backend.member.state == EndpointState::InService;
        !request.spent
            && live
            && attempts_left
            && alone
            && harmless
            && in_service
            && self.cold_budget(backend, request)
    }

    /// Whether a send there at that time would have no effect, or the first one: by the other attempts that
    /// may have run, all but the one with the given number.
    fn harmless(&self, request: &Request, own: Option<u32>, zone: ZoneId, cell: u64, at: Nanos) -> bool {
        let others = request.attempts.iter().zip(0..).filter(|(_, number)| own != Some(*number));
        let mut ran = others.map(|(attempt, _)| attempt).filter(|attempt| attempt.may_have_run()).peekable();
        match self.settings.classes[request.class].idempotency {
            _ if ran.peek().is_none() => true,
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope: group, window } => ran.all(|other| {
                let same = match group {
                    DedupScope::All => true,
                    DedupScope::Zone => other.zone == zone,
                    DedupScope::Cell => other.cell == cell,
                };
                same && at + self.settings.timer_resolution < other.sent.saturating_add(window)
            }),
        }
    }

    /// Whether an attempt may still be written, now that its connection is up: that can take longer than what
    /// backends remember of the attempts before.
    pub fn may_write(&self, now: Nanos, id: RequestId, attempt: u32) -> bool {
        let Some(request) = self.requests.get(&id).filter(|request| request.phase != Phase::Ended) else {
            return false;
        };
        let own = request.attempts.get(attempt as usize).filter(|own| own.out());
        own.is_some_and(|own| self.harmless(request, Some(attempt), own.zone, own.cell, now.max(self.now)))
    }

    /// Whether this node's share of a cold backend's budget has room.
    fn cold_budget(&self, backend: &Backend, request: &Request) -> bool {
        let rules = &self.settings.rules;
        let ramp = backend.ramp(self.now, rules);
        if ramp >= 1.0 {
            return true;
        }
        let since = self.now.saturating_sub(rules.overload_window + self.settings.timer_resolution);
        let recent = backend.cold_sends.iter().rev().take_while(|(at, _)| *at >= since);
        let spent: f64 = recent.map(|(_, cost)| cost).sum();
        let span = rules.overload_window as f64 / SECOND as f64;
        // Only nodes with it in their subset send there, and these divide the budget.
        let zone = self.zones.get(backend.member.zone.0 as usize).copied().unwrap_or_default();
        if self.many() && backend.lot > zone.subset {
            return false;
        }
        let users = if self.many() { (zone.listed / SUBSET as f64).max(1.0) } else { 1.0 };
        let budget =
            COLD_SHARE * rules.overload_multiple * ramp * backend.size() * zone.capacity * span * users;
        // A budget under one request is spent by chance, or many nodes' first sends would exceed it together;
        // one of a zone's nodes or so always tries, as no figure may come from elsewhere.
        let epoch = self.now / rules.overload_window.max(1);
        let lot = lot(backend.lot ^ epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        spent + request.cold_cost <= budget
            || (spent == 0.0 && lot <= (budget / request.cold_cost).max(1.0 / self.crowd()))
    }

    /// The longest queue of this node's own requests in another zone: that zone has nodes of its own, and all
    /// others may send their overflow there together, so these share as much again as home is let have.
    fn deepest_away(&self) -> f64 {
        let others = f64::from(self.settings.node_count.saturating_sub(1)).max(1.0);
        (self.settings.max_queue_per_size / others).max(1.0) - 0.5
    }

    /// Whether a send there would be answered in time. Own idleness is no proof: with many nodes, each
    /// sending one to a backend it holds nothing on jams that backend; so only one not known as slow.
    pub(crate) fn admits(&self, request: &Request, backend: &Backend) -> bool {
        let late = self.now >= request.aim_end;
        let end = if late { request.not_after } else { request.aim_end };
        let left = end.saturating_sub(self.now) as f64;
        let slowness = backend.slowness(self.now, &self.settings.rules);
        let stretch = slowness * backend.load(self.crowd());
        let view = &self.classes[request.class];
        // With many nodes, all would pile onto the few backends that a late figure shows as free.
        let idle = backend.in_flight == 0 && (slowness < IDLE_SLOW || self.many());
        // Where there is room by its own report, a client with little time takes it from nobody.
        let roomy = backend.util.younger_than(self.now, UTIL_TRUST) && backend.util.value < ROOMY;
        let deepest = match backend.member.zone == self.settings.local_zone {
            // There own requests say nothing of a queue, and what is taken in at all is bounded.
            _ if self.many() => f64::INFINITY,
            true => self.settings.max_queue_per_size,
            false => self.deepest_away(),
        };
        let idle = idle || (roomy && !self.many() && f64::from(backend.in_flight) < backend.size());
        // A repeat that waits for more room than this will be late: nothing is saved by it.
        let share = if request.attempts.is_empty() { ADMIT } else { ADMIT_AGAIN };
        // A cold one has its own budget; a fast one's queue is as crowded as another's of that length.
        let crowded = (slowness * backend.ramp(self.now, &self.settings.rules)).max(1.0);
        let queue = crowded * (backend.load(self.crowd()) - IDLE_LOAD);
        idle || (stretch <= view.room.min(share * left / view.base) && queue <= deepest)
    }
}
