//! Runs the timers of the node's lifecycle, a state machine without a clock.

use badgerpost_admin::LifecycleHandle;
use badgerpost_engine::Clock;
use badgerpost_lifecycle::Event;

/// Delivers [`Event::TimerFired`] for the timer that the lifecycle requested most recently. Never returns.
pub async fn run_lifecycle_timers(lifecycle: LifecycleHandle, clock: Clock) {
    let mut requests = lifecycle.timer_request();
    loop {
        let request = *requests.borrow_and_update();
        let Some(timer) = request else {
            let _ = requests.changed().await;
            continue;
        };
        // A new request replaces the current timer.
        tokio::select! {
            biased;
            Ok(()) = requests.changed() => {}
            () = clock.sleep(timer.after) => {
                lifecycle.handle(Event::TimerFired(timer.token));
                let _ = requests.wait_for(|next| *next != request).await;
            }
        }
    }
}
