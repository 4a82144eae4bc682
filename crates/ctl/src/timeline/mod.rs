//! `lgctl timeline`: prints, exports and plots the timelines that an agent recorded.
mod events;
mod export;
mod plot;
mod read;
mod report;
mod show;
mod text;
mod totals;

use std::path::PathBuf;

use clap::{Args, Subcommand};

use crate::error::CommandError;
use crate::{Answer, CommandResult};
use read::ReadArguments;

#[derive(Subcommand)]
pub(crate) enum TimelineCommand {
    /// Show the timeline of one node, or the entries of the agent itself
    Show(show::ShowArguments),
    /// List the departures from the baseline; exit code 1 if there are none
    Events(ReadOnlyArguments),
    /// Report on the stages of a build: nodes, departures, votes and their figures
    Story(report::ReportArguments),
    /// Print all entries and steps as JSON Lines
    Export(ReadOnlyArguments),
    /// Draw a chart for each node
    Plot(PlotArguments),
}

#[derive(Args)]
pub(crate) struct ReadOnlyArguments {
    #[command(flatten)]
    read: ReadArguments,
}

#[derive(Args)]
pub(crate) struct PlotArguments {
    #[command(flatten)]
    read: ReadArguments,
    /// Draw the charts as an SVG image into this file
    #[arg(long)]
    svg: PathBuf,
}

impl TimelineCommand {
    pub(crate) fn run(self, as_json: bool) -> CommandResult {
        match self {
            TimelineCommand::Show(show) => show.run(as_json),
            TimelineCommand::Events(events) => Ok(events::run(&events.read.read()?, as_json)),
            TimelineCommand::Story(report) => report.run(as_json),
            TimelineCommand::Export(export) => Ok(export::run(&export.read.read()?)),
            TimelineCommand::Plot(plot) => {
                let timelines = plot.read.read()?;
                plot::draw(&plot.svg, &timelines)
                    .map_err(|error| CommandError::file(&plot.svg, error))?;
                Ok(Answer::Yes)
            }
        }
    }
}
