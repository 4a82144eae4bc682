//! Decides whether the agent may vote that the canary advances to its next stage.
use lilacgate_decision::{Build, ReleasePhase, Stage};

use crate::dependencies::{DependencyState, DependencyStates};
use crate::observed::Observed;
use crate::reason::{BlockedReason, Hold, PermittedAdvance};

/// Returns the canary if the rules allow it to advance. `has_traffic` tells whether a build is open to any of the
/// agent's requests.
pub(crate) fn permitted_advance(
    observed: &Observed,
    dependencies: &DependencyStates,
    has_traffic: impl FnOnce(Build) -> bool,
) -> Result<PermittedAdvance, Hold> {
    let rules = &observed.rules;
    let status = observed
        .own_status()
        .filter(|status| status.phase == ReleasePhase::Canary);
    let Some(status) = status else {
        return Err(hold(BlockedReason::NoCanary));
    };
    let canary = PermittedAdvance {
        build: status.build,
        stage: status.stage,
    };
    if observed.unknown_reason(rules.own_service).is_some() {
        return Err(hold(BlockedReason::OwnStatusUnknown));
    }
    let freeze = rules.freeze_blocking_step(rules.own_service, canary.build, observed.now);
    if let Some(freeze) = freeze {
        return Err(Hold {
            reason: BlockedReason::Frozen(freeze.index as u16),
            until: freeze.window.until,
        });
    }
    check_dependencies(observed, dependencies, canary)?;
    check_rings(observed, canary.build, canary.stage)?;
    if has_traffic(canary.build) {
        Ok(canary)
    } else {
        Err(hold(BlockedReason::NoTraffic))
    }
}

/// A hold that does not end by the passing of time alone.
fn hold(reason: BlockedReason) -> Hold {
    Hold {
        reason,
        until: None,
    }
}

/// Holds the canary while a dependency is not satisfied in a zone where the canary is used after the advance.
fn check_dependencies(
    observed: &Observed,
    dependencies: &DependencyStates,
    canary: PermittedAdvance,
) -> Result<(), Hold> {
    let rules = &observed.rules;
    let zones = rules.zones_after_next_step(rules.own_service, canary.build, canary.stage);
    let states = rules
        .dependencies(rules.own_service, canary.build)
        .flat_map(|(index, _)| zones.iter().map(move |zone| (index, *zone)))
        .map(|(index, zone)| (dependencies.get(index, zone), index as u16));
    match states.max() {
        Some((DependencyState::Unsatisfied, index)) => {
            Err(hold(BlockedReason::DependencyUnsatisfied(index)))
        }
        Some((DependencyState::Unknown, index)) => {
            Err(hold(BlockedReason::DependencyUnknown(index)))
        }
        Some((DependencyState::Satisfied, _)) | None => Ok(()),
    }
}

/// Holds the canary until all rings of its stage are open and the last one has been open for long enough.
fn check_rings(observed: &Observed, build: Build, stage: Stage) -> Result<(), Hold> {
    let own = observed.rules.own_service;
    let ladder = observed.rules.ladder(own, build);
    let Some((ladder, progress)) = ladder.zip(observed.progress.get(&(own, build))) else {
        return Ok(());
    };
    let opened = progress.opened.len();
    let next = ladder.rings.get(opened);
    if next.is_some_and(|ring| ring.stage <= stage) {
        let due = progress.next_ring_due(ladder);
        return Err(Hold {
            reason: BlockedReason::RingTime(opened as u8),
            until: due.filter(|due| *due > observed.now),
        });
    }
    match progress.soak_ends_at(ladder) {
        Some(end) if end > observed.now => Err(Hold {
            reason: BlockedReason::RingTime(opened.saturating_sub(1) as u8),
            until: Some(end),
        }),
        _ => Ok(()),
    }
}
