//! The error of a rejected target file.
use std::fmt;
use std::path::PathBuf;

use lilacgate_operator_config::Fault;

/// Why a target file is rejected. Its text is one line with the position of
/// the first fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct TargetError {
    pub(crate) path: Option<PathBuf>,
    pub(crate) faults: Vec<Fault>,
}

impl TargetError {
    /// All faults, in the order of their positions; there is at least one.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

impl fmt::Display for TargetError {
    fn fmt(&self, output: &mut fmt::Formatter) -> fmt::Result {
        let Some((first, others)) = self.faults.split_first() else {
            return output.write_str("cannot be used");
        };
        let has_position = first.line > 0;
        if let Some(path) = self.path.as_ref().filter(|_| has_position) {
            write!(output, "{}:", path.display())?;
        }
        let message = first.to_string().replace('\n', " ");
        output.write_str(&message)?;
        if !others.is_empty() {
            write!(output, " (and {} more)", others.len())?;
        }
        Ok(())
    }
}
