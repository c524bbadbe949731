use super::*;

#[test]
fn what_outlives_a_transaction_pins() {
    for (sql, wanted) in [
        ("select 1", None),
        ("SET search_path = x", Some(StickyReason::Setting)),
        ("set local search_path = x", None),
        ("SET TRANSACTION READ ONLY", None),
        (
            "/* a comment */ SET SESSION work_mem TO '1MB'",
            Some(StickyReason::Setting),
        ),
        // Reported by servers, and so followed.
        ("/* a comment */ SET SESSION TimeZone TO 'UTC'", None),
        ("SET TIME ZONE 'UTC'", None),
        ("SET NAMES 'utf8'", None),
        ("set application_name = 'x'", None),
        (
            "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY",
            Some(StickyReason::Setting),
        ),
        ("SET ROLE x", Some(StickyReason::Setting)),
        ("RESET ALL", None),
        ("RESET statement_timeout", Some(StickyReason::Setting)),
        (
            "SELECT pg_advisory_unlock_all(); CLOSE ALL; UNLISTEN *; RESET ALL;",
            None,
        ),
        (
            "select set_config('a.b', 'c', false)",
            Some(StickyReason::Setting),
        ),
        ("LISTEN lobby", Some(StickyReason::Listen)),
        ("CREATE TEMP TABLE t (a int)", Some(StickyReason::Temporary)),
        (
            "create or replace temporary view v as select 1",
            Some(StickyReason::Temporary),
        ),
        ("SELECT * INTO TEMP t FROM x", Some(StickyReason::Temporary)),
        ("create table t (temp int)", Some(StickyReason::Temporary)),
        (
            "create table ratings (id int, player int, season int, temp int)",
            None,
        ),
        (
            "select pg_advisory_lock(1)",
            Some(StickyReason::AdvisoryLock),
        ),
        ("select pg_advisory_xact_lock(1)", None),
        ("select 'pg_advisory_lock(1)'", None),
        (
            "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
            Some(StickyReason::HoldCursor),
        ),
        ("DECLARE c CURSOR FOR SELECT 1", None),
        ("PREPARE p AS SELECT 1", Some(StickyReason::SqlPrepare)),
        ("PREPARE TRANSACTION 'x'", None),
        ("DO $$ begin end $$", Some(StickyReason::Unknown)),
        ("select 'never ended", Some(StickyReason::Unknown)),
        ("update t set a = 1; listen x", Some(StickyReason::Listen)),
    ] {
        assert_eq!(read(sql).pin, wanted, "{sql}");
    }
    assert!(read("DISCARD ALL").discards && !read("DISCARD ALL; SET a = 1").discards);
}

#[test]
fn what_stands_alone_is_known_as_such() {
    for (sql, begins, ends) in [
        ("BEGIN", Some(false), None),
        ("begin;", Some(false), None),
        ("BEGIN READ ONLY", Some(true), None),
        (
            "START TRANSACTION ISOLATION LEVEL REPEATABLE READ",
            Some(false),
            None,
        ),
        ("BEGIN ISOLATION LEVEL WHATEVER", None, None),
        ("BEGIN; SELECT 1", None, None),
        ("COMMIT", None, Some(true)),
        ("end", None, Some(true)),
        ("ROLLBACK;", None, Some(false)),
        ("COMMIT AND CHAIN", None, None),
        ("PREPARE TRANSACTION 'x'", None, None),
        ("COMMIT PREPARED 'x'", None, None),
        ("ROLLBACK TO SAVEPOINT a", None, None),
    ] {
        let reading = read(sql);
        assert_eq!(
            (reading.transaction_begin(), reading.transaction_end()),
            (begins, ends),
            "{sql}"
        );
    }
    assert_eq!(
        read("DEALLOCATE _pg3_0").deallocates_one.as_deref(),
        Some("_pg3_0")
    );
    assert_eq!(
        read("deallocate prepare \"A b\"")
            .deallocates_one
            .as_deref(),
        Some("A b")
    );
    assert!(read("DEALLOCATE ALL").deallocates && read("DEALLOCATE ALL").deallocates_one.is_none());
    assert_eq!(read("reset timezone").resets, ["timezone"]);
    assert!(read("RESET ALL").resets_all);
}

#[test]
fn steps_of_transactions_are_seen() {
    let begin = TransactionStep::Begin { read_only: false };
    let steps = |sql| read(sql).steps;
    assert_eq!(
        steps("begin; insert into t values (1); commit"),
        [begin, TransactionStep::Other, TransactionStep::Commit]
    );
    assert_eq!(
        steps("START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY"),
        [TransactionStep::Begin { read_only: true }]
    );
    assert_eq!(steps("ROLLBACK TO SAVEPOINT a"), [TransactionStep::Other]);
    assert_eq!(steps("abort"), [TransactionStep::Rollback]);
    assert_eq!(steps("END"), [TransactionStep::Commit]);
    assert_eq!(steps(" ; ;"), []);
}
