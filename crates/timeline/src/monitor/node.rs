//! What a monitor knows of one node.
use std::collections::BTreeMap;
use std::time::Duration;

use super::AttemptId;
use super::settings::{LATENCY_PRIOR_WEIGHT, RECEIVE_WINDOW};
use super::signals::Signals;
use crate::baseline::Baseline;
use crate::entry::DepartureKind;

/// A node that is listed.
#[derive(Debug)]
pub(super) struct WatchedNode {
    pub(super) build: u16,
    /// When its process started, if that is known.
    pub(super) started: Option<Duration>,
    pub(super) signals: Signals,
    /// Its answer times as multiples of the baseline of the request class.
    pub(super) relative_latency: Baseline,
    /// When each outstanding attempt was sent.
    pub(super) outstanding: BTreeMap<AttemptId, Duration>,
    /// How many attempts are outstanding in the mean.
    pub(super) mean_outstanding: Baseline,
    /// When an answer or a connection error was last received from it.
    pub(super) last_received: Duration,
    /// When it last gave an observation.
    pub(super) last_observed: Duration,
    /// The numbers of the open departures it is a member of, by kind.
    pub(super) open_departures: BTreeMap<DepartureKind, u32>,
    /// Since when an open departure it stands for has been back to the baseline.
    pub(super) recovered_since: Option<Duration>,
}

impl WatchedNode {
    /// A node of which nothing is known but its build and start.
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

    /// Its mean answer time as a multiple of the baseline of the request class.
    pub(super) fn baseline_relative_latency(&self) -> f64 {
        self.relative_latency.mean(1.0, LATENCY_PRIOR_WEIGHT)
    }

    /// Whether an attempt sent at `sent` falls into the time after its start in which it may be slow, with a margin of an
    /// eighth.
    pub(super) fn is_warming_up(&self, sent: Duration, slow_start: Duration) -> bool {
        self.started
            .is_some_and(|started| sent < started + slow_start * 9 / 8)
    }

    /// Whether anything was received from it a short while ago.
    pub(super) fn received_recently(&self, now: Duration) -> bool {
        self.last_received + RECEIVE_WINDOW > now
    }

    /// Whether it is a member of the departure `number` of this kind.
    pub(super) fn is_member(&self, kind: DepartureKind, number: u32) -> bool {
        self.open_departures.get(&kind) == Some(&number)
    }

    /// Whether a departure of this kind would be reported: none is open, nor one that explains it.
    pub(super) fn is_reportable(&self, kind: DepartureKind) -> bool {
        let explained = explaining_kinds(kind)
            .iter()
            .any(|other| self.open_departures.contains_key(other));
        !explained && !self.open_departures.contains_key(&kind)
    }
}

/// The kinds that explain another kind at the same node: a silent node also has a high load, for instance, and at a
/// slow one attempts pile up.
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
