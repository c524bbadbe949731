//! Files of a node's process: the private folder and the program.

use std::io::{self, Write};
use std::path::{Path, PathBuf};

use sha2::{Digest, Sha256};

use super::ProcessError;

/// Writes files to a folder with mode 0600.
pub(super) fn write_private_files(
    folder: &Path,
    files: &[(&'static str, String)],
) -> io::Result<()> {
    use std::os::unix::fs::OpenOptionsExt;
    for (name, contents) in files {
        let mut file = std::fs::OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(true)
            .mode(0o600)
            .open(folder.join(name))?;
        file.write_all(contents.as_bytes())?;
    }
    Ok(())
}

/// Creates a temporary folder with mode 0700 and a unique name.
pub(super) fn private_folder() -> io::Result<PathBuf> {
    use std::os::unix::fs::DirBuilderExt;
    use std::sync::atomic::{AtomicU32, Ordering};
    static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!(
        "badgerpost-rehearse-{}-{number}",
        std::process::id()
    ));
    std::fs::DirBuilder::new().mode(0o700).create(&folder)?;
    Ok(folder)
}

/// The SHA-256 digest of a program file, in hexadecimal.
pub fn sha256(program: &Path) -> Result<String, ProcessError> {
    let mut hasher = Sha256::new();
    let copied = std::fs::File::open(program).and_then(|mut file| io::copy(&mut file, &mut hasher));
    copied.map_err(|source| ProcessError::Start {
        program: program.to_owned(),
        source,
    })?;
    Ok(hasher
        .finalize()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect())
}
