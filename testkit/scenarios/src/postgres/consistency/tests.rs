use super::*;

fn record(id: i64, expected_rows: usize, outcome: ClientOutcome) -> TransactionRecord {
    TransactionRecord {
        id,
        kind: TransactionKind::Insert,
        driver: "x",
        expected_rows,
        outcome,
        code: String::new(),
        duration_us: 0,
    }
}

#[test]
fn reports_each_contradiction_between_an_outcome_and_the_stored_rows() {
    let all = [
        (
            ClientOutcome::Committed,
            2,
            "told committed, and not there",
            0,
        ),
        (
            ClientOutcome::Committed,
            2,
            "told committed, with 4 of 2 rows",
            4,
        ),
        (
            ClientOutcome::Rejected,
            1,
            "told Refused (), and 1 rows are there",
            1,
        ),
        (
            ClientOutcome::RolledBack,
            2,
            "told RolledBack (), and 2 rows are there",
            2,
        ),
        (
            ClientOutcome::Unknown,
            1,
            "2 of 1 rows are there: twice, or in part",
            2,
        ),
        (
            ClientOutcome::Unknown,
            2,
            "1 of 2 rows are there: twice, or in part",
            1,
        ),
        (
            ClientOutcome::ConnectionLost,
            1,
            "the connection broke without a final answer",
            0,
        ),
    ];
    for (outcome, rows, problem, stored) in all {
        let found = check(&[record(1, rows, outcome)], &BTreeMap::from([(1, stored)]));
        assert_eq!(
            found,
            [Violation {
                id: 1,
                problem: problem.to_owned()
            }]
        );
    }
}

#[test]
fn accepts_outcomes_that_match_the_stored_rows() {
    for (outcome, rows, stored) in [
        (ClientOutcome::Committed, 2, 2),
        (ClientOutcome::Rejected, 2, 0),
        (ClientOutcome::RolledBack, 1, 0),
        (ClientOutcome::Unknown, 3, 3),
        (ClientOutcome::Unknown, 3, 0),
    ] {
        assert!(
            check(&[record(1, rows, outcome)], &BTreeMap::from([(1, stored)])).is_empty(),
            "{outcome:?}"
        );
    }
}

#[test]
fn reports_rows_that_no_client_has_inserted() {
    assert_eq!(check(&[], &BTreeMap::from([(7, 1)])).len(), 1);
}
