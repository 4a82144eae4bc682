//! Tests only: scripts of failing system calls, for the library of `lilacgate-fault-injection`.
//!
//! - [`script`]: what is to fail, as tests write it;
//! - [`counts`]: how often it did.
pub mod counts;
pub mod script;

use std::path::PathBuf;

/// The environment variable that names the file with the script.
pub const SCRIPT_VARIABLE: &str = "LILACGATE_FAULT_SCRIPT";

/// The file of the library, to be loaded by `LD_PRELOAD`: the build puts it beside the tests' programs, or one folder
/// above them.
#[must_use]
pub fn library_path() -> Option<PathBuf> {
    let program = std::env::current_exe().ok()?;
    let folders = program.ancestors().skip(1).take(2);
    let candidates = folders.flat_map(|folder| {
        ["", "deps"].map(|inner| folder.join(inner).join("liblilacgate_fault_injection.so"))
    });
    candidates.into_iter().find(|path| path.exists())
}
