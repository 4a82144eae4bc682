//! The table that is consulted for each request: by build, zone and tenant, which request classes are open, and why the
//! others are closed. The table only stores decisions; [`crate::gate`] makes them.
use lilacgate_decision::{Build, ReleasePermissions, Tenant};

use crate::reason::{ClosedReason, PermittedAdvance};

/// The permission of one pair of a zone and a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PermissionCell {
    /// The request classes that are open, as bits.
    pub(crate) open: u64,
    /// Why the build is closed, or closed to new users.
    pub(crate) reason: ClosedReason,
}

impl PermissionCell {
    /// The cell of a build that is not listed.
    pub(crate) const CLOSED: PermissionCell = PermissionCell {
        open: 0,
        reason: ClosedReason::NotListed,
    };
}

/// The cells of one build, by pair.
#[derive(Clone, Debug)]
pub(crate) struct PermissionRow {
    /// For each pair, whether it has the build: it got the build and the build was not closed to it since.
    pub(crate) has_build: Vec<bool>,
    /// The current permission of each pair.
    pub(crate) cells: Vec<PermissionCell>,
}

impl PermissionRow {
    /// A row that is closed to all pairs. `has_build` says whether the pairs have the build.
    pub(crate) fn new(pairs: usize, has_build: bool) -> Self {
        PermissionRow {
            has_build: vec![has_build; pairs],
            cells: vec![PermissionCell::CLOSED; pairs],
        }
    }

    /// The number of pairs that the build is open to.
    pub(crate) fn open_pairs(&self) -> usize {
        self.cells.iter().filter(|cell| cell.open != 0).count()
    }
}

/// The size of a table, and the tenant whose requests the agent routes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TableShape {
    /// The number of zones.
    pub(crate) zones: usize,
    /// The number of tenants.
    pub(crate) tenants: usize,
    /// The only tenant that the decision engine's table contains, as number 0; all tenants if `None`.
    pub(crate) only_tenant: Option<Tenant>,
}

impl TableShape {
    /// Whether the decision engine's table contains a pair.
    pub(crate) fn includes(self, pair: usize) -> bool {
        self.only_tenant
            .is_none_or(|tenant| pair % self.tenants == usize::from(tenant.0))
    }
}

/// Converts the table to the type of the decision engine.
pub(crate) fn permissions<'a>(
    rows: impl Iterator<Item = (Build, &'a PermissionRow)>,
    shape: TableShape,
    advance: Option<PermittedAdvance>,
) -> ReleasePermissions {
    let open_classes = |row: &PermissionRow| -> Vec<u64> {
        let included = row
            .cells
            .iter()
            .enumerate()
            .filter(|(pair, _)| shape.includes(*pair));
        included.map(|(_, cell)| cell.open).collect()
    };
    let rows: Vec<(Build, Vec<u64>)> = rows
        .map(|(build, row)| (build, open_classes(row)))
        .collect();
    let slices: Vec<(Build, &[u64])> = rows
        .iter()
        .map(|(build, cells)| (*build, &cells[..]))
        .collect();
    let tenants = if shape.only_tenant.is_some() {
        1
    } else {
        shape.tenants
    };
    let advance = advance.map(|advance| (advance.build, advance.stage));
    ReleasePermissions::new(shape.zones, tenants, &slices, advance)
}
