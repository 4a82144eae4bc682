//! The operator's own file: XML with a schema (`deploy/operator.xsd`), read once into the parts that each subsystem
//! wants. Every fault is reported at once with its place. It decides nothing, opens nothing, and never half takes a
//! file: either all of it can be used, or the faults say what cannot.
#![allow(clippy::too_many_lines)] // Not met yet.
#![allow(missing_debug_implementations)] // Not met yet.
#![allow(missing_docs)] // Not met yet.

mod places;
mod releases;
mod timeline;
pub mod xml;

use std::path::Path;

pub use places::{Known, Places};
pub use releases::{Desk, Releases};
use roxmltree::Node;
pub use timeline::{Store, Timeline};
pub use xml::{Fault, LARGEST};

use crate::xml::File;

/// The version of the form, as its root says.
pub const VERSION: &str = "1";

/// All that an operator's file sets.
#[derive(Clone, Debug)]
pub struct Operator {
    pub places: Places,
    /// Where builds may be used; nothing is narrowed without it.
    pub releases: Option<Releases>,
    /// Whether time lines are kept; none are without it.
    pub timeline: Option<Timeline>,
}

/// Reads a file's text. Zones and products that are known already get the numbers that they have there.
///
/// # Errors
/// All faults, in the order of their places.
pub fn read(text: &str, known: &Known) -> Result<Operator, Vec<Fault>> {
    xml::parse(text, |file, root| read_root(file, root, known))
}

fn read_root<'a>(file: &File<'a>, root: Node<'a, 'a>, known: &Known) -> Option<Operator> {
    if root.tag_name().name() != "operator" {
        file.fault(root, "the root is not <operator>");
        return None;
    }
    let version = file.need(root, "version", |text| {
        if text == VERSION {
            Ok(())
        } else {
            Err("version 1")
        }
    });
    file.attributes(root, &["version"]);
    let children = file.children(root, &["places", "releases", "timeline"]);
    file.at_most_one(&children);
    let of = |name: &str| {
        children
            .iter()
            .find(|child| child.tag_name().name() == name)
            .copied()
    };
    let places = places::read(file, root, of("places"), known);
    let releases = of("releases").map(|node| releases::read(file, node, &places));
    let timeline = of("timeline").and_then(|node| timeline::read(file, node));
    version.map(|()| Operator {
        places,
        releases: releases.flatten(),
        timeline,
    })
}

/// Reads a file.
///
/// # Errors
/// All faults; one without a place if the file itself cannot be read.
pub fn load(path: &Path, known: &Known) -> Result<Operator, Vec<Fault>> {
    read(&xml::text_of(path)?, known)
}
