//! Tests of the outcome reports that agents send to the aggregators of a build. In a large fleet the bytes that an
//! aggregator receives are bounded, no outcome is counted twice, and votes are not much later than without relays.
//! Small fleets report to the aggregators directly.
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
/// Maximum length of a report, in bytes.
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

/// The endpoint with this number among those that run the canary, which are every tenth one of the list.
fn canary(number: u32) -> EndpointId {
    endpoint(number * 10).id
}

/// The numbers of all listed endpoints, and of those that run the canary.
#[derive(Clone, Copy)]
struct EndpointCounts {
    endpoints: u32,
    canaries: u32,
}

impl EndpointCounts {
    /// Sends the endpoint list and the release status. With `canary_started`, the canary has been running since then;
    /// without it, all endpoints run the first build.
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
