//! `list`: prints the shipped scenarios.

use std::process::ExitCode;

use badgerpost_scenarios::{postgres, scenario};

use crate::failure::Failure;
use crate::output::print_line;

/// Prints the name and description of each shipped scenario.
pub(super) fn list() -> Result<ExitCode, Failure> {
    for (name, _) in scenario::SHIPPED {
        print_line(&format!("{name:16} {}", scenario::find(name)?.spec.about))?;
    }
    for (name, _) in postgres::SHIPPED {
        if let Some(scenario) = postgres::find(name) {
            print_line(&format!("{name:16} {}", scenario?.about))?;
        }
    }
    Ok(ExitCode::SUCCESS)
}
