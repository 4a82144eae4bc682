//! The command line: one plan's sizes and times.

use std::fs::OpenOptions;
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;

use crate::error::LoopbackError;
use crate::plan::{DEFAULT_SOCKETS, MOST_LISTED, Plan, SavedList};
use crate::run::{Summary, run};
use crate::startup::Startup;
use crate::window::Window;

/// Starts real agents on loopback against stand-ins, and measures their processes from outside.
#[derive(Clone, Debug, Parser)]
#[command(name = "lilacgate-loopback", version)]
pub struct Arguments {
    /// The agent's program
    #[arg(
        long,
        value_name = "FILE",
        env = "LILACGATE_PROGRAM",
        default_value = "target/release/lilacgate-agent"
    )]
    pub program: PathBuf,
    /// Agents that run
    #[arg(long, default_value_t = 4)]
    pub agents: usize,
    /// Appliances that discovery lists
    #[arg(long, default_value_t = 35)]
    pub listed: usize,
    /// The most listeners that the appliances share
    #[arg(long, default_value_t = MOST_LISTED)]
    pub listeners: usize,
    /// Requests a second at each agent; a window for each of them
    #[arg(long, value_delimiter = ',', default_value = "0,10,62")]
    pub rates: Vec<f64>,
    /// Changes of the list a second
    #[arg(long, default_value_t = 0.0)]
    pub changes: f64,
    /// The share of appliances with a second build, which is on trial
    #[arg(long, default_value_t = 0.0)]
    pub trial_share: f64,
    /// The list that the agents' start files hold
    #[arg(long, value_enum, default_value = "none")]
    pub saved_list: SavedList,
    /// Kill and start all agents again together, after the last window
    #[arg(long)]
    pub restart: bool,
    /// Seconds in a window
    #[arg(long, default_value_t = 8.0)]
    pub seconds: f64,
    /// Descriptors that an agent may use
    #[arg(long, default_value_t = DEFAULT_SOCKETS)]
    pub sockets: u64,
    /// Seed of all chance
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Append the samples to this file, in place of standard output
    #[arg(long, value_name = "FILE")]
    pub output: Option<PathBuf>,
}

impl Arguments {
    /// Runs the plan, writes its samples, and prints its figures to standard error.
    pub fn execute(self) -> ExitCode {
        match self.try_execute() {
            Ok(summary) => {
                report(&summary);
                if summary.interrupted {
                    ExitCode::FAILURE
                } else {
                    ExitCode::SUCCESS
                }
            }
            Err(error) => {
                eprintln!("lilacgate-loopback: {error}");
                ExitCode::FAILURE
            }
        }
    }

    fn try_execute(self) -> Result<Summary, LoopbackError> {
        let plan = self.plan();
        let mut output: Box<dyn Write> = match &self.output {
            Some(path) => {
                let file = OpenOptions::new().create(true).append(true).open(path);
                Box::new(file.map_err(LoopbackError::setup("the output file"))?)
            }
            None => Box::new(io::stdout()),
        };
        run(&plan, &mut output)
    }

    /// The plan that the arguments describe.
    pub fn plan(&self) -> Plan {
        let mut plan = Plan::new(self.program.clone(), self.agents, self.listed);
        plan.listeners = self.listeners;
        plan.request_rates = self.rates.clone();
        plan.change_rate = self.changes;
        plan.trial_share = self.trial_share;
        plan.saved_list = self.saved_list;
        plan.restart = self.restart;
        plan.window = Duration::try_from_secs_f64(self.seconds).unwrap_or_default();
        plan.sockets = self.sockets;
        plan.seed = self.seed;
        plan.command = self.command_line();
        plan
    }

    /// The command line without paths.
    fn command_line(&self) -> String {
        let rates: Vec<String> = self.rates.iter().map(f64::to_string).collect();
        let mut line = format!(
            "lilacgate-loopback --agents {} --listed {} --rates {} --seconds {} --seed {}",
            self.agents,
            self.listed,
            rates.join(","),
            self.seconds,
            self.seed
        );
        if self.changes > 0.0 {
            line += &format!(" --changes {}", self.changes);
        }
        if self.trial_share > 0.0 {
            line += &format!(" --trial-share {}", self.trial_share);
        }
        if self.saved_list == SavedList::Whole {
            line += " --saved-list whole";
        }
        if self.sockets != DEFAULT_SOCKETS {
            line += &format!(" --sockets {}", self.sockets);
        }
        if self.listeners != MOST_LISTED {
            line += &format!(" --listeners {}", self.listeners);
        }
        if self.restart {
            line += " --restart";
        }
        line
    }
}

fn report(summary: &Summary) {
    report_startup("start", &summary.startup);
    summary.windows.iter().for_each(report_window);
    if let Some(restart) = &summary.restart {
        report_startup("restart", restart);
    }
    if summary.interrupted {
        eprintln!("interrupted: {} samples are kept", summary.samples);
    }
}

fn report_startup(name: &str, startup: &Startup) {
    eprintln!(
        "{name}: all ready {:.0?}, nine in ten {:.0?}, processor {:.1?}, discovery {} bytes",
        startup.slowest(),
        startup.nine_in_ten(),
        startup.mean_processor(),
        startup.control.discovery().bytes_out,
    );
}

fn report_window(window: &Window) {
    let seconds = window.lasted.as_secs_f64();
    let agents = window.at_end.len() as f64;
    let each_second = |count: u64| count as f64 / seconds / agents;
    eprintln!(
        "rate {}: core {:.3}% (most {:.3}%, waits {:.2}%), memory {:.1} MB (peak {:.1}), control {:.0} B/s in, {:.0} B/s out, \
         served {}, refused {}, lost {}, closed {}, added p99 {:.1?}, used {:.0}",
        window.request_rate,
        window.mean_core_percent(),
        window.most_core_percent(),
        window.mean_wait_percent(),
        window.mean_resident_megabytes(),
        window.peak_resident_megabytes(),
        each_second(window.control.bytes_to_agents()),
        each_second(window.control.bytes_from_agents()),
        window.requests.served,
        window.requests.refused,
        window.requests.lost,
        window.requests.closed,
        window.requests.added_latency(0.99).unwrap_or_default(),
        window.requests.used_appliances.unwrap_or_default(),
    );
}
