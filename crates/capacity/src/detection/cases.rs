//! The cases that are run for a target, and the sample of each.
use std::collections::BTreeMap;
use std::time::Duration;

use super::{DetectionCase, DetectionRun, DetectionSettings, Evidence};
use crate::result::{Experiment, Quantity, Role, Sample, Size, Source};
use crate::target::Target;

/// All combinations of failure share, canary share and evidence.
pub(super) fn cases(target: &Target, settings: &DetectionSettings) -> Vec<DetectionCase> {
    let mut cases = Vec::new();
    for &failure_share in &settings.failure_shares {
        for &trial_share in &settings.trial_shares {
            for evidence in evidences(target.agents, &settings.pooled_parts) {
                cases.push(DetectionCase {
                    evidence,
                    agents: target.agents,
                    routes: target.routes.div_ceil(target.services.count) as u16,
                    appliances: target.services.appliances.div_ceil(target.services.count),
                    request_rate: target.rate_per_agent_and_service(),
                    trial_share,
                    failure_share,
                });
            }
        }
    }
    cases
}

fn evidences(agents: u32, parts: &[f64]) -> Vec<Evidence> {
    let pooled = |part: &f64| ((f64::from(agents) * part).round() as u32).clamp(1, agents);
    let mut counts: Vec<u32> = parts.iter().map(pooled).collect();
    counts.dedup();
    let pooled = counts.into_iter().map(Evidence::Pooled);
    std::iter::once(Evidence::Own).chain(pooled).collect()
}

/// The sample of a case's runs, without its command and seed.
pub(super) fn sample(target: &Target, case: &DetectionCase, runs: &[DetectionRun]) -> Sample {
    Sample {
        experiment: Experiment::Detection,
        command: String::new(),
        seed: 0,
        source: Source::Model,
        role: match case.evidence {
            Evidence::Own => Role::Agent,
            Evidence::Pooled(_) => Role::Aggregator,
        },
        factor: None,
        size: case_size(target, case),
        event: None,
        held_back: false,
        complete: true,
        figures: figures(case, runs),
    }
}

fn case_size(target: &Target, case: &DetectionCase) -> Size {
    Size {
        listed_appliances: case.appliances,
        used_appliances: case.appliances,
        services: 1,
        routes: u32::from(case.routes),
        request_rate: case.request_rate * f64::from(case.agents),
        releases: 1,
        ..target.size()
    }
}

fn figures(case: &DetectionCase, runs: &[DetectionRun]) -> BTreeMap<Quantity, f64> {
    let detected = runs.iter().filter(|run| run.after.is_some()).count() as f64;
    let lasted: f64 = runs.iter().map(|run| run.lasted.as_secs_f64()).sum();
    let messages: u64 = runs.iter().map(|run| run.messages).sum();
    let bytes: u64 = runs.iter().map(|run| run.bytes).sum();
    let pooled = f64::from(case.evidence.agents());
    let mut figures = BTreeMap::from([
        (Quantity::BadBuildFailureShare, case.failure_share),
        (Quantity::TrialShare, case.trial_share),
        (Quantity::PooledAgents, pooled),
        (Quantity::Runs, runs.len() as f64),
        (Quantity::DetectedShare, detected / runs.len() as f64),
        (Quantity::MessagesInPerSecond, messages as f64 / lasted),
        (Quantity::BytesInPerSecond, bytes as f64 / lasted),
    ]);
    let times = [
        (Quantity::DetectionSeconds, 0.5),
        (Quantity::DetectionSecondsP90, 0.9),
    ];
    for (quantity, part) in times {
        let time = quantile(runs, part).map(|time| time.as_secs_f64());
        figures.extend(time.map(|seconds| (quantity, seconds)));
    }
    figures
}

/// The time within which this part of the runs came to a rejection, if it did.
fn quantile(runs: &[DetectionRun], part: f64) -> Option<Duration> {
    let mut times: Vec<Duration> = runs.iter().filter_map(|run| run.after).collect();
    times.sort();
    let rank = (part * runs.len() as f64).ceil() as usize;
    times.get(rank.max(1) - 1).copied()
}
