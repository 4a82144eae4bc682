//! Replaces files that the agent writes on request, without blocking the event loop.
//!
//! One thread writes all files, one after another, so that two writes of the same file never overlap. A write that
//! fails is retried until it succeeds, or until a later request for the same file replaces it.
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use crate::log::{Quoted, info};
use crate::signals;

/// How many requests may wait for the thread.
const MAX_QUEUED_REQUESTS: usize = 16;
/// The pause before failed writes are retried.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// A request to replace a file.
struct Replacement {
    /// The name of the file in log lines.
    file_kind: &'static str,
    path: PathBuf,
    bytes: Vec<u8>,
    /// Whether a failed write has been logged; only the first failure is.
    has_failed: bool,
}

/// Replaces a file on the writer thread and logs the result. `file_kind` is the name of the file in log lines.
///
/// The file is replaced by a rename, so that a reader finds either the complete old or the complete new content, even
/// after a power failure. A failed write is retried until it succeeds or another replacement is requested.
pub(crate) fn replace_file(file_kind: &'static str, path: PathBuf, bytes: Vec<u8>) {
    let replacement = Replacement {
        file_kind,
        path,
        bytes,
        has_failed: false,
    };
    if let Err(error) = queue().try_send(replacement) {
        info!("file_write_failed file={file_kind} error={}", Quoted(error));
    }
}

/// The queue of the writer thread, which is started on first use.
fn queue() -> &'static SyncSender<Replacement> {
    static QUEUE: OnceLock<SyncSender<Replacement>> = OnceLock::new();
    QUEUE.get_or_init(|| {
        let (sender, receiver) = sync_channel(MAX_QUEUED_REQUESTS);
        // If the thread cannot be started, the receiver is dropped and each request is logged as failed.
        let writer = thread::Builder::new();
        signals::with_blocked(|| writer.spawn(move || write_files(&receiver))).ok();
        sender
    })
}

fn write_files(requests: &Receiver<Replacement>) {
    let mut pending = BTreeMap::<PathBuf, Replacement>::new();
    loop {
        let request = if pending.is_empty() {
            requests.recv().map_err(RecvTimeoutError::from)
        } else {
            requests.recv_timeout(RETRY_PAUSE)
        };
        match request {
            Ok(replacement) => {
                pending.insert(replacement.path.clone(), replacement);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        pending.retain(|_, replacement| !replacement.try_write());
    }
}

impl Replacement {
    /// Tries to write the file; returns whether that succeeded.
    fn try_write(&mut self) -> bool {
        let path = Quoted(self.path.display());
        match write_and_rename(&self.path, &self.bytes) {
            Ok(()) => {
                info!("file_written file={} path={path}", self.file_kind);
                true
            }
            Err(error) => {
                if !std::mem::replace(&mut self.has_failed, true) {
                    let file_kind = self.file_kind;
                    let error = Quoted(error);
                    info!("file_write_failed file={file_kind} path={path} error={error}");
                }
                false
            }
        }
    }
}

fn write_and_rename(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let new_path = path.with_extension("new");
    let mut file = File::create(&new_path)?;
    file.write_all(bytes)?;
    // The sync comes before the rename: otherwise a power failure may leave an empty file under the final name.
    file.sync_all()?;
    fs::rename(&new_path, path)?;
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}
