//! The operator's own file: XML with a schema (`deploy/operator.xsd`), read once into the parts that each subsystem
//! wants. Every fault is reported at once with its place. It decides nothing, opens nothing, and never half takes a
//! file: either all of it can be used, or the faults say what cannot.
#![forbid(unsafe_code)]

mod places;
mod releases;
mod timeline;
mod xml;

use std::path::Path;

pub use places::{Known, Places};
pub use releases::{Desk, Releases};
pub use timeline::{Store, Timeline};
pub use xml::Fault;

/// The largest file that is read, in octets.
pub const LARGEST: u64 = 1 << 20;
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
    if text.len() as u64 > LARGEST {
        return Err(vec![Fault::whole(format!(
            "the file has {} octets; {LARGEST} are the most",
            text.len()
        ))]);
    }
    let options = roxmltree::ParsingOptions { allow_dtd: false, nodes_limit: 200_000, ..Default::default() };
    let document = roxmltree::Document::parse_with_options(text, options).map_err(|fault| {
        let (at, fault) = (fault.pos(), fault.to_string());
        vec![Fault {
            line: at.row,
            column: at.col,
            element: "".into(),
            what: format!("not well-formed: {fault}"),
        }]
    })?;
    let file = xml::File::new(&document);
    let root = document.root_element();
    let operator = if root.tag_name().name() == "operator" {
        let version =
            file.need(root, "version", |text| if text == VERSION { Ok(()) } else { Err("version 1") });
        file.attributes(root, &["version"]);
        let children = file.children(root, &["places", "releases", "timeline"]);
        file.at_most_one(&children);
        let of = |name: &str| children.iter().find(|child| child.tag_name().name() == name).copied();
        let places = places::read(&file, root, of("places"), known);
        let releases = of("releases").map(|node| releases::read(&file, node, &places));
        let timeline = of("timeline").and_then(|node| timeline::read(&file, node));
        version.map(|()| Operator { places, releases: releases.flatten(), timeline })
    } else {
        file.fault(root, "the root is not <operator>");
        None
    };
    let faults = file.faults();
    operator.filter(|_| faults.is_empty()).ok_or(faults)
}

/// Reads a file.
///
/// # Errors
/// All faults; one without a place if the file itself cannot be read.
pub fn load(path: &Path, known: &Known) -> Result<Operator, Vec<Fault>> {
    use std::io::Read;
    let whole = |what: String| vec![Fault::whole(what)];
    let file = std::fs::File::open(path).map_err(|fault| whole(format!("{}: {fault}", path.display())))?;
    let mut text = String::new();
    file.take(LARGEST + 1)
        .read_to_string(&mut text)
        .map_err(|fault| whole(format!("{}: {fault}", path.display())))?;
    read(&text, known)
}
