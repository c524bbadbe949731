//! Scenes of PostgreSQL, as files that operators write in TOML.

use std::path::Path;

use badgerpost_settings::file::{FileError, Source};
use serde::Deserialize;
use toml::Spanned;

/// The scenes that are shipped, by name.
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

const MOST_DATABASES: usize = 16;
const MOST_CLIENTS: usize = 1000;
const MOST_TRANSACTIONS: u64 = 10_000_000;

/// A scene of PostgreSQL.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PgScene {
    /// What it shows, in a line.
    pub about: String,
    /// Transactions over all clients; they go on until as many things have gone wrong as there have to.
    pub transactions: Spanned<u64>,
    /// Clients, each with a driver of its own.
    pub clients: Spanned<usize>,
    /// Stand-in databases.
    pub databases: Spanned<usize>,
    /// Databases that die.
    pub kills: Option<Kills>,
    /// Databases that drain.
    pub drains: Option<Drains>,
    /// What is expected besides the rules.
    #[serde(default)]
    pub expect: PgExpect,
}

/// Databases that die, one at a time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kills {
    /// So often at least.
    pub least: u64,
    /// One after so long, on the mean.
    pub every_ms: u64,
    /// Back after so long.
    pub down_ms: u64,
}

/// Databases that the list says drain, one at a time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drains {
    /// So often at least.
    pub least: u64,
    /// One after so long, on the mean.
    pub every_ms: u64,
    /// Back after so long; longer than the grace, or nothing would show.
    pub for_ms: u64,
}

/// What is expected.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PgExpect {
    /// The share of transactions that were committed, from 0 to 1.
    #[serde(default)]
    pub committed: f64,
}

/// Finds a shipped scene of PostgreSQL, or reads a file of one. None for a name of another kind of scene.
pub fn find(name: &str) -> Option<Result<PgScene, FileError>> {
    if let Some((name, text)) = SHIPPED.iter().find(|shipped| shipped.0 == name) {
        return Some(check(&Source::embedded(&format!("{name}.toml"), text)));
    }
    let text = std::fs::read_to_string(name).ok()?;
    // Scenes of another kind have no transactions.
    let is_one = text
        .lines()
        .any(|line| line.trim_start().starts_with("transactions"));
    is_one.then(|| check(&Source::read(Path::new(name))?))
}

fn check(source: &Source) -> Result<PgScene, FileError> {
    let scene: PgScene = source.parse()?;
    let within = |span, good: bool, problem: &str| {
        if good {
            Ok(())
        } else {
            Err(source.error_at(span, problem))
        }
    };
    let (transactions, clients, databases) =
        (&scene.transactions, &scene.clients, &scene.databases);
    within(
        transactions.span(),
        (1..=MOST_TRANSACTIONS).contains(transactions.get_ref()),
        "1 to 10,000,000",
    )?;
    within(
        clients.span(),
        (1..=MOST_CLIENTS).contains(clients.get_ref()),
        "1 to 1,000",
    )?;
    within(
        databases.span(),
        (1..=MOST_DATABASES).contains(databases.get_ref()),
        "1 to 16",
    )?;
    within(
        0..0,
        (0.0..=1.0).contains(&scene.expect.committed),
        "expect.committed: a share from 0 to 1",
    )?;
    let spans = scene
        .kills
        .iter()
        .map(|kills| (kills.every_ms, kills.down_ms));
    let mut spans = spans.chain(
        scene
            .drains
            .iter()
            .map(|drains| (drains.every_ms, drains.for_ms)),
    );
    within(
        0..0,
        spans.all(|(every, lasts)| every > 0 && lasts > 0),
        "kills, drains: times must be above 0",
    )?;
    Ok(scene)
}

#[cfg(test)]
mod tests;
