//! Keeps the open departures: opens and ends them, and reports both.
use std::time::Duration;

use super::Watch;
use super::settings::{PRIOR_WEIGHT, STAGE_TOLERANCE, STAGE_WINDOW};
use super::signals::Signals;
use crate::entry::{Departure, DepartureKind, DepartureScope, ReleaseStage};

/// The stage of a build that began last.
#[derive(Clone, Copy, Debug)]
pub(super) struct StageStart {
    pub(super) build: u16,
    pub(super) stage: u8,
    pub(super) since: Duration,
}

impl StageStart {
    /// Whether a departure that began at `onset` may be named together with this stage.
    fn is_near(&self, now: Duration, onset: Duration) -> bool {
        let begun = self.since <= now;
        let not_before = onset + STAGE_TOLERANCE >= self.since;
        let soon_after = onset <= self.since + STAGE_WINDOW;
        begun && not_before && soon_after
    }
}

/// What a departure is reported with.
#[derive(Clone, Copy, Debug)]
pub(super) struct Figures {
    /// When it seems to have begun.
    pub(super) onset: Duration,
    /// The usual share of bad observations.
    pub(super) usual: f64,
    /// The share of bad observations since the onset.
    pub(super) seen: f64,
}

impl Watch {
    /// The figures of a signal of a node or of the fleet.
    pub(super) fn figures(
        &self,
        signals: &Signals,
        kind: DepartureKind,
        place: usize,
        now: Duration,
    ) -> Figures {
        let signal = &signals.of(kind)[place];
        let (onset, seen) = signal.detector.onset();
        let usual = signal
            .usual
            .share(self.fleet_share(kind, place), PRIOR_WEIGHT);
        Figures {
            onset: onset.min(now),
            usual,
            seen,
        }
    }

    /// A departure with the next number; it is neither opened nor reported here.
    pub(super) fn new_departure(
        &mut self,
        now: Duration,
        whom: DepartureScope,
        kind: DepartureKind,
        product: Option<u8>,
        figures: Figures,
    ) -> Departure {
        let number = self.next_number;
        self.next_number += 1;
        let Figures { onset, usual, seen } = figures;
        let stage = self.latest_stage.filter(|stage| stage.is_near(now, onset));
        let concurrent_stage = stage.map(|stage| ReleaseStage {
            build: stage.build,
            stage: stage.stage,
        });
        Departure {
            number,
            scope: whom,
            kind,
            class: product,
            onset,
            confirmed: now,
            ended: None,
            baseline: usual,
            observed: seen,
            concurrent_stage,
        }
    }

    /// Opens and reports a departure.
    pub(super) fn open_departure(
        &mut self,
        now: Duration,
        whom: DepartureScope,
        kind: DepartureKind,
        product: Option<u8>,
        figures: Figures,
        members: &[u32],
    ) {
        let departure = self.new_departure(now, whom, kind, product, figures);
        for member in members {
            if let Some(watched) = self.nodes.get_mut(member) {
                watched.open.entry(kind).or_insert(departure.number);
                watched.calm_since = None;
            }
        }
        self.reports.push((departure.clone(), true));
        self.open.insert(departure.number, departure);
    }

    /// Ends and reports a departure; the tests of its kind start anew at its members and for the fleet.
    pub(super) fn end_departure(&mut self, now: Duration, number: u32) {
        let Some(mut departure) = self.open.remove(&number) else {
            return;
        };
        departure.ended = Some(now);
        let kind = departure.kind;
        let members = self
            .nodes
            .values_mut()
            .filter(|watched| watched.is_member(kind, number));
        for watched in members {
            watched.open.remove(&kind);
            watched.calm_since = None;
            watched.signals.reset_tests(kind);
        }
        self.fleet.reset_tests(kind);
        self.reports.push((departure, false));
    }

    /// Ends the departures that concern this node alone.
    pub(super) fn end_all_of(&mut self, now: Duration, node: u32) {
        let Some(watched) = self.nodes.get(&node) else {
            return;
        };
        let numbers: Vec<u32> = watched.open.values().copied().collect();
        for number in numbers {
            if self
                .open
                .get(&number)
                .is_some_and(|departure| departure.scope == DepartureScope::Node(node))
            {
                self.end_departure(now, number);
            }
        }
    }
}
