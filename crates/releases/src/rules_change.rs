//! Carries the state of a gate over to a gate with other rules, matching services, zones and tenants by their names.
use lilacgate_decision::{Tenant, Zone};

use crate::model::{Ring, Rules, ServiceId};
use crate::observed::Observed;
use crate::permission_table::PermissionRow;
use crate::stage_progress::StageProgress;

/// Carries over the statuses of each service that both rules name. Rings that do not stay open are opened again from
/// the same statuses.
pub(crate) fn carry_over_services(from: &Observed, to: &mut Observed) {
    for id in to.rules.service_ids() {
        let name = to.rules.service_name(id);
        let found = from
            .rules
            .service_ids()
            .find(|id| from.rules.service_name(*id) == name);
        if let Some(old) = found {
            to.services[usize::from(id.0)] = from.service(old).clone();
            carry_over_progress(from, old, to, id);
        }
    }
}

/// Carries over the progress of a service's builds. Open rings stay open up to the first one that was changed.
fn carry_over_progress(from: &Observed, old: ServiceId, to: &mut Observed, id: ServiceId) {
    let of_service = from
        .progress
        .iter()
        .filter(|((service, _), _)| *service == old);
    for ((_, build), progress) in of_service {
        let before = from.rules.ladder(old, *build);
        let after = to.rules.ladder(id, *build);
        let unchanged = before.zip(after).map_or(0, |(before, after)| {
            let rings = before.rings.iter().zip(&after.rings);
            rings
                .take_while(|(before, after)| same_ring(&from.rules, before, &to.rules, after))
                .count()
        });
        let progress = StageProgress {
            reached: progress.reached.clone(),
            opened: progress.opened.iter().take(unchanged).copied().collect(),
        };
        to.progress.insert((id, *build), progress);
    }
}

/// Whether two rings have the same name, stage, zones and tenants. Their soak times may differ.
fn same_ring(rules: &Rules, ring: &Ring, other_rules: &Rules, other: &Ring) -> bool {
    rules.zones == other_rules.zones
        && rules.tenants == other_rules.tenants
        && ring.name == other.name
        && ring.stage == other.stage
        && ring.pairs == other.pairs
}

/// A row for other rules, with the permissions of the pairs that both rules name.
pub(crate) fn carry_over_row(from: &Rules, row: &PermissionRow, to: &Rules) -> PermissionRow {
    let mut carried = PermissionRow::new(to.pair_count(), false);
    for pair in 0..to.pair_count() {
        if let Some(old) = same_pair(from, to, pair) {
            carried.has_build[pair] = row.has_build[old];
            carried.cells[pair] = row.cells[old];
        }
    }
    carried
}

/// The index in `from` of a pair of `to`; `None` if `from` does not name its zone or tenant.
fn same_pair(from: &Rules, to: &Rules, pair: usize) -> Option<usize> {
    let zone_name = &to.zones[pair / to.tenants.len()];
    let tenant_name = &to.tenants[pair % to.tenants.len()];
    let zone = from.zones.iter().position(|zone| zone == zone_name)?;
    let tenant = from
        .tenants
        .iter()
        .position(|tenant| tenant == tenant_name)?;
    Some(from.pair_index(Zone(zone as u8), Tenant(tenant as u16)))
}
