//! Replaces files that the agent writes on request, without holding up the event loop.
//!
//! One thread writes them all, one after another, so that two writes of a file never meet. What a disk refuses is tried
//! again until it is written, or until a later request replaces it.
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use crate::log::{Quoted, info};

/// Requests that may wait for the thread.
const MAX_QUEUED_REQUESTS: usize = 16;
/// The pause before files are tried again that could not be written.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// What a file is to hold.
struct Replacement {
    /// What log lines call the file.
    file_kind: &'static str,
    path: PathBuf,
    bytes: Vec<u8>,
    /// Whether a failure to write it has been logged.
    has_failed: bool,
}

/// Replaces a file on a thread of its own, and logs the result. `kind` is what log lines call the file.
///
/// The file is replaced by rename, so that a reader finds either the old or the new one whole, also after a loss of
/// power. If it cannot be written it is tried again until it is, or until it is replaced once more.
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

/// The way to the writing thread, which is started at the first use.
fn queue() -> &'static SyncSender<Replacement> {
    static QUEUE: OnceLock<SyncSender<Replacement>> = OnceLock::new();
    QUEUE.get_or_init(|| {
        let (sender, receiver) = sync_channel(MAX_QUEUED_REQUESTS);
        // Without a thread the receiver is dropped, and each request is logged as failed.
        thread::Builder::new()
            .spawn(move || write_files(&receiver))
            .ok();
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
    /// Writes the file; returns whether that has succeeded.
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
    // Before the rename: else a loss of power may leave the name on an empty file.
    file.sync_all()?;
    fs::rename(&new_path, path)?;
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}
