//! Tolerances for checking the rules.

use badgerpost_fakes::system_faults::SystemFaults;
use badgerpost_time::{MILLISECOND, Nanos};

use super::Options;
use crate::LATE_RESPONSE_LIMIT;
use crate::plan::Plan;
use crate::rules;
use crate::simulation::SOCKET_SLACK;

/// An attempt may begin this long after the client has disconnected.
const DISCONNECT_SLACK: Nanos = 100 * MILLISECOND;
/// The additional tolerance if injected faults delay system calls.
const SYSTEM_CALL_DELAY_SLACK: Nanos = 150 * MILLISECOND;
/// A deadline that is sent to a server may exceed the client's remaining time by this much.
const DEADLINE_SLACK: Nanos = 150 * MILLISECOND;

/// The tolerances for a run: those of the scenario, or the platform's with strict rules.
pub(super) fn tolerances(plan: &Plan, options: &Options) -> rules::Tolerances {
    let rules = &plan.scenario.spec.rules;
    rules::Tolerances {
        response_slack: match plan.behaviour.strict {
            true => LATE_RESPONSE_LIMIT,
            false => rules.response_slack_ms * MILLISECOND + SOCKET_SLACK,
        },
        drain_grace: rules.drain_grace_ms * MILLISECOND + SOCKET_SLACK,
        disconnect_slack: DISCONNECT_SLACK + SOCKET_SLACK,
        deadline_slack: DEADLINE_SLACK + SOCKET_SLACK + system_call_delay(options),
    }
}

/// How much later a node may read a request because of injected system-call delays.
fn system_call_delay(options: &Options) -> Nanos {
    if options.system_faults.iter().any(SystemFaults::has_delays) {
        SYSTEM_CALL_DELAY_SLACK
    } else {
        0
    }
}
