//! Owns the element `<releases>`: services and where their release desks listen, ladders, needs and freezes. It turns
//! them into [`lilacgate_releases::model::Rules`] and names whatever contradicts itself; what the rules then allow is
//! not its to decide.
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use lilacgate_decision::{Build, RequestClass, Stage};
use lilacgate_releases::calendar::{self, Schedule, TimeZone};
use lilacgate_releases::model::{
    Builds, Dependency, DependencyScope, Freeze, Ladder, PairSet, Ring, Rules, Service, ServiceId,
    WhenUnknown,
};
use roxmltree::Node;

use crate::places::{self, Places};
use crate::xml::File;

/// Where the release desk of another service listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Desk {
    pub service: ServiceId,
    pub at: SocketAddr,
}

/// What is ordered of releases.
#[derive(Clone, Debug)]
pub struct Releases {
    pub rules: Rules,
    pub desks: Vec<Desk>,
    /// Where an agent writes its state when it is asked for; nowhere, if none is given.
    pub state: Option<PathBuf>,
}

/// The most of a kind: what its number holds, and what one core looks through within a round.
const SERVICES: usize = 64;
const RINGS: usize = 64;
const MANY: usize = 1024;

struct Reading<'a, 'f> {
    file: &'f File<'a>,
    places: &'f Places,
    services: Vec<Service>,
    /// Of the windows' times.
    zone: Option<TimeZone>,
}

fn builds(text: &str) -> Result<Build, &'static str> {
    text.parse().map(Build).map_err(|_| "a build, 0 to 65535")
}

fn in_doubt(text: &str) -> Result<WhenUnknown, &'static str> {
    match text {
        "hold" => Ok(WhenUnknown::Hold),
        "close" => Ok(WhenUnknown::Close),
        _ => Err("hold or close"),
    }
}

/// A span of time above 0.
fn period(text: &str) -> Result<Duration, String> {
    let span = calendar::span(text)?;
    if span.is_zero() {
        Err("a span of time above 0".into())
    } else {
        Ok(span)
    }
}

pub(crate) fn read(file: &File, node: Node, places: &Places) -> Option<Releases> {
    file.attributes(node, &["service", "time-zone", "state"]);
    let children = file.children(node, &["service", "ladder", "needs", "freeze"]);
    let zone = file.maybe(node, "time-zone", calendar::time_zone);
    let mut reading = Reading {
        file,
        places,
        services: Vec::new(),
        zone,
    };
    let of = |name: &'static str| {
        children
            .iter()
            .copied()
            .filter(move |child| child.tag_name().name() == name)
    };
    let mut desks = Vec::new();
    for child in of("service") {
        reading.service(child, &mut desks);
    }
    let own = file.need(node, "service", |text| reading.find(text));
    if let Some(desk) = desks.iter().find(|desk: &&Desk| Some(desk.service) == own) {
        let name = &reading.services[usize::from(desk.service.0)].name;
        file.fault(
            node,
            format!("service {name:?} is the agent's own: its desk is in the start file"),
        );
    }
    let ladders: Vec<(Node, Ladder)> = of("ladder")
        .filter_map(|n| Some((n, reading.ladder(n)?)))
        .collect();
    for (i, (child, ladder)) in ladders.iter().enumerate() {
        let meets = |other: &Ladder| {
            let (one, two) = (ladder.builds, other.builds);
            other.service == ladder.service && one.from <= two.to && two.from <= one.to
        };
        if ladders[..i].iter().any(|(_, other)| meets(other)) {
            file.fault(
                *child,
                "another ladder of this service holds some of these builds",
            );
        }
    }
    let needs: Vec<(Node, Dependency)> = of("needs")
        .filter_map(|n| Some((n, reading.need(n)?)))
        .collect();
    let freezes: Vec<Freeze> = of("freeze").filter_map(|n| reading.freeze(n)).collect();
    for (i, freeze) in freezes.iter().enumerate() {
        if freezes[..i].iter().any(|other| other.name == freeze.name) {
            file.fault(node, format!("freeze {:?} is defined twice", freeze.name));
        }
    }
    let counts = [
        ("service", SERVICES),
        ("ladder", MANY),
        ("needs", MANY),
        ("freeze", MANY),
    ];
    for (name, most) in counts
        .into_iter()
        .filter(|(name, most)| of(name).count() > *most)
    {
        file.fault(
            node,
            format!("{} of <{name}>; {most} are the most", of(name).count()),
        );
    }
    let rules = Rules {
        zones: places.zones.clone(),
        tenants: places.firms.clone(),
        request_classes: places.products.clone(),
        services: reading.services,
        own_service: own?,
        ladders: ladders.into_iter().map(|(_, ladder)| ladder).collect(),
        dependencies: needs.iter().map(|(_, need)| need.clone()).collect(),
        freezes,
    };
    if let Err(circle) = rules.dependency_order() {
        let step = |i: &usize| {
            let need = &rules.dependencies[*i];
            let (service, of) = (rules.service(need.service), rules.service(need.requires));
            format!(
                "{service} {}.. needs {of} {}",
                need.builds.from.0, need.at_least.0
            )
        };
        let path: Vec<String> = circle.0.iter().map(step).collect();
        file.fault(
            needs[circle.0[0]].0,
            format!("needs go in a circle: {}", path.join("; ")),
        );
    }
    let state = file.maybe(node, "state", |text| {
        let path = PathBuf::from(text);
        if path.is_absolute() {
            Ok(path)
        } else {
            Err("an absolute path")
        }
    });
    Some(Releases {
        rules,
        desks,
        state,
    })
}

impl Reading<'_, '_> {
    fn find(&self, name: &str) -> Result<ServiceId, String> {
        let found = self
            .services
            .iter()
            .position(|service| service.name == name);
        found
            .map(|i| ServiceId(i as u8))
            .ok_or(format!("service {name:?} is defined nowhere"))
    }

    fn service(&mut self, node: Node, desks: &mut Vec<Desk>) {
        let file = self.file;
        file.attributes(node, &["name", "desk", "silent-after"]);
        file.children(node, &[]);
        let silent_after = file.maybe(node, "silent-after", period);
        let at = file.maybe(node, "desk", |text| {
            text.parse()
                .map_err(|_| "an address such as 127.0.0.1:6401")
        });
        let Some(name) = file.need(node, "name", places::name) else {
            return;
        };
        if self.find(&name).is_ok() {
            return file.fault_at(node, "name", format!("service {name:?} is defined twice"));
        }
        let service = ServiceId(self.services.len() as u8);
        self.services.push(Service { name, silent_after });
        desks.extend(at.map(|at| Desk { service, at }));
    }

    /// The builds from one attribute to another, which may both be left out.
    fn range(&self, node: Node) -> Option<Builds> {
        let from = self
            .file
            .maybe(node, "from", builds)
            .unwrap_or(Builds::ALL.from);
        let to = self
            .file
            .maybe(node, "to", builds)
            .unwrap_or(Builds::ALL.to);
        if from > to {
            self.file
                .fault_at(node, "to", "to: expected a build not before from");
        }
        (from <= to).then_some(Builds { from, to })
    }

    /// Numbers of a list of names; all, if it is left out.
    fn list(&self, node: Node, attribute: &str, kind: &str, names: &[String]) -> Option<Vec<bool>> {
        let Some(text) = node.attribute(attribute) else {
            return Some(vec![true; names.len()]);
        };
        let mut found = vec![false; names.len()];
        let mut fine = true;
        if text.trim().is_empty() {
            self.file.fault_at(
                node,
                attribute,
                format!("{attribute}: expected names, or no attribute for all"),
            );
            fine = false;
        }
        for name in text.split_whitespace() {
            match places::find(names, kind, name) {
                Ok(i) => found[i] = true,
                Err(what) => {
                    self.file
                        .fault_at(node, attribute, format!("{attribute}: {what}"));
                    fine = false;
                }
            }
        }
        fine.then_some(found)
    }

    /// Each of the zones with each of the firms that its two attributes list.
    fn pairs(&self, node: Node) -> Option<PairSet> {
        let zones = self.list(node, "zones", "zone", &self.places.zones);
        let firms = self.list(node, "firms", "firm", &self.places.firms);
        let (zones, firms) = zones.zip(firms)?;
        Some(PairSet(
            zones
                .iter()
                .flat_map(|zone| firms.iter().map(move |firm| *zone && *firm))
                .collect(),
        ))
    }

    fn ladder(&self, node: Node) -> Option<Ladder> {
        let file = self.file;
        file.attributes(node, &["service", "from", "to", "settles"]);
        let service = file.need(node, "service", |text| self.find(text));
        let settles = file
            .maybe(node, "settles", calendar::span)
            .unwrap_or_default();
        let children = file.children(node, &["ring"]);
        if children.is_empty() {
            file.fault(node, "<ring> is missing");
        }
        if children.len() > RINGS {
            file.fault(
                node,
                format!("{} of <ring>; {RINGS} are the most", children.len()),
            );
        }
        let read: Vec<Option<Ring>> = children.iter().map(|child| self.ring(*child)).collect();
        let mut rings: Vec<Ring> = Vec::new();
        for (child, ring) in children.iter().zip(read) {
            let Some(ring) = ring else { continue };
            if rings.last().is_some_and(|last| last.stage > ring.stage) {
                file.fault_at(
                    *child,
                    "stage",
                    "stage: expected one not before that of the ring before",
                );
            }
            if rings.iter().any(|other| other.name == ring.name) {
                file.fault_at(
                    *child,
                    "name",
                    format!("ring {:?} is defined twice", ring.name),
                );
            }
            rings.push(ring);
        }
        Some(Ladder {
            service: service?,
            builds: self.range(node)?,
            rings,
            final_soak: settles,
        })
    }

    fn ring(&self, node: Node) -> Option<Ring> {
        let file = self.file;
        file.attributes(node, &["name", "stage", "after", "products"]);
        let name = file.need(node, "name", places::name);
        let stage = file.need(node, "stage", |text| {
            text.parse().map_err(|_| "a stage, 0 to 254")
        });
        let after = file
            .maybe(node, "after", calendar::span)
            .unwrap_or_default();
        let products = self.list(node, "products", "product", &self.places.products)?;
        let bits = (0..products.len())
            .filter(|i| products[*i])
            .map(|i| Rules::request_class_bit(RequestClass(i as u8)));
        let mut pairs = PairSet(vec![
            false;
            self.places.zones.len() * self.places.firms.len()
        ]);
        let children = file.children(node, &["pairs"]);
        if children.is_empty() {
            file.fault(node, "<pairs> is missing");
        }
        for child in &children {
            file.attributes(*child, &["zones", "firms"]);
            file.children(*child, &[]);
            let some = self.pairs(*child)?;
            pairs
                .0
                .iter_mut()
                .zip(some.0)
                .for_each(|(all, one)| *all |= one);
        }
        // A release counts as the stage beyond all others.
        let stage = stage.filter(|stage: &u8| {
            let fine = *stage < u8::MAX;
            if !fine {
                file.fault_at(node, "stage", "stage: expected a stage, 0 to 254");
            }
            fine
        })?;
        Some(Ring {
            name: name?,
            stage: Stage(stage),
            soak_before: after,
            pairs,
            request_classes: bits.fold(0, |all, bit| all | bit),
        })
    }

    fn need(&self, node: Node) -> Option<Dependency> {
        let file = self.file;
        file.attributes(
            node,
            &[
                "service", "from", "to", "of", "at-least", "where", "on-trial", "released",
            ],
        );
        file.children(node, &[]);
        let service = file.need(node, "service", |text| self.find(text));
        let of = file.need(node, "of", |text| self.find(text));
        if service.is_some() && service == of {
            file.fault_at(node, "of", "of: expected another service");
            return None;
        }
        let at_least = file.need(node, "at-least", builds);
        let reach = file.maybe(node, "where", |text| match text {
            "everywhere" => Ok(DependencyScope::Everywhere),
            "same-zone" => Ok(DependencyScope::SameZone),
            _ => Err("everywhere or same-zone"),
        });
        let on_trial = file
            .maybe(node, "on-trial", in_doubt)
            .unwrap_or(WhenUnknown::Close);
        let released = file
            .maybe(node, "released", in_doubt)
            .unwrap_or(WhenUnknown::Hold);
        let (reach, builds) = (
            reach.unwrap_or(DependencyScope::Everywhere),
            self.range(node)?,
        );
        Some(Dependency {
            service: service?,
            builds,
            requires: of?,
            at_least: at_least?,
            scope: reach,
            canary_when_unknown: on_trial,
            released_when_unknown: released,
        })
    }

    fn freeze(&self, node: Node) -> Option<Freeze> {
        let file = self.file;
        file.attributes(node, &["name", "service", "zones", "firms", "keeps"]);
        let name = file.need(node, "name", places::name);
        let service = file.maybe(node, "service", |text| self.find(text));
        let closes = file.maybe(node, "keeps", |text| match text {
            "hold" => Ok(false),
            "close" => Ok(true),
            _ => Err("hold or close"),
        });
        let pairs = self.pairs(node);
        let children = file.children(node, &["once", "weekly", "yearly", "declared"]);
        if children.len() != 1 {
            file.fault(node, "expected one of once, weekly, yearly, declared");
            return None;
        }
        let when = self.when(children[0])?;
        // A service that is defined nowhere must not make it a freeze of all services.
        let service = if node.attribute("service").is_some() {
            Some(service?)
        } else {
            None
        };
        Some(Freeze {
            name: name?,
            service,
            pairs: pairs?,
            closes_canary: closes.unwrap_or(false),
            schedule: when,
        })
    }

    fn when(&self, node: Node) -> Option<Schedule> {
        let file = self.file;
        file.children(node, &[]);
        if node.tag_name().name() == "declared" {
            file.attributes(node, &[]);
            return Some(Schedule::Declared);
        }
        file.attributes(node, &["from", "to"]);
        let Some(zone) = self.zone.clone() else {
            let releases = node
                .parent_element()
                .and_then(|freeze| freeze.parent_element())
                .unwrap_or(node);
            if releases.attribute("time-zone").is_none() {
                file.fault(
                    releases,
                    "attribute time-zone is missing, which windows need",
                );
            }
            return None;
        };
        match node.tag_name().name() {
            "once" => {
                let from = file.need(node, "from", calendar::date_time);
                let to = file.need(node, "to", calendar::date_time);
                let (from, to) = (
                    calendar::earliest(&zone, from?),
                    calendar::latest(&zone, to?),
                );
                if from >= to {
                    file.fault_at(node, "to", "to: expected a time after from");
                }
                (from < to).then_some(Schedule::OneTime { from, to })
            }
            "weekly" => {
                let from = file.need(node, "from", calendar::week_time);
                let to = file.need(node, "to", calendar::week_time);
                Some(Schedule::Weekly {
                    zone,
                    from: from?,
                    to: to?,
                })
            }
            _ => {
                let from = file.need(node, "from", calendar::year_time);
                let to = file.need(node, "to", calendar::year_time);
                Some(Schedule::Yearly {
                    zone,
                    from: from?,
                    to: to?,
                })
            }
        }
    }
}
