//! What a node keeps: smoothed figures, its requests, and its views of backends, zones and classes.
//! Plain data and arithmetic; the decisions on it are in `ledger.rs` and the files it names.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::api::{
    Action, AttemptResult, BackendId, ClassSettings, Endpoint, EndpointState, EndpointUpdate, LoadReport,
    LogEvent, Nanos, Outcome, RequestId, SafetyLimits, Settings, SettingsError, WeightSource, ZoneId,
};
use crate::ewma::{Rate, Smooth};
use crate::random::mix;
use crate::tuning::{
    BASE_FIRST, BASE_RISE, BASE_SAMPLES, CAPACITY_FALL, CAPACITY_RISE, SECOND, SLOW_CLAMP, SLOW_SMOOTHING,
    UTIL_MOST, UTIL_SMOOTHING, UTIL_TRUST,
};

/// One attempt of a request.
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: u64,
    pub(crate) sent: Nanos,
    pub(crate) load: f64,
    pub(crate) outcome: Option<Outcome>,
    /// Its backend has it whole, so that it counts as load there.
    pub(crate) counted: bool,
}

impl Attempt {
    pub(crate) fn out(&self) -> bool {
        self.outcome.is_none()
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(Outcome::may_have_run)
    }
}

/// Where a request stands.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Open,
    Held,
    Streaming,
    Ended,
}

/// A request that is open, or ended with an attempt still out.
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) key: Option<u64>,
    pub(crate) cost: f64,
    pub(crate) cold_cost: f64,
    pub(crate) aim_end: Nanos,
    /// Half of the client's time: what is refused later has kept it waiting for nothing.
    pub(crate) half: Nanos,
    pub(crate) not_after: Nanos,
    pub(crate) attempts: Vec<Attempt>,
    /// Its body is still on the way.
    pub(crate) uploading: bool,
    /// Some of its body can't be had again.
    pub(crate) spent: bool,
    pub(crate) phase: Phase,
}

/// Whether an outlier is ejected.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Health {
    #[default]
    Healthy,
    Ejected {
        until: Nanos,
    },
    HalfOpen {
        served: u32,
    },
}

/// A backend as this node sees it.
#[derive(Default)]
pub(crate) struct Backend {
    pub(crate) member: Endpoint,
    pub(crate) in_flight: u32,
    pub(crate) util: Smooth,
    pub(crate) slow: Smooth,
    pub(crate) served: Rate,
    pub(crate) failing: Smooth,
    pub(crate) failed_in_row: u32,
    pub(crate) full_in_row: u32,
    pub(crate) full_until: Nanos,
    pub(crate) health: Health,
    pub(crate) ejections: u32,
    pub(crate) probed_at: Nanos,
    pub(crate) cold_sends: VecDeque<(Nanos, f64)>,
    /// Requests held for each core, as the list's live weight told last.
    pub(crate) held: Option<f64>,
    /// This node's lot for it: the lowest ones of a zone are its subset.
    pub(crate) lot: u64,
    /// Share of the picks against its size: what lasting differences the lists have shown, and the last one.
    pub(crate) bias: f64,
    pub(crate) response: f64,
}

impl Backend {
    pub(crate) fn new(member: Endpoint) -> Self {
        Self { member, bias: 1.0, response: 1.0, ..Self::default() }
    }

    /// Share of its capacity that it surely has by now; 1 when warm.
    pub(crate) fn ramp(&self, now: Nanos, rules: &SafetyLimits) -> f64 {
        let Some(since) = self.member.started_at else { return 1.0 };
        let age = now.saturating_sub(since) as f64 / rules.slow_start_duration.max(1) as f64;
        (rules.slow_start_capacity + (1.0 - rules.slow_start_capacity) * age).clamp(0.01, 1.0)
    }

    pub(crate) fn size(&self) -> f64 {
        self.member.size_or_one()
    }
}

/// A zone as this node sees it.
#[derive(Clone, Copy, Default)]
pub(crate) struct Zone {
    /// Own attempts out there, now and smoothed.
    pub(crate) own: f64,
    pub(crate) own_load: Smooth,
    /// Requests held for each core, on the mean, and the share of the arrivals that is taken.
    pub(crate) held: f64,
    pub(crate) taken: f64,
    /// Backends in service there, and the highest lot of the subset.
    pub(crate) listed: f64,
    pub(crate) subset: u64,
    /// What this node serves there of each unit of used capacity.
    pub(crate) capacity: f64,
    /// Share of the requests that spill, where nodes are many.
    pub(crate) spill: f64,
    pub(crate) least_elapsed: Option<f64>,
    pub(crate) spilling: bool,
    /// What it may take: see [`Event::ZoneShareChanged`].
    pub(crate) share: f64,
    /// A trial that the next request fit for it makes: how long its answer is waited for.
    pub(crate) trial: Option<Nanos>,
}

/// A class as this node sees it.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassView {
    pub(crate) base: f64,
    pub(crate) cost: f64,
    pub(crate) samples: f64,
    pub(crate) asked: Rate,
    pub(crate) served: Rate,
    pub(crate) value: f64,
    pub(crate) room: f64,
    /// Share of the arrivals that is taken.
    pub(crate) admit: f64,
    /// The longest that a client has waited for one try.
    pub(crate) longest_try: Nanos,
}

impl Zone {
    /// The own load as smoothed up to now.
    pub(crate) fn own_before(&self, now: Nanos, tau: Nanos) -> f64 {
        let mut load = self.own_load;
        load.feed(now, self.own, tau, 0.0);
        load.value
    }

    /// Counts own sends or their ends; the smoothed figure is fed with what was out until now.
    pub(crate) fn count_own(&mut self, now: Nanos, change: f64, tau: Nanos) {
        let held = if self.own_load.at.is_none() { change } else { self.own };
        self.own_load.feed(now, held, tau, 0.0);
        self.own = (self.own + change).max(0.0);
    }
}

/// One node's decisions. Deterministic: the same settings, seed and events give the same actions.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) seed: u64,
    pub(crate) random: u64,
    pub(crate) now: Nanos,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) held: Vec<RequestId>,
    pub(crate) backends: BTreeMap<BackendId, Backend>,
    pub(crate) zones: Vec<Zone>,
    pub(crate) classes: Vec<ClassView>,
    /// Requests of each tenant, and the share of those over their shares that is taken.
    pub(crate) tenants: Vec<Rate>,
    pub(crate) over_admit: f64,
    pub(crate) overflow: Vec<ZoneId>,
    pub(crate) qualified: usize,
    pub(crate) refresh_at: Nanos,
    pub(crate) retry_tokens: f64,
    pub(crate) ask_at: Option<Nanos>,
    pub(crate) ask_failures: u32,
    pub(crate) log_at: Nanos,
    pub(crate) armed: Option<Nanos>,
    /// The largest live weight of each kind so far: the size of an idle one.
    pub(crate) kind_size: BTreeMap<u32, f64>,
    pub(crate) listed_at: Option<Nanos>,
    pub(crate) list_period: f64,
    pub(crate) share_at: Nanos,
    /// Probes that the traffic has paid for.
    pub(crate) probe_tokens: f64,
}

impl Balancer {
    /// A node that knows nothing yet. `seed` drives its jitter.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.validate()?;
        let zones = vec![Zone { taken: 1.0, share: 1.0, ..Zone::default() }; settings.zone_count as usize];
        let view = |class: &ClassSettings| ClassView {
            base: class.latency_objective as f64 / 16.0,
            room: f64::INFINITY,
            admit: 1.0,
            ..Default::default()
        };
        let classes = settings.classes.iter().map(view).collect();
        let tenants = vec![Rate::default(); settings.tenant_quotas.len()];
        Ok(Self {
            settings,
            tenants,
            over_admit: 1.0,
            seed,
            random: seed ^ 0x9e37_79b9_7f4a_7c15,
            now,
            requests: BTreeMap::new(),
            held: Vec::new(),
            backends: BTreeMap::new(),
            zones,
            classes,
            overflow: Vec::new(),
            qualified: 0,
            refresh_at: now,
            retry_tokens: 1.0,
            ask_at: None,
            ask_failures: 0,
            log_at: 0,
            armed: None,
            kind_size: BTreeMap::new(),
            listed_at: None,
            list_period: 1.0,
            share_at: 0,
            probe_tokens: 1.0,
        })
    }

    /// A number from 0 to 1 of the node's own randomness.
    pub(crate) fn draw(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix(self.random) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Log lines are for people: at most one a second.
    pub(crate) fn log(&mut self, actions: &mut Vec<Action>, notice: LogEvent) {
        if self.now >= self.log_at {
            self.log_at = self.now + SECOND;
            actions.push(Action::Log(notice));
        }
    }

    /// Requests a second that come to this node.
    pub(crate) fn asked(&self) -> f64 {
        self.classes.iter().map(|class| class.asked.now(self.now)).sum()
    }

    /// Takes in what a zone may take. Where it is closed, what its own answers said of how much can be taken in at
    /// all says nothing of the other zones.
    pub(crate) fn share(&mut self, zone: ZoneId, share: f64) -> bool {
        let Some(view) = self.zones.get_mut(zone.0 as usize) else { return false };
        let share = if share.is_finite() { share.clamp(0.0, 1.0) } else { 1.0 };
        let (closed, opened) = (share == 0.0 && view.share > 0.0, share > 0.0 && view.share == 0.0);
        view.share = share;
        // What its servers were like as it closed was the zone's trouble, and it is answered for again.
        for backend in self.backends.values_mut().filter(|b| opened && b.member.zone == zone) {
            (backend.health, backend.failed_in_row) = (Health::Healthy, 0);
            (backend.slow, backend.failing) = (Smooth::default(), Smooth::default());
        }
        if closed && zone == self.settings.local_zone {
            for class in &mut self.classes {
                (class.asked, class.served, class.admit) = (Rate::default(), Rate::default(), 1.0);
            }
        }
        closed
    }

    /// Requests that the node still keeps: open ones, and ended ones with an attempt out.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// The classes, the worthiest for each unit of work first.
    pub(crate) fn by_value(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.classes.len()).collect();
        order.sort_by(|&a, &b| self.classes[b].value.total_cmp(&self.classes[a].value));
        order
    }

    /// What this node serves of each unit of used capacity, by zone, so that the shares of all nodes add up
    /// to one capacity. It falls slowly: in a jam little is served, and cold backends are the way out of it.
    pub(crate) fn measure_capacity(&mut self) {
        let mut sums = vec![(0.0, 0.0); self.zones.len()];
        let (now, rules) = (self.now, &self.settings.rules);
        let warm = |b: &&Backend| b.ramp(now, rules) >= 1.0 && b.util.younger_than(now, UTIL_TRUST);
        for peer in self.backends.values().filter(warm) {
            if let Some(sum) = sums.get_mut(peer.member.zone.0 as usize) {
                *sum = (sum.0 + peer.served.now(now), sum.1 + peer.size() * peer.util.value.max(0.05));
            }
        }
        let unit = |(served, used): (f64, f64)| if used > 0.0 { served / used } else { 0.0 };
        let all = unit(sums.iter().fold((0.0, 0.0), |all, sum| (all.0 + sum.0, all.1 + sum.1)));
        for (zone, sum) in self.zones.iter_mut().zip(sums) {
            let change = unit(sum).max(all / f64::from(self.settings.node_count)) - zone.capacity;
            zone.capacity += change * if change > 0.0 { CAPACITY_RISE } else { CAPACITY_FALL };
        }
    }

    /// Takes a load report in; figures that are not possible are passed over.
    pub(crate) fn report(&mut self, id: BackendId, report: LoadReport) {
        let Some(backend) = self.backends.get_mut(&id) else { return };
        if let Some(util) = report.utilization.filter(|util| (0.0..=UTIL_MOST).contains(util)) {
            backend.util.feed(self.now, util, UTIL_SMOOTHING, 0.05);
        }
    }

    /// Learns slowness, base time and served rate from one outcome.
    pub(crate) fn learn(
        &mut self,
        id: BackendId,
        class: usize,
        cost: f64,
        load: f64,
        settled: &AttemptResult,
    ) {
        let Some(backend) = self.backends.get_mut(&id) else { return };
        backend.in_flight = backend.in_flight.saturating_sub(1);
        let view = &mut self.classes[class];
        let unit = settled.elapsed as f64 / load;
        let slow = (unit / view.base.max(1.0)).min(SLOW_CLAMP * backend.slow.value.max(1.0));
        match settled.outcome {
            Outcome::Success => {
                // Against a base time that is not known yet every backend would look slow, for seconds.
                if view.samples >= BASE_FIRST {
                    backend.slow.feed(self.now, slow, SLOW_SMOOTHING, 0.1);
                }
                backend.served.add(self.now, cost);
                view.samples = (view.samples + 1.0).min(BASE_SAMPLES);
                // Rises slowly, so that a jam does not come to pass for the normal state.
                let weight = if unit > view.base && view.samples > 50.0 { BASE_RISE } else { 1.0 };
                view.base += (unit.min(SLOW_CLAMP * view.base) - view.base) * weight / (view.samples + 4.0);
                if let Some(zone) = self.zones.get_mut(backend.member.zone.0 as usize) {
                    let elapsed = settled.elapsed as f64;
                    zone.least_elapsed = Some(zone.least_elapsed.map_or(elapsed, |least| least.min(elapsed)));
                }
            }
            // No answer at all tells of a delay of at least the time waited.
            Outcome::TimedOut if slow > backend.slow.value => {
                backend.slow.feed(self.now, slow, SLOW_SMOOTHING, 0.1);
            }
            _ => {}
        }
    }

    /// Takes a list in: backends come, change and go, and the `subset` lowest lots of each zone are found.
    pub(crate) fn take_list(&mut self, scope: EndpointUpdate, members: Vec<Endpoint>, subset: usize) {
        if scope != EndpointUpdate::Delta {
            let named: BTreeSet<BackendId> = members.iter().map(|member| member.backend).collect();
            for backend in self.backends.values_mut() {
                if !named.contains(&backend.member.backend) {
                    backend.member.state = EndpointState::Removed;
                }
            }
        }
        let live = self.settings.weight_source == WeightSource::LoadAdjusted;
        for member in members.iter().filter(|member| live && member.size.is_finite()) {
            let known = self.kind_size.entry(member.machine_kind).or_insert(0.0);
            *known = known.max(member.size);
        }
        for mut member in members {
            let told = member.size;
            if live {
                member.size = self.kind_size.get(&member.machine_kind).copied().unwrap_or(1.0);
            }
            let backend = self.backends.entry(member.backend).or_insert_with(|| Backend::new(member));
            if backend.member.started_at != member.started_at {
                let in_flight = backend.in_flight;
                *backend = Backend { in_flight, ..Backend::new(member) };
            }
            backend.member = member;
            backend.lot = mix(self.seed ^ u64::from(member.backend.0).wrapping_mul(0xd6e8_feb8_6659_fd93));
            backend.held = (live && told > 0.0).then(|| (member.size / told - 1.0).max(0.0));
        }
        self.backends
            .retain(|_, backend| backend.member.state != EndpointState::Removed || backend.in_flight > 0);
        for (zone, view) in self.zones.iter_mut().enumerate() {
            let listed =
                |b: &&Backend| b.member.zone.0 as usize == zone && b.member.state == EndpointState::InService;
            let mut lots: Vec<u64> = self.backends.values().filter(listed).map(|b| b.lot).collect();
            lots.sort_unstable();
            view.listed = lots.len() as f64;
            view.subset = lots.get(subset - 1).copied().unwrap_or(u64::MAX);
        }
    }

    /// Nodes that share a zone's backends: their load moves with this node's.
    pub(crate) fn crowd(&self) -> f64 {
        (f64::from(self.settings.node_count) / f64::from(self.settings.zone_count)).max(1.0)
    }
}
