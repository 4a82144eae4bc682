//! Owns the file's names: zones, member firms, products, and which firm's requests an agent routes. A name is resolved
//! to its number here and nowhere else; one that is defined nowhere or twice is a fault.
use lilacgate_decision::{ReleasePermissions, Tenant};
use roxmltree::Node;

use crate::xml::File;

/// Names that have their numbers already, from whoever reads the file.
#[derive(Clone, Debug, Default)]
pub struct Known {
    pub zones: Vec<String>,
    pub products: Vec<String>,
}

/// The file's names, by their numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Places {
    pub zones: Vec<String>,
    pub firms: Vec<String>,
    pub products: Vec<String>,
    agents: Vec<(String, Tenant)>,
}

/// The most of a kind: what its number holds.
const ZONES: usize = 256;
const FIRMS: usize = 1 << 16;

impl Places {
    /// The firm whose requests an agent routes.
    pub fn firm_of(&self, agent: &str) -> Option<Tenant> {
        self.agents
            .iter()
            .find(|(name, _)| name == agent)
            .map(|(_, firm)| *firm)
    }
}

/// A name: without spaces, so that lists of them can be read.
pub(crate) fn name(text: &str) -> Result<String, &'static str> {
    let fine = !text.is_empty() && !text.contains(char::is_whitespace);
    if fine {
        Ok(text.to_owned())
    } else {
        Err("a name without spaces")
    }
}

pub(crate) fn read(file: &File, root: Node, node: Option<Node>, known: &Known) -> Places {
    let mut places = Places::default();
    let Some(node) = node else {
        file.fault(root, "<places> is missing");
        return places;
    };
    file.attributes(node, &[]);
    let children = file.children(node, &["zone", "firm", "product", "agent"]);
    let kind = |element: &str, known: &[String], most: usize| {
        let mut found: Vec<String> = known.to_vec();
        let mut defined = Vec::new();
        for child in children
            .iter()
            .filter(|child| child.tag_name().name() == element)
        {
            file.attributes(*child, &["name"]);
            file.children(*child, &[]);
            let Some(name) = file.need(*child, "name", name) else {
                continue;
            };
            if defined.contains(&name) {
                file.fault_at(
                    *child,
                    "name",
                    format!("{element} {name:?} is defined twice"),
                );
                continue;
            }
            if !found.contains(&name) {
                found.push(name.clone());
            }
            defined.push(name);
        }
        for missing in known.iter().filter(|name| !defined.contains(name)) {
            file.fault(
                node,
                format!("{element} {missing:?}, which the agent is told of, is not defined"),
            );
        }
        if found.len() > most {
            file.fault(
                node,
                format!("{} of <{element}>; {most} are the most", found.len()),
            );
        }
        found
    };
    places.zones = kind("zone", &known.zones, ZONES);
    places.firms = kind("firm", &[], FIRMS);
    places.products = kind("product", &known.products, ReleasePermissions::MAX_CLASSES);
    for (what, names) in [
        ("zone", &places.zones),
        ("firm", &places.firms),
        ("product", &places.products),
    ] {
        if names.is_empty() {
            file.fault(node, format!("no <{what}> is defined"));
        }
    }
    for child in children
        .iter()
        .filter(|child| child.tag_name().name() == "agent")
    {
        file.attributes(*child, &["name", "firm"]);
        file.children(*child, &[]);
        let agent = file.need(*child, "name", name);
        let firm = file.need(*child, "firm", |text| find(&places.firms, "firm", text));
        if let Some((agent, firm)) = agent.zip(firm) {
            if places.agents.iter().any(|(other, _)| *other == agent) {
                file.fault_at(*child, "name", format!("agent {agent:?} is defined twice"));
            }
            places.agents.push((agent, Tenant(firm as u16)));
        }
    }
    places
}

/// The number of a name.
pub(crate) fn find(names: &[String], kind: &str, text: &str) -> Result<usize, String> {
    names
        .iter()
        .position(|name| name == text)
        .ok_or(format!("{kind} {text:?} is defined nowhere"))
}
