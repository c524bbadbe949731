use badgerpost_time::MILLISECOND;

use super::*;
use crate::rules::Rule;

fn report(longest_stall: Nanos, breaches: Vec<Breach>) -> RunReport {
    RunReport {
        log: Vec::new(),
        cold_peaks: Vec::new(),
        logs: Vec::new(),
        breaches,
        unknown_requests: 0,
        gossip_traffic: Vec::new(),
        sha256: String::new(),
        simulated: 0,
        wall: Duration::ZERO,
        steps: 0,
        late_waits: 0,
        longest_stall,
    }
}

#[test]
fn a_run_with_a_test_kit_stall_above_the_limit_is_inconclusive() {
    let breach = || {
        vec![Breach {
            rule: Rule::SingleResponse,
            line: 1,
            id: "r".to_owned(),
            description: "it had no final answer".to_owned(),
        }]
    };
    assert_eq!(
        report(50 * MILLISECOND, Vec::new()).verdict(),
        Verdict::Passed
    );
    assert_eq!(
        report(50 * MILLISECOND, breach()).verdict(),
        Verdict::Failed
    );
    assert_eq!(
        report(51 * MILLISECOND, Vec::new()).verdict(),
        Verdict::Inconclusive
    );
    assert_eq!(
        report(51 * MILLISECOND, breach()).verdict(),
        Verdict::Inconclusive
    );
}
