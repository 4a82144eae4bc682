//! The operator's file: XML with a schema (`deploy/operator.xsd`), read into the parts that the subsystems need.
//! All faults are reported at once, each with its place. A file with a fault is refused as a whole.

mod places;
mod releases;
mod timeline;
pub mod xml;

use std::path::Path;

pub use places::{KnownNames, Places};
pub use releases::{ControlPlane, Releases};
use roxmltree::Node;
pub use timeline::{Store, Timeline};
pub use xml::{AttributeError, Fault, FaultKind, MAX_FILE_BYTES};

use crate::xml::XmlReader;

/// The version of the form, as its root says.
pub const VERSION: &str = "1";

/// All that an operator's file sets.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// The names that the other parts refer to.
    pub places: Places,
    /// Where builds may be used; without it they may be used everywhere.
    pub releases: Option<Releases>,
    /// Which time lines are kept; without it none are.
    pub timeline: Option<Timeline>,
}

/// Reads a file's text. Zones and products that are known already keep their numbers.
///
/// # Errors
/// All faults, in the order of their places.
pub fn read(text: &str, known: &KnownNames) -> Result<OperatorConfig, Vec<Fault>> {
    xml::parse(text, |reader, root| read_root(reader, root, known))
}

/// Reads a file.
///
/// # Errors
/// All faults, in the order of their places; one without a place if the file itself cannot be read.
pub fn load(path: &Path, known: &KnownNames) -> Result<OperatorConfig, Vec<Fault>> {
    read(&xml::read_text(path)?, known)
}

fn read_root<'a>(
    reader: &XmlReader<'a>,
    root: Node<'a, 'a>,
    known: &KnownNames,
) -> Option<OperatorConfig> {
    if root.tag_name().name() != "operator" {
        reader.report(root, FaultKind::WrongRoot("operator"));
        return None;
    }
    let version = reader.required(root, "version", read_version);
    reader.check_attributes(root, &["version"]);
    let children = reader.children(root, &["places", "releases", "timeline"]);
    reader.check_no_repeats(&children);
    let child = |name: &str| {
        let mut found = children.iter();
        found.find(|child| child.tag_name().name() == name).copied()
    };
    let places = places::read(reader, root, child("places"), known);
    let releases = child("releases").map(|node| releases::read(reader, node, &places));
    let timeline = child("timeline").and_then(|node| timeline::read(reader, node));
    version.map(|()| OperatorConfig {
        places,
        releases: releases.flatten(),
        timeline,
    })
}

fn read_version(text: &str) -> Result<(), AttributeError> {
    if text == VERSION {
        Ok(())
    } else {
        Err(AttributeError::Expected("version 1"))
    }
}
