use super::*;

/// SQL texts and the reason why they make their session sticky.
const STICKY_REASONS: &[(&str, Option<StickyReason>)] = &[
    ("select 1", None),
    ("SET search_path = x", Some(StickyReason::Setting)),
    ("set local search_path = x", None),
    ("SET TRANSACTION READ ONLY", None),
    (
        "/* a comment */ SET SESSION work_mem TO '1MB'",
        Some(StickyReason::Setting),
    ),
    // Servers report these settings, so the settings follow the client.
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
];

#[test]
fn statements_whose_effects_outlive_a_transaction_make_the_session_sticky() {
    for (sql, expected) in STICKY_REASONS {
        assert_eq!(analyze(sql).sticky_reason, *expected, "{sql}");
    }
    assert!(analyze("DISCARD ALL").discards_all && !analyze("DISCARD ALL; SET a = 1").discards_all);
}

/// Every form of the statements that end a transaction block, or look like it.
const BLOCK_ENDS: &[(&str, TransactionStep)] = &[
    ("COMMIT WORK", TransactionStep::Commit),
    ("end transaction", TransactionStep::Commit),
    ("COMMIT AND NO CHAIN", TransactionStep::Commit),
    ("PREPARE TRANSACTION 'x'", TransactionStep::Commit),
    ("COMMIT AND CHAIN", TransactionStep::CommitAndChain),
    ("commit work and chain;", TransactionStep::CommitAndChain),
    ("END AND CHAIN", TransactionStep::CommitAndChain),
    ("END TRANSACTION AND CHAIN", TransactionStep::CommitAndChain),
    ("ROLLBACK WORK", TransactionStep::Rollback),
    ("ABORT AND NO CHAIN", TransactionStep::Rollback),
    ("ROLLBACK AND CHAIN", TransactionStep::RollbackAndChain),
    (
        "rollback /* a comment */ and\nchain",
        TransactionStep::RollbackAndChain,
    ),
    (
        "ABORT TRANSACTION AND CHAIN",
        TransactionStep::RollbackAndChain,
    ),
    ("ROLLBACK WORK TO SAVEPOINT a", TransactionStep::Other),
    ("ROLLBACK PREPARED 'x'", TransactionStep::Other),
    ("COMMIT PREPARED 'x'", TransactionStep::Other),
];

#[test]
fn standalone_begin_commit_rollback_and_deallocate_are_recognized() {
    for (sql, begins, ends) in [
        ("BEGIN", Some(AccessMode::ReadWrite), None),
        ("begin;", Some(AccessMode::ReadWrite), None),
        ("BEGIN READ ONLY", Some(AccessMode::ReadOnly), None),
        (
            "START TRANSACTION ISOLATION LEVEL REPEATABLE READ",
            Some(AccessMode::ReadWrite),
            None,
        ),
        ("BEGIN ISOLATION LEVEL WHATEVER", None, None),
        ("BEGIN; SELECT 1", None, None),
        ("COMMIT", None, Some(TransactionEnd::Commit)),
        ("end", None, Some(TransactionEnd::Commit)),
        ("ROLLBACK;", None, Some(TransactionEnd::Rollback)),
        ("COMMIT AND CHAIN", None, None),
        ("PREPARE TRANSACTION 'x'", None, None),
        ("COMMIT PREPARED 'x'", None, None),
        ("ROLLBACK TO SAVEPOINT a", None, None),
    ] {
        let effects = analyze(sql);
        assert_eq!(
            (effects.transaction_begin(), effects.transaction_end()),
            (begins, ends),
            "{sql}"
        );
    }
    assert_eq!(
        analyze("DEALLOCATE _pg3_0").deallocated_name.as_deref(),
        Some("_pg3_0")
    );
    assert_eq!(
        analyze("deallocate prepare \"A b\"")
            .deallocated_name
            .as_deref(),
        Some("A b")
    );
    assert!(
        analyze("DEALLOCATE ALL").deallocates_all
            && analyze("DEALLOCATE ALL").deallocated_name.is_none()
    );
    assert_eq!(analyze("reset timezone").reset_settings, ["timezone"]);
    assert!(analyze("RESET ALL").resets_all_settings);
}

#[test]
fn transaction_steps_of_each_statement_are_listed_in_order() {
    let begin = TransactionStep::Begin(AccessMode::ReadWrite);
    let steps = |sql| analyze(sql).steps;
    assert_eq!(
        steps("begin; insert into t values (1); commit"),
        [begin, TransactionStep::Other, TransactionStep::Commit]
    );
    assert_eq!(
        steps("START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY"),
        [TransactionStep::Begin(AccessMode::ReadOnly)]
    );
    assert_eq!(steps("ROLLBACK TO SAVEPOINT a"), [TransactionStep::Other]);
    assert_eq!(steps("abort"), [TransactionStep::Rollback]);
    for (sql, step) in BLOCK_ENDS {
        assert_eq!(steps(sql), [*step], "{sql}");
    }
    assert_eq!(steps("END"), [TransactionStep::Commit]);
    assert_eq!(steps(" ; ;"), []);
}
