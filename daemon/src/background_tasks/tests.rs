use std::cell::Cell;
use std::rc::Rc;

use tokio::task::{LocalSet, yield_now};

use super::*;

/// Runs a future as the node's main one, beside its tasks.
fn run<F: Future>(main: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, main)
}

#[test]
fn a_task_that_panics_leaves_the_others_running_and_its_end_is_seen() {
    run(async {
        let mut tasks = BackgroundTasks::default();
        let turns = Rc::new(Cell::new(0));
        let counter = turns.clone();
        tasks.spawn("panics", async { panic!("as this test wants") });
        tasks.spawn("counts", async move {
            loop {
                counter.set(counter.get() + 1);
                yield_now().await;
            }
        });
        let waited = async {
            while turns.get() < 3 {
                yield_now().await;
            }
        };
        tokio::select! {
            () = waited => {}
            never = tasks.watch() => match never {},
        }
        let running: Vec<_> = tasks.running.iter().map(|task| task.name).collect();
        assert_eq!(running, ["counts"]);
    });
}
