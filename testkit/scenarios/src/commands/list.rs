//! `list`: the scenes that are shipped.

use std::process::ExitCode;

use badgerpost_scenarios::{postgres, scene};

use crate::failure::Failure;
use crate::output::print_line;

/// Prints the name and description of each shipped scene.
pub(super) fn list() -> Result<ExitCode, Failure> {
    for (name, _) in scene::SHIPPED {
        print_line(&format!("{name:16} {}", scene::find(name)?.scene.about))?;
    }
    for (name, _) in postgres::SHIPPED {
        if let Some(scene) = postgres::find(name) {
            print_line(&format!("{name:16} {}", scene?.about))?;
        }
    }
    Ok(ExitCode::SUCCESS)
}
