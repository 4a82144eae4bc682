//! What an operator's rules leave open, as a table that the module looks up for each request. Whoever makes
//! it decides; nothing here does. It can only take away: what the module itself forbids stays forbidden.
use crate::model::{Build, RequestClass, Stage, Tenant, Zone};

/// Which builds may be used where and for whom, and which step on may be asked for.
///
/// A build that has no row is closed; so are zones, firms and products beyond the table's size.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReleasePermissions {
    builds: Vec<Build>,
    zones: usize,
    firms: usize,
    /// By build, zone and firm: a bit for each product.
    cells: Vec<u64>,
    /// By build and zone: whatever is open to anyone.
    unions: Vec<u64>,
    step: Option<(Build, Stage)>,
}

impl ReleasePermissions {
    /// The most products that a table can tell apart.
    pub const PRODUCTS: usize = 64;

    /// `rows` are in the order of their builds; each holds `zones` x `firms` cells, those of a zone together. `step`
    /// is the one step on that may be asked for.
    ///
    /// # Panics
    /// Where a row has another number of cells, or rows are out of order: a fault of the caller's.
    pub fn new(
        zones: usize,
        firms: usize,
        rows: &[(Build, &[u64])],
        step: Option<(Build, Stage)>,
    ) -> Self {
        assert!(
            rows.is_sorted_by(|a, b| a.0 < b.0),
            "rows in the order of their builds"
        );
        assert!(
            rows.iter().all(|(_, cells)| cells.len() == zones * firms),
            "a cell for each zone and firm"
        );
        let builds = rows.iter().map(|(build, _)| *build).collect();
        let cells: Vec<u64> = rows
            .iter()
            .flat_map(|(_, cells)| cells.iter().copied())
            .collect();
        let unions = if firms == 0 {
            Vec::new()
        } else {
            cells
                .chunks(firms)
                .map(|zone| zone.iter().fold(0, |all, cell| all | cell))
                .collect()
        };
        ReleasePermissions {
            builds,
            zones,
            firms,
            cells,
            unions,
            step,
        }
    }

    fn place(&self, build: Build, zone: Zone) -> Option<usize> {
        let row = self.builds.binary_search(&build).ok()?;
        let zone = usize::from(zone.0);
        (zone < self.zones).then_some(row * self.zones + zone)
    }

    /// Whether requests of a product and firm may go to a build in a zone.
    pub fn admits(&self, build: Build, zone: Zone, firm: Tenant, class: RequestClass) -> bool {
        let (firm, class) = (usize::from(firm.0), u32::from(class.0));
        let Some(place) = self.place(build, zone).filter(|_| firm < self.firms) else {
            return false;
        };
        self.cells[place * self.firms + firm]
            .checked_shr(class)
            .is_some_and(|bits| bits & 1 == 1)
    }

    /// Whether a build in a zone is open to anyone.
    pub fn any(&self, build: Build, zone: Zone) -> bool {
        self.place(build, zone)
            .is_some_and(|place| self.unions[place] != 0)
    }

    /// Whether it may be asked that a build goes on from this stage.
    pub fn may_step(&self, build: Build, stage: Stage) -> bool {
        self.step == Some((build, stage))
    }
}
