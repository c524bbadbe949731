//! `up`: starts a scene's nodes and stand-ins, and stays.

use std::io::Read;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use badgerpost_scenarios::plan::Plan;
use badgerpost_scenarios::postgres::{PgScene, PgStage};
use badgerpost_scenarios::run::Stage;
use badgerpost_scenarios::scene;

use crate::arguments::Program;
use crate::failure::Failure;
use crate::output::say;

pub(super) fn up(
    name: &str,
    nodes: Option<usize>,
    port: u16,
    program: Program,
) -> Result<ExitCode, Failure> {
    let over = heed_signals()?;
    let options = program.options(true, port)?;
    let mut checked = scene::find(name)?;
    if let Some(count) = nodes {
        let has = checked.scene.node.len();
        if !(1..=has).contains(&count) {
            return Err(Failure::Nodes(has));
        }
        checked.scene.node.truncate(count);
    }
    checked.faults.clear();
    let mut plan = Plan::draw(checked, 1);
    plan.arrivals.clear();
    let mut stage = Stage::set(&plan, &options)?;
    let nodes: Vec<serde_json::Value> = (0..plan.scene.scene.node.len())
        .filter_map(|node| {
            let (listen, pid) = stage.node(node)?;
            let name = plan.scene.scene.node[node].name.get_ref();
            Some(serde_json::json!({"name": name, "listen": listen, "pid": pid}))
        })
        .collect();
    let backends: Vec<serde_json::Value> = stage
        .servers()
        .map(|(uid, listen)| serde_json::json!({"uid": uid, "listen": listen}))
        .collect();
    let discovery = stage.list_at(0);
    say(
        &serde_json::json!({"scene": plan.scene.name, "nodes": nodes, "discovery": discovery,
        "backends": backends})
        .to_string(),
    )?;
    stay(&over);
    stage.stay(&|| over.load(Ordering::SeqCst))?;
    Ok(ExitCode::SUCCESS)
}

/// Stays until a signal, or the end of standard input.
fn stay(over: &Arc<AtomicBool>) {
    if !input_is_null() {
        let closed = over.clone();
        std::thread::spawn(move || {
            let mut scrap = [0; 256];
            while std::io::stdin().read(&mut scrap).is_ok_and(|read| read > 0) {}
            closed.store(true, Ordering::SeqCst);
        });
    }
}

/// Set once the kit is asked to end. Heeded before anything is started: unheeded, a signal would leave children behind.
fn heed_signals() -> std::io::Result<Arc<AtomicBool>> {
    let over = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, over.clone())?;
    }
    Ok(over)
}

pub(super) fn up_postgres(scene: &PgScene, port: u16, program: &Path) -> Result<ExitCode, Failure> {
    let over = heed_signals()?;
    let stage = PgStage::set(*scene.databases.get_ref(), program, port)?;
    let target = stage.target();
    let databases: Vec<String> = stage
        .databases()
        .iter()
        .map(|database| database.at.to_string())
        .collect();
    say(&serde_json::json!({"scene": "postgres", "nodes": [{"name": "n0", "listen": stage.http, "pid": stage.node_id()}],
        "postgres": {"listen": stage.listen, "user": target.user, "password": target.password,
            "database": target.database, "databases": databases, "databases_user": "node",
            "databases_password": "node-password"}})
    .to_string())?;
    stay(&over);
    while !over.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(ExitCode::SUCCESS)
}

/// Whether standard input is `/dev/null`, as under a supervisor: it has no end to wait for.
fn input_is_null() -> bool {
    use std::os::unix::fs::MetadataExt;
    let device = |path| std::fs::metadata(path).map(|about| about.rdev());
    matches!((device("/dev/stdin"), device("/dev/null")), (Ok(input), Ok(null)) if input == null)
}
