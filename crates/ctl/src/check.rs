//! Owns `lgctl check`: an operator's file, read as the agent reads it.
use std::path::PathBuf;

use clap::Args;
use lilacgate_operator_config::{Fault, Known, load};
use serde_json::json;

use crate::Answer;

#[derive(Args)]
pub struct Check {
    /// The files
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

impl Check {
    pub fn run(self, as_json: bool) -> Answer {
        let mut fine = true;
        let mut found = Vec::new();
        for file in &self.files {
            tracing::debug!(file = %file.display(), "reading");
            let faults = load(file, &Known::default()).err().unwrap_or_default();
            fine &= faults.is_empty();
            let place = |fault: &Fault| json!({"line": fault.line, "column": fault.column, "element": fault.element, "what": fault.kind.to_string()});
            if as_json {
                let faults: Vec<_> = faults.iter().map(place).collect();
                found.push(
                    json!({"file": file.display().to_string(), "fine": faults.is_empty(), "faults": faults}),
                );
            } else if faults.is_empty() {
                println!("{}: fine", file.display());
            } else {
                faults
                    .iter()
                    .for_each(|fault| println!("{}:{fault}", file.display()));
            }
        }
        if as_json {
            println!("{}", json!(found));
        }
        Ok(fine)
    }
}
