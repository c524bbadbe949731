//! A wall clock that steps, for a process under test.

use std::io;
use std::path::{Path, PathBuf};

use super::temporary_file::{replace_file, unique_path};

/// A wall clock with a settable offset to the system's. Its file is removed when it is dropped.
#[derive(Debug)]
pub struct WallClock {
    file: PathBuf,
}

impl WallClock {
    /// A clock that is ahead by this many milliseconds, or behind where the number is negative.
    ///
    /// # Errors
    ///
    /// The clock's file can't be written.
    pub fn ahead_by(milliseconds: i64) -> io::Result<Self> {
        let clock = Self {
            file: unique_path("clock"),
        };
        clock.set(milliseconds)?;
        Ok(clock)
    }

    /// Steps the clock to this offset.
    ///
    /// # Errors
    ///
    /// The clock's file can't be written.
    pub fn set(&self, milliseconds: i64) -> io::Result<()> {
        replace_file(&self.file, milliseconds.to_string().as_bytes())
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
