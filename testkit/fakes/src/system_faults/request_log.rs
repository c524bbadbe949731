//! The requests that pass the sockets of a process under test, with times taken by the preloaded library at the calls
//! themselves: a test's own threads may run late on a busy machine.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use super::temporary_file::unique_path;

/// A log of requests. Its file is removed when it is dropped.
#[derive(Debug)]
pub struct RequestLog {
    file: PathBuf,
}

/// The call that a request has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoggedCall {
    /// The process has received it.
    Received,
    /// The process has sent it.
    Sent,
}

/// One request that has passed a socket. Times are those of the monotonic clock.
#[derive(Clone, Debug)]
pub struct LoggedRequest {
    /// The call.
    pub call: LoggedCall,
    /// When the call began, before any delay that was injected.
    pub began_at: Duration,
    /// When its bytes passed.
    pub passed_at: Duration,
    /// The request's head, or the beginning of it; a tab in place of each character of the line ends.
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
    /// The requests so far.
    ///
    /// # Errors
    ///
    /// The log can't be read.
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

    /// The value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.split('\t').find_map(|line| {
            let (header, value) = line.split_once(':')?;
            header.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}
