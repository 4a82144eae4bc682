//! `lgctl check`: validates operator files with the parser that the agent uses.
use std::path::{Path, PathBuf};

use clap::Args;
use lilacgate_operator_config::{Fault, KnownNames, load};
use serde_json::{Value, json};

use crate::Answer;

#[derive(Args)]
pub(crate) struct CheckArguments {
    /// The operator files to validate
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

impl CheckArguments {
    pub(crate) fn run(self, as_json: bool) -> Answer {
        let mut all_valid = true;
        let mut reports = Vec::new();
        for file in &self.files {
            tracing::debug!(file = %file.display(), "reading");
            let faults = load(file, &KnownNames::default()).err().unwrap_or_default();
            all_valid &= faults.is_empty();
            if as_json {
                reports.push(report(file, &faults));
            } else {
                print_report(file, &faults);
            }
        }
        if as_json {
            println!("{}", json!(reports));
        }
        Answer::yes_if(all_valid)
    }
}

fn report(file: &Path, faults: &[Fault]) -> Value {
    let fault = |fault: &Fault| {
        json!({
            "line": fault.line,
            "column": fault.column,
            "element": fault.element,
            "what": fault.kind.to_string(),
        })
    };
    json!({
        "file": file.display().to_string(),
        "fine": faults.is_empty(),
        "faults": faults.iter().map(fault).collect::<Vec<Value>>(),
    })
}

fn print_report(file: &Path, faults: &[Fault]) {
    if faults.is_empty() {
        println!("{}: fine", file.display());
    }
    for fault in faults {
        println!("{}:{fault}", file.display());
    }
}
