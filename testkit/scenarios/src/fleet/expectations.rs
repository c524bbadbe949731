//! Expectations of a scenario, checked against a run.

use badgerpost_time::MILLISECOND;

use super::{Conduct, conduct, strayed, troubles};
use crate::plan::Plan;
use crate::run::RunReport;
use crate::scenario::Expectations;

/// The expectations of a scenario that a run did not meet.
struct Unmet(Vec<String>);

impl Unmet {
    fn need(&mut self, good: bool, what: String) {
        if !good {
            self.0.push(what);
        }
    }
}

/// The expectations of a scenario that a run did not meet, a line each.
pub fn lost(plan: &Plan, played: &RunReport) -> Vec<String> {
    let expect = &plan.scenario.spec.expectations;
    let mut unmet = Unmet(Vec::new());
    let counts = played.counts();
    if counts.requests > 0 {
        let share = counts.served_fraction();
        unmet.need(
            share >= expect.min_served_fraction,
            format!(
                "served {share:.3}, wanted {:.3}",
                expect.min_served_fraction
            ),
        );
    }
    for trouble in troubles(plan) {
        check_zone_fault(
            expect,
            &conduct(&played.log, &trouble),
            &trouble.zone,
            &mut unmet,
        );
    }
    if let Some(most) = expect.max_slow_start_load {
        let peak = played.cold_peak(None);
        unmet.need(
            peak <= most,
            format!("a cold server got {peak:.2} of what it could do, wanted {most:.2}"),
        );
    }
    if let Some(most) = expect.max_false_ejections {
        let strayed = strayed(plan, &played.log).len();
        unmet.need(
            strayed <= most,
            format!("{strayed} times a node left a zone in no trouble, wanted {most}"),
        );
    }
    unmet.0
}

fn check_zone_fault(expect: &Expectations, seen: &Conduct, zone: &str, unmet: &mut Unmet) {
    if let Some(most) = expect.max_failover_ms {
        let last = seen.left_after.last().copied().unwrap_or(0);
        let good = seen.stayed == 0 && last <= most * MILLISECOND;
        unmet.need(
            good,
            format!(
                "zone {zone} left after {} ms, {} never; wanted {most}",
                last / MILLISECOND,
                seen.stayed
            ),
        );
    }
    if let Some(most) = expect.max_failed_over_attempts {
        unmet.need(
            seen.spent <= most,
            format!(
                "{} attempts spent on zone {zone}, wanted {most}",
                seen.spent
            ),
        );
    }
    if let Some(least) = expect.min_served_fraction_in_a_second {
        unmet.need(
            seen.worst.0 >= least,
            format!("a second served {:.3}, wanted {least:.3}", seen.worst.0),
        );
    }
    if let Some(most) = expect.max_recovery_ms {
        let back = seen.full_back.map_or("never".to_owned(), |span| {
            format!("after {} ms", span / MILLISECOND)
        });
        let good = seen
            .full_back
            .is_some_and(|span| span <= most * MILLISECOND);
        unmet.need(
            good,
            format!("zone {zone} had its load back {back}, wanted {most}"),
        );
    }
}
