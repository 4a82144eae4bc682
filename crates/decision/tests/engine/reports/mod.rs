//! The outcome reports that agents send to the aggregators of a build: what an aggregator of a large fleet receives
//! is bounded, nothing counts twice, votes are as soon as without relays, and small fleets send what they always did.
mod datagrams;
mod fleet;
mod network;
mod relay;
mod single;

use std::time::Duration;

use lilacgate_decision::{
    Build, DecisionEngine, Endpoint, EndpointId, EventHandler, ListUpdate, ReleasePhase, Stage,
};

use crate::support::{ReleaseUpdate, agent_settings, endpoint};

const SECOND: Duration = Duration::from_secs(1);
const CANARY: Build = Build(2);
/// The largest report, in bytes.
const MAX_REPORT: usize = 256;

/// How agents report.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reporting {
    /// A large fleet reports through relays.
    Relayed,
    /// All agents report to the aggregators themselves.
    Direct,
    /// Agents may not send messages to each other.
    Forbidden,
}

fn engine(agent: u32, agent_count: u32, reporting: Reporting, seed: u64) -> DecisionEngine {
    let mut settings = agent_settings(agent, agent_count, seed);
    settings.fleet_position.can_message_peers = reporting != Reporting::Forbidden;
    settings.release_analysis.use_relays = reporting != Reporting::Direct;
    DecisionEngine::new(settings)
}

/// The n-th endpoint that runs the canary: each tenth of the list does, until there are enough.
fn canary(number: u32) -> EndpointId {
    endpoint(number * 10).id
}

/// The endpoints of a fleet: how many, and how many of them run the canary.
#[derive(Clone, Copy)]
struct Listed {
    endpoints: u32,
    canaries: u32,
}

impl Listed {
    /// Sends the list and the release status: only the first build, or also the canary that started at a time.
    fn send_to(self, events: &mut dyn EventHandler, canary_started: Option<Duration>) {
        let list = (0..self.endpoints).map(|index| {
            let runs_canary = index.is_multiple_of(10) && index / 10 < self.canaries;
            match canary_started {
                Some(started) if runs_canary => Endpoint {
                    build: CANARY,
                    started: Some(started),
                    ..endpoint(index)
                },
                _ => endpoint(index),
            }
        });
        events.on_endpoints(ListUpdate::Full, &mut list.into_iter());
        let release = match canary_started {
            None => ReleaseUpdate::FIRST_BUILD_RELEASED,
            Some(_) => ReleaseUpdate {
                build: CANARY,
                stage: Stage(0),
                phase: ReleasePhase::Canary,
                cap: 0.5,
            },
        };
        release.send_to(events);
    }
}
