//! Scenario files of PostgreSQL: reads and validates the TOML that operators write.

use std::path::Path;

use badgerpost_settings::file::{FileError, Source};
use serde::Deserialize;
use toml::Spanned;

/// The shipped scenario files, by name.
pub const SHIPPED: [(&str, &str); 3] = [
    ("postgres", include_str!("../../scenes/postgres.toml")),
    (
        "postgres-kill",
        include_str!("../../scenes/postgres-kill.toml"),
    ),
    (
        "postgres-drain",
        include_str!("../../scenes/postgres-drain.toml"),
    ),
];

const MAX_DATABASES: usize = 16;
const MAX_CLIENTS: usize = 1000;
const MAX_TRANSACTIONS: u64 = 10_000_000;

/// A scenario of PostgreSQL.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PgScenario {
    /// What it demonstrates, in one line.
    pub about: String,
    /// Transactions of all clients together; they go on until the required number of faults has occurred.
    pub transactions: Spanned<u64>,
    /// Clients, each with its own connection.
    pub clients: Spanned<usize>,
    /// Fake databases.
    pub databases: Spanned<usize>,
    /// Databases that die.
    pub kills: Option<Kills>,
    /// Databases that drain.
    pub drains: Option<Drains>,
    /// Expectations besides the correctness of every outcome.
    #[serde(default)]
    pub expect: PgExpect,
}

/// Databases that die, one at a time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kills {
    /// The least number of times.
    pub least: u64,
    /// Mean interval between two, in milliseconds.
    pub every_ms: u64,
    /// How long one is down, in milliseconds.
    pub down_ms: u64,
}

/// Databases that drain according to the endpoint list, one at a time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drains {
    /// The least number of times.
    pub least: u64,
    /// Mean interval between two, in milliseconds.
    pub every_ms: u64,
    /// How long one drains, in milliseconds; longer than the grace period, or nothing would be observed.
    pub for_ms: u64,
}

/// Expected results of a run.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PgExpect {
    /// The least fraction of transactions that are committed, from 0 to 1.
    #[serde(default)]
    pub committed: f64,
}

/// Finds a shipped scenario of PostgreSQL, or reads a scenario file. None if the name is of another kind of scenario.
pub fn find(name: &str) -> Option<Result<PgScenario, FileError>> {
    if let Some((name, text)) = SHIPPED.iter().find(|shipped| shipped.0 == name) {
        return Some(check(&Source::embedded(&format!("{name}.toml"), text)));
    }
    let text = std::fs::read_to_string(name).ok()?;
    // Scenarios of another kind have no transactions.
    let is_postgres = text
        .lines()
        .any(|line| line.trim_start().starts_with("transactions"));
    is_postgres.then(|| check(&Source::read(Path::new(name))?))
}

fn check(source: &Source) -> Result<PgScenario, FileError> {
    let scenario: PgScenario = source.parse()?;
    let require = |is_valid: bool, span, problem: &str| {
        if is_valid {
            Ok(())
        } else {
            Err(source.error_at(span, problem))
        }
    };
    let (transactions, clients, databases) = (
        &scenario.transactions,
        &scenario.clients,
        &scenario.databases,
    );
    require(
        (1..=MAX_TRANSACTIONS).contains(transactions.get_ref()),
        transactions.span(),
        "1 to 10,000,000",
    )?;
    require(
        (1..=MAX_CLIENTS).contains(clients.get_ref()),
        clients.span(),
        "1 to 1,000",
    )?;
    require(
        (1..=MAX_DATABASES).contains(databases.get_ref()),
        databases.span(),
        "1 to 16",
    )?;
    require(
        (0.0..=1.0).contains(&scenario.expect.committed),
        0..0,
        "expect.committed: a share from 0 to 1",
    )?;
    let kills_are_valid = scenario
        .kills
        .is_none_or(|kills| kills.every_ms > 0 && kills.down_ms > 0);
    let drains_are_valid = scenario
        .drains
        .is_none_or(|drains| drains.every_ms > 0 && drains.for_ms > 0);
    require(
        kills_are_valid && drains_are_valid,
        0..0,
        "kills, drains: times must be above 0",
    )?;
    Ok(scenario)
}

#[cfg(test)]
mod tests;
