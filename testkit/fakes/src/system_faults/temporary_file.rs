//! Temporary files that are shared with processes under test.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// Replaces a file atomically.
pub(super) fn replace_file(file: &Path, bytes: &[u8]) -> io::Result<()> {
    let new = unique_path("new");
    std::fs::write(&new, bytes)?;
    std::fs::rename(new, file)
}

/// A path in the temporary folder, unique by process id and a counter.
pub(super) fn unique_path(kind: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("badgerpost-{}-{number}.{kind}", std::process::id()))
}
