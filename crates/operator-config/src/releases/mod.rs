//! The element `<releases>`: services with the addresses of their release control planes, ladders, dependencies and
//! freezes. It is read into [`lilacgate_releases::model::Rules`], and contradictions are reported. The crate
//! `lilacgate-releases` decides what the rules permit.

mod attributes;
mod dependencies;
mod freezes;
mod ladders;

use std::net::SocketAddr;
use std::path::PathBuf;

use lilacgate_releases::calendar::{self, TimeZone};
use lilacgate_releases::model::{Dependency, Freeze, Ladder, Rules, Service, ServiceId};
use roxmltree::Node;

use crate::places::{self, Places};
use crate::timeline::read_absolute_path;
use crate::xml::{AttributeError, FaultKind, XmlReader};

/// The number of services that a file may define.
const MAX_SERVICES: usize = 64;
/// The number of ladders, of needs and of freezes that a file may define. One core can evaluate them within a round.
const MAX_RULES: usize = 1024;

/// The release control plane of another service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlPlane {
    /// The service whose releases it controls.
    pub service: ServiceId,
    /// The address on which it listens.
    pub address: SocketAddr,
}

/// The content of the element `<releases>`.
#[derive(Clone, Debug)]
pub struct Releases {
    /// The rules of the release gate.
    pub rules: Rules,
    /// The release control planes of other services.
    pub control_planes: Vec<ControlPlane>,
    /// The file to which an agent writes its gate's state on request; if `None`, it writes none.
    pub state_path: Option<PathBuf>,
}

/// Reads the element `<releases>`.
struct ReleasesReader<'r, 'a> {
    reader: &'r XmlReader<'a>,
    node: Node<'r, 'r>,
    children: Vec<Node<'r, 'r>>,
    places: &'r Places,
    /// The time zone of the freezes' windows.
    time_zone: Option<TimeZone>,
    services: Vec<Service>,
    control_planes: Vec<ControlPlane>,
}

/// A rule and its element, for faults that are found only after all rules have been read.
struct RuleElement<'r, T> {
    node: Node<'r, 'r>,
    rule: T,
}

pub(crate) fn read(
    reader: &XmlReader<'_>,
    node: Node<'_, '_>,
    places: &Places,
) -> Option<Releases> {
    reader.check_attributes(node, &["service", "time-zone", "state"]);
    let children = reader.children(node, &["service", "ladder", "needs", "freeze"]);
    let mut releases = ReleasesReader {
        reader,
        node,
        children,
        places,
        time_zone: reader.optional(node, "time-zone", calendar::parse_time_zone),
        services: Vec::new(),
        control_planes: Vec::new(),
    };
    releases.read_services();
    releases.finish()
}

impl<'r> ReleasesReader<'r, '_> {
    fn finish(self) -> Option<Releases> {
        let reader = self.reader;
        let own = reader.required(self.node, "service", |text| self.find_service(text));
        self.check_own_control_plane(own);
        let ladders = self.read_all("ladder", |node| self.ladder(node));
        self.check_overlaps(&ladders);
        let dependencies = self.read_all("needs", |node| self.dependency(node));
        let freezes = self.read_all("freeze", |node| self.freeze(node));
        self.check_freeze_names(&freezes);
        self.check_counts();
        let dependency_nodes: Vec<Node<'r, 'r>> =
            dependencies.iter().map(|element| element.node).collect();
        let rules = Rules {
            zones: self.places.zones.clone(),
            tenants: self.places.tenants.clone(),
            request_classes: self.places.products.clone(),
            services: self.services,
            own_service: own?,
            ladders: rules_of::<Ladder>(ladders),
            dependencies: rules_of::<Dependency>(dependencies),
            freezes: rules_of::<Freeze>(freezes),
        };
        dependencies::check_cycles(reader, &rules, &dependency_nodes);
        Some(Releases {
            rules,
            control_planes: self.control_planes,
            state_path: reader.optional(self.node, "state", read_absolute_path),
        })
    }

    fn children_named(&self, name: &'static str) -> impl Iterator<Item = Node<'r, 'r>> {
        let children = self.children.iter().copied();
        children.filter(move |child| child.tag_name().name() == name)
    }

    /// Reads all elements with a name, and leaves out those with faults.
    fn read_all<T>(
        &self,
        name: &'static str,
        read: impl Fn(Node<'r, 'r>) -> Option<T>,
    ) -> Vec<RuleElement<'r, T>> {
        let rule_element = |node| read(node).map(|rule| RuleElement { node, rule });
        self.children_named(name).filter_map(rule_element).collect()
    }

    fn find_service(&self, name: &str) -> Result<ServiceId, AttributeError> {
        let mut services = self.services.iter();
        let undefined = || AttributeError::Undefined {
            kind: "service",
            name: name.to_owned(),
        };
        services
            .position(|service| service.name == name)
            .map(|index| ServiceId(index as u8))
            .ok_or_else(undefined)
    }

    fn read_services(&mut self) {
        let nodes: Vec<Node<'r, 'r>> = self.children_named("service").collect();
        for node in nodes {
            self.read_service(node);
        }
    }

    fn read_service(&mut self, node: Node<'r, 'r>) {
        let reader = self.reader;
        reader.check_attributes(node, &["name", "desk", "silent-after"]);
        reader.children(node, &[]);
        let silent_after = reader.optional(node, "silent-after", attributes::read_period);
        let address = reader.optional(node, "desk", attributes::read_address);
        let Some(name) = reader.required(node, "name", places::read_name) else {
            return;
        };
        if self.find_service(&name).is_ok() {
            let kind = "service";
            return reader.report_at(node, "name", FaultKind::DefinedTwice { kind, name });
        }
        let service = ServiceId(self.services.len() as u8);
        self.services.push(Service { name, silent_after });
        self.control_planes
            .extend(address.map(|address| ControlPlane { service, address }));
    }

    /// Reports an address of the own service's release control plane, which is given in the start file.
    fn check_own_control_plane(&self, own: Option<ServiceId>) {
        let own_control_plane = self
            .control_planes
            .iter()
            .find(|control_plane| Some(control_plane.service) == own);
        if let Some(control_plane) = own_control_plane {
            let name = self.services[usize::from(control_plane.service.0)]
                .name
                .clone();
            self.reader
                .report(self.node, FaultKind::OwnServiceHasControlPlane(name));
        }
    }

    fn check_counts(&self) {
        let limits = [
            ("service", MAX_SERVICES),
            ("ladder", MAX_RULES),
            ("needs", MAX_RULES),
            ("freeze", MAX_RULES),
        ];
        for (element, max_count) in limits {
            let count = self.children_named(element).count();
            self.check_count(self.node, element, count, max_count);
        }
    }

    fn check_count(
        &self,
        node: Node<'_, '_>,
        element: &'static str,
        count: usize,
        max_count: usize,
    ) {
        if count > max_count {
            let fault = FaultKind::TooManyElements {
                element,
                count,
                max_count,
            };
            self.reader.report(node, fault);
        }
    }
}

fn rules_of<T>(elements: Vec<RuleElement<'_, T>>) -> Vec<T> {
    elements.into_iter().map(|element| element.rule).collect()
}
