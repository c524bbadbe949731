//! Repro files: a plan as JSON with the text of its scenario, from which a run can be repeated exactly.

use std::path::{Path, PathBuf};
use std::rc::Rc;

use badgerpost_settings::file::{FileError, Source};
use serde::{Deserialize, Serialize};

use super::{Arrival, Behaviour, MAX_REQUESTS, Plan};
use crate::scenario::{self, FaultTarget, PlannedFault, Scenario};

/// The version of the file format.
const FORMAT: u32 = 2;

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReproFile {
    format: u32,
    #[serde(rename = "scene")]
    scenario_name: String,
    seed: u64,
    faults: Vec<PlannedFault>,
    arrivals: Vec<Arrival>,
    #[serde(rename = "text")]
    scenario_text: String,
}

impl Plan {
    /// Serializes the plan in the format of repro files.
    pub fn to_repro(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(&ReproFile {
            format: FORMAT,
            scenario_name: self.scenario.name.clone(),
            seed: self.seed,
            faults: self.faults.clone(),
            arrivals: self.arrivals.clone(),
            scenario_text: self.scenario.text.clone(),
        })
    }

    /// Reads and validates a repro file.
    pub fn from_repro(path: &Path) -> Result<Self, ReproError> {
        let file = ReproFile::read(path)?;
        let invalid = |problem: String| ReproError::Invalid {
            path: path.to_owned(),
            problem,
        };
        if file.format != FORMAT {
            return Err(invalid(format!(
                "format {} is not supported, only format {FORMAT}",
                file.format
            )));
        }
        let source_name = format!("{} in {}", file.scenario_name, path.display());
        let source = Source::embedded(&source_name, &file.scenario_text);
        let mut scenario = scenario::load(&file.scenario_name, &source)?;
        let (mut faults, mut arrivals) = (file.faults, file.arrivals);
        if !faults
            .iter()
            .all(|fault| is_valid_fault(fault, &scenario.spec))
        {
            return Err(invalid(
                "the target of a fault is not in the scenario".to_owned(),
            ));
        }
        let is_valid = |arrival: &Arrival| is_valid_arrival(arrival, &scenario.spec);
        if !arrivals.iter().all(is_valid) || arrivals.len() > MAX_REQUESTS {
            return Err(invalid(format!(
                "the class or node of an arrival is not in the scenario, or there are more than {MAX_REQUESTS} arrivals"
            )));
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        faults.sort_by_key(|fault| fault.at);
        scenario.faults.clone_from(&faults);
        Ok(Self {
            scenario: Rc::new(scenario),
            seed: file.seed,
            arrivals,
            faults,
            behaviour: Behaviour::default(),
        })
    }
}

impl ReproFile {
    fn read(path: &Path) -> Result<Self, ReproError> {
        let text = std::fs::read_to_string(path).map_err(|source| ReproError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        serde_json::from_str(&text).map_err(|source| ReproError::Malformed {
            path: path.to_owned(),
            source,
        })
    }
}

/// Whether a fault's target is in the scenario.
fn is_valid_fault(fault: &PlannedFault, scenario: &Scenario) -> bool {
    let target_count = match fault.kind {
        kind if kind.affects_server() => scenario.servers.len(),
        kind if kind.affects_node() => scenario.nodes.len(),
        _ => 1,
    };
    match fault.target {
        FaultTarget::Single(index) => index.get() < target_count,
        FaultTarget::Group(group) => group
            .zone
            .is_none_or(|zone| zone.get() < scenario.zones().len()),
    }
}

/// Whether an arrival's class and node are in the scenario.
fn is_valid_arrival(arrival: &Arrival, scenario: &Scenario) -> bool {
    arrival.class.get() < scenario.classes.len() && arrival.node.get() < scenario.nodes.len()
}

/// Why a repro file cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum ReproError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The path of the repro file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not JSON, or lacks or has wrong keys.
    #[error("{}: {source}", path.display())]
    Malformed {
        /// The path of the repro file.
        path: PathBuf,
        /// The error with its line and column.
        source: serde_json::Error,
    },
    /// The plan does not fit its scenario, or the format is not supported.
    #[error("{}: {problem}", path.display())]
    Invalid {
        /// The path of the repro file.
        path: PathBuf,
        /// What is invalid.
        problem: String,
    },
    /// The scenario in the file is invalid.
    #[error(transparent)]
    Scenario(#[from] FileError),
}
