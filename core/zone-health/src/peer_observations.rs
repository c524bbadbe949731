//! What the other nodes see of the zones, as this node may use it: nobody's word alone moves it, and what is old or was
//! long under way says nothing.

use std::collections::BTreeMap;

use crate::observation::{ObservedState, ZoneObservation};
use crate::time::{MILLISECOND, Nanos, SECOND};

/// Members whose sights are kept; a fleet is smaller.
const MEMBERS_MOST: usize = 4096;
/// The most that one node's evidence counts in another: what one attempt can tell.
const WORD_MOST: f64 = 2.5;
/// Evidence at which a node speaks against a zone: one attempt in seven looks so by chance.
const SPEAKS: f64 = 2.0;
/// So many nodes must speak against a zone at the least, and of those who could this share, and of those who either
/// speak against it or hear from it this one.
const SPEAKERS: u32 = 2;
const OF_MEMBERS: f64 = 0.25;
const OF_HEARD: f64 = 0.6;
/// What a node said counts for so long, and for so many times its refresh; told by a clock that differs by more than
/// `LATE`, or long under way, it doesn't count at all.
const FRESH: Nanos = 3 * SECOND;
const LATE: Nanos = 2 * SECOND;
/// Evidence counts for less: an open attempt is answered or grows older meanwhile.
const EVIDENCE_FRESH: Nanos = 500 * MILLISECOND;
/// Trials of one node that count for others.
const TRIALS_OF_ONE: u32 = 2;

/// A member and what it last said of each zone.
struct Member {
    home: u8,
    up: bool,
    sights: BTreeMap<u8, (Nanos, ZoneObservation)>,
}

impl Member {
    fn new(home: u8, up: bool) -> Self {
        Self {
            home,
            up,
            sights: BTreeMap::new(),
        }
    }
}

/// What the others say of one zone, as far as it concerns nodes of one home.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PeerSummary {
    /// Evidence against it, each node's within bounds; none without enough speakers.
    pub(crate) silence: f64,
    pub(crate) failing: f64,
    /// Somebody speaks against it now; somebody gives it nothing, or trials only, by what it saw itself.
    pub(crate) doubted: bool,
    pub(crate) held: bool,
    /// Enough others give it nothing, or trials only, by what they saw; enough are returning to it.
    pub(crate) closed: bool,
    pub(crate) returning: bool,
    /// The step of the middle one of those that return or are back.
    pub(crate) step: Option<usize>,
    /// Answers have come in that step or a later one, to somebody.
    pub(crate) good: bool,
    /// Trials answered lately, by how many nodes, and how long ago one was not.
    pub(crate) trials: u32,
    pub(crate) triers: u32,
    pub(crate) bad_ago: Nanos,
}

/// The other nodes.
#[derive(Default)]
pub(crate) struct PeerObservations {
    members: BTreeMap<u64, Member>,
    fresh: Nanos,
}

impl PeerObservations {
    /// A member is there, or no longer.
    pub(crate) fn member(&mut self, member: u64, home: u8, up: bool) {
        if !up {
            self.members.remove(&member);
        } else if self.has_room_for(member) {
            // Where it was known already it has started anew.
            self.members.insert(member, Member::new(home, up));
        }
        self.fresh = FRESH.max(3 * refresh(self.members.len()));
    }

    /// A member has said something; whether it counts.
    pub(crate) fn said(
        &mut self,
        now: Nanos,
        member: u64,
        zone: u8,
        sent: Nanos,
        sight: ZoneObservation,
    ) -> bool {
        if now.abs_diff(sent) > LATE || !self.has_room_for(member) {
            return false;
        }
        // Its first word may come before the word that it is there.
        let known = self
            .members
            .entry(member)
            .or_insert(Member::new(sight.home, false));
        known.sights.insert(zone, (now, sight));
        true
    }

    fn has_room_for(&self, member: u64) -> bool {
        self.members.len() < MEMBERS_MOST || self.members.contains_key(&member)
    }

    /// Other members of a home.
    pub(crate) fn count(&self, home: u8) -> u32 {
        self.members
            .values()
            .filter(|member| member.up && member.home == home)
            .count() as u32
    }

    /// How many are there, of all homes.
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// What they say of a zone for nodes of this home: those of the home, and of the zone itself, from which no link
    /// between zones parts it. `own` is what this node sees of it: evidence of silence and of failures, and whether it
    /// hears from it.
    pub(crate) fn view(
        &self,
        now: Nanos,
        zone: u8,
        home: u8,
        own: (f64, f64, bool),
    ) -> PeerSummary {
        let (own_silence, own_failing, hears) = own;
        let own_against = own_silence.max(own_failing) >= SPEAKS;
        let (mut silence, mut failing) = (0.0, 0.0);
        let (mut against, mut with) = (u32::from(own_against), u32::from(hears && !own_against));
        let (mut closed, mut returning, mut could) = (0, 0, 1u32);
        let mut steps: Vec<(usize, bool)> = Vec::new();
        let mut view = PeerSummary {
            bad_ago: Nanos::MAX,
            ..PeerSummary::default()
        };
        for member in self.members.values() {
            // Of other homes only the zone's own see it from where no link can be at fault.
            if member.home != home && member.home != zone {
                continue;
            }
            could += u32::from(member.up && member.home == home);
            let Some((at, sight)) = member
                .sights
                .get(&zone)
                .filter(|(at, _)| now < at + self.fresh)
            else {
                continue;
            };
            let age = now.saturating_sub(*at);
            if age < EVIDENCE_FRESH {
                let word = |evidence: u16| (f64::from(evidence) / 100.0).min(WORD_MOST);
                let worst = word(sight.silent).max(word(sight.failing));
                if worst >= SPEAKS {
                    against += 1;
                    silence += word(sight.silent);
                    failing += word(sight.failing);
                } else if sight.has_answers {
                    with += 1;
                }
                view.doubted |= worst >= SPEAKS || sight.state == ObservedState::Suspected;
            }
            view.held |= sight.is_own
                && matches!(
                    sight.state,
                    ObservedState::Suspected | ObservedState::Ejected { .. }
                );
            match sight.state {
                ObservedState::Healthy => {}
                ObservedState::Suspected => closed += u32::from(sight.is_own),
                ObservedState::Ejected { good, bad_ms } => {
                    closed += u32::from(sight.is_own);
                    let tries = u32::from(good).min(TRIALS_OF_ONE);
                    view.trials += tries;
                    view.triers += u32::from(tries > 0);
                    if bad_ms < u16::MAX {
                        view.bad_ago = view.bad_ago.min(Nanos::from(bad_ms) * MILLISECOND + age);
                    }
                }
                ObservedState::Recovering { step, good } => {
                    returning += 1;
                    view.trials += TRIALS_OF_ONE;
                    view.triers += 1;
                    steps.push((usize::from(step), good));
                }
            }
        }
        let quorum = SPEAKERS.max((OF_MEMBERS * f64::from(could)).ceil() as u32);
        if against >= quorum && f64::from(against) >= OF_HEARD * f64::from(against + with) {
            (view.silence, view.failing) = (silence, failing);
        }
        view.closed = closed >= quorum && with == 0;
        view.returning = returning >= quorum;
        steps.sort_unstable();
        if steps.len() >= SPEAKERS as usize {
            let (step, _) = steps[steps.len() / 2];
            view.step = Some(step);
            view.good = steps.iter().any(|(at, good)| *good && *at >= step);
        }
        view
    }
}

/// How often a node says again what it has said of a zone that is not open, among so many: all of it together stays
/// within bounds.
pub(crate) fn refresh(members: usize) -> Nanos {
    SECOND.max(members as Nanos * 10 * MILLISECOND)
}

#[cfg(test)]
mod tests;
