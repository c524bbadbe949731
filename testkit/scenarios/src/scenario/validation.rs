//! Validates the values and names of a scenario. The bounds limit the memory and the duration of a run.

use std::collections::BTreeSet;
use std::ops::{Range, RangeInclusive};

use badgerpost_settings::file::{FileError, Source};
use toml::Spanned;

use super::schema::{Class, Scenario, Server};

pub(super) const MAX_NODES: usize = 512;
pub(super) const MAX_SERVERS: usize = 512;
pub(super) const MAX_DURATION_MS: u64 = 3_600_000;
const MAX_REQUESTS_PER_SECOND: f64 = 100_000.0;
/// The maximum length of the name of a node, server or class.
const MAX_NAME_BYTES: usize = 64;

/// Checks that a scenario has at least one class.
pub(super) fn check_has_class(scenario: &Scenario, source: &Source) -> Result<(), FileError> {
    if scenario.classes.is_empty() {
        return Err(source.error_at(0..0, "a scenario must have at least one [[class]]"));
    }
    Ok(())
}

/// Checks a scenario after the expansion of its groups. Faults are checked when they are parsed.
pub(super) fn check_scenario(scenario: &Scenario, source: &Source) -> Result<(), FileError> {
    check_counts(scenario, source)?;
    check_duration(source, &scenario.length_ms, 1)?;
    check_range(
        source,
        &scenario.clients.rate,
        0.0..=MAX_REQUESTS_PER_SECOND,
        "must be from 0 to 100000 requests a second",
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
    let is_node_count_valid = (1..=MAX_NODES).contains(&scenario.nodes.len());
    let is_server_count_valid = (1..=MAX_SERVERS).contains(&scenario.servers.len());
    if is_node_count_valid && is_server_count_valid {
        return Ok(());
    }
    let problem =
        format!("a scenario must have 1 to {MAX_NODES} nodes and 1 to {MAX_SERVERS} servers");
    Err(source.error_at(0..0, problem))
}

fn check_class(class: &Class, source: &Source) -> Result<(), FileError> {
    let weight = *class.weight.get_ref();
    check(
        source,
        class.weight.span(),
        weight > 0.0 && weight.is_finite(),
        "must be a finite number above 0",
    )?;
    let (min, max) = *class.service_time_ms.get_ref();
    check(
        source,
        class.service_time_ms.span(),
        0 < min && min <= max && max <= MAX_DURATION_MS,
        &format!("must be [MIN, MAX] with 0 < MIN <= MAX <= {MAX_DURATION_MS}"),
    )?;
    check_duration(source, &class.deadline_ms, 1)
}

fn check_server(server: &Server, source: &Source) -> Result<(), FileError> {
    check_range(
        source,
        &server.speed,
        0.001..=1000.0,
        "must be from 0.001 to 1000",
    )?;
    let Some(degradation) = &server.degradation else {
        return Ok(());
    };
    check_range(
        source,
        &degradation.slowdown,
        1.0..=1000.0,
        "must be from 1 to 1000",
    )?;
    check_duration(source, &degradation.after_ms, 0)?;
    check_duration(source, &degradation.recovery_ms, 0)
}

fn check_names<'a>(
    source: &Source,
    names: impl Iterator<Item = &'a Spanned<String>>,
) -> Result<(), FileError> {
    let mut seen = BTreeSet::new();
    for name in names {
        check(
            source,
            name.span(),
            is_valid_name(name.get_ref()),
            "a name must have 1 to 64 letters, digits, '-', '_' or '.'",
        )?;
        let is_new = seen.insert(name.get_ref());
        check(source, name.span(), is_new, "this name is already in use")?;
    }
    Ok(())
}

fn is_valid_name(name: &str) -> bool {
    let is_valid_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_valid_byte)
}

fn check_duration(source: &Source, duration: &Spanned<u64>, min: u64) -> Result<(), FileError> {
    let problem = format!("must be from {min} to {MAX_DURATION_MS}");
    check_range(source, duration, min..=MAX_DURATION_MS, &problem)
}

/// Fails with `problem` at the value's position in the file if the value is outside the range.
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
