//! The tasks that run beside the servers for as long as the node does. None of them is expected to panic; one that does
//! is logged, and the others go on.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::{Context, Poll};

use badgerpost_engine::spawn;
use tokio::task::{JoinError, JoinHandle};

/// The background tasks of a node.
#[derive(Default)]
pub struct BackgroundTasks {
    running: Vec<BackgroundTask>,
}

struct BackgroundTask {
    name: &'static str,
    handle: JoinHandle<()>,
}

impl BackgroundTasks {
    /// Starts a task. Its name is for the log.
    pub fn spawn(&mut self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        let handle = spawn(task);
        self.running.push(BackgroundTask { name, handle });
    }

    /// Logs the tasks' ends as they come. Never returns.
    pub async fn watch(&mut self) -> Infallible {
        poll_fn(|cx| {
            self.running.retain_mut(|task| task.poll(cx).is_pending());
            Poll::Pending
        })
        .await
    }
}

impl BackgroundTask {
    /// Whether the task has ended. Its end is logged.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.handle)
            .poll(cx)
            .map(|result| log_end(self.name, &result))
    }
}

/// Logs the end of a task.
pub fn log_end(task: &'static str, result: &Result<(), JoinError>) {
    match result {
        Ok(()) => tracing::debug!(task, "task ended"),
        Err(error) => tracing::error!(task, %error, "task panicked"),
    }
}

#[cfg(test)]
mod tests;
