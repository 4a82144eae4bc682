//! The records that measurements are kept in.
//!
//! A result file holds one [`Sample`] per line as a JSON object. Each record
//! carries the command and the seed that produced it, so that a figure can be
//! measured again.
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

/// The extension of result files.
pub const RESULT_EXTENSION: &str = "jsonl";

/// Which question a sample answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Experiment {
    /// How a cost grows with one factor.
    Slope,
    /// What one event costs.
    Event,
    /// What a role uses of its budget.
    Budget,
    /// What the real agent process uses, measured from outside.
    Process,
    /// How long a release's test takes to turn back a bad build.
    #[serde(rename = "verdict")]
    Detection,
    /// A size held back from the fits, to be predicted.
    Predict,
}

/// What was run to obtain a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The real control code in virtual time, without sockets.
    Hollow,
    /// The real agent binary on loopback.
    Process,
    /// The statistics of the test alone.
    Model,
}

/// A part of the system that has a cost of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Sends requests of its clients to appliances.
    Agent,
    /// An agent that others report outcomes of a build on trial to.
    #[serde(rename = "judge")]
    Aggregator,
    /// Tells agents the list of appliances and its changes.
    Discovery,
    /// Runs the machines and collects votes.
    Platform,
    /// Serves requests.
    Appliance,
    /// The machines set aside for control, together.
    Control,
}

/// The one size that varies in a slope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Factor {
    /// Agents in the fleet.
    Agents,
    /// Appliances that the agent is told of.
    ListedAppliances,
    /// Appliances that the agent sends requests to.
    UsedAppliances,
    /// Services that the agent stands before.
    Services,
    /// Routes of the agent.
    Routes,
    /// Tenants whose requests the agent sees.
    Tenants,
    /// Requests per second.
    RequestRate,
    /// Changes of the list of appliances or of configuration per second.
    ChangeRate,
    /// Releases on trial at once.
    Releases,
}

/// What happens to a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// One change of configuration, until the last agent acts on it.
    ConfigurationChange,
    /// The changes, failures and restarts of an ordinary day.
    OrdinaryDay,
    /// All appliances of a rack fail at once.
    RackLoss,
    /// A zone fails and comes back.
    ZoneLoss,
    /// Half of a region's agents restart together.
    RegionRestart,
    /// The regions lose each other for some minutes.
    RegionPartition,
    /// Releases on trial in many services at once.
    ManyReleases,
}

/// What was measured. The unit is part of the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    /// Processor time for control, in percent of one core, on average.
    ControlCorePercent,
    /// The same in the worst single second.
    WorstSecondCorePercent,
    /// Processor time of a whole agent process, its clients' requests included,
    /// in percent of one core, on average over the agents.
    ProcessCorePercent,
    /// The same for the agent that used most.
    WorstProcessCorePercent,
    /// Time that a process's threads were ready to run and waited for a
    /// processor, in percent of the window, on average over the agents: how
    /// much the machine's other work disturbed the measurement.
    RunQueueWaitPercent,
    /// Processor time of the longest round, in microseconds.
    WorstRoundMicros,
    /// Processor time of a round that 99 in 100 stay below, in microseconds.
    RoundP99Micros,
    /// Memory, in megabytes (10^6 bytes).
    MemoryMegabytes,
    /// The most memory that any process has held, in megabytes (10^6 bytes).
    PeakMemoryMegabytes,
    /// Bytes received per second for control.
    BytesInPerSecond,
    /// Bytes sent per second for control.
    BytesOutPerSecond,
    /// Messages received per second for control.
    MessagesInPerSecond,
    /// Messages sent per second for control.
    MessagesOutPerSecond,
    /// Datagrams that an agent sent to its peers per second.
    DatagramsOutPerSecond,
    /// Bytes of those datagrams per second.
    DatagramBytesOutPerSecond,
    /// Bytes of one whole list of appliances.
    ListBytes,
    /// Processor time to take in one whole list, in microseconds.
    ListMicros,
    /// From a change until the last agent acts on it, in milliseconds.
    InForceMillis,
    /// Bytes that a restart or an event makes discovery send.
    RestartBytes,
    /// From a process's start until it is ready, in milliseconds.
    ReadyMillis,
    /// The same for the ninth of ten processes that start together, in milliseconds.
    ReadyNineInTenMillis,
    /// Processor time of a process from its start until all are ready, in
    /// milliseconds.
    ReadyProcessorMillis,
    /// Most requests at one appliance, over the mean.
    SpreadMost,
    /// Fewest requests at one appliance, over the mean.
    SpreadLeast,
    /// Share of connections that one change of one appliance moves.
    MovedShare,
    /// Requests sent against a rule.
    BrokenRules,
    /// Requests sent.
    Requests,
    /// Requests that were refused.
    RefusedRequests,
    /// Requests without a whole answer in time.
    LostRequests,
    /// Requests whose connection ended before a whole answer.
    ClosedRequests,
    /// Time added to a request that 99 in 100 stay below, in milliseconds.
    AddedLatencyMillis,
    /// Entries of the state that the role keeps.
    StateEntries,
    /// From a bad build's first share of the requests to the vote against it,
    /// in seconds; the median of several runs.
    #[serde(rename = "verdict_seconds")]
    DetectionSeconds,
    /// The same, which nine in ten runs stay below.
    #[serde(rename = "verdict_seconds_p90")]
    DetectionSecondsP90,
    /// Runs that a figure is drawn from.
    Runs,
    /// Share of runs that came to a vote against the build.
    #[serde(rename = "verdict_share")]
    DetectedShare,
    /// Share of requests that the bad build fails beyond what any build does.
    BadBuildFailureShare,
    /// Share of appliances that carry the build on trial.
    TrialShare,
    /// Agents whose outcomes are pooled; 1 is an agent's own alone.
    PooledAgents,
    /// Machines needed for control.
    ControlMachines,
}

/// How large the fleet was that a sample was measured at.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Agents in the fleet.
    pub agents: u32,
    /// Appliances that the agent is told of.
    pub listed_appliances: u32,
    /// Appliances that the agent sends requests to.
    pub used_appliances: u32,
    /// Services that the agent stands before.
    pub services: u32,
    /// Routes of the agent.
    pub routes: u32,
    /// Tenants whose requests the agent sees.
    pub tenants: u32,
    /// Requests per second.
    pub request_rate: f64,
    /// Changes per second.
    pub change_rate: f64,
    /// Releases on trial at once.
    pub releases: u32,
}

impl Size {
    /// The size along one factor.
    pub fn along(&self, factor: Factor) -> f64 {
        match factor {
            Factor::Agents => f64::from(self.agents),
            Factor::ListedAppliances => f64::from(self.listed_appliances),
            Factor::UsedAppliances => f64::from(self.used_appliances),
            Factor::Services => f64::from(self.services),
            Factor::Routes => f64::from(self.routes),
            Factor::Tenants => f64::from(self.tenants),
            Factor::RequestRate => self.request_rate,
            Factor::ChangeRate => self.change_rate,
            Factor::Releases => f64::from(self.releases),
        }
    }
}

/// One measurement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sample {
    /// The question it answers.
    pub experiment: Experiment,
    /// The command line that produced it, without a path of the machine.
    pub command: String,
    /// The seed of the run.
    pub seed: u64,
    /// What was run.
    pub source: Source,
    /// Whose cost it is.
    pub role: Role,
    /// The size that varies, in a slope.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub factor: Option<Factor>,
    /// All sizes.
    pub size: Size,
    /// The event, if there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub event: Option<EventKind>,
    /// Whether it is left out of the fit and predicted from it.
    #[serde(default)]
    pub held_back: bool,
    /// False if the run was interrupted.
    pub complete: bool,
    /// What was measured.
    pub figures: BTreeMap<Quantity, f64>,
}

impl Sample {
    /// One of its figures.
    pub fn figure(&self, quantity: Quantity) -> Option<f64> {
        self.figures.get(&quantity).copied()
    }

    /// The sum of some of its figures, if it has all of them.
    pub fn sum(&self, quantities: &[Quantity]) -> Option<f64> {
        quantities
            .iter()
            .map(|quantity| self.figure(*quantity))
            .sum()
    }
}

/// Why a result file cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum ResultError {
    /// A file or directory cannot be opened, read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or directory.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// Reading or writing a stream failed.
    #[error("results: {0}")]
    Stream(#[from] io::Error),
    /// A line is not a sample.
    #[error("{}:{line}: not a result: {source}", path.display())]
    Line {
        /// The file.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// What the parser says.
        source: serde_json::Error,
    },
    /// A figure is not a number, which JSON cannot hold.
    #[error("{quantity:?} is {value}, which is not a finite number")]
    NotFinite {
        /// The figure.
        quantity: Quantity,
        /// Its value.
        value: f64,
    },
    /// A sample cannot be written as JSON.
    #[error("result cannot be written: {0}")]
    Write(serde_json::Error),
}

/// Writes samples, one per line.
///
/// # Errors
/// The stream fails, or a figure is not finite; nothing of that sample is
/// written then.
pub fn write(output: &mut dyn Write, samples: &[Sample]) -> Result<(), ResultError> {
    for sample in samples {
        let line = to_line(sample)?;
        output.write_all(line.as_bytes())?;
        output.write_all(b"\n")?;
    }
    output.flush()?;
    Ok(())
}

fn to_line(sample: &Sample) -> Result<String, ResultError> {
    for (&quantity, &value) in &sample.figures {
        if !value.is_finite() {
            return Err(ResultError::NotFinite { quantity, value });
        }
    }
    serde_json::to_string(sample).map_err(ResultError::Write)
}

/// Reads samples, one per line; empty lines are passed over. `name` stands in
/// errors.
///
/// # Errors
/// The first line that cannot be read or is not a sample.
pub fn read(input: &mut dyn BufRead, name: &Path) -> Result<Vec<Sample>, ResultError> {
    let mut samples = Vec::new();
    for (index, line) in input.lines().enumerate() {
        let line = line.map_err(|source| file_error(name, source))?;
        if line.trim().is_empty() {
            continue;
        }
        let sample = serde_json::from_str(&line).map_err(|source| ResultError::Line {
            path: name.to_owned(),
            line: index + 1,
            source,
        })?;
        samples.push(sample);
    }
    Ok(samples)
}

/// Writes a whole result file, in place of an older one.
///
/// # Errors
/// As [`write()`].
pub fn save(path: &Path, samples: &[Sample]) -> Result<(), ResultError> {
    let file = File::create(path).map_err(|source| file_error(path, source))?;
    write(&mut BufWriter::new(file), samples)
}

/// Reads a result file.
///
/// # Errors
/// As [`read`].
pub fn load(path: &Path) -> Result<Vec<Sample>, ResultError> {
    let file = File::open(path).map_err(|source| file_error(path, source))?;
    read(&mut BufReader::new(file), path)
}

/// Reads all result files of a directory, in the order of their names.
///
/// # Errors
/// As [`read`], or the directory cannot be listed.
pub fn load_directory(directory: &Path) -> Result<Vec<Sample>, ResultError> {
    let mut paths = Vec::new();
    for entry in fs::read_dir(directory).map_err(|source| file_error(directory, source))? {
        let path = entry
            .map_err(|source| file_error(directory, source))?
            .path();
        if path
            .extension()
            .is_some_and(|found| found == RESULT_EXTENSION)
        {
            paths.push(path);
        }
    }
    paths.sort();
    let mut samples = Vec::new();
    for path in paths {
        samples.extend(load(&path)?);
    }
    Ok(samples)
}

fn file_error(path: &Path, source: io::Error) -> ResultError {
    ResultError::File {
        path: path.to_owned(),
        source,
    }
}
