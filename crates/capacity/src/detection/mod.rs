//! How long canary analysis takes to reject a bad build.
//!
//! The test is [`lilacgate_decision::SequentialTest`]; its surroundings (which
//! agent reports to which, and when a test may decide) are modelled here in
//! virtual time for one service. The requests of an agent are a Poisson process
//! at the mean rate of one agent and service. An agent counts an outcome of an
//! earlier build only while both builds have answered it recently, as the
//! decision crate does.
//!
//! Left out: slowness and lost capacity, votes to advance and their stages,
//! lost reports, and that an agent prefers a few appliances of each build. All
//! but the last two could only make a rejection earlier.

mod aggregator;
mod cases;
mod model;
mod settings;

use std::time::Duration;

use crate::result::Sample;
use crate::target::Target;

use model::Model;
pub use settings::{DetectionSettings, ReportSpread};

/// The agents whose outcomes a test is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// One agent's own outcomes; the level is divided among all agents.
    Own,
    /// The outcomes of this many agents, at a report aggregator that is one of
    /// them.
    Pooled(u32),
}

impl Evidence {
    fn agents(self) -> u32 {
        match self {
            Evidence::Own => 1,
            Evidence::Pooled(agents) => agents,
        }
    }
}

/// One service with a canary build.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DetectionCase {
    /// The agents whose outcomes count.
    pub evidence: Evidence,
    /// Agents in the fleet.
    pub agents: u32,
    /// Routes of the service, each with a test of its own.
    pub routes: u16,
    /// Appliances of the service.
    pub appliances: u32,
    /// Requests per second of one agent.
    pub request_rate: f64,
    /// Share of appliances that run the canary build.
    pub trial_share: f64,
    /// Share of requests that the canary build fails beyond what any build does.
    pub failure_share: f64,
}

/// The outcome of one run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DetectionRun {
    /// The time until the build was rejected, if it was.
    pub after: Option<Duration>,
    /// Reports that the aggregator received.
    pub messages: u64,
    /// The bytes of these reports.
    pub bytes: u64,
    /// The duration of the run.
    pub lasted: Duration,
}

/// Runs all cases of a target, each with every seed. One sample per case, with
/// the median and the 90th percentile over its runs. A percentile is left out
/// if the runs up to it include one without a rejection.
///
/// # Panics
/// If the target has no requests.
pub fn detections(
    target: &Target,
    settings: &DetectionSettings,
    seeds: &[u64],
    command: &str,
) -> Vec<Sample> {
    let mut samples = Vec::new();
    for case in cases::cases(target, settings) {
        let run = |seed: &u64| run(&case, settings, *seed);
        let runs: Vec<DetectionRun> = seeds.iter().map(run).collect();
        let seed = seeds.first().copied().unwrap_or_default();
        samples.push(Sample {
            command: command.to_owned(),
            seed,
            ..cases::sample(target, &case, &runs)
        });
    }
    samples
}

/// Runs one case until the build is rejected or the longest time is over.
///
/// # Panics
/// If the case has no requests, routes or agents.
pub fn run(case: &DetectionCase, settings: &DetectionSettings, seed: u64) -> DetectionRun {
    Model::new(case, settings, seed).run()
}
