//! Guards against wrong outcomes when databases crash: a short version of the scenario `postgres-kill`, whose clients
//! use real drivers.

use std::error::Error;

use badgerpost_scenarios::postgres::consistency::ClientOutcome;
use badgerpost_scenarios::postgres::{self, PgScenario};

/// The least number of database crashes in a run, the same as `least` in the scenario.
const MIN_KILLS: u64 = 8;

const SHORT_SCENARIO: &str = r#"
about = "short"
transactions = 300
clients = 6
databases = 3
[kills]
least = 8
every_ms = 20
down_ms = 10
"#;

/// Reads the scenario from a file, as the `run` command does.
fn short_scenario() -> Result<PgScenario, Box<dyn Error>> {
    let file = std::env::temp_dir().join(format!("badgerpost-short-{}.toml", std::process::id()));
    std::fs::write(&file, SHORT_SCENARIO)?;
    let found = postgres::find(&file.to_string_lossy());
    std::fs::remove_file(&file)?;
    Ok(found.ok_or("not recognized as a PostgreSQL scenario")??)
}

#[test]
fn client_outcomes_match_the_stored_rows_when_databases_crash() {
    let program = badgerpost_fakes::program("badgerpost").expect("the node program is built");
    let scenario = short_scenario().expect("a valid scenario");
    for seed in [1, 2] {
        let run = postgres::run(&scenario, seed, &program, &mut |_| {})
            .unwrap_or_else(|error| panic!("{error}"));
        assert!(run.crash.is_none(), "seed {seed}: {:?}", run.crash);
        assert!(
            run.violations.is_empty(),
            "seed {seed}: {:?}",
            run.violations
        );
        assert!(run.kills >= MIN_KILLS, "seed {seed}: {} kills", run.kills);
        let is_committed = |outcome: ClientOutcome| outcome == ClientOutcome::Committed;
        assert!(
            run.transactions
                .iter()
                .any(|transaction| is_committed(transaction.outcome)),
            "seed {seed}: no transaction was committed"
        );
        assert!(
            run.transactions
                .iter()
                .any(|transaction| !is_committed(transaction.outcome)),
            "seed {seed}: no crash affected a transaction"
        );
    }
}
