//! The settings of a monitor: its configuration ([`MonitorConfig`]) and the constants that the other modules share.
use std::time::Duration;

use crate::entry::DepartureKind;

/// The interval at which [`super::FleetMonitor::tick`] is called.
pub const TICK: Duration = Duration::from_millis(250);
/// The gap between ticks from which on the agent counts as paused.
pub(super) const PAUSE_THRESHOLD: Duration = TICK.saturating_mul(4);

/// Converts a rate per hour into a mean interval in seconds.
pub(super) const SECONDS_PER_HOUR: f64 = 3600.0;

/// A share of bad observations is above the baseline if it exceeds the baseline by this factor plus [`margin`].
pub(super) const RISE_FACTOR: f64 = 1.5;
/// The prior weight of the fleet's share in a node's share, and the number of observations that the fleet needs before
/// a signal is tested.
pub(super) const PRIOR_WEIGHT: f64 = 40.0;
/// The prior weight of a node's relative latency, and the number of observations that the baseline of a class's answer
/// time needs before answers can be late.
pub(super) const LATENCY_PRIOR_WEIGHT: f64 = PRIOR_WEIGHT / 2.0;
/// The minimum number of recent observations for a comparison with the other nodes.
pub(super) const MIN_RECENT: f64 = 5.0;

/// An answer is late if it takes longer than this multiple of the baseline of its class at its node.
pub(super) const LATE_FACTOR: f64 = 2.5;
/// An answer is overdue after this multiple of the baseline time, plus [`OVERDUE_MARGIN`].
pub(super) const OVERDUE_FACTOR: f64 = 6.0;
/// The time added to the multiple of [`OVERDUE_FACTOR`].
pub(super) const OVERDUE_MARGIN: Duration = Duration::from_millis(300);
/// The lower bound of a baseline answer time, in seconds; it avoids a division by zero.
pub(super) const MIN_BASELINE_SECONDS: f64 = 1e-6;
/// The upper bound of the time until an answer is overdue, without [`OVERDUE_MARGIN`], in seconds.
pub(super) const OVERDUE_MAX_SECONDS: f64 = 60.0;

/// How long a test must stay above the threshold before a departure is confirmed. The delay lets a fault that affects
/// several nodes show at the others too, so that it is attributed to their build or the fleet.
pub(super) const CONFIRMATION_DELAY: Duration = Duration::from_millis(500);

/// The send rate jumps if it exceeds its baseline by this factor plus [`RATE_JUMP_MARGIN`]. Late answers after a jump
/// are explained by queues and are no departure.
pub(super) const RATE_JUMP_FACTOR: f64 = 1.25;
/// The attempts per second added to the multiple of [`RATE_JUMP_FACTOR`].
pub(super) const RATE_JUMP_MARGIN: f64 = 2.0;
/// How long after a jump of the send rate queues explain late answers, high load and silence.
pub(super) const QUEUE_DRAIN_DURATION: Duration = Duration::from_secs(6);
/// The lower bound of the time over which a send rate is computed, in seconds.
pub(super) const MIN_RATE_SECONDS: f64 = 1e-3;

/// The share of a group's nodes from which on they count as most of the group.
pub(super) const MAJORITY_SHARE: f64 = 0.6;
/// The minimum number of active nodes for a departure of the fleet.
pub(super) const MIN_FLEET_NODES: usize = 3;

/// A departure names the latest stage as a hint if its onset is within this time after the stage began.
pub(super) const STAGE_WINDOW: Duration = Duration::from_secs(20);
/// How far the estimated onset may be before the start of the stage that the departure names.
pub(super) const STAGE_ONSET_TOLERANCE: Duration = TICK.saturating_mul(8);

/// A departure ends after its node or group has been back to the baseline for this time. A node without observations
/// for this time is not active.
pub(super) const RECOVERY_DURATION: Duration = Duration::from_secs(3);
/// A silent node has recovered if an answer or a connection error was received from it within this time.
pub(super) const RECEIVE_WINDOW: Duration = TICK.saturating_mul(4);

/// The configuration of a monitor.
#[derive(Clone, Copy, Debug)]
pub struct MonitorConfig {
    /// The upper bound of the mean rate of false alarms, per hour and over all nodes.
    pub false_alarms_per_hour: f64,
    /// How long a node is warming up after its start.
    pub slow_start: Duration,
    /// The number of request classes; they are numbered from 0.
    pub classes: usize,
}

/// The share of bad observations added to the multiple of [`RISE_FACTOR`].
pub(super) fn margin(kind: DepartureKind) -> f64 {
    match kind {
        DepartureKind::Errors => 0.03,
        DepartureKind::Links => 0.001,
        DepartureKind::Latency => 0.12,
        DepartureKind::Silence => 0.002,
        DepartureKind::Load | DepartureKind::Restart => 0.1,
    }
}
