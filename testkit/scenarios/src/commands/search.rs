//! `hunt`: searches seeds and fault schedules for a broken rule.

use std::path::Path;
use std::process::ExitCode;

use badgerpost_scenarios::hunt::{self, Find};
use badgerpost_scenarios::plan::Plan;
use badgerpost_scenarios::run::Options;
use badgerpost_scenarios::scene;

use crate::failure::Failure;
use crate::output::{bar, say, write};

pub(super) fn search(
    name: &str,
    seeds: std::ops::Range<u64>,
    out: &Path,
    as_written: bool,
    options: &Options,
) -> Result<ExitCode, Failure> {
    let bar = bar(seeds.end - seeds.start);
    for seed in seeds.clone() {
        bar.set_message(format!("seed {seed}"));
        let drawn = Plan::draw(scene::find(name)?, seed);
        let plan = if as_written { drawn } else { drawn.vary() };
        let (find, _) = hunt::look(&plan, options)?;
        bar.inc(1);
        let Some(find) = find else { continue };
        bar.finish_and_clear();
        say(&format!(
            "seed {seed}: {}; {} faults, {} requests",
            worded(&find),
            plan.faults.len(),
            plan.arrivals.len()
        ))?;
        let least = hunt::shrink(&plan, &find, options, &mut |_, _| {})?;
        write(out, &least.to_repro()?)?;
        say(&format!(
            "cut down to {} faults, {} requests",
            least.faults.len(),
            least.arrivals.len()
        ))?;
        say(&format!(
            "badgerpost-rehearse run --repro {} plays exactly that",
            out.display()
        ))?;
        return Ok(ExitCode::FAILURE);
    }
    bar.finish_and_clear();
    say(&format!(
        "seeds {}..{}: nothing found",
        seeds.start, seeds.end
    ))?;
    Ok(ExitCode::SUCCESS)
}

fn worded(find: &Find) -> String {
    match find {
        Find::Broken(rule) => format!("rule {rule} broken"),
        Find::Stranger => "a request that no client had sent so".to_owned(),
        Find::Lost => "fewer served than expected".to_owned(),
        Find::Crashed => "a node crashed".to_owned(),
    }
}
