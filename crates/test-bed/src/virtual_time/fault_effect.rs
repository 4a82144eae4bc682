//! Which faults are in force at a time, and what they make of a request.
use std::time::Duration;

use super::{EPOCH, Fault, ScheduledFault};

/// A fault that is in force, and which share of its duration has passed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ActiveFault {
    pub(super) fault: Fault,
    pub(super) progress: f64,
}

/// What the active faults make of one request.
#[derive(Debug)]
pub(super) struct FaultEffect {
    /// A factor of the service time.
    pub(super) slowdown: f64,
    /// The probability of a failure.
    pub(super) failure_share: f64,
    /// The node does not answer.
    pub(super) silent: bool,
    /// The node refuses the connection.
    pub(super) refused: bool,
}

impl FaultEffect {
    pub(super) fn new(
        active: &[ActiveFault],
        at_node: u32,
        at_build: u16,
        of_class: u8,
    ) -> FaultEffect {
        let mut effect = FaultEffect {
            slowdown: 1.0,
            failure_share: 0.0,
            silent: false,
            refused: false,
        };
        let concerns = |class: Option<u8>| class.is_none_or(|class| class == of_class);
        for ActiveFault { fault, progress } in active {
            match *fault {
                Fault::Errors { node, share, class } if node == at_node && concerns(class) => {
                    effect.failure_share = effect.failure_share.max(share);
                }
                Fault::BadBuild { build, share } if build == at_build => {
                    effect.failure_share = effect.failure_share.max(share);
                }
                Fault::Slow {
                    node,
                    factor,
                    class,
                } if node == at_node && concerns(class) => effect.slowdown *= factor,
                Fault::Drift { node, factor } if node == at_node => {
                    effect.slowdown *= 1.0 + (factor - 1.0) * progress;
                }
                Fault::AllSlow { factor } => effect.slowdown *= factor,
                Fault::Silent { node } if node == at_node => effect.silent = true,
                Fault::ConnectionsRefused { node } if node == at_node => effect.refused = true,
                _ => {}
            }
        }
        effect
    }
}

/// The faults in force at this time.
pub(super) fn active_faults(faults: &[ScheduledFault], now: Duration) -> Vec<ActiveFault> {
    faults
        .iter()
        .filter(|scheduled| is_active(scheduled, now))
        .map(|scheduled| ActiveFault {
            fault: scheduled.fault,
            progress: (now - EPOCH - scheduled.at).as_secs_f64() / scheduled.duration.as_secs_f64(),
        })
        .collect()
}

/// Now, or when the agent goes on if it is suspended.
pub(super) fn agent_awake_at(faults: &[ScheduledFault], now: Duration) -> Duration {
    faults
        .iter()
        .find(|scheduled| scheduled.fault == Fault::AgentSuspended && is_active(scheduled, now))
        .map_or(now, |suspended| EPOCH + suspended.at + suspended.duration)
}

fn is_active(scheduled: &ScheduledFault, now: Duration) -> bool {
    let start = EPOCH + scheduled.at;
    (start..start + scheduled.duration).contains(&now)
}
