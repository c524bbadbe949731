use super::*;

fn seen(id: i64, rows: usize, told: Told) -> Seen {
    Seen {
        id,
        kind: "x",
        driver: "x",
        rows,
        told,
        code: String::new(),
        took_us: 0,
    }
}

/// Each kind of lie is found, and nothing else.
#[test]
fn lies_are_found() {
    let all = [
        (Told::Committed, 2, "told committed, and not there", 0),
        (Told::Committed, 2, "told committed, with 4 of 2 rows", 4),
        (Told::Refused, 1, "told Refused (), and 1 rows are there", 1),
        (
            Told::RolledBack,
            2,
            "told RolledBack (), and 2 rows are there",
            2,
        ),
        (
            Told::Unknown,
            1,
            "2 of 1 rows are there: twice, or in part",
            2,
        ),
        (
            Told::Unknown,
            2,
            "1 of 2 rows are there: twice, or in part",
            1,
        ),
        (
            Told::Nothing,
            1,
            "the connection broke without a final answer",
            0,
        ),
    ];
    for (told, rows, problem, there) in all {
        let found = check(&[seen(1, rows, told)], &BTreeMap::from([(1, there)]));
        assert_eq!(
            found,
            [Finding {
                id: 1,
                problem: problem.to_owned()
            }]
        );
    }
    for (told, rows, there) in [
        (Told::Committed, 2, 2),
        (Told::Refused, 2, 0),
        (Told::RolledBack, 1, 0),
        (Told::Unknown, 3, 3),
        (Told::Unknown, 3, 0),
    ] {
        assert!(
            check(&[seen(1, rows, told)], &BTreeMap::from([(1, there)])).is_empty(),
            "{told:?}"
        );
    }
    assert_eq!(check(&[], &BTreeMap::from([(7, 1)])).len(), 1);
}
