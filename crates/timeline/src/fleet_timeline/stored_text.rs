//! The texts of statuses, phases and votes in stored entries. Older readers show and compare them, so they must not
//! change when a name in the code does.
use lilacgate_decision::{EndpointStatus, ReleasePhase, Vote};

pub(super) fn status(status: EndpointStatus) -> &'static str {
    match status {
        EndpointStatus::Ready => "ready",
        EndpointStatus::Draining => "draining",
        EndpointStatus::Removed => "gone",
    }
}

pub(super) fn phase(phase: ReleasePhase) -> &'static str {
    match phase {
        ReleasePhase::Canary => "on-trial",
        ReleasePhase::RollingBack => "going-back",
        ReleasePhase::Released => "released",
        ReleasePhase::Withdrawn => "withdrawn",
    }
}

pub(super) fn vote(vote: Vote) -> &'static str {
    match vote {
        Vote::Retract => "withdraw",
        Vote::Advance => "on",
        Vote::Hold => "hold",
        Vote::RollBack => "back",
    }
}
