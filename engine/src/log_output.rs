//! Writes log lines on a separate thread. If the output is slow, full or closed, log lines are lost, but requests are
//! not delayed.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The maximum number of lines in the queue. Further lines are lost.
const MAX_QUEUED_LINES: usize = 1024;
/// The longest time that [`LogOutput::flush`] waits.
const MAX_FLUSH_WAIT: Duration = Duration::from_millis(100);

enum Message {
    Line(Vec<u8>),
    /// Requests a reply once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// A handle to the log output. Clones write to the same output.
#[derive(Clone)]
pub struct LogOutput {
    queue: SyncSender<Message>,
    lost_lines: Arc<AtomicU64>,
}

impl LogOutput {
    /// Starts the thread that writes to `output`. After lines were lost, the thread calls `report_loss` with their
    /// number as soon as it has written another line.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
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

    /// Waits until all queued lines are written, but for at most 100 ms.
    pub fn flush(&self) {
        let (done, is_done) = sync_channel(1);
        if self.queue.try_send(Message::Flush(done)).is_ok() {
            // A timeout is ignored: the output has stalled.
            let _ = is_done.recv_timeout(MAX_FLUSH_WAIT);
        }
    }
}

/// Each call queues one complete line. Never fails or blocks.
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

/// The state of the thread that writes the lines.
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
                // Sending fails if the receiver has stopped waiting.
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
