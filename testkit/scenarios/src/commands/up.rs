//! `up`: starts the nodes and fakes of a scenario and keeps them running.

use std::process::ExitCode;

use badgerpost_scenarios::plan::Plan;
use badgerpost_scenarios::run::Runner;
use badgerpost_scenarios::scenario;
use serde_json::{Value, json};

use crate::arguments::UpArguments;
use crate::failure::Failure;
use crate::output::print_line;
use crate::stay::StopRequest;

/// The seed of the plan, which has no effect without arrivals and faults.
const SEED: u64 = 1;

/// Starts the scenario without its faults and requests, prints a line of JSON when all nodes are ready, and runs until it is
/// asked to stop.
pub(super) fn up(arguments: &UpArguments) -> Result<ExitCode, Failure> {
    let stop = StopRequest::on_signals()?;
    let options = arguments.program.options(true, arguments.port)?;
    let plan = load_plan(&arguments.scenario, arguments.nodes)?;
    let mut runner = Runner::new(&plan, &options)?;
    print_line(&describe(&plan, &mut runner).to_string())?;
    stop.on_end_of_input();
    runner.run_until(&|| stop.is_requested())?;
    Ok(ExitCode::SUCCESS)
}

/// A plan without faults and requests, with the first `node_count` nodes of the scenario or all of them.
fn load_plan(name: &str, node_count: Option<usize>) -> Result<Plan, Failure> {
    let mut scenario = scenario::find(name)?;
    if let Some(count) = node_count {
        let available = scenario.spec.nodes.len();
        if !(1..=available).contains(&count) {
            return Err(Failure::NodeCount { available });
        }
        scenario.spec.nodes.truncate(count);
    }
    scenario.faults.clear();
    let mut plan = Plan::draw(scenario, SEED);
    plan.arrivals.clear();
    Ok(plan)
}

/// The line of JSON with the names and addresses of the nodes, discovery and backends.
fn describe(plan: &Plan, runner: &mut Runner) -> Value {
    let mut nodes = Vec::new();
    for (index, node) in plan.scenario.spec.nodes.iter().enumerate() {
        if let Some((listen, pid)) = runner.node(index) {
            nodes.push(json!({"name": node.name.get_ref(), "listen": listen, "pid": pid}));
        }
    }
    let backends: Vec<Value> = runner
        .servers()
        .map(|(uid, listen)| json!({"uid": uid, "listen": listen}))
        .collect();
    json!({
        "scene": plan.scenario.name,
        "nodes": nodes,
        "discovery": runner.discovery_address(0),
        "backends": backends,
    })
}
