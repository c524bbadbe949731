//! The scenario of databases that die, in short: what real drivers learn, compared with what took effect.

use std::error::Error;

use badgerpost_scenarios::postgres::consistency::ClientOutcome;
use badgerpost_scenarios::postgres::{self, PgScenario};

/// Fewest kills of a run; the scenario says so too.
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

/// Reads the scenario from a file, as a run of the program does.
fn short_scenario() -> Result<PgScenario, Box<dyn Error>> {
    let file = std::env::temp_dir().join(format!("badgerpost-short-{}.toml", std::process::id()));
    std::fs::write(&file, SHORT_SCENARIO)?;
    let found = postgres::find(&file.to_string_lossy());
    std::fs::remove_file(&file)?;
    Ok(found.ok_or("not a scenario of PostgreSQL")??)
}

#[test]
fn clients_learn_what_took_effect_though_databases_die() {
    let program = badgerpost_fakes::program("badgerpost").expect("built with its tests");
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
        let committed = |outcome: ClientOutcome| outcome == ClientOutcome::Committed;
        assert!(
            run.transactions
                .iter()
                .any(|transaction| committed(transaction.outcome)),
            "seed {seed}: nothing was committed"
        );
        assert!(
            run.transactions
                .iter()
                .any(|transaction| !committed(transaction.outcome)),
            "seed {seed}: no kill hit anything"
        );
    }
}
