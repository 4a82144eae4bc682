//! Opens and ends departures, and reports both.
use std::time::Duration;

use super::FleetMonitor;
use super::settings::{PRIOR_WEIGHT, STAGE_ONSET_TOLERANCE, STAGE_WINDOW};
use super::signals::Signals;
use crate::entry::{Departure, DepartureKind, DepartureScope, ReleaseStage};

/// Reports that a departure was confirmed or has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct DepartureReport {
    /// The departure as it was when the report was made.
    pub departure: Departure,
    /// `true` if the departure was confirmed, `false` if it has ended.
    pub began: bool,
}

/// The latest stage of a build, and when it began.
#[derive(Clone, Copy, Debug)]
pub(super) struct StageStart {
    pub(super) release: ReleaseStage,
    pub(super) since: Duration,
}

impl StageStart {
    /// Whether a departure with this onset is reported together with this stage.
    fn is_near(&self, now: Duration, onset: Duration) -> bool {
        let has_begun = self.since <= now;
        let not_before = onset + STAGE_ONSET_TOLERANCE >= self.since;
        let soon_after = onset <= self.since + STAGE_WINDOW;
        has_begun && not_before && soon_after
    }
}

/// The measured values of a departure.
#[derive(Clone, Copy, Debug)]
pub(super) struct Figures {
    /// The estimated instant at which it began.
    pub(super) onset: Duration,
    /// The share of bad observations in the baseline.
    pub(super) baseline: f64,
    /// The share of bad observations since the onset.
    pub(super) observed: f64,
}

/// A detected departure without its number and times of confirmation and end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Finding {
    pub(super) scope: DepartureScope,
    pub(super) kind: DepartureKind,
    /// The request class, if the departure shows in one class only.
    pub(super) class: Option<u8>,
    pub(super) figures: Figures,
}

impl FleetMonitor {
    /// The onset, baseline and observed share of a signal of a node or of the fleet.
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

    /// Creates a departure with the next number, without opening or reporting it.
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

    /// Opens and reports a departure with these nodes as members.
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

    /// Ends and reports a departure, and resets the tests of its kind at its members and for the fleet.
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

    /// Ends the departures whose scope is this node.
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
