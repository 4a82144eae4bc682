//! Why a build is closed somewhere, and why its next stage is held. Rings, freezes and dependencies are referred to by
//! their index in the rules.
use std::time::Duration;

use lilacgate_decision::{Build, Stage};

/// Why a build is closed to a zone and a tenant, or closed to new users there. The order decides which of several
/// reasons is reported: the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClosedReason {
    /// It is open.
    Open,
    /// No endpoint is listed with the build, and no release status names it.
    NotListed,
    /// No ring of the build's ladder holds this zone and tenant.
    NoRing,
    /// The ring, by its index in the ladder, has not opened yet.
    RingNotOpen(u8),
    /// The build is open there, but not to this request class.
    RequestClass,
    /// A freeze is active.
    Frozen(u16),
    /// A dependency is not satisfied.
    DependencyUnsatisfied(u16),
    /// It is unknown whether a dependency is satisfied.
    DependencyUnknown(u16),
    /// The release status of the own service is not reliable.
    OwnStatusUnknown,
    /// The build is being rolled back.
    RollingBack,
}

impl ClosedReason {
    /// The code that logs and `lgctl` show.
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

/// Why the next stage of the canary may not be voted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockedReason {
    /// No build is a canary.
    NoCanary,
    /// A ring of the present stage, by its index in the ladder, is not open yet, or the last one not for long enough.
    RingTime(u8),
    /// A freeze is active.
    Frozen(u16),
    /// A dependency is not satisfied.
    DependencyUnsatisfied(u16),
    /// It is unknown whether a dependency is satisfied.
    DependencyUnknown(u16),
    /// The release status of the own service is not reliable.
    OwnStatusUnknown,
    /// The build is open to none of this agent's requests, so that the agent has no outcomes to vote on.
    NoTraffic,
}

impl BlockedReason {
    /// The code that logs and `lgctl` show.
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

/// A stage is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Why.
    pub reason: BlockedReason,
    /// The earliest end, since 1970, where time alone decides it.
    pub until: Option<Duration>,
}

/// A canary whose next stage may be voted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermittedAdvance {
    /// The canary.
    pub build: Build,
    /// The stage that it is in.
    pub stage: Stage,
}
