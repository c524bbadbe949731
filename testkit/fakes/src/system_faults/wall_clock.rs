//! A wall clock with steps, for a process under test.

use std::io;
use std::path::{Path, PathBuf};

use super::temporary_file::{replace_file, unique_path};

/// A wall clock with a settable offset from the system's clock. The offset is kept in a temporary file, which is
/// removed when the clock is dropped.
#[derive(Debug)]
pub struct WallClock {
    file: PathBuf,
}

impl WallClock {
    /// Creates a clock that is ahead of the system's clock by `offset_ms` milliseconds, or behind if that is negative.
    ///
    /// # Errors
    ///
    /// The file of the offset cannot be written.
    pub fn ahead_by(offset_ms: i64) -> io::Result<Self> {
        let clock = Self {
            file: unique_path("clock"),
        };
        clock.set(offset_ms)?;
        Ok(clock)
    }

    /// Steps the clock to this offset from the system's clock, in milliseconds.
    ///
    /// # Errors
    ///
    /// The file of the offset cannot be written.
    pub fn set(&self, offset_ms: i64) -> io::Result<()> {
        replace_file(&self.file, offset_ms.to_string().as_bytes())
    }

    /// The file from which the preloaded library reads the offset.
    pub(super) fn file(&self) -> &Path {
        &self.file
    }
}

impl Drop for WallClock {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}
