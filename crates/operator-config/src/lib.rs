//! Reads the operator's file, which is XML with a schema (`deploy/operator.xsd`), into the parts that the subsystems
//! need. All faults are reported at once, each with its line and column. A file with a fault is refused as a whole.

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

/// The version of the file format, which the attribute `version` of the root must have.
pub const VERSION: &str = "1";

/// The content of an operator's file.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// The names to which the other parts refer.
    pub places: Places,
    /// The rules of releases; if `None`, builds may be used everywhere.
    pub releases: Option<Releases>,
    /// The settings of timelines; if `None`, no timelines are kept.
    pub timeline: Option<Timeline>,
}

/// Reads the text of an operator's file. Zones and products in `known` keep their numbers.
///
/// # Errors
/// All faults, in the order of their positions.
pub fn read(text: &str, known: &KnownNames) -> Result<OperatorConfig, Vec<Fault>> {
    xml::parse(text, |reader, root| read_root(reader, root, known))
}

/// Reads an operator's file.
///
/// # Errors
/// All faults, in the order of their positions; a single one without a position if the file itself cannot be read.
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
