//! `lgctl timeline`: a node's timeline as text, departures, the report of a stage, an export, a picture.
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
    /// One node's line, or the agent's own
    Show(show::ShowArguments),
    /// Departures from what is usual; exit code 1 if there are none
    Events(ReadOnlyArguments),
    /// One build's stage: all nodes, departures, votes and their causes, in plain words
    Story(report::ReportArguments),
    /// Everything as JSON Lines
    Export(ReadOnlyArguments),
    /// Small pictures, one a node
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
    /// Draws into this file
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
