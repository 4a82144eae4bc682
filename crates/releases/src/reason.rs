//! The reasons for which a build is closed to a zone and a tenant, or may not advance to its next stage. Freezes and
//! dependencies are identified by their index in the rules, rings by their index in the ladder.
use std::time::Duration;

use lilacgate_decision::{Build, Stage};

/// Why a build is closed to a zone and a tenant, or closed to new users there. If several reasons apply, the one that
/// is last in this order is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClosedReason {
    /// The build is not closed.
    Open,
    /// No endpoint is listed with the build, and no release status names it.
    NotListed,
    /// No ring of the build's ladder contains this zone and tenant.
    NoRing,
    /// The ring that contains the zone and tenant has not opened yet.
    RingNotOpen(u8),
    /// The build is open there, but not to this request class.
    RequestClass,
    /// A freeze is active.
    Frozen(u16),
    /// A dependency is not satisfied.
    DependencyUnsatisfied(u16),
    /// It is unknown whether a dependency is satisfied.
    DependencyUnknown(u16),
    /// The release status of the agent's own service is missing, too old or contradictory.
    OwnStatusUnknown,
    /// The build is being rolled back.
    RollingBack,
}

impl ClosedReason {
    /// The code that log lines, stored states and `lgctl` show.
    pub fn code(self) -> &'static str {
        match self {
            ClosedReason::Open => "open",
            ClosedReason::NotListed => "not-listed",
            ClosedReason::NoRing => "no-ring",
            ClosedReason::RingNotOpen(_) => "ring-shut",
            ClosedReason::RequestClass => "product",
            ClosedReason::Frozen(_) => "frozen",
            ClosedReason::DependencyUnsatisfied(_) => "need-unmet",
            ClosedReason::DependencyUnknown(_) => "need-unknown",
            ClosedReason::OwnStatusUnknown => "own-news",
            ClosedReason::RollingBack => "going-back",
        }
    }
}

/// Why the agent may not vote for the canary's next stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockedReason {
    /// No build is a canary.
    NoCanary,
    /// A ring of the current stage is not open yet, or the last one has not been open for long enough.
    RingTime(u8),
    /// A freeze is active.
    Frozen(u16),
    /// A dependency is not satisfied.
    DependencyUnsatisfied(u16),
    /// It is unknown whether a dependency is satisfied.
    DependencyUnknown(u16),
    /// The release status of the agent's own service is missing, too old or contradictory.
    OwnStatusUnknown,
    /// The build is open to none of this agent's requests, so that the agent has no outcomes on which to base a vote.
    NoTraffic,
}

impl BlockedReason {
    /// The code that log lines, stored states and `lgctl` show.
    pub fn code(self) -> &'static str {
        match self {
            BlockedReason::NoCanary => "no-trial",
            BlockedReason::RingTime(_) => "ring-time",
            BlockedReason::Frozen(_) => "frozen",
            BlockedReason::DependencyUnsatisfied(_) => "need-unmet",
            BlockedReason::DependencyUnknown(_) => "need-unknown",
            BlockedReason::OwnStatusUnknown => "own-news",
            BlockedReason::NoTraffic => "no-view",
        }
    }
}

/// The decision that the canary may not advance to its next stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The reason why the canary may not advance.
    pub reason: BlockedReason,
    /// The earliest end, as time since 1970; `None` if the hold does not end by the passing of time alone.
    pub until: Option<Duration>,
}

/// A canary whose next stage may be voted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermittedAdvance {
    /// The canary's build.
    pub build: Build,
    /// The stage that the canary is in, before it advances.
    pub stage: Stage,
}
