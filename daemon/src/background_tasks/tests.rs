use std::cell::Cell;
use std::rc::Rc;

use tokio::task::{LocalSet, yield_now};

use super::*;

/// Runs `main` on a runtime on which it can spawn background tasks.
fn run<F: Future>(main: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, main)
}

#[test]
fn a_panicked_task_is_removed_and_the_other_tasks_keep_running() {
    run(async {
        let mut tasks = BackgroundTasks::default();
        let turns = Rc::new(Cell::new(0));
        let counter = turns.clone();
        tasks.spawn("panics", async { panic!("expected by the test") });
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
            never = tasks.log_ends() => match never {},
        }
        let running: Vec<_> = tasks.running.iter().map(|task| task.name).collect();
        assert_eq!(running, ["counts"]);
    });
}
