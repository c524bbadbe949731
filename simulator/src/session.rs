//! A session with the simulator: reads messages, one per line, and writes the replies at the end of each batch.
//!
//! ```text
//! BATCH  →  any number of other messages  →  GO  →  replies, the last one YIELD  →  BATCH ...
//! ```
//!
//! Nothing is written before a batch is complete, so an invalid line leaves no partial reply.

use std::io::{self, BufRead, Write};

use serde_json::Value;

use crate::error::{HostError, LineError};
use crate::host::Host;
use crate::wire::input::Message;
use crate::wire::output::Reply;

/// Whether a message was the last one of its batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BatchProgress {
    Incomplete,
    Complete,
}

/// One session, from the first line to the end of input.
pub struct Session<W> {
    host: Host,
    output: W,
    /// The number of the current line of input, from 1; 0 before the first.
    line: u64,
    has_warned_of_unknown_message: bool,
}

impl<W: Write> Session<W> {
    /// A session that writes its replies to `output`.
    pub fn new(output: W) -> Self {
        Self {
            host: Host::default(),
            output,
            line: 0,
            has_warned_of_unknown_message: false,
        }
    }

    /// Reads and handles `input` up to its end.
    ///
    /// # Errors
    ///
    /// The first invalid line and any failure to read or write end the session.
    pub fn run(mut self, mut input: impl BufRead) -> Result<(), HostError> {
        let mut text = String::new();
        loop {
            text.clear();
            let length = input.read_line(&mut text).map_err(HostError::Input)?;
            if length == 0 {
                return Ok(());
            }
            self.line += 1;
            self.handle_line(&text)?;
        }
    }

    fn handle_line(&mut self, text: &str) -> Result<(), HostError> {
        if text.trim().is_empty() {
            return Ok(());
        }
        let progress = self
            .handle_message(text)
            .map_err(|problem| HostError::Line {
                line: self.line,
                problem,
            })?;
        if progress == BatchProgress::Complete {
            self.write_replies().map_err(HostError::Output)?;
        }
        Ok(())
    }

    fn handle_message(&mut self, text: &str) -> Result<BatchProgress, LineError> {
        let value: Value = serde_json::from_str(text)?;
        match Message::parse(&value)? {
            Message::BatchStarted { now } => self.host.start_batch(now),
            Message::BatchEnded => return Ok(BatchProgress::Complete),
            Message::EndpointList { list, endpoints } => {
                self.host.store_endpoint_list(list, endpoints);
            }
            Message::InstanceStarted(start) => self.host.start_instance(&start),
            Message::InstanceStopped { instance } => self.host.stop_instance(instance),
            Message::InstanceEvent { instance, event } => {
                self.host.handle_event(instance, &event)?;
            }
            Message::PeerGossip => {}
            Message::Unknown { name } => self.warn_of_unknown_message(name),
        }
        Ok(BatchProgress::Incomplete)
    }

    /// Warns of the first unknown message only, since a newer simulator may send many.
    fn warn_of_unknown_message(&mut self, name: &str) {
        if self.has_warned_of_unknown_message {
            return;
        }
        self.has_warned_of_unknown_message = true;
        eprintln!(
            "badgerpost-wirehost: line {}: unknown message {name} skipped; \
             later unknown messages are skipped without a warning",
            self.line
        );
    }

    fn write_replies(&mut self) -> io::Result<()> {
        for reply in self.host.take_replies() {
            self.write_reply(&reply)?;
        }
        self.write_reply(&Reply::BatchDone {})?;
        self.output.flush()
    }

    fn write_reply(&mut self, reply: &Reply) -> io::Result<()> {
        serde_json::to_writer(&mut self.output, reply)?;
        self.output.write_all(b"\n")
    }
}
