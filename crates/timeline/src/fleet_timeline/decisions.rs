//! Records the agent's decisions: ejections, votes, and the stage and phase of a build's release.
use std::time::Duration;

use lilacgate_decision::{Build, Diagnostic, EndpointId, ReleasePhase, Stage, Vote};

use super::{FleetTimeline, stored_text};
use crate::entry::{Entry, Event};

impl FleetTimeline {
    /// Records that a build has been in a stage and phase of its release for `age`. A repeated report is ignored.
    pub fn record_stage(
        &mut self,
        now: Duration,
        build: Build,
        stage: Stage,
        phase: ReleasePhase,
        age: Duration,
    ) {
        let happened = now.saturating_sub(age);
        let event = Event::Stage {
            build: build.0,
            stage: stage.0,
            phase: stored_text::phase(phase).into(),
        };
        let last = self
            .agent
            .as_of(Duration::MAX)
            .filter(|entry| matches!(entry.event, Event::Stage { .. }))
            .last();
        if last.is_some_and(|entry| entry.event == event) {
            return;
        }
        self.record(Entry {
            happened,
            known: now,
            node: None,
            event,
        });
        if phase == ReleasePhase::Canary {
            self.monitor.stage_started(build.0, stage.0, happened);
        }
    }

    /// Records a diagnostic of the decision engine. Requests given up are counted by reason and recorded at the next
    /// tick.
    pub fn record_diagnostic(&mut self, now: Duration, diagnostic: Diagnostic) {
        let mut record =
            |endpoint: EndpointId, event| self.record_now(now, Some(endpoint.0), event);
        match diagnostic {
            Diagnostic::Ejected {
                endpoint,
                reason,
                until,
            } => record(
                endpoint,
                Event::Ejected {
                    reason: reason.as_str().into(),
                    until,
                },
            ),
            Diagnostic::Probed(endpoint) => record(endpoint, Event::Probed),
            Diagnostic::Readmitted(endpoint) => record(endpoint, Event::Readmitted),
            Diagnostic::GivenUp(reason) => *self.given_up.entry(reason.as_str()).or_default() += 1,
        }
    }

    /// Sets the text that the decision engine logged last; the last one before a vote holds the figures of the vote.
    pub fn set_vote_figures(&mut self, text: &str) {
        self.vote_figures = text.into();
    }

    /// Records a vote with the figures that were logged last.
    pub fn record_vote(&mut self, now: Duration, build: Build, stage: Stage, vote: Vote) {
        let event = Event::Vote {
            build: build.0,
            stage: stage.0,
            vote: stored_text::vote(vote).into(),
            figures: std::mem::take(&mut self.vote_figures),
        };
        self.record_now(now, None, event);
    }
}
