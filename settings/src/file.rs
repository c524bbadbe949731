//! Files that people write, in TOML. What is wrong with one is said in a line that names file, line and key.

use std::ops::Range;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;

/// Why a file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// It can't be read.
    #[error("{}: {source}", path.display())]
    Unread {
        /// The file.
        path: PathBuf,
        /// What happened.
        source: std::io::Error,
    },
    /// What it says makes no sense.
    #[error("{}:{line}: {key}{problem}", path.display())]
    Bad {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The key and a colon, where there is one.
        key: String,
        /// What is wrong.
        problem: String,
    },
}

/// A file and its text, to tell where in it something is wrong.
pub struct Source {
    path: PathBuf,
    text: String,
}

impl Source {
    /// Reads the file.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|source| FileError::Unread {
            path: path.to_owned(),
            source,
        })?;
        Ok(Self {
            path: path.to_owned(),
            text,
        })
    }

    /// A text that is shipped with the program, under a name.
    pub fn shipped(name: &str, text: &str) -> Self {
        Self {
            path: PathBuf::from(name),
            text: text.to_owned(),
        }
    }

    /// The file's text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// What the file says. Keys that `T` does not know are errors if `T` denies them.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, FileError> {
        toml::from_str(&self.text).map_err(|error| {
            let problem = error.message().replace('\n', "; ");
            self.bad(error.span().unwrap_or_default(), problem)
        })
    }

    /// An error at this place, in bytes of the text.
    pub fn bad(&self, at: Range<usize>, problem: impl Into<String>) -> FileError {
        let start = at.start.min(self.text.len());
        let before = self.text.get(..start).unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        let whole = self.text.lines().nth(line - 1).unwrap_or_default();
        let key = whole
            .split_once('=')
            .map(|(key, _)| format!("{}: ", key.trim()))
            .unwrap_or_default();
        FileError::Bad {
            path: self.path.clone(),
            line,
            key,
            problem: problem.into(),
        }
    }
}

/// Why a file is no place for a secret.
#[derive(Debug)]
pub enum NotPrivate {
    /// It can't be read.
    Unread(std::io::Error),
    /// Others may read it: its mode must be 0600.
    Open,
}

/// Whether only its owner may read a file.
pub fn check_private(path: &Path) -> Result<(), NotPrivate> {
    use std::os::unix::fs::PermissionsExt;
    let about = std::fs::metadata(path).map_err(NotPrivate::Unread)?;
    if about.permissions().mode() & 0o077 != 0 {
        Err(NotPrivate::Open)
    } else {
        Ok(())
    }
}

/// Reads a file that only its owner may read.
pub fn read_private(path: &Path) -> Result<String, NotPrivate> {
    check_private(path)?;
    std::fs::read_to_string(path).map_err(NotPrivate::Unread)
}

/// Reads a file.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, FileError> {
    Source::read(path)?.parse()
}

#[cfg(test)]
mod tests;
