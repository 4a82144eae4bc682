//! Replaces files that the agent writes on request, without holding up the event loop.
use std::path::PathBuf;

use crate::log::{Quoted, info};

/// Replaces a file on a thread of its own, and logs the result. `kind` is what log lines call the file.
///
/// The file is replaced by rename, so that a reader finds either the old or the new one whole.
pub(crate) fn replace_file(kind: &'static str, path: PathBuf, bytes: Vec<u8>) {
    std::thread::spawn(move || {
        let new_path = path.with_extension("new");
        let written = std::fs::write(&new_path, bytes);
        let replaced = written.and_then(|()| std::fs::rename(&new_path, &path));
        let path = Quoted(path.display());
        match replaced {
            Ok(()) => info!("file_written file={kind} path={path}"),
            Err(error) => info!(
                "file_write_failed file={kind} path={path} error={}",
                Quoted(error)
            ),
        }
    });
}
