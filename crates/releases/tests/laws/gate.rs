//! Laws of the gate.
use std::collections::BTreeMap;

use lilacgate_decision::{Build, RequestClass, Tenant, Zone};
use lilacgate_releases::gate::Gate;
use proptest::prelude::*;

use crate::generated::{TENANTS, ZONES, config, dependency, freeze, inputs, rules, seconds};
use crate::reference_gate::ReferenceGate;

const REQUEST_CLASSES: u8 = 2;

/// A build, a zone, a tenant and a request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    build: u16,
    zone: u8,
    tenant: u16,
    class: u8,
}

/// What the gate admits, by place.
fn admitted(gate: &Gate) -> BTreeMap<Place, bool> {
    let mut found = BTreeMap::new();
    for build in 0..8 {
        for zone in 0..ZONES as u8 {
            for tenant in 0..TENANTS as u16 {
                for class in 0..REQUEST_CLASSES {
                    let admits = gate.admits(
                        Build(build),
                        Zone(zone),
                        Tenant(tenant),
                        RequestClass(class),
                    );
                    let place = Place {
                        build,
                        zone,
                        tenant,
                        class,
                    };
                    found.insert(place, admits.is_ok());
                }
            }
        }
    }
    found
}

/// Compares the gate with its definition at all places.
fn compare(gate: &Gate, reference: &mut ReferenceGate<'_>) -> Result<(), TestCaseError> {
    reference.open_rings();
    for (place, got) in admitted(gate) {
        let (zone, tenant) = (place.zone.into(), place.tenant.into());
        let want = reference.admits(place.build, zone, tenant, place.class);
        prop_assert_eq!(got, want, "{:?} at {}", place, reference.now);
    }
    Ok(())
}

proptest! {
    #![proptest_config(config(400))]

    #[test]
    fn the_table_is_the_plain_definition(rules in rules(), inputs in inputs()) {
        let mut gate = Gate::new(rules.clone(), None, seconds(0)).expect("no cycle");
        let mut reference = ReferenceGate::new(&rules);
        for (now, input) in (1..).zip(inputs) {
            // Time passes, then something comes in: the gate is compared both times.
            gate.advance(seconds(now));
            reference.now = now;
            compare(&gate, &mut reference)?;
            input.apply(&mut gate, seconds(now));
            reference.receive(input);
            compare(&gate, &mut reference)?;
        }
    }

    #[test]
    fn more_rules_never_admit_more(
        rules in rules(),
        inputs in inputs(),
        freeze in freeze(),
        dependency in dependency(),
        add_freeze in any::<bool>(),
    ) {
        let mut more = rules.clone();
        if add_freeze {
            more.freezes.push(freeze);
        } else {
            more.dependencies.push(dependency);
        }
        let gate = |rules| Gate::new(rules, None, seconds(0)).expect("no cycle");
        let mut gates = [rules, more].map(gate);
        for (now, input) in (1..).zip(inputs) {
            for gate in &mut gates {
                input.apply(gate, seconds(now));
            }
            let [fewer, more] = gates.each_ref().map(admitted);
            prop_assert!(more.iter().all(|(place, open)| !open || fewer[place]));
            let [fewer, more] = gates.each_ref().map(Gate::permitted_advance);
            prop_assert!(more.is_err() || fewer == more);
        }
    }

    #[test]
    fn the_table_handed_out_is_the_same(
        rules in rules(),
        inputs in inputs(),
        only in 0..TENANTS as u16,
    ) {
        let mut gate = Gate::new(rules, Some(Tenant(only)), seconds(0)).expect("no cycle");
        for (now, input) in (1..).zip(inputs) {
            input.apply(&mut gate, seconds(now));
            let permissions = gate.permissions();
            let own = admitted(&gate).into_iter().filter(|(place, _)| place.tenant == only);
            for (place, admits) in own {
                let (build, zone) = (Build(place.build), Zone(place.zone));
                let handed = permissions.permits(build, zone, Tenant(0), RequestClass(place.class));
                prop_assert_eq!(handed, admits);
                prop_assert!(!handed || permissions.permits_any(build, zone));
            }
        }
    }
}
