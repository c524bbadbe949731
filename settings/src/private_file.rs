//! Reads files with secrets, and rejects files that users other than the owner can access.

use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// Permission bits of the file's group and of all other users.
const GROUP_AND_OTHERS: u32 = 0o077;

/// Why a file with a secret is rejected. The error does not name the path, which the caller adds.
#[derive(Debug, thiserror::Error)]
pub enum PrivateFileError {
    /// The file can't be read.
    #[error("can't read the file: {0}")]
    Unreadable(#[source] io::Error),
    /// The file's group or other users have access to the file.
    #[error("users other than the owner have access to the file; its mode must be 0600")]
    AccessibleByOthers,
}

/// Checks that only the owner has access to the file.
pub fn check(path: &Path) -> Result<(), PrivateFileError> {
    let metadata = std::fs::metadata(path).map_err(PrivateFileError::Unreadable)?;
    if metadata.permissions().mode() & GROUP_AND_OTHERS != 0 {
        return Err(PrivateFileError::AccessibleByOthers);
    }
    Ok(())
}

/// Reads the file after [`check`].
pub fn read(path: &Path) -> Result<String, PrivateFileError> {
    check(path)?;
    std::fs::read_to_string(path).map_err(PrivateFileError::Unreadable)
}
