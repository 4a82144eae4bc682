//! Decides to which zones and tenants one build is open: the build's row of the permission table.
use std::collections::BTreeMap;

use lilacgate_decision::{Build, Zone};

use crate::dependencies::{DependencyState, DependencyStates};
use crate::model::{Dependency, Ring, WhenUnknown};
use crate::observed::{BuildStanding, IndexedLadder, Observed};
use crate::permission_table::{PermissionCell, PermissionRow};
use crate::reason::ClosedReason;

/// How far a build is open to a pair, in ascending order of restriction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Access {
    /// The pair gets the build.
    Open,
    /// The pair keeps the build if it has it, and does not get it otherwise.
    Hold(ClosedReason),
    /// The pair loses the build.
    Closed(ClosedReason),
}

/// How many pairs got and lost a build.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RowChange {
    /// The number of pairs that got the build.
    pub(crate) opened: usize,
    /// The number of pairs that lost the build, by reason.
    pub(crate) closed: BTreeMap<ClosedReason, usize>,
}

/// The inputs of the decision about one build.
struct RowUpdate<'a> {
    observed: &'a Observed,
    dependencies: &'a DependencyStates,
    build: Build,
    standing: BuildStanding,
    /// The build's ladder; `None` if it has none or the ladder no longer applies.
    ladder: Option<IndexedLadder<'a>>,
    open_rings: usize,
}

/// Updates a build's row and returns what has changed.
pub(crate) fn update_row(
    observed: &Observed,
    dependencies: &DependencyStates,
    build: Build,
    row: &mut PermissionRow,
) -> RowChange {
    let own = observed.rules.own_service;
    let standing = observed.standing(build);
    let ladder = observed
        .indexed_ladder(own, build)
        .filter(|_| standing != BuildStanding::Earlier);
    let update = RowUpdate {
        observed,
        dependencies,
        build,
        standing,
        ladder,
        open_rings: observed.open_rings(own, build),
    };
    update.apply(row)
}

impl RowUpdate<'_> {
    fn apply(&self, row: &mut PermissionRow) -> RowChange {
        let rules = &self.observed.rules;
        let request_classes = self.request_classes(row.cells.len());
        let frozen = self.access_by_freezes(row.cells.len());
        let own_status = self.access_by_own_status();
        let mut change = RowChange::default();
        for zone in rules.zone_ids() {
            let by_zone = self.access_by_dependencies(zone).max(own_status);
            for pair in rules.zone_pairs(zone) {
                let access = by_zone.max(frozen[pair]).max(self.access_by_ladder(pair));
                let before = row.cells[pair];
                let cell = next_cell(access, request_classes[pair], &mut row.has_build[pair]);
                row.cells[pair] = cell;
                match (before.open != 0, cell.open != 0) {
                    (false, true) => change.opened += 1,
                    (true, false) => *change.closed.entry(cell.reason).or_default() += 1,
                    _ => {}
                }
            }
        }
        change
    }

    /// The open rings of the ladder; none if no ladder applies.
    fn open_ladder_rings(&self) -> &[Ring] {
        let rings: &[Ring] = self.ladder.map_or(&[], |indexed| &indexed.ladder.rings);
        &rings[..self.open_rings.min(rings.len())]
    }

    /// For each pair, the request classes that the open rings allow, as bits; all classes once the build is released.
    fn request_classes(&self, pairs: usize) -> Vec<u64> {
        let limited = self.standing.is_unreleased() && self.ladder.is_some();
        let mut allowed = vec![if limited { 0 } else { u64::MAX }; pairs];
        for ring in self.open_ladder_rings() {
            for (allowed, is_in_ring) in allowed.iter_mut().zip(&ring.pairs.0) {
                if *is_in_ring {
                    *allowed |= ring.request_classes;
                }
            }
        }
        allowed
    }

    /// For each pair, the access that the active freezes leave.
    fn access_by_freezes(&self, pairs: usize) -> Vec<Access> {
        let mut by_pair = vec![Access::Open; pairs];
        if self.standing == BuildStanding::Earlier {
            return by_pair;
        }
        let rules = &self.observed.rules;
        for frozen in rules.active_freezes(rules.own_service, self.observed.now) {
            let reason = ClosedReason::Frozen(frozen.index as u16);
            let access = if frozen.freeze.closes_canary && self.standing.is_unreleased() {
                Access::Closed(reason)
            } else {
                Access::Hold(reason)
            };
            for (by_pair, is_frozen) in by_pair.iter_mut().zip(&frozen.freeze.pairs.0) {
                if *is_frozen {
                    *by_pair = access.max(*by_pair);
                }
            }
        }
        by_pair
    }

    /// The access that the status of the agent's own service leaves.
    fn access_by_own_status(&self) -> Access {
        let own = self.observed.rules.own_service;
        match self.observed.unknown_reason(own) {
            Some(_) if self.standing != BuildStanding::Earlier => {
                Access::Hold(ClosedReason::OwnStatusUnknown)
            }
            _ if self.standing == BuildStanding::RollingBack => {
                Access::Hold(ClosedReason::RollingBack)
            }
            _ => Access::Open,
        }
    }

    /// The access that the build's dependencies leave in a zone.
    fn access_by_dependencies(&self, zone: Zone) -> Access {
        let rules = &self.observed.rules;
        rules
            .dependencies(rules.own_service, self.build)
            .map(|(index, dependency)| self.access_by_dependency(index, dependency, zone))
            .max()
            .unwrap_or(Access::Open)
    }

    fn access_by_dependency(&self, index: usize, dependency: &Dependency, zone: Zone) -> Access {
        let when_unknown = if self.standing.is_unreleased() {
            dependency.canary_when_unknown
        } else {
            dependency.released_when_unknown
        };
        let number = index as u16;
        match (self.dependencies.get(index, zone), when_unknown) {
            (DependencyState::Satisfied, _) => Access::Open,
            (DependencyState::Unsatisfied, _) => {
                Access::Closed(ClosedReason::DependencyUnsatisfied(number))
            }
            (DependencyState::Unknown, WhenUnknown::Close) => {
                Access::Closed(ClosedReason::DependencyUnknown(number))
            }
            (DependencyState::Unknown, WhenUnknown::Hold) => {
                Access::Hold(ClosedReason::DependencyUnknown(number))
            }
        }
    }

    /// The access that the ladder leaves to a pair.
    fn access_by_ladder(&self, pair: usize) -> Access {
        let Some(indexed) = self.ladder else {
            return Access::Open;
        };
        match indexed.first_rings[pair] {
            None => Access::Closed(ClosedReason::NoRing),
            Some(ring) if usize::from(ring) < self.open_rings => Access::Open,
            Some(ring) => Access::Closed(ClosedReason::RingNotOpen(ring)),
        }
    }
}

/// The cell for an access. Updates `has_build`, which says whether the pair has the build.
fn next_cell(access: Access, request_classes: u64, has_build: &mut bool) -> PermissionCell {
    match access {
        Access::Open => {
            *has_build = true;
            PermissionCell {
                open: request_classes,
                reason: ClosedReason::Open,
            }
        }
        Access::Hold(reason) => PermissionCell {
            open: if *has_build { request_classes } else { 0 },
            reason,
        },
        Access::Closed(reason) => {
            *has_build = false;
            PermissionCell { open: 0, reason }
        }
    }
}
