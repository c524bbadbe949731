//! Checks a run against the expectations of its scenario.

use badgerpost_time::MILLISECOND;

use super::{FailoverReport, false_ejections, measure_failover, zone_outages};
use crate::plan::Plan;
use crate::run::RunReport;
use crate::scenario::Expectations;

/// The expectations that a run did not meet.
struct UnmetExpectations(Vec<String>);

impl UnmetExpectations {
    fn require(&mut self, is_met: bool, description: String) {
        if !is_met {
            self.0.push(description);
        }
    }
}

/// The expectations of a scenario that a run did not meet, one line each.
pub fn unmet_expectations(plan: &Plan, report: &RunReport) -> Vec<String> {
    let expected = &plan.scenario.spec.expectations;
    let mut unmet = UnmetExpectations(Vec::new());
    let counts = report.counts();
    if counts.requests > 0 {
        let fraction = counts.served_fraction();
        unmet.require(
            fraction >= expected.min_served_fraction,
            format!(
                "served fraction {fraction:.3}, expected at least {:.3}",
                expected.min_served_fraction
            ),
        );
    }
    for outage in zone_outages(plan) {
        check_failover(
            expected,
            &measure_failover(&report.log, &outage),
            &outage.zone,
            &mut unmet,
        );
    }
    if let Some(max) = expected.max_slow_start_load {
        let peak = report.cold_peak(None);
        unmet.require(
            peak <= max,
            format!(
                "a server in slow start got {peak:.2} times its capacity, expected at most {max:.2}"
            ),
        );
    }
    if let Some(max) = expected.max_false_ejections {
        let ejections = false_ejections(plan, &report.log).len();
        unmet.require(
            ejections <= max,
            format!("{ejections} times a node left a healthy zone, expected at most {max}"),
        );
    }
    unmet.0
}

fn check_failover(
    expected: &Expectations,
    failover: &FailoverReport,
    zone: &str,
    unmet: &mut UnmetExpectations,
) {
    if let Some(max) = expected.max_failover_ms {
        let last = failover.failover_times.last().copied().unwrap_or(0);
        let is_met = failover.nodes_not_failed_over == 0 && last <= max * MILLISECOND;
        unmet.require(
            is_met,
            format!(
                "the last failover from zone {zone} took {} ms and {} nodes never failed over, \
                 expected all within {max} ms",
                last / MILLISECOND,
                failover.nodes_not_failed_over
            ),
        );
    }
    if let Some(max) = expected.max_failed_over_attempts {
        unmet.require(
            failover.attempts_during_outage <= max,
            format!(
                "{} attempts at zone {zone} during its outage, expected at most {max}",
                failover.attempts_during_outage
            ),
        );
    }
    if let Some(min) = expected.min_served_fraction_in_a_second {
        unmet.require(
            failover.worst_second.0 >= min,
            format!(
                "served fraction {:.3} in the worst second of the outage of zone {zone}, \
                 expected at least {min:.3}",
                failover.worst_second.0
            ),
        );
    }
    if let Some(max) = expected.max_recovery_ms {
        let recovery = failover
            .nine_tenths_load_after
            .map_or("never".to_owned(), |duration| {
                format!("after {} ms", duration / MILLISECOND)
            });
        let is_met = failover
            .nine_tenths_load_after
            .is_some_and(|duration| duration <= max * MILLISECOND);
        unmet.require(
            is_met,
            format!(
                "zone {zone} had nine tenths of its load again {recovery}, expected within {max} ms"
            ),
        );
    }
}
