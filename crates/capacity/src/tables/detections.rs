//! The tables of detection times and of the reports that aggregators receive.
use crate::analysis::Analysis;
use crate::markdown::Table;
use crate::result::{Experiment, Quantity, Role, Sample};
use crate::target::Target;
use crate::words;

/// The agents whose outcomes a test was based on.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum EvidenceSource {
    Own,
    Aggregator { agents: f64 },
}

impl EvidenceSource {
    fn of(sample: &Sample) -> Option<EvidenceSource> {
        match sample.role {
            Role::Aggregator => {
                let agents = sample.figure(Quantity::PooledAgents)?;
                Some(EvidenceSource::Aggregator { agents })
            }
            _ => Some(EvidenceSource::Own),
        }
    }

    fn name(self) -> String {
        match self {
            EvidenceSource::Own => "own outcomes".into(),
            EvidenceSource::Aggregator { agents } => format!("judge of {}", words::number(agents)),
        }
    }
}

/// A canary build. The order is that of the table's rows.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Canary {
    /// Share of requests that it fails beyond what any build does.
    failure_share: f64,
    /// Share of appliances that run it.
    appliance_share: f64,
}

impl Canary {
    fn of(sample: &Sample) -> Option<Canary> {
        Some(Canary {
            failure_share: sample.figure(Quantity::BadBuildFailureShare)?,
            appliance_share: sample.figure(Quantity::TrialShare)?,
        })
    }
}

/// A row for each canary, a column for each number of pooled agents; below, the
/// reports that an aggregator receives.
pub(super) fn detections(analysis: &Analysis) -> String {
    let is_detection =
        |sample: &&Sample| sample.complete && sample.experiment == Experiment::Detection;
    let samples: Vec<&Sample> = analysis.samples.iter().filter(is_detection).collect();
    let sources = in_order(
        samples
            .iter()
            .filter_map(|sample| EvidenceSource::of(sample)),
    );
    let canaries = in_order(samples.iter().filter_map(|sample| Canary::of(sample)));
    let names: Vec<String> = sources.iter().map(|source| source.name()).collect();
    let mut head = vec!["more failures", "on trial"];
    head.extend(names.iter().map(String::as_str));
    let mut table = Table::new(&head);
    for &canary in &canaries {
        let of_case = |source: &EvidenceSource| {
            let is_case = |sample: &&&Sample| {
                EvidenceSource::of(sample) == Some(*source) && Canary::of(sample) == Some(canary)
            };
            samples
                .iter()
                .find(is_case)
                .map_or_else(|| "-".into(), |one| detection_text(one))
        };
        let mut cells = vec![
            words::percent(canary.failure_share),
            words::percent(canary.appliance_share),
        ];
        cells.extend(sources.iter().map(of_case));
        table.row(&cells);
    }
    if samples.is_empty() {
        return table.finish();
    }
    let inbound = detection_bytes(&samples, &sources, analysis.target);
    format!("{}\n{inbound}", table.finish())
}

fn in_order<Key: PartialOrd>(keys: impl Iterator<Item = Key>) -> Vec<Key> {
    let mut keys: Vec<Key> = keys.collect();
    keys.sort_by(|one, other| one.partial_cmp(other).unwrap_or(std::cmp::Ordering::Equal));
    keys.dedup();
    keys
}

/// The median and the 90th percentile, or the share of runs with a rejection.
fn detection_text(sample: &Sample) -> String {
    let median = sample.figure(Quantity::DetectionSeconds);
    let ninth = sample.figure(Quantity::DetectionSecondsP90);
    let share = sample.figure(Quantity::DetectedShare).unwrap_or_default();
    match (median, ninth) {
        (Some(median), Some(ninth)) => {
            format!("{} s ({} s)", words::number(median), words::number(ninth))
        }
        (Some(median), None) => {
            format!(
                "{} s ({} of runs)",
                words::number(median),
                words::percent(share)
            )
        }
        _ if share > 0.0 => format!("{} of runs", words::percent(share)),
        _ => "none".into(),
    }
}

/// The reports that an aggregator receives during a canary release: the most
/// over the cases.
fn detection_bytes(samples: &[&Sample], sources: &[EvidenceSource], target: &Target) -> String {
    let head = [
        "heard",
        "reports in/s",
        "in, B/s",
        "of the byte budget",
        "releases that fit",
    ];
    let mut table = Table::new(&head);
    for source in sources
        .iter()
        .filter(|source| **source != EvidenceSource::Own)
    {
        let own = samples
            .iter()
            .filter(|sample| EvidenceSource::of(sample) == Some(*source));
        let most = |quantity| {
            let figures = own.clone().filter_map(|sample| sample.figure(quantity));
            figures.max_by(f64::total_cmp).unwrap_or_default()
        };
        let bytes = most(Quantity::BytesInPerSecond);
        let share = bytes / target.budgets.bytes_per_second;
        let releases = if share > 0.0 {
            words::number((1.0 / share).floor())
        } else {
            "any".into()
        };
        table.row(&[
            source.name(),
            words::number(most(Quantity::MessagesInPerSecond)),
            words::number(bytes),
            words::number(share),
            releases,
        ]);
    }
    table.finish()
}
