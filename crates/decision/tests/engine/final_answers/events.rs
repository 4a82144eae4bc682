//! The random events and ends of attempts.
use lilacgate_decision::{EndpointStatus, Outcome, ReleasePhase};
use proptest::prelude::*;

use super::STEPS_WITH_EVENTS;

/// An event of a step.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Request {
        class: u8,
        milliseconds_left: u64,
    },
    /// The client of a pending request leaves.
    ClientLeaves(prop::sample::Index),
    EndpointChanges {
        index: u8,
        status: EndpointStatus,
        build: u16,
        just_started: bool,
    },
    ReleaseUpdate {
        build: u16,
        phase: ReleasePhase,
        cap: f64,
    },
    /// The agent begins to shut down.
    Shutdown {
        milliseconds_left: u64,
    },
}

pub(super) fn event() -> impl Strategy<Value = (u32, Event)> {
    let status = prop::sample::select(vec![
        EndpointStatus::Ready,
        EndpointStatus::Ready,
        EndpointStatus::Draining,
        EndpointStatus::Removed,
    ]);
    let phase = prop::sample::select(vec![
        ReleasePhase::Canary,
        ReleasePhase::RollingBack,
        ReleasePhase::Released,
    ]);
    let event = prop_oneof![
        12 => (0u8..4, 1u64..1500)
            .prop_map(|(class, milliseconds_left)| Event::Request { class, milliseconds_left }),
        2 => any::<prop::sample::Index>().prop_map(Event::ClientLeaves),
        3 => (0u8..6, status, 1u16..4, any::<bool>()).prop_map(
            |(index, status, build, just_started)| Event::EndpointChanges {
                index, status, build, just_started
            }
        ),
        1 => (1u16..4, phase, 0.0f64..1.0)
            .prop_map(|(build, phase, cap)| Event::ReleaseUpdate { build, phase, cap }),
        1 => (1000u64..3000).prop_map(|milliseconds_left| Event::Shutdown { milliseconds_left }),
    ];
    (0..STEPS_WITH_EVENTS, event)
}

/// How an attempt ends, and after how many steps, unless its request has to be answered earlier.
pub(super) type AttemptEnd = (Outcome, u32);

pub(super) fn attempt_end() -> impl Strategy<Value = AttemptEnd> {
    let outcomes = vec![
        Outcome::Succeeded,
        Outcome::Succeeded,
        Outcome::Failed,
        Outcome::Rejected,
        Outcome::TimedOut,
        Outcome::ConnectFailed,
        Outcome::ConnectionLost,
        Outcome::Malformed,
        Outcome::NotSent,
    ];
    (prop::sample::select(outcomes), 0u32..400)
}
