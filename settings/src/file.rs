//! Reads TOML files. Errors name the file, the line and the key.

use std::io;
use std::ops::Range;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;

/// Why a TOML file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file can't be read.
    #[error("{}: can't read the file: {source}", path.display())]
    Unreadable {
        /// The file's path.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file is not valid TOML, or has a key or value that is not permitted.
    #[error("{}:{line}: {}{problem}", path.display(), key_prefix(key.as_deref()))]
    Invalid {
        /// The file's path, or the name of an embedded text.
        path: PathBuf,
        /// The line number, starting at 1.
        line: usize,
        /// The key on that line. `None` if the line has no `=`.
        key: Option<String>,
        /// What was found, and what is permitted.
        problem: String,
    },
}

/// Formats the key as a prefix of the problem: `key: `, or nothing without a key.
fn key_prefix(key: Option<&str>) -> String {
    key.map(|key| format!("{key}: ")).unwrap_or_default()
}

/// The text of a TOML file, and the path that errors name.
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

    /// A text that is embedded in the program. Errors show `name` as the path.
    #[must_use]
    pub fn embedded(name: &str, text: &str) -> Self {
        Self {
            path: PathBuf::from(name),
            text: text.to_owned(),
        }
    }

    /// The whole text, unparsed.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Parses the text. Unknown keys are errors if `T` has `deny_unknown_fields`.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, FileError> {
        toml::from_str(&self.text).map_err(|error| {
            let problem = error.message().replace('\n', "; ");
            self.error_at(error.span().unwrap_or_default(), problem)
        })
    }

    /// Creates an error for the line on which `span`, a range of bytes of the text, starts.
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

/// Reads and parses the TOML file at `path`.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, FileError> {
    Source::read(path)?.parse()
}

#[cfg(test)]
mod tests;
