//! A log of the requests that a process under test receives and sends. The preloaded library takes the times within the
//! calls, since the test's own threads may run late on a busy machine.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use super::temporary_file::unique_path;

/// A log of requests in a temporary file, which is removed when the log is dropped.
#[derive(Debug)]
pub struct RequestLog {
    file: PathBuf,
}

/// The direction of a logged request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoggedCall {
    /// The process has received the request.
    Received,
    /// The process has sent the request.
    Sent,
}

/// A request that the process has received or sent. Times are readings of the monotonic clock.
#[derive(Clone, Debug)]
pub struct LoggedRequest {
    /// Whether the request was received or sent.
    pub call: LoggedCall,
    /// When the call began; for sent requests this is before any injected delay.
    pub began_at: Duration,
    /// When the request was logged: after it was received, or just before it is sent.
    pub passed_at: Duration,
    /// The request's head, perhaps truncated, with each CR and LF replaced by a tab.
    head: String,
}

impl Default for RequestLog {
    fn default() -> Self {
        Self {
            file: unique_path("requests"),
        }
    }
}

impl RequestLog {
    /// The requests logged so far, in the order of the log. Invalid lines are skipped.
    ///
    /// # Errors
    ///
    /// The log file cannot be read.
    pub fn requests(&self) -> io::Result<Vec<LoggedRequest>> {
        if !self.file.exists() {
            return Ok(Vec::new());
        }
        let text = std::fs::read_to_string(&self.file)?;
        Ok(text.lines().filter_map(LoggedRequest::parse).collect())
    }

    /// The file to which the preloaded library appends.
    pub(super) fn file(&self) -> &Path {
        &self.file
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

impl LoggedRequest {
    fn parse(line: &str) -> Option<Self> {
        let mut words = line.splitn(4, ' ');
        let call = match words.next()? {
            "recv" => LoggedCall::Received,
            "send" => LoggedCall::Sent,
            _ => return None,
        };
        Some(Self {
            call,
            began_at: Duration::from_nanos(words.next()?.parse().ok()?),
            passed_at: Duration::from_nanos(words.next()?.parse().ok()?),
            head: words.next()?.to_owned(),
        })
    }

    /// The value of the first header of this name, which is compared without regard to case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.split('\t').find_map(|line| {
            let (header, value) = line.split_once(':')?;
            header.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}
