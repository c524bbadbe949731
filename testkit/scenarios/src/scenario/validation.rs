//! Checks the figures and names of a scenario against bounds that keep it on one machine, and its end in sight.

use std::collections::BTreeSet;
use std::ops::{Range, RangeInclusive};

use badgerpost_settings::file::{FileError, Source};
use toml::Spanned;

use super::schema::{Class, Scenario, Server};

/// The most nodes of a scenario.
pub(super) const MAX_NODES: usize = 512;
/// The most servers of a scenario.
pub(super) const MAX_SERVERS: usize = 512;
/// The longest duration in a scenario: one hour.
pub(super) const MAX_DURATION_MS: u64 = 3_600_000;
/// The most requests a second.
const MAX_RATE: f64 = 100_000.0;
/// The longest name of a node, server or class, in bytes.
const MAX_NAME_LENGTH: usize = 64;

/// Checks that a scenario has a class at all.
pub(super) fn check_has_class(scenario: &Scenario, source: &Source) -> Result<(), FileError> {
    if scenario.classes.is_empty() {
        return Err(source.error_at(0..0, "a scene needs at least one [[class]]"));
    }
    Ok(())
}

/// Checks a scenario whose groups have been expanded; its faults are checked as they are parsed.
pub(super) fn check_scenario(scenario: &Scenario, source: &Source) -> Result<(), FileError> {
    check_counts(scenario, source)?;
    check_duration(source, &scenario.length_ms, 1)?;
    check_range(
        source,
        &scenario.clients.rate,
        0.0..=MAX_RATE,
        "from 0 to 100000 a second",
    )?;
    for class in &scenario.classes {
        check_class(class, source)?;
    }
    for server in &scenario.servers {
        check_server(server, source)?;
    }
    check_names(source, scenario.nodes.iter().map(|node| &node.name))?;
    check_names(source, scenario.servers.iter().map(|server| &server.name))?;
    check_names(source, scenario.classes.iter().map(|class| &class.name))
}

fn check_counts(scenario: &Scenario, source: &Source) -> Result<(), FileError> {
    let has_nodes = (1..=MAX_NODES).contains(&scenario.nodes.len());
    let has_servers = (1..=MAX_SERVERS).contains(&scenario.servers.len());
    if has_nodes && has_servers {
        return Ok(());
    }
    let problem =
        format!("a scene has 1 to {MAX_NODES} [[node]] and 1 to {MAX_SERVERS} [[server]]");
    Err(source.error_at(0..0, problem))
}

fn check_class(class: &Class, source: &Source) -> Result<(), FileError> {
    let weight = *class.weight.get_ref();
    check(
        source,
        class.weight.span(),
        weight > 0.0 && weight.is_finite(),
        "must be above 0",
    )?;
    let (min, max) = *class.service_time_ms.get_ref();
    check(
        source,
        class.service_time_ms.span(),
        0 < min && min <= max && max <= MAX_DURATION_MS,
        "from a time above 0 to one no shorter",
    )?;
    check_duration(source, &class.deadline_ms, 1)
}

fn check_server(server: &Server, source: &Source) -> Result<(), FileError> {
    check_range(source, &server.speed, 0.001..=1000.0, "from 0.001 to 1000")?;
    let Some(degradation) = &server.degradation else {
        return Ok(());
    };
    check_range(
        source,
        &degradation.slowdown,
        1.0..=1000.0,
        "from 1 to 1000",
    )?;
    check_duration(source, &degradation.after_ms, 0)?;
    check_duration(source, &degradation.recovery_ms, 0)
}

fn check_names<'a>(
    source: &Source,
    names: impl Iterator<Item = &'a Spanned<String>>,
) -> Result<(), FileError> {
    let mut taken = BTreeSet::new();
    for name in names {
        check(
            source,
            name.span(),
            is_valid_name(name.get_ref()),
            "a name has 1 to 64 letters, digits, '-', '_' or '.'",
        )?;
        let is_new = taken.insert(name.get_ref());
        check(source, name.span(), is_new, "this name is taken")?;
    }
    Ok(())
}

fn is_valid_name(name: &str) -> bool {
    let is_valid_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.bytes().all(is_valid_byte)
}

fn check_duration(source: &Source, duration: &Spanned<u64>, min: u64) -> Result<(), FileError> {
    let problem = format!("from {min} to {MAX_DURATION_MS}");
    check_range(source, duration, min..=MAX_DURATION_MS, &problem)
}

/// Checks that a value lies in a range.
pub(super) fn check_range<T: PartialOrd>(
    source: &Source,
    value: &Spanned<T>,
    range: RangeInclusive<T>,
    problem: &str,
) -> Result<(), FileError> {
    check(
        source,
        value.span(),
        range.contains(value.get_ref()),
        problem,
    )
}

fn check(
    source: &Source,
    span: Range<usize>,
    is_valid: bool,
    problem: &str,
) -> Result<(), FileError> {
    if is_valid {
        Ok(())
    } else {
        Err(source.error_at(span, problem))
    }
}
