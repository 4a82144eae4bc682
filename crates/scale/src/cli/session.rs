//! What all sub-commands share: options, limits, and the results on their way to a table and a file.
use std::path::PathBuf;

use lilacgate_capacity::result::{self, EventKind, Experiment, Factor, Role, Sample};
use lilacgate_capacity::target::Target;

use crate::error::ScaleError;
use crate::report;
use crate::resources::{Limits, MEGABYTE, timer_cost};
use crate::run::{self, Label, Plan, Steady};

/// Options of all sub-commands.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Seed of all draws; the same seed gives the same counts.
    #[arg(long, global = true, default_value_t = 1)]
    pub seed: u64,
    /// Threads to run on.
    #[arg(long, global = true, default_value_t = 4)]
    pub threads: usize,
    /// Where results are written, one JSON object per line.
    #[arg(long, global = true)]
    pub output: Option<PathBuf>,
    /// The file that describes the fleet.
    #[arg(long, global = true, default_value = "deploy/capacity.xml")]
    pub target: PathBuf,
    /// Memory limit in MB; never more than half of the machine's.
    #[arg(long, global = true)]
    pub memory_limit: Option<u64>,
}

/// A run of a sub-command.
#[derive(Debug)]
pub struct Session {
    /// Its options.
    pub options: Options,
    /// When it has to stop.
    pub limits: Limits,
    command: String,
    samples: Vec<Sample>,
    is_json: bool,
}

impl Session {
    /// Begins a run.
    ///
    /// # Errors
    /// The results cannot be written where they should be.
    pub fn new(options: Options) -> Result<Self, ScaleError> {
        let limits = Limits::new(options.memory_limit.map(|limit| limit * MEGABYTE));
        let session = Session {
            options,
            limits,
            command: command_line(),
            samples: Vec::new(),
            is_json: false,
        };
        session.save()?;
        Ok(session)
    }

    /// Stops at an interrupt.
    ///
    /// # Errors
    /// The handler cannot be installed.
    pub fn listen(&self) -> Result<(), ScaleError> {
        self.limits.listen()
    }

    /// The fleet that the target file describes.
    ///
    /// # Errors
    /// The file cannot be used.
    pub fn target(&self) -> Result<Target, ScaleError> {
        Ok(Target::load(&self.options.target)?)
    }

    /// The command line, without where results go.
    pub fn command(&self) -> &str {
        &self.command
    }

    /// Prints records as JSON lines in place of the table.
    pub fn print_json(&mut self, is_json: bool) {
        self.is_json = is_json;
    }

    /// Prints the heading of the table, and what one reading of the clock costs.
    pub fn heading(&self) {
        if self.is_json {
            return;
        }
        let timer = run::micros(timer_cost());
        println!("one reading of the thread's processor clock: {timer:.2} us; two in each round");
        println!("{}", report::heading());
    }

    /// The label of samples of this run.
    pub fn label(&self, experiment: Experiment, factor: Option<Factor>, held_back: bool) -> Label {
        let (command, seed) = (self.command.clone(), self.options.seed);
        Label {
            experiment,
            command,
            seed,
            factor,
            held_back,
        }
    }

    /// Measures a steady fleet and keeps its samples, also those of a run that was stopped.
    ///
    /// # Errors
    /// The size cannot be simulated, the run was stopped, or results cannot be written.
    pub fn steady(&mut self, plan: &Plan, label: &Label) -> Result<Steady, ScaleError> {
        let measured = match run::steady(plan, &self.limits) {
            Ok(measured) => measured,
            Err(fault) => {
                self.keep_nothing(plan, label, None, &fault)?;
                return Err(fault);
            }
        };
        for sample in measured.steady.samples(label) {
            self.keep(sample)?;
        }
        measured.completed()
    }

    /// Keeps a sample.
    ///
    /// # Errors
    /// Results cannot be written.
    pub fn keep(&mut self, sample: Sample) -> Result<(), ScaleError> {
        if self.is_json {
            result::write(&mut std::io::stdout().lock(), std::slice::from_ref(&sample))?;
        } else {
            println!("{}", report::line(&sample));
        }
        self.samples.push(sample);
        self.save()
    }

    /// A point that was stopped before its measurement began: a partial sample without figures.
    ///
    /// # Errors
    /// Results cannot be written.
    pub fn keep_nothing(
        &mut self,
        plan: &Plan,
        label: &Label,
        event: Option<EventKind>,
        fault: &ScaleError,
    ) -> Result<(), ScaleError> {
        if !fault.is_stop() {
            return Ok(());
        }
        let sample = Sample {
            event,
            complete: false,
            ..label.sample(Role::Agent, plan.size.record(0))
        };
        self.keep(sample)
    }

    fn save(&self) -> Result<(), ScaleError> {
        match &self.options.output {
            Some(path) => Ok(result::save(path, &self.samples)?),
            None => Ok(()),
        }
    }
}

/// The command line, with the program's name in place of its path, and without where results go.
fn command_line() -> String {
    let mut words = vec!["lilacgate-scale".to_owned()];
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        if argument == "--output" {
            arguments.next();
        } else if !argument.starts_with("--output=") {
            words.push(argument);
        }
    }
    words.join(" ")
}
