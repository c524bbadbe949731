//! The tolerances with which the rules are checked.

use badgerpost_fakes::system_faults::SystemFaults;
use badgerpost_time::{MILLISECOND, Nanos};

use super::Options;
use crate::LATE_RESPONSE_LIMIT;
use crate::plan::Plan;
use crate::rules;
use crate::simulation::SOCKET_SLACK;

/// An attempt may begin this long after its client has disconnected.
const DISCONNECT_SLACK: Nanos = 100 * MILLISECOND;
/// A system call that is held begins this late.
const HELD_CALL_DELAY: Nanos = 150 * MILLISECOND;
/// The deadline that a server is told may be this much beyond what the client has left.
const DEADLINE_SLACK: Nanos = 150 * MILLISECOND;

/// The tolerances of the rules for a run: those of the scenario, or by the letter of the platform's pages.
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

/// How much later a node may read a request where its system calls are held.
fn system_call_delay(options: &Options) -> Nanos {
    if options.system_faults.iter().any(SystemFaults::has_delays) {
        HELD_CALL_DELAY
    } else {
        0
    }
}
