//! Reads files that people write, in TOML. An error names the file, the line and the key.

use std::io;
use std::ops::Range;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;

/// Why a file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// It can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// Its text is not TOML, or has a key or a value that is not permitted.
    #[error("{}:{line}: {}{problem}", path.display(), key_prefix(key.as_deref()))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The key on that line, if there is one.
        key: Option<String>,
        /// What is wrong.
        problem: String,
    },
}

/// The key and a colon, as they stand before a problem; nothing where there is no key.
fn key_prefix(key: Option<&str>) -> String {
    key.map(|key| format!("{key}: ")).unwrap_or_default()
}

/// The text of a TOML file together with its path, so that errors can name the place.
pub struct Source {
    path: PathBuf,
    text: String,
}

impl Source {
    /// Reads the file.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let text = std::fs::read_to_string(path).map_err(|source| FileError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        Ok(Self {
            path: path.to_owned(),
            text,
        })
    }

    /// A text that is built into the program; errors call it `name`.
    #[must_use]
    pub fn embedded(name: &str, text: &str) -> Self {
        Self {
            path: PathBuf::from(name),
            text: text.to_owned(),
        }
    }

    /// The text.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Parses the text. Keys that `T` does not know are errors if `T` denies them.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, FileError> {
        toml::from_str(&self.text).map_err(|error| {
            let problem = error.message().replace('\n', "; ");
            self.error_at(error.span().unwrap_or_default(), problem)
        })
    }

    /// An error about the line on which `span`, in bytes of the text, starts.
    #[must_use]
    pub fn error_at(&self, span: Range<usize>, problem: impl Into<String>) -> FileError {
        let start = span.start.min(self.text.len());
        let before = self.text.get(..start).unwrap_or_default();
        let line_index = before.matches('\n').count();
        let line_text = self.text.lines().nth(line_index).unwrap_or_default();
        let key = line_text.split_once('=').map(|(key, _)| key.trim());
        FileError::Invalid {
            path: self.path.clone(),
            line: line_index + 1,
            key: key.map(str::to_owned),
            problem: problem.into(),
        }
    }
}

/// Reads and parses a file.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, FileError> {
    Source::read(path)?.parse()
}

#[cfg(test)]
mod tests;
