//! Scenarios: TOML files that describe the nodes, servers, clients, faults and expectations of a run. The error for an
//! invalid file names the file, the line and the key.

mod fault;
mod fault_kinds;
mod fault_parser;
mod groups;
mod schema;
mod validation;

use std::path::{Path, PathBuf};

use badgerpost_settings::file::{FileError, Source};

pub use fault::{
    FaultKind, FaultTarget, LinkEnd, LinkFault, LinkFaultKind, PlannedFault, TargetGroup,
};
pub use schema::{
    Class, Clients, Degradation, Discovery, Expectations, Fault, LoadReports, Network, Node,
    NodeGroup, RuleParameters, Scenario, Server, ServerGroup,
};

/// The names and texts of the shipped scenarios.
pub const SHIPPED: [(&str, &str); 10] = [
    ("calm", include_str!("../scenes/calm.toml")),
    ("cold-start", include_str!("../scenes/cold-start.toml")),
    ("crowded", include_str!("../scenes/crowded.toml")),
    (
        "discovery-down",
        include_str!("../scenes/discovery-down.toml"),
    ),
    ("drain", include_str!("../scenes/drain.toml")),
    ("night", include_str!("../scenes/night.toml")),
    ("node-killed", include_str!("../scenes/node-killed.toml")),
    (
        "silent-server",
        include_str!("../scenes/silent-server.toml"),
    ),
    ("zone-killed", include_str!("../scenes/zone-killed.toml")),
    ("zone-silent", include_str!("../scenes/zone-silent.toml")),
];

/// A scenario that has been read and validated.
pub struct LoadedScenario {
    /// The shipped name, or the name of the file without its extension.
    pub name: String,
    /// The scenario, with the members of its groups among its nodes and servers.
    pub spec: Scenario,
    /// The faults, sorted by start time.
    pub faults: Vec<PlannedFault>,
    /// The text of the file.
    pub text: String,
}

/// Loads a shipped scenario by name, or any other scenario by the path of its file.
pub fn find(name: &str) -> Result<LoadedScenario, FileError> {
    if let Some((name, text)) = SHIPPED.iter().find(|shipped| shipped.0 == name) {
        return load(name, &Source::embedded(&format!("{name}.toml"), text));
    }
    let path = PathBuf::from(name);
    let stem = path.file_stem().unwrap_or_default().to_string_lossy();
    load(&stem, &Source::read(Path::new(name))?)
}

/// Parses and validates a scenario, and expands its groups and faults.
pub fn load(name: &str, source: &Source) -> Result<LoadedScenario, FileError> {
    let mut spec: Scenario = source.parse()?;
    validation::check_has_class(&spec, source)?;
    groups::expand(&mut spec);
    validation::check_scenario(&spec, source)?;
    let faults = fault_parser::parse_faults(&spec, source)?;
    Ok(LoadedScenario {
        name: name.to_owned(),
        spec,
        faults,
        text: source.text().to_owned(),
    })
}

#[cfg(test)]
mod tests;
