//! The subcommands, one module each.

mod run;
mod run_postgres;
mod search;
mod up;

use std::process::ExitCode;

use badgerpost_scenarios::plan::Plan;
use badgerpost_scenarios::{postgres, scene, sweep};

use crate::arguments::Command;
use crate::failure::Failure;
use crate::output::say;
use run::run;
use run_postgres::run_postgres;
use search::search;
use up::{up, up_postgres};

pub(crate) fn carry_out(command: Command) -> Result<ExitCode, Failure> {
    match command {
        Command::List => {
            for (name, _) in scene::SHIPPED {
                say(&format!("{name:16} {}", scene::find(name)?.scene.about))?;
            }
            for (name, _) in postgres::SHIPPED {
                if let Some(scene) = postgres::find(name) {
                    say(&format!("{name:16} {}", scene?.about))?;
                }
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::MeasurePostgres { silent, program } => {
            let mut wrong = None;
            postgres::measure::measure(&program.find()?, silent, &mut |line| {
                wrong = wrong
                    .take()
                    .or(say(&format!("{}: {}", line.what, line.figure)).err());
            })?;
            wrong.map_or(Ok(ExitCode::SUCCESS), |error| Err(error.into()))
        }
        Command::Up {
            scene,
            nodes,
            port,
            program,
        } => match postgres::find(&scene) {
            Some(scene) => up_postgres(&scene?, port, &program.find()?),
            None => up(&scene, nodes, port, program),
        },
        Command::Run {
            scene: Some(name),
            seed,
            out,
            repro: None,
            program,
            ..
        } if postgres::find(&name).is_some() => {
            let Some(scene) = postgres::find(&name) else {
                return Ok(ExitCode::from(2));
            };
            run_postgres(&name, &scene?, seed, out.as_deref(), &program.find()?)
        }
        Command::Run {
            scene,
            seed,
            out,
            plot,
            repro,
            real_time,
            logs,
            program,
        } => {
            let plan = match (repro, scene) {
                (Some(file), _) => Plan::from_repro(&file)?,
                (None, scene) => Plan::draw(scene::find(&scene.unwrap_or_default())?, seed),
            };
            let options = program.options(real_time, 0)?;
            run(
                &plan,
                &options,
                out.as_deref(),
                plot.as_deref(),
                logs.as_deref(),
            )
        }
        Command::Sweep {
            scene,
            seeds,
            jobs,
            program,
        } => {
            let options = program.options(false, 0)?;
            let rows = sweep::sweep(&scene, seeds, jobs, &options)?;
            say(&format!(
                "scene {scene}, {} seeds; least, middle, most",
                rows.len()
            ))?;
            for (column, name) in sweep::COLUMNS.iter().enumerate() {
                let spread = sweep::spread(&rows, column);
                let text = spread.map_or("not in every run".to_owned(), |spread| {
                    spread.map(|value| format!("{value:10.3}")).join(" ")
                });
                say(&format!("{name:14} {text}"))?;
            }
            let broken = rows.iter().any(|row| row.broken > 0);
            Ok(if broken {
                ExitCode::FAILURE
            } else {
                ExitCode::SUCCESS
            })
        }
        Command::Hunt {
            scene,
            seeds,
            out,
            as_written,
            program,
        } => {
            let options = program.options(false, 0)?;
            search(&scene, seeds, &out, as_written, &options)
        }
    }
}
