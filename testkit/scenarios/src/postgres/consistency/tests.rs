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
    let cases = [
        (
            ClientOutcome::Committed,
            2,
            "reported as committed, but no rows are stored",
            0,
        ),
        (
            ClientOutcome::Committed,
            2,
            "reported as committed, but 4 rows are stored instead of 2",
            4,
        ),
        (
            ClientOutcome::Rejected,
            1,
            "reported as Refused (), but 1 rows are stored",
            1,
        ),
        (
            ClientOutcome::RolledBack,
            2,
            "reported as RolledBack (), but 2 rows are stored",
            2,
        ),
        (
            ClientOutcome::Unknown,
            1,
            "2 rows are stored instead of 0 or 1: partly committed or executed twice",
            2,
        ),
        (
            ClientOutcome::Unknown,
            2,
            "1 rows are stored instead of 0 or 2: partly committed or executed twice",
            1,
        ),
        (
            ClientOutcome::ConnectionLost,
            1,
            "the connection closed before the client received an outcome",
            0,
        ),
    ];
    for (outcome, expected_rows, problem, stored) in cases {
        let violations = check(
            &[record(1, expected_rows, outcome)],
            &BTreeMap::from([(1, stored)]),
        );
        assert_eq!(
            violations,
            [Violation {
                id: 1,
                problem: problem.to_owned()
            }]
        );
    }
}

#[test]
fn accepts_outcomes_that_match_the_stored_rows() {
    for (outcome, expected_rows, stored) in [
        (ClientOutcome::Committed, 2, 2),
        (ClientOutcome::Rejected, 2, 0),
        (ClientOutcome::RolledBack, 1, 0),
        (ClientOutcome::Unknown, 3, 3),
        (ClientOutcome::Unknown, 3, 0),
    ] {
        assert!(
            check(
                &[record(1, expected_rows, outcome)],
                &BTreeMap::from([(1, stored)])
            )
            .is_empty(),
            "{outcome:?}"
        );
    }
}

#[test]
fn reports_rows_of_a_transaction_that_no_client_ran() {
    assert_eq!(check(&[], &BTreeMap::from([(7, 1)])).len(), 1);
}
