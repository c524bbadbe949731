use badgerpost_time::MILLISECOND;

use super::*;
use crate::rules::Rule;

fn report(longest_stall: Nanos, breaches: Vec<Breach>) -> RunReport {
    RunReport {
        log: Vec::new(),
        cold_peaks: Vec::new(),
        logs: Vec::new(),
        breaches,
        strangers: 0,
        talk: Vec::new(),
        sha256: String::new(),
        simulated: 0,
        wall: Duration::ZERO,
        steps: 0,
        late: 0,
        longest_stall,
    }
}

#[test]
fn a_run_in_which_the_test_kit_stood_still_is_neither_kept_nor_broken() {
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
        Verdict::Kept
    );
    assert_eq!(
        report(50 * MILLISECOND, breach()).verdict(),
        Verdict::Broken
    );
    assert_eq!(
        report(51 * MILLISECOND, Vec::new()).verdict(),
        Verdict::NotJudged
    );
    assert_eq!(
        report(51 * MILLISECOND, breach()).verdict(),
        Verdict::NotJudged
    );
}
