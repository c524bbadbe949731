//! Reads files with secrets, which only their owner may read.

use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// Permission bits of a file's group and of all others.
const GROUP_AND_OTHERS: u32 = 0o077;

/// Why a file with a secret can't be used. The caller's error adds the path.
#[derive(Debug, thiserror::Error)]
pub enum PrivateFileError {
    /// It can't be read.
    #[error("{0}")]
    Unreadable(#[source] io::Error),
    /// Others than its owner may access it: its mode must be 0600.
    #[error("others may access it: its mode must be 0600")]
    AccessibleByOthers,
}

/// Checks that only its owner may access a file.
pub fn check(path: &Path) -> Result<(), PrivateFileError> {
    let metadata = std::fs::metadata(path).map_err(PrivateFileError::Unreadable)?;
    if metadata.permissions().mode() & GROUP_AND_OTHERS != 0 {
        return Err(PrivateFileError::AccessibleByOthers);
    }
    Ok(())
}

/// Reads a file that only its owner may access.
pub fn read(path: &Path) -> Result<String, PrivateFileError> {
    check(path)?;
    std::fs::read_to_string(path).map_err(PrivateFileError::Unreadable)
}
