//! `check`: whether a target file can be used.
use std::path::PathBuf;

use lilacgate_capacity::Target;

use crate::error::ScaleError;
use crate::fleet::FleetSize;

/// Arguments of `check`.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    /// The target file.
    file: PathBuf,
}

/// Reads a target file and prints what it describes in one line.
///
/// # Errors
/// The file has a fault.
pub fn run(arguments: &Arguments) -> Result<(), ScaleError> {
    let target = Target::load(&arguments.file)?;
    let size = FleetSize::of_target(&target);
    println!(
        "{}: {} agents, {} appliances, {} services, {} routes, {} tenants, {} requests/s",
        arguments.file.display(),
        size.agents,
        size.appliances,
        size.services,
        size.routes,
        target.tenants,
        size.request_rate
    );
    Ok(())
}
