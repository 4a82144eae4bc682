//! Tests only: fault scripts for system calls, which are executed by the library of `lilacgate-fault-injection`.
//!
//! - [`script`]: the rules that select calls and faults;
//! - [`counts`]: the number of faults that each rule has injected.
pub mod counts;
pub mod script;

use std::path::PathBuf;

/// The environment variable that holds the path of the script file.
pub const SCRIPT_VARIABLE: &str = "LILACGATE_FAULT_SCRIPT";

/// Returns the path of the fault injection library, to be loaded by `LD_PRELOAD`; `None` if it was not built. Cargo
/// places it in the folder of the test programs or in the parent folder.
#[must_use]
pub fn library_path() -> Option<PathBuf> {
    let program = std::env::current_exe().ok()?;
    let folders = program.ancestors().skip(1).take(2);
    let candidates = folders.flat_map(|folder| {
        ["", "deps"].map(|inner| folder.join(inner).join("liblilacgate_fault_injection.so"))
    });
    candidates.into_iter().find(|path| path.exists())
}
