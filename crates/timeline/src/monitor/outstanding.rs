//! Checks the outstanding attempts of each node at every tick: whether an answer of a silent node is overdue, and
//! whether a node has more outstanding attempts than its baseline or the other nodes explain.
use std::time::Duration;

use super::FleetMonitor;
use super::node::WatchedNode;
use super::settings::{OVERDUE_FACTOR, OVERDUE_MARGIN, OVERDUE_MAX_SECONDS};
use super::signals::{ALL_CLASSES, Observation};
use crate::baseline::WeightedSum;
use crate::entry::DepartureKind;

/// The minimum number of outstanding attempts that can count as a high load.
const MIN_HIGH_LOAD: usize = 4;
/// More outstanding attempts than this multiple of the baseline count as a high load.
const HIGH_LOAD_FACTOR: f64 = 3.0;
/// The prior weight of the mean number of outstanding attempts, whose prior mean is 1.
const OUTSTANDING_PRIOR_WEIGHT: f64 = 4.0;

impl FleetMonitor {
    /// Observes load and silence at each node. After a pause of the agent only the mean numbers of outstanding attempts
    /// are updated, since nothing could be received during the pause.
    pub(super) fn check_outstanding(&mut self, now: Duration, after_pause: bool) {
        let baseline_seconds = self.longest_baseline_answer();
        let total: usize = self
            .nodes
            .values()
            .map(|watched| watched.outstanding.len())
            .sum();
        let other_nodes = self.nodes.len().saturating_sub(1).max(1);
        let mut observed = Vec::new();
        for (&node, watched) in &mut self.nodes {
            let others_mean = (total - watched.outstanding.len()) as f64 / other_nodes as f64;
            if let Some(high) = observe_load(watched, now, others_mean) {
                observed.push((node, observation(DepartureKind::Load, high)));
            }
            // The good observations of silence come from answers, so a tick without an overdue answer adds none.
            if is_overdue(watched, now, self.resumed_at, baseline_seconds) {
                observed.push((node, observation(DepartureKind::Silence, true)));
            }
        }
        if after_pause {
            return;
        }
        for (node, observation) in observed {
            self.observe(now, node, &[observation]);
        }
    }

    /// The highest mean answer time of all request classes, in seconds.
    fn longest_baseline_answer(&self) -> f64 {
        self.answer_seconds
            .iter()
            .map(|baseline| baseline.mean(0.0, 1e-3))
            .fold(0.0, f64::max)
    }
}

fn observation(kind: DepartureKind, bad: bool) -> Observation {
    Observation {
        kind,
        index: ALL_CLASSES,
        bad,
    }
}

/// Adds the number of outstanding attempts to the node's mean. Returns whether the load is high; `None` if no attempt
/// is outstanding.
fn observe_load(watched: &mut WatchedNode, now: Duration, others_mean: f64) -> Option<bool> {
    let outstanding = watched.outstanding.len();
    let own_mean = watched.mean_outstanding.mean(1.0, OUTSTANDING_PRIOR_WEIGHT);
    let sample = WeightedSum::single(outstanding as f64);
    watched.mean_outstanding.add(now, sample);
    let baseline = own_mean.max(others_mean).max(1.0);
    let high = outstanding >= MIN_HIGH_LOAD && outstanding as f64 > HIGH_LOAD_FACTOR * baseline;
    (outstanding > 0).then_some(high)
}

/// Whether nothing has been received from a node since its oldest outstanding attempt was sent, and the time since then
/// (or since the agent resumed) exceeds what the baseline allows.
fn is_overdue(
    watched: &WatchedNode,
    now: Duration,
    resumed_at: Duration,
    baseline_seconds: f64,
) -> bool {
    let Some(oldest) = watched.outstanding.values().min().copied() else {
        return false;
    };
    let relative = watched.baseline_relative_latency().max(1.0);
    let seconds = (baseline_seconds * relative * OVERDUE_FACTOR).min(OVERDUE_MAX_SECONDS);
    let allowance = Duration::from_secs_f64(seconds) + OVERDUE_MARGIN;
    let waiting_since = oldest.max(resumed_at);
    watched.last_received < oldest && now >= waiting_since + allowance
}
