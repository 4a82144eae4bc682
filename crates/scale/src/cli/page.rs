//! `page` and `plots`: the capacity page's generated parts and its plots, from the results on file.
use std::fs;
use std::path::PathBuf;

use lilacgate_capacity::{page, plot, result};

use crate::cli::session::Session;
use crate::error::ScaleError;

/// Arguments of `page`.
#[derive(Debug, clap::Args)]
pub struct PageArguments {
    /// The page.
    #[arg(long, default_value = "docs/CAPACITY.md")]
    page: PathBuf,
    /// The directory of the results.
    #[arg(long, default_value = "measure/capacity")]
    results: PathBuf,
}

/// Arguments of `plots`.
#[derive(Debug, clap::Args)]
pub struct PlotArguments {
    /// The directory of the plots.
    #[arg(long, default_value = "docs/capacity")]
    plots: PathBuf,
    /// The directory of the results.
    #[arg(long, default_value = "measure/capacity")]
    results: PathBuf,
}

/// Makes the generated parts of the page anew.
///
/// # Errors
/// The page, the results or the target file cannot be used.
pub fn write_page(session: &Session, arguments: &PageArguments) -> Result<(), ScaleError> {
    let target = session.target()?;
    let samples = result::load_directory(&arguments.results)?;
    let path = &arguments.page;
    let file = |source| ScaleError::Page {
        path: path.clone(),
        source,
    };
    let old = fs::read_to_string(path).map_err(file)?;
    let new = page::regenerate(&old, &samples, &target)?;
    fs::write(path, new).map_err(file)
}

/// Draws the plots anew.
///
/// # Errors
/// The results or the target file cannot be used, or a plot cannot be drawn.
pub fn draw_plots(session: &Session, arguments: &PlotArguments) -> Result<(), ScaleError> {
    let target = session.target()?;
    let samples = result::load_directory(&arguments.results)?;
    for path in plot::save(&arguments.plots, &samples, &target)? {
        println!("{}", path.display());
    }
    Ok(())
}
