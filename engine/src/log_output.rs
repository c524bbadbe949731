//! Where log lines go. A thread of its own writes them: an output that is full, closed or slow delays no request, and
//! costs only log lines.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Lines that wait to be written; those that come while so many wait are lost.
const MAX_QUEUED_LINES: usize = 1024;
/// Longest wait for the last lines of a process.
const MAX_FLUSH_WAIT: Duration = Duration::from_millis(100);

enum Message {
    Line(Vec<u8>),
    /// Answered once all lines before it are written.
    Flush(SyncSender<()>),
}

/// The writing end of the log. A clone writes to the same output.
#[derive(Clone)]
pub struct LogOutput {
    queue: SyncSender<Message>,
    lost_lines: Arc<AtomicU64>,
}

impl LogOutput {
    /// Starts the thread that writes to `output`. After a loss, `report_loss` is told how many lines were lost, once a
    /// line has been written again.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
    pub fn start(
        output: impl Write + Send + 'static,
        report_loss: impl Fn(u64) + Send + 'static,
    ) -> io::Result<Self> {
        let (queue, messages) = sync_channel(MAX_QUEUED_LINES);
        let lost_lines = Arc::<AtomicU64>::default();
        let writer = Writer {
            output,
            report_loss,
            lost_lines: Arc::clone(&lost_lines),
        };
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run(&messages))?;
        Ok(Self { queue, lost_lines })
    }

    /// Waits until the lines so far are written, for a short while at most.
    pub fn flush(&self) {
        let (done, is_done) = sync_channel(1);
        if self.queue.try_send(Message::Flush(done)).is_ok() {
            // An output that stalls is not waited for.
            let _ = is_done.recv_timeout(MAX_FLUSH_WAIT);
        }
    }
}

/// Takes one whole line a call. Never fails and never waits.
impl Write for LogOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.queue.try_send(Message::Line(line.to_vec())).is_err() {
            self.lost_lines.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The thread's side.
struct Writer<O, R> {
    output: O,
    report_loss: R,
    lost_lines: Arc<AtomicU64>,
}

impl<O: Write, R: Fn(u64)> Writer<O, R> {
    fn run(mut self, messages: &Receiver<Message>) {
        for message in messages {
            match message {
                Message::Line(line) => self.write(&line),
                // Nobody waits any more where this fails.
                Message::Flush(done) => drop(done.try_send(())),
            }
        }
    }

    fn write(&mut self, line: &[u8]) {
        if self.output.write_all(line).is_err() {
            self.lost_lines.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let lost = self.lost_lines.swap(0, Ordering::Relaxed);
        if lost > 0 {
            (self.report_loss)(lost);
        }
    }
}
