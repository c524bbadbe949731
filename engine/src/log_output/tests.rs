//! Outputs that stall and fail.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use super::{LogOutput, MAX_QUEUED_LINES};

const PATIENCE: Duration = Duration::from_secs(5);

/// An output that does with each line what the test tells it, and waits until it does.
struct Told {
    results: Receiver<io::Result<()>>,
    written: Sender<String>,
}

impl Write for Told {
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

struct Log {
    output: LogOutput,
    results: Sender<io::Result<()>>,
    written: Receiver<String>,
    losses: Receiver<u64>,
}

fn log() -> Log {
    let (results, told) = channel();
    let (written, lines) = channel();
    let (lost, losses) = channel();
    let output = Told {
        results: told,
        written,
    };
    Log {
        output: LogOutput::start(output, move |lines| lost.send(lines).unwrap()).unwrap(),
        results,
        written: lines,
        losses,
    }
}

#[test]
fn lines_are_written_in_their_order() {
    let mut log = log();
    for line in ["first", "second"] {
        log.output.write_all(line.as_bytes()).unwrap();
        log.results.send(Ok(())).unwrap();
    }
    for line in ["first", "second"] {
        assert_eq!(log.written.recv_timeout(PATIENCE).unwrap(), line);
    }
    assert!(log.losses.try_recv().is_err());
}

#[test]
fn an_output_that_stalls_holds_up_nobody_and_what_was_lost_is_counted() {
    let mut log = log();
    log.output.write_all(b"stalls").unwrap();
    let begun = Instant::now();
    // One is with the thread, once it has taken it.
    for _ in 0..MAX_QUEUED_LINES + 10 {
        log.output.write_all(b"waits").unwrap();
    }
    log.output.flush();
    assert!(begun.elapsed() < Duration::from_secs(1));
    for _ in 0..=MAX_QUEUED_LINES {
        log.results.send(Ok(())).unwrap();
    }
    let lost = log.losses.recv_timeout(PATIENCE).unwrap();
    assert!((10..=11).contains(&lost), "{lost}");
}

#[test]
fn a_line_that_cannot_be_written_is_lost_and_counted() {
    let mut log = log();
    for result in [
        Err(io::ErrorKind::StorageFull.into()),
        Err(io::ErrorKind::BrokenPipe.into()),
        Ok(()),
    ] {
        log.output.write_all(b"a line").unwrap();
        log.results.send(result).unwrap();
    }
    assert_eq!(log.losses.recv_timeout(PATIENCE), Ok(2));
    assert_eq!(log.written.recv_timeout(PATIENCE).unwrap(), "a line");
}
