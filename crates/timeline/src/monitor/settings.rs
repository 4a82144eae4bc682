//! The settings of a monitor: what its user chooses ([`MonitorConfig`]), and the fixed limits the other modules share.
use std::time::Duration;

use crate::entry::DepartureKind;

/// How often [`super::FleetMonitor::tick`] is to be called.
pub const TICK: Duration = Duration::from_millis(250);
/// A gap between ticks from which on the agent counts as having been paused.
pub(super) const PAUSE_THRESHOLD: Duration = TICK.saturating_mul(4);

/// Turns a rate per hour into one per second.
pub(super) const SECONDS_PER_HOUR: f64 = 3600.0;

/// A share of bad observations is above the baseline from this factor on, plus [`margin`].
pub(super) const RISE_FACTOR: f64 = 1.5;
/// How many observations of prior weight pull a node's share towards the fleet's, and how many the fleet needs before
/// anything is tested.
pub(super) const PRIOR_WEIGHT: f64 = 40.0;
/// The prior weight of a node's relative latency, and the observations the baseline of a class's answer time needs.
pub(super) const LATENCY_PRIOR_WEIGHT: f64 = PRIOR_WEIGHT / 2.0;
/// Fewer recent observations than this say nothing about the other nodes.
pub(super) const MIN_RECENT: f64 = 5.0;

/// An answer is late from this multiple of the baseline of its class at its node.
pub(super) const LATE_FACTOR: f64 = 2.5;
/// An answer is overdue after this multiple of the baseline time, plus [`OVERDUE_MARGIN`].
pub(super) const OVERDUE_FACTOR: f64 = 6.0;
/// See [`OVERDUE_FACTOR`].
pub(super) const OVERDUE_MARGIN: Duration = Duration::from_millis(300);
/// Baselines of answer times below this, in seconds, count as this.
pub(super) const MIN_BASELINE_SECONDS: f64 = 1e-6;
/// The longest an answer is waited for before [`OVERDUE_MARGIN`], in seconds.
pub(super) const OVERDUE_MAX_SECONDS: f64 = 60.0;

/// A test must stay above the threshold this long before a departure is confirmed, so that a fault which hits other
/// nodes too can show there meanwhile.
pub(super) const CONFIRMATION_DELAY: Duration = Duration::from_millis(500);

/// A send rate above the baseline by this factor excuses late answers, since queues are no departure.
pub(super) const RATE_JUMP_FACTOR: f64 = 1.25;
/// How many attempts per second above [`RATE_JUMP_FACTOR`] a jump takes.
pub(super) const RATE_JUMP_MARGIN: f64 = 2.0;
/// How long a jump of the send rate excuses late answers.
pub(super) const QUEUE_DRAIN_DURATION: Duration = Duration::from_secs(6);
/// The shortest span a send rate is computed over, in seconds.
pub(super) const MIN_RATE_SECONDS: f64 = 1e-3;

/// The share of the active nodes of a group that counts as most of them.
pub(super) const MAJORITY_SHARE: f64 = 0.6;
/// The fewest active nodes that a departure of the fleet takes.
pub(super) const MIN_FLEET_NODES: usize = 3;

/// A stage is named in a departure that begins within this time after it.
pub(super) const STAGE_WINDOW: Duration = Duration::from_secs(20);
/// How much earlier than the stage the estimated onset may lie for the stage to be named.
pub(super) const STAGE_ONSET_TOLERANCE: Duration = TICK.saturating_mul(8);

/// A departure ends after its node or group was back to the baseline for this long.
pub(super) const RECOVERY_DURATION: Duration = Duration::from_secs(3);
/// A silent node is back if anything was received from it within this time.
pub(super) const RECEIVE_WINDOW: Duration = TICK.saturating_mul(4);

/// What the user of a monitor sets.
#[derive(Clone, Copy, Debug)]
pub struct MonitorConfig {
    /// The highest mean rate of false alarms, per hour and over all nodes.
    pub false_alarms_per_hour: f64,
    /// How long after its start a node may be slow.
    pub slow_start: Duration,
    /// How many request classes there are; they are numbered from 0.
    pub classes: usize,
}

/// How far above the baseline a share of bad observations must lie.
pub(super) fn margin(kind: DepartureKind) -> f64 {
    match kind {
        DepartureKind::Errors => 0.03,
        DepartureKind::Links => 0.001,
        DepartureKind::Latency => 0.12,
        DepartureKind::Silence => 0.002,
        DepartureKind::Load | DepartureKind::Restart => 0.1,
    }
}
