//! The tasks that run beside the servers until the process ends. A task that panics is logged; the other tasks keep
//! running.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::{Context, Poll};

use badgerpost_engine::spawn;
use tokio::task::{JoinError, JoinHandle};

/// The running background tasks of a node.
#[derive(Default)]
pub struct BackgroundTasks {
    running: Vec<BackgroundTask>,
}

struct BackgroundTask {
    name: &'static str,
    handle: JoinHandle<()>,
}

impl BackgroundTasks {
    /// Starts a task. `name` identifies the task in the log.
    pub fn spawn(&mut self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        let handle = spawn(task);
        self.running.push(BackgroundTask { name, handle });
    }

    /// Logs the end of each task. Never returns.
    pub async fn log_ends(&mut self) -> Infallible {
        poll_fn(|cx| {
            self.running.retain_mut(|task| task.poll(cx).is_pending());
            Poll::Pending
        })
        .await
    }
}

impl BackgroundTask {
    /// Polls the task's handle, and logs the end of the task.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.handle)
            .poll(cx)
            .map(|result| log_end(self.name, &result))
    }
}

/// Logs how a task has ended.
pub fn log_end(task: &'static str, result: &Result<(), JoinError>) {
    match result {
        Ok(()) => tracing::debug!(task, "task ended"),
        Err(error) => tracing::error!(task, %error, "task panicked; the other tasks keep running"),
    }
}

#[cfg(test)]
mod tests;
