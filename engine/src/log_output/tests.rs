//! Tests the log output with a writer that stalls or fails.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use super::{LogOutput, MAX_QUEUED_LINES};

const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// A writer that blocks on each line until the test sends the result of the write.
struct ScriptedOutput {
    results: Receiver<io::Result<()>>,
    written: Sender<String>,
}

impl Write for ScriptedOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.results
            .recv()
            .map_err(|_| io::ErrorKind::BrokenPipe)??;
        let _ = self
            .written
            .send(String::from_utf8_lossy(line).into_owned());
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct TestLog {
    output: LogOutput,
    results: Sender<io::Result<()>>,
    written: Receiver<String>,
    losses: Receiver<u64>,
}

fn test_log() -> TestLog {
    let (results, scripted_results) = channel();
    let (written, lines) = channel();
    let (lost, losses) = channel();
    let output = ScriptedOutput {
        results: scripted_results,
        written,
    };
    TestLog {
        output: LogOutput::start(output, move |lines| lost.send(lines).unwrap()).unwrap(),
        results,
        written: lines,
        losses,
    }
}

#[test]
fn lines_are_written_in_order() {
    let mut log = test_log();
    for line in ["first", "second"] {
        log.output.write_all(line.as_bytes()).unwrap();
        log.results.send(Ok(())).unwrap();
    }
    for line in ["first", "second"] {
        assert_eq!(log.written.recv_timeout(RECEIVE_TIMEOUT).unwrap(), line);
    }
    assert!(log.losses.try_recv().is_err());
}

#[test]
fn stalled_output_does_not_block_and_lost_lines_are_counted() {
    let mut log = test_log();
    log.output.write_all(b"stalls").unwrap();
    let started = Instant::now();
    // The thread may or may not have taken the first line from the queue by now.
    for _ in 0..MAX_QUEUED_LINES + 10 {
        log.output.write_all(b"waits").unwrap();
    }
    log.output.flush();
    assert!(started.elapsed() < Duration::from_secs(1));
    for _ in 0..=MAX_QUEUED_LINES {
        log.results.send(Ok(())).unwrap();
    }
    let lost = log.losses.recv_timeout(RECEIVE_TIMEOUT).unwrap();
    assert!((10..=11).contains(&lost), "{lost}");
}

#[test]
fn lines_that_fail_to_be_written_are_counted_as_lost() {
    let mut log = test_log();
    for result in [
        Err(io::ErrorKind::StorageFull.into()),
        Err(io::ErrorKind::BrokenPipe.into()),
        Ok(()),
    ] {
        log.output.write_all(b"a line").unwrap();
        log.results.send(result).unwrap();
    }
    assert_eq!(log.losses.recv_timeout(RECEIVE_TIMEOUT), Ok(2));
    assert_eq!(log.written.recv_timeout(RECEIVE_TIMEOUT).unwrap(), "a line");
}
