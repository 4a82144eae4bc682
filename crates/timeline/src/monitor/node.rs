//! The monitor's state of one node.
use std::collections::BTreeMap;
use std::time::Duration;

use super::AttemptId;
use super::settings::{LATENCY_PRIOR_WEIGHT, RECEIVE_WINDOW};
use super::signals::Signals;
use crate::baseline::Baseline;
use crate::entry::DepartureKind;

/// The state of a listed node.
#[derive(Debug)]
pub(super) struct WatchedNode {
    pub(super) build: u16,
    /// When the node's process started, if known.
    pub(super) started: Option<Duration>,
    pub(super) signals: Signals,
    /// The node's answer times as multiples of the baseline of the request class.
    pub(super) relative_latency: Baseline,
    /// When each outstanding attempt was sent.
    pub(super) outstanding: BTreeMap<AttemptId, Duration>,
    /// The mean number of outstanding attempts.
    pub(super) mean_outstanding: Baseline,
    /// When an answer or a connection error was last received from the node.
    pub(super) last_received: Duration,
    /// When the node was last observed.
    pub(super) last_observed: Duration,
    /// The numbers of the open departures of which the node is a member, by kind.
    pub(super) open_departures: BTreeMap<DepartureKind, u32>,
    /// Since when a departure has been back to its baseline. It is kept at the first member of the departure.
    pub(super) recovered_since: Option<Duration>,
}

impl WatchedNode {
    /// A node without observations.
    pub(super) fn new(
        now: Duration,
        build: u16,
        started: Option<Duration>,
        classes: usize,
    ) -> Self {
        WatchedNode {
            build,
            started,
            signals: Signals::new(classes),
            relative_latency: Baseline::default(),
            outstanding: BTreeMap::new(),
            mean_outstanding: Baseline::default(),
            last_received: now,
            last_observed: Duration::ZERO,
            open_departures: BTreeMap::new(),
            recovered_since: None,
        }
    }

    /// The node's mean answer time as a multiple of the baseline of the request class.
    pub(super) fn baseline_relative_latency(&self) -> f64 {
        self.relative_latency.mean(1.0, LATENCY_PRIOR_WEIGHT)
    }

    /// Whether the node was still warming up when an attempt was sent at `sent`. The slow start counts with a margin of
    /// an eighth.
    pub(super) fn is_warming_up(&self, sent: Duration, slow_start: Duration) -> bool {
        self.started
            .is_some_and(|started| sent < started + slow_start * 9 / 8)
    }

    /// Whether an answer or a connection error was received from the node within [`RECEIVE_WINDOW`].
    pub(super) fn received_recently(&self, now: Duration) -> bool {
        self.last_received + RECEIVE_WINDOW > now
    }

    /// Whether the node is a member of the departure with this kind and number.
    pub(super) fn is_member(&self, kind: DepartureKind, number: u32) -> bool {
        self.open_departures.get(&kind) == Some(&number)
    }

    /// Whether a departure of this kind may be reported: the node is a member neither of an open one of this kind nor
    /// of one that explains it.
    pub(super) fn is_reportable(&self, kind: DepartureKind) -> bool {
        let explained = explaining_kinds(kind)
            .iter()
            .any(|other| self.open_departures.contains_key(other));
        !explained && !self.open_departures.contains_key(&kind)
    }
}

/// The kinds that explain another kind at the same node. For instance, attempts accumulate at a silent or slow node, so
/// silence and latency explain a high load.
fn explaining_kinds(kind: DepartureKind) -> &'static [DepartureKind] {
    match kind {
        DepartureKind::Load => &[
            DepartureKind::Silence,
            DepartureKind::Links,
            DepartureKind::Latency,
            DepartureKind::Errors,
        ],
        DepartureKind::Latency | DepartureKind::Errors => {
            &[DepartureKind::Silence, DepartureKind::Links]
        }
        DepartureKind::Links => &[DepartureKind::Silence],
        DepartureKind::Silence => &[DepartureKind::Links],
        DepartureKind::Restart => &[],
    }
}
