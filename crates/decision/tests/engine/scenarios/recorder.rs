//! Records the engine's decisions as text, in the language of the scenarios.
use std::collections::VecDeque;
use std::time::Duration;

use lilacgate_decision::{
    Actions, AgentId, AttemptNumber, Build, Diagnostic, EndpointId, RequestId, Stage, TimerId, Vote,
};
use lilacgate_timeline::fleet_timeline::{FleetTimeline, MemoryLimits};
use lilacgate_timeline::monitor::MonitorConfig;

use crate::support::AttemptCounter;

/// A timeline that records the decisions; it must not influence them.
fn new_timeline() -> FleetTimeline {
    let config = MonitorConfig {
        false_alarms_per_hour: 0.5,
        slow_start: Duration::from_secs(4),
        classes: 3,
    };
    let limits = MemoryLimits {
        timeline_bytes: 1 << 20,
        queued_records: 100,
    };
    FleetTimeline::new(Duration::ZERO, config, limits)
}

/// An attempt that is in flight.
pub(super) struct SentAttempt {
    pub(super) request: RequestId,
    pub(super) number: AttemptNumber,
    pub(super) endpoint: EndpointId,
}

#[derive(Default)]
pub(super) struct Recorder {
    timeline: Option<FleetTimeline>,
    now: Duration,
    /// The decisions since this list was last cleared.
    pub(super) recent: Vec<String>,
    /// The decisions since the start.
    pub(super) all: Vec<String>,
    pub(super) diagnostics: Vec<String>,
    pub(super) in_flight: VecDeque<SentAttempt>,
    attempts: AttemptCounter,
}

impl Recorder {
    pub(super) fn with_timeline() -> Self {
        Recorder {
            timeline: Some(new_timeline()),
            ..Recorder::default()
        }
    }

    /// Sets the time of the decisions that follow.
    pub(super) fn advance(&mut self, now: Duration) {
        self.now = now;
        if let Some(timeline) = &mut self.timeline {
            timeline.advance(now);
        }
    }

    fn add(&mut self, decision: String) {
        self.recent.push(decision.clone());
        self.all.push(decision);
    }
}

impl Actions for Recorder {
    fn send_attempt(
        &mut self,
        request: RequestId,
        endpoint: EndpointId,
        _: Duration,
        _: Option<Duration>,
    ) {
        self.add(format!("send {} {}", request.0, endpoint.0));
        let number = self.attempts.next(request);
        if let Some(timeline) = &mut self.timeline {
            timeline.attempt_started(self.now, request, number, endpoint);
        }
        self.in_flight.push_back(SentAttempt {
            request,
            number,
            endpoint,
        });
    }
    fn reject(&mut self, id: RequestId, _: Duration) {
        self.add(format!("reject {}", id.0));
    }
    fn fail(&mut self, id: RequestId) {
        self.add(format!("fail {}", id.0));
    }
    fn cancel(&mut self, id: RequestId, attempt: AttemptNumber) {
        self.add(format!("cancel {}/{}", id.0, attempt.0));
    }
    fn schedule_wake_up(&mut self, _: Duration, _: TimerId) {}
    fn check_health(&mut self, _: EndpointId) {}
    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        self.add(format!("close-idle-connections {}", endpoint.0));
    }
    fn send_to_peer(&mut self, _: Option<AgentId>, _: &[u8]) {
        self.add("send-to-peer".to_owned());
    }
    fn log(&mut self, text: &str) {
        println!("{text}");
    }
    fn watch_endpoints(&mut self, _: bool) {
        self.add("watch".to_owned());
    }
    fn fetch_endpoints(&mut self) {}
    fn record_diagnostic(&mut self, diagnostic: Diagnostic) {
        self.diagnostics.push(format!("{diagnostic:?}"));
        if let Some(timeline) = &mut self.timeline {
            timeline.record_diagnostic(self.now, diagnostic);
        }
    }
    fn vote(&mut self, build: Build, stage: Stage, vote: Vote) {
        if let Some(timeline) = &mut self.timeline {
            timeline.record_vote(self.now, build, stage, vote);
        }
        self.add(format!("vote {} {} {vote:?}", build.0, stage.0).to_lowercase());
    }
}
