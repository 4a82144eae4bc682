//! What a watch knows of one node.
use std::collections::BTreeMap;
use std::time::Duration;

use super::settings::{HEARD_RECENTLY, LATENCY_PRIOR_WEIGHT};
use super::signals::Signals;
use crate::entry::DepartureKind;
use crate::usual::Usual;

/// A node that is listed.
pub(super) struct WatchedNode {
    pub(super) build: u16,
    /// When its process started, if that is known.
    pub(super) started: Option<Duration>,
    pub(super) signals: Signals,
    /// Its answer times as multiples of what is usual for the product.
    pub(super) relative_latency: Usual,
    /// When each outstanding attempt was sent, by request and attempt number.
    pub(super) outstanding: BTreeMap<(u32, u8), Duration>,
    /// How many attempts are outstanding in the mean.
    pub(super) usual_outstanding: Usual,
    /// When it last gave a sign of life.
    pub(super) last_heard: Duration,
    /// When it last gave an observation.
    pub(super) last_observed: Duration,
    /// The numbers of the open departures it is a member of, by kind.
    pub(super) open: BTreeMap<DepartureKind, u32>,
    /// Since when an open departure it stands for has been back to the usual.
    pub(super) calm_since: Option<Duration>,
}

impl WatchedNode {
    /// A node of which nothing is known but its build and start.
    pub(super) fn new(
        now: Duration,
        build: u16,
        started: Option<Duration>,
        products: usize,
    ) -> Self {
        WatchedNode {
            build,
            started,
            signals: Signals::new(products),
            relative_latency: Usual::default(),
            outstanding: BTreeMap::new(),
            usual_outstanding: Usual::default(),
            last_heard: now,
            last_observed: Duration::ZERO,
            open: BTreeMap::new(),
            calm_since: None,
        }
    }

    /// Its usual answer time as a multiple of what is usual for the product.
    pub(super) fn usual_relative_latency(&self) -> f64 {
        self.relative_latency.share(1.0, LATENCY_PRIOR_WEIGHT)
    }

    /// Whether an attempt sent at `sent` falls into the time after its start in which it may be slow.
    pub(super) fn is_ramping_up(&self, sent: Duration, ramp: Duration) -> bool {
        self.started
            .is_some_and(|started| sent < started + ramp * 9 / 8)
    }

    /// Whether it gave a sign of life a short while ago.
    pub(super) fn heard_recently(&self, now: Duration) -> bool {
        self.last_heard + HEARD_RECENTLY > now
    }

    /// Whether it is a member of the departure `number` of this kind.
    pub(super) fn is_member(&self, kind: DepartureKind, number: u32) -> bool {
        self.open.get(&kind) == Some(&number)
    }

    /// Whether a departure of this kind would be news: none is open, nor one that explains it.
    pub(super) fn would_be_news(&self, kind: DepartureKind) -> bool {
        let explained = explained_by(kind)
            .iter()
            .any(|other| self.open.contains_key(other));
        !explained && !self.open.contains_key(&kind)
    }
}

/// The kinds that explain another kind at the same node: a silent node also has a high load, for instance, and at a
/// slow one attempts pile up.
fn explained_by(kind: DepartureKind) -> &'static [DepartureKind] {
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
