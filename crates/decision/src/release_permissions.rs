//! What the operator's rules permit, as a table that the engine looks up for each request. The rules are evaluated by
//! whoever builds the table. It only restricts: what the engine's own policies forbid stays forbidden.
use crate::model::{Build, RequestClass, Stage, Tenant, Zone};

/// Which builds may receive the requests of which tenants and classes in which zones, and which stage may advance.
///
/// Nothing is permitted for a build without a row, or for zones, tenants and classes beyond the table's size.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReleasePermissions {
    builds: Vec<Build>,
    zone_count: usize,
    tenant_count: usize,
    /// Bit masks of the permitted classes, by build, zone and tenant.
    class_masks: Vec<u64>,
    /// Bit masks of the classes that are permitted for at least one tenant, by build and zone.
    any_tenant_class_masks: Vec<u64>,
    advance_from: Option<(Build, Stage)>,
}

impl ReleasePermissions {
    /// Largest number of request classes: a mask has one bit for each.
    pub const MAX_CLASSES: usize = 64;

    /// Creates a table. `rows` are sorted by build; each holds `zone_count` x `tenant_count` bit masks of the permitted
    /// classes, grouped by zone. `advance_from` is the only stage that a vote may ask to advance.
    ///
    /// # Panics
    /// If the rows are not sorted by build, or a row holds another number of masks.
    pub fn new(
        zone_count: usize,
        tenant_count: usize,
        rows: &[(Build, &[u64])],
        advance_from: Option<(Build, Stage)>,
    ) -> Self {
        assert!(
            rows.is_sorted_by(|(build, _), (next, _)| build < next),
            "the rows of release permissions are not sorted by build, or a build occurs twice"
        );
        assert!(
            rows.iter()
                .all(|(_, masks)| masks.len() == zone_count * tenant_count),
            "a row of release permissions does not hold {zone_count} x {tenant_count} class masks"
        );
        let builds = rows.iter().map(|(build, _)| *build).collect();
        let class_masks: Vec<u64> = rows
            .iter()
            .flat_map(|(_, masks)| masks.iter().copied())
            .collect();
        let any_tenant_class_masks = if tenant_count == 0 {
            Vec::new()
        } else {
            class_masks
                .chunks(tenant_count)
                .map(|zone| zone.iter().fold(0, |union, mask| union | mask))
                .collect()
        };
        ReleasePermissions {
            builds,
            zone_count,
            tenant_count,
            class_masks,
            any_tenant_class_masks,
            advance_from,
        }
    }

    /// The index of a build and zone in `any_tenant_class_masks`; `None` if the table does not hold them.
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
        self.class_masks[index * self.tenant_count + tenant]
            .checked_shr(class)
            .is_some_and(|bits| bits & 1 == 1)
    }

    /// Whether any tenant and class may use a build in a zone.
    pub fn permits_any(&self, build: Build, zone: Zone) -> bool {
        self.index(build, zone)
            .is_some_and(|index| self.any_tenant_class_masks[index] != 0)
    }

    /// Whether the agent may vote to advance a build from this stage.
    pub fn may_advance(&self, build: Build, stage: Stage) -> bool {
        self.advance_from == Some((build, stage))
    }
}
