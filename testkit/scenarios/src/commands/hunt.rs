//! `hunt`: searches seeds and fault schedules for a broken rule, and reduces the first one found.

use std::process::ExitCode;

use badgerpost_scenarios::plan::Plan;
use badgerpost_scenarios::run::Options;
use badgerpost_scenarios::scenario;
use badgerpost_scenarios::search::{self, Violation};

use crate::arguments::HuntArguments;
use crate::failure::Failure;
use crate::output::{print_line, progress_bar, write_file};

/// Plays the seeds in turn up to the first violation, which is written to a file and fails the command.
pub(super) fn hunt(arguments: &HuntArguments) -> Result<ExitCode, Failure> {
    let options = arguments.program.options(false, 0)?;
    let seeds = arguments.seeds.clone();
    let bar = progress_bar(seeds.end - seeds.start);
    for seed in seeds.clone() {
        bar.set_message(format!("seed {seed}"));
        let drawn = Plan::draw(scenario::find(&arguments.scenario)?, seed);
        let plan = if arguments.as_written {
            drawn
        } else {
            drawn.vary()
        };
        let violation = search::find_violation(&plan, &options)?;
        bar.inc(1);
        if let Some(violation) = violation {
            bar.finish_and_clear();
            print_line(&format!(
                "seed {seed}: {}; {} faults, {} requests",
                describe(&violation),
                plan.faults.len(),
                plan.arrivals.len()
            ))?;
            return reduce(&plan, &violation, &options, arguments);
        }
    }
    bar.finish_and_clear();
    print_line(&format!(
        "seeds {}..{}: nothing found",
        seeds.start, seeds.end
    ))?;
    Ok(ExitCode::SUCCESS)
}

/// Reduces a plan to the least that shows the same violation, and writes it as a repro file.
fn reduce(
    plan: &Plan,
    violation: &Violation,
    options: &Options,
    arguments: &HuntArguments,
) -> Result<ExitCode, Failure> {
    let reduced = search::reduce(plan, violation, options, &mut |_, _| {})?;
    write_file(&arguments.out, &reduced.to_repro()?)?;
    print_line(&format!(
        "cut down to {} faults, {} requests",
        reduced.faults.len(),
        reduced.arrivals.len()
    ))?;
    print_line(&format!(
        "badgerpost-rehearse run --repro {} plays exactly that",
        arguments.out.display()
    ))?;
    Ok(ExitCode::FAILURE)
}

fn describe(violation: &Violation) -> String {
    match violation {
        Violation::BrokenRule(rule) => format!("rule {rule} broken"),
        Violation::UnknownRequest => "a request that no client had sent so".to_owned(),
        Violation::UnmetExpectation => "fewer served than expected".to_owned(),
        Violation::Crash => "a node crashed".to_owned(),
    }
}
