//! Keeps the open departures: opens and ends them, and reports both.
use std::time::Duration;

use super::FleetMonitor;
use super::settings::{PRIOR_WEIGHT, STAGE_ONSET_TOLERANCE, STAGE_WINDOW};
use super::signals::Signals;
use crate::entry::{Departure, DepartureKind, DepartureScope, ReleaseStage};

/// A departure that was confirmed or has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct DepartureReport {
    /// The departure as it was then.
    pub departure: Departure,
    /// Whether it was confirmed; if not, it has ended.
    pub began: bool,
}

/// The stage of a build that began last.
#[derive(Clone, Copy, Debug)]
pub(super) struct StageStart {
    pub(super) release: ReleaseStage,
    pub(super) since: Duration,
}

impl StageStart {
    /// Whether a departure that began at `onset` may be named together with this stage.
    fn is_near(&self, now: Duration, onset: Duration) -> bool {
        let begun = self.since <= now;
        let not_before = onset + STAGE_ONSET_TOLERANCE >= self.since;
        let soon_after = onset <= self.since + STAGE_WINDOW;
        begun && not_before && soon_after
    }
}

/// The figures a departure is reported with.
#[derive(Clone, Copy, Debug)]
pub(super) struct Figures {
    /// When it seems to have begun.
    pub(super) onset: Duration,
    /// The share of bad observations in the baseline.
    pub(super) baseline: f64,
    /// The share of bad observations since the onset.
    pub(super) observed: f64,
}

/// What is found out about a departure before it gets its number.
#[derive(Clone, Copy, Debug)]
pub(super) struct Finding {
    pub(super) scope: DepartureScope,
    pub(super) kind: DepartureKind,
    /// The request class, where it shows in one class alone.
    pub(super) class: Option<u8>,
    pub(super) figures: Figures,
}

impl FleetMonitor {
    /// The figures of a signal of a node or of the fleet.
    pub(super) fn figures(
        &self,
        signals: &Signals,
        kind: DepartureKind,
        index: usize,
        now: Duration,
    ) -> Figures {
        let signal = &signals.of_kind(kind)[index];
        let change = signal.test.change_estimate();
        let baseline = signal
            .baseline
            .mean(self.fleet_share(kind, index), PRIOR_WEIGHT);
        Figures {
            onset: change.onset.min(now),
            baseline,
            observed: change.bad_share,
        }
    }

    /// A departure with the next number; it is neither opened nor reported here.
    pub(super) fn new_departure(&mut self, now: Duration, finding: Finding) -> Departure {
        let number = self.next_number;
        self.next_number += 1;
        let figures = finding.figures;
        let stage = self
            .latest_stage
            .filter(|stage| stage.is_near(now, figures.onset));
        Departure {
            number,
            scope: finding.scope,
            kind: finding.kind,
            class: finding.class,
            onset: figures.onset,
            confirmed: now,
            ended: None,
            baseline: figures.baseline,
            observed: figures.observed,
            concurrent_stage: stage.map(|stage| stage.release),
        }
    }

    /// Opens and reports a departure.
    pub(super) fn open_departure(&mut self, now: Duration, finding: Finding, members: &[u32]) {
        let departure = self.new_departure(now, finding);
        for member in members {
            if let Some(watched) = self.nodes.get_mut(member) {
                watched
                    .open_departures
                    .entry(finding.kind)
                    .or_insert(departure.number);
                watched.recovered_since = None;
            }
        }
        self.report(departure.clone(), true);
        self.open_departures.insert(departure.number, departure);
    }

    /// Ends and reports a departure; the tests of its kind start anew at its members and for the fleet.
    pub(super) fn end_departure(&mut self, now: Duration, number: u32) {
        let Some(mut departure) = self.open_departures.remove(&number) else {
            return;
        };
        departure.ended = Some(now);
        let kind = departure.kind;
        let members = self
            .nodes
            .values_mut()
            .filter(|watched| watched.is_member(kind, number));
        for watched in members {
            watched.open_departures.remove(&kind);
            watched.recovered_since = None;
            watched.signals.reset_tests(kind);
        }
        self.fleet.reset_tests(kind);
        self.report(departure, false);
    }

    pub(super) fn report(&mut self, departure: Departure, began: bool) {
        self.reports.push(DepartureReport { departure, began });
    }

    /// Ends the departures that concern this node alone.
    pub(super) fn end_departures_of(&mut self, now: Duration, node: u32) {
        let Some(watched) = self.nodes.get(&node) else {
            return;
        };
        let numbers: Vec<u32> = watched.open_departures.values().copied().collect();
        for number in numbers {
            if self
                .open_departures
                .get(&number)
                .is_some_and(|departure| departure.scope == DepartureScope::Node(node))
            {
                self.end_departure(now, number);
            }
        }
    }
}
