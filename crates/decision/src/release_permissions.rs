//! What the operator's rules permit, as a table that the engine looks up for each request. Whoever makes the
//! table decides; nothing here does. It can only take away: what the engine itself forbids stays forbidden.
use crate::model::{Build, RequestClass, Stage, Tenant, Zone};

/// Which builds may be used where and for whom, and which stage may be followed by the next.
///
/// A build that has no row is closed; so are zones, tenants and classes beyond the table's size.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReleasePermissions {
    builds: Vec<Build>,
    zone_count: usize,
    tenant_count: usize,
    /// By build, zone and tenant: a bit for each class.
    classes: Vec<u64>,
    /// By build and zone: the classes that are open to any tenant.
    classes_of_any: Vec<u64>,
    advance_from: Option<(Build, Stage)>,
}

impl ReleasePermissions {
    /// The most request classes that a table can tell apart.
    pub const MAX_CLASSES: usize = 64;

    /// `rows` are in the order of their builds; each holds `zone_count` x `tenant_count` cells, those of a zone
    /// together, with a bit for each class. `advance_from` is the one stage that may be followed by the next.
    ///
    /// # Panics
    /// Where a row has another number of cells, or rows are out of order: a fault of the caller's.
    pub fn new(
        zone_count: usize,
        tenant_count: usize,
        rows: &[(Build, &[u64])],
        advance_from: Option<(Build, Stage)>,
    ) -> Self {
        assert!(
            rows.is_sorted_by(|(one, _), (next, _)| one < next),
            "rows in the order of their builds"
        );
        assert!(
            rows.iter()
                .all(|(_, cells)| cells.len() == zone_count * tenant_count),
            "a cell for each zone and tenant"
        );
        let builds = rows.iter().map(|(build, _)| *build).collect();
        let classes: Vec<u64> = rows
            .iter()
            .flat_map(|(_, cells)| cells.iter().copied())
            .collect();
        let classes_of_any = if tenant_count == 0 {
            Vec::new()
        } else {
            classes
                .chunks(tenant_count)
                .map(|zone| zone.iter().fold(0, |all, cell| all | cell))
                .collect()
        };
        ReleasePermissions {
            builds,
            zone_count,
            tenant_count,
            classes,
            classes_of_any,
            advance_from,
        }
    }

    fn index(&self, build: Build, zone: Zone) -> Option<usize> {
        let row = self.builds.binary_search(&build).ok()?;
        let zone = usize::from(zone.0);
        (zone < self.zone_count).then_some(row * self.zone_count + zone)
    }

    /// Whether requests of a class and tenant may go to a build in a zone.
    pub fn permits(&self, build: Build, zone: Zone, tenant: Tenant, class: RequestClass) -> bool {
        let (tenant, class) = (usize::from(tenant.0), u32::from(class.0));
        let index = self.index(build, zone);
        let Some(index) = index.filter(|_| tenant < self.tenant_count) else {
            return false;
        };
        self.classes[index * self.tenant_count + tenant]
            .checked_shr(class)
            .is_some_and(|bits| bits & 1 == 1)
    }

    /// Whether a build in a zone is open to anyone.
    pub fn permits_any(&self, build: Build, zone: Zone) -> bool {
        self.index(build, zone)
            .is_some_and(|index| self.classes_of_any[index] != 0)
    }

    /// Whether a vote may ask that a build advances from this stage.
    pub fn may_advance(&self, build: Build, stage: Stage) -> bool {
        self.advance_from == Some((build, stage))
    }
}
