//! PostgreSQL scenario files: reads and validates the TOML that operators write.

use std::path::Path;

use badgerpost_settings::file::{FileError, Source};
use serde::Deserialize;
use toml::Spanned;

/// The shipped PostgreSQL scenarios: name and TOML text.
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

/// A PostgreSQL scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PgScenario {
    /// A description of the scenario, in one line.
    pub about: String,
    /// The least number of transactions of all clients together; more are run while required faults are outstanding.
    pub transactions: Spanned<u64>,
    /// The number of clients, each with a separate connection.
    pub clients: Spanned<usize>,
    /// The number of fake databases.
    pub databases: Spanned<usize>,
    /// Crashes of databases; none if absent.
    pub kills: Option<Kills>,
    /// Drains of databases; none if absent.
    pub drains: Option<Drains>,
    /// Expected results besides the correctness of every outcome.
    #[serde(default)]
    pub expect: PgExpect,
}

/// Crashes of databases, one at a time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kills {
    /// The required number of crashes.
    pub least: u64,
    /// Mean interval between two crashes, in milliseconds.
    pub every_ms: u64,
    /// Downtime of a crashed database, in milliseconds.
    pub down_ms: u64,
}

/// Drains of databases by the endpoint list, one at a time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drains {
    /// The required number of drains.
    pub least: u64,
    /// Mean interval between two drains, in milliseconds.
    pub every_ms: u64,
    /// Duration of a drain, in milliseconds; late transactions are observed only beyond the grace period.
    pub for_ms: u64,
}

/// Expected results of a run.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PgExpect {
    /// The least fraction of committed transactions, from 0 to 1; 0 if absent.
    #[serde(default)]
    pub committed: f64,
}

/// Finds a shipped PostgreSQL scenario, or reads a scenario file; `None` if the name belongs to neither.
pub fn find(name: &str) -> Option<Result<PgScenario, FileError>> {
    if let Some((name, text)) = SHIPPED.iter().find(|shipped| shipped.0 == name) {
        return Some(check(&Source::embedded(&format!("{name}.toml"), text)));
    }
    let text = std::fs::read_to_string(name).ok()?;
    // HTTP scenarios have no `transactions` key.
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
        "must be from 1 to 10,000,000",
    )?;
    require(
        (1..=MAX_CLIENTS).contains(clients.get_ref()),
        clients.span(),
        "must be from 1 to 1,000",
    )?;
    require(
        (1..=MAX_DATABASES).contains(databases.get_ref()),
        databases.span(),
        "must be from 1 to 16",
    )?;
    require(
        (0.0..=1.0).contains(&scenario.expect.committed),
        0..0,
        "expect.committed: must be a fraction from 0 to 1",
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
        "kills, drains: every_ms, down_ms and for_ms must be above 0",
    )?;
    Ok(scenario)
}

#[cfg(test)]
mod tests;
