//! The names of the file: zones, tenants, request classes, and the tenant whose requests each agent routes. A name is
//! resolved to its number here and nowhere else; one that is defined nowhere or twice is a fault.
use lilacgate_decision::{ReleasePermissions, Tenant};
use roxmltree::Node;

use crate::xml::{AttributeError, FaultKind, XmlReader};

/// The most zones: what their number holds.
const MAX_ZONES: usize = 256;
/// The most tenants: what their number holds.
const MAX_TENANTS: usize = 1 << 16;

/// Names that have their numbers already, from the agent's start settings.
#[derive(Clone, Debug, Default)]
pub struct KnownNames {
    /// The zones, by their numbers.
    pub zones: Vec<String>,
    /// The request classes, by their numbers.
    pub products: Vec<String>,
}

/// The file's names, by their numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Places {
    /// The zones.
    pub zones: Vec<String>,
    /// The tenants.
    pub tenants: Vec<String>,
    /// The request classes.
    pub products: Vec<String>,
    agents: Vec<Agent>,
}

/// An agent and the tenant whose requests it routes.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Agent {
    name: String,
    tenant: Tenant,
}

impl Places {
    /// The tenant whose requests an agent routes.
    pub fn tenant_of(&self, agent: &str) -> Option<Tenant> {
        let mut agents = self.agents.iter();
        agents
            .find(|known| known.name == agent)
            .map(|known| known.tenant)
    }
}

/// A kind of names and the element that defines them.
struct NameKind<'k> {
    element: &'static str,
    known: &'k [String],
    most: usize,
}

/// The element `<places>` that is being read.
struct PlacesReader<'r, 'a> {
    reader: &'r XmlReader<'a>,
    node: Node<'r, 'r>,
    children: Vec<Node<'r, 'r>>,
}

/// A name: without spaces, so that lists of names can be read.
pub(crate) fn read_name(text: &str) -> Result<String, AttributeError> {
    if text.is_empty() || text.contains(char::is_whitespace) {
        Err(AttributeError::Expected("a name without spaces"))
    } else {
        Ok(text.to_owned())
    }
}

/// The number of a name.
pub(crate) fn find(
    names: &[String],
    kind: &'static str,
    text: &str,
) -> Result<usize, AttributeError> {
    let undefined = || AttributeError::Undefined {
        kind,
        name: text.to_owned(),
    };
    names
        .iter()
        .position(|name| name == text)
        .ok_or_else(undefined)
}

pub(crate) fn read(
    reader: &XmlReader<'_>,
    root: Node<'_, '_>,
    node: Option<Node<'_, '_>>,
    known: &KnownNames,
) -> Places {
    let Some(node) = node else {
        reader.report(root, FaultKind::MissingElement("places"));
        return Places::default();
    };
    reader.check_attributes(node, &[]);
    PlacesReader {
        reader,
        node,
        children: reader.children(node, &["zone", "firm", "product", "agent"]),
    }
    .places(known)
}

impl PlacesReader<'_, '_> {
    fn places(&self, known: &KnownNames) -> Places {
        let zones = self.names(&NameKind {
            element: "zone",
            known: &known.zones,
            most: MAX_ZONES,
        });
        let tenants = self.names(&NameKind {
            element: "firm",
            known: &[],
            most: MAX_TENANTS,
        });
        let products = self.names(&NameKind {
            element: "product",
            known: &known.products,
            most: ReleasePermissions::MAX_CLASSES,
        });
        let agents = self.agents(&tenants);
        Places {
            zones,
            tenants,
            products,
            agents,
        }
    }

    fn elements(&self, name: &'static str) -> impl Iterator<Item = Node<'_, '_>> {
        let children = self.children.iter().copied();
        children.filter(move |child| child.tag_name().name() == name)
    }

    /// The known names, then those that the file adds.
    fn names(&self, kind: &NameKind<'_>) -> Vec<String> {
        let defined = self.defined_names(kind.element);
        for missing in kind.known.iter().filter(|name| !defined.contains(name)) {
            let fault = FaultKind::KnownNameNotDefined {
                kind: kind.element,
                name: missing.clone(),
            };
            self.reader.report(self.node, fault);
        }
        let mut names = kind.known.to_vec();
        let added = defined
            .into_iter()
            .filter(|name| !kind.known.contains(name));
        names.extend(added);
        if names.len() > kind.most {
            let fault = FaultKind::TooManyElements {
                element: kind.element,
                count: names.len(),
                most: kind.most,
            };
            self.reader.report(self.node, fault);
        }
        if names.is_empty() {
            self.reader
                .report(self.node, FaultKind::NoneDefined(kind.element));
        }
        names
    }

    fn defined_names(&self, element: &'static str) -> Vec<String> {
        let mut defined = Vec::new();
        for child in self.elements(element) {
            self.reader.check_attributes(child, &["name"]);
            self.reader.children(child, &[]);
            let Some(name) = self.reader.required(child, "name", read_name) else {
                continue;
            };
            if defined.contains(&name) {
                self.report_defined_twice(child, element, &name);
            } else {
                defined.push(name);
            }
        }
        defined
    }

    fn agents(&self, tenants: &[String]) -> Vec<Agent> {
        let mut agents: Vec<Agent> = Vec::new();
        for child in self.elements("agent") {
            self.reader.check_attributes(child, &["name", "firm"]);
            self.reader.children(child, &[]);
            let name = self.reader.required(child, "name", read_name);
            let tenant = self
                .reader
                .required(child, "firm", |text| find(tenants, "firm", text));
            let Some((name, tenant)) = name.zip(tenant) else {
                continue;
            };
            if agents.iter().any(|other| other.name == name) {
                self.report_defined_twice(child, "agent", &name);
            }
            let tenant = Tenant(tenant as u16);
            agents.push(Agent { name, tenant });
        }
        agents
    }

    fn report_defined_twice(&self, node: Node<'_, '_>, kind: &'static str, name: &str) {
        let fault = FaultKind::DefinedTwice {
            kind,
            name: name.to_owned(),
        };
        self.reader.report_at(node, "name", fault);
    }
}
