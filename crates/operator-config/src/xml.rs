//! Reads configuration files in XML and collects their faults, each with its line, column and element. It knows no
//! element of its own; reading goes on behind a fault, so that all are reported at once.
use std::cell::RefCell;
use std::fmt;
use std::io::Read;
use std::path::Path;

use roxmltree::{Document, Node, ParsingOptions};

/// The largest file that is read, in octets.
pub const LARGEST: u64 = 1 << 20;
/// The most elements, attributes and texts of a file.
const MOST_NODES: u32 = 200_000;

/// Something in the file that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Counted from 1; both are 0 where the fault is not at a place.
    pub line: u32,
    pub column: u32,
    pub element: String,
    pub what: String,
}

impl Fault {
    /// A fault of the file as a whole, without a place.
    pub fn whole(what: String) -> Fault {
        Fault {
            line: 0,
            column: 0,
            element: String::new(),
            what,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.line > 0 {
            write!(f, "{}:{}: ", self.line, self.column)?;
        }
        if !self.element.is_empty() {
            write!(f, "<{}>: ", self.element)?;
        }
        f.write_str(&self.what)
    }
}

/// Parses a document and reads its root with `read`, which notes what it finds wrong.
///
/// # Errors
/// All faults, in the order of their places.
pub fn parse<T>(
    text: &str,
    read: impl for<'a> FnOnce(&File<'a>, Node<'a, 'a>) -> Option<T>,
) -> Result<T, Vec<Fault>> {
    if text.len() as u64 > LARGEST {
        let what = format!("the file has {} octets; {LARGEST} are the most", text.len());
        return Err(vec![Fault::whole(what)]);
    }
    let options = ParsingOptions {
        allow_dtd: false,
        nodes_limit: MOST_NODES,
        ..Default::default()
    };
    let document =
        Document::parse_with_options(text, options).map_err(|fault| vec![malformed(&fault)])?;
    let file = File::new(&document);
    let value = read(&file, document.root_element());
    let faults = file.faults();
    value.filter(|_| faults.is_empty()).ok_or(faults)
}

fn malformed(fault: &roxmltree::Error) -> Fault {
    let (at, what) = (fault.pos(), format!("not well-formed: {fault}"));
    Fault {
        line: at.row,
        column: at.col,
        element: String::new(),
        what,
    }
}

/// Reads a file's text, up to one octet more than the most that [`parse`] takes.
///
/// # Errors
/// One fault without a place if the file cannot be read.
pub fn text_of(path: &Path) -> Result<String, Vec<Fault>> {
    let whole = |fault: std::io::Error| vec![Fault::whole(format!("{}: {fault}", path.display()))];
    let file = std::fs::File::open(path).map_err(whole)?;
    let mut text = String::new();
    file.take(LARGEST + 1)
        .read_to_string(&mut text)
        .map_err(whole)?;
    Ok(text)
}

/// A document that is being read, and the faults found so far.
pub struct File<'a> {
    document: &'a Document<'a>,
    faults: RefCell<Vec<Fault>>,
}

impl<'a> File<'a> {
    fn new(document: &'a Document<'a>) -> Self {
        File {
            document,
            faults: RefCell::default(),
        }
    }

    fn faults(self) -> Vec<Fault> {
        let mut faults = self.faults.into_inner();
        faults.sort();
        faults.dedup();
        faults
    }

    fn note(&self, at: usize, element: &str, what: String) {
        let place = self.document.text_pos_at(at);
        let fault = Fault {
            line: place.row,
            column: place.col,
            element: element.into(),
            what,
        };
        self.faults.borrow_mut().push(fault);
    }

    /// Notes a fault of an element.
    pub fn fault(&self, node: Node, what: impl Into<String>) {
        self.note(node.range().start, node.tag_name().name(), what.into());
    }

    /// Notes a fault at an attribute, or at its element where that lacks it.
    pub fn fault_at(&self, node: Node, attribute: &str, what: impl Into<String>) {
        let at = node
            .attribute_node(attribute)
            .map_or(node.range().start, |found| found.range().start);
        self.note(at, node.tag_name().name(), what.into());
    }

    /// Names all attributes but these.
    pub fn attributes(&self, node: Node, known: &[&str]) {
        for attribute in node
            .attributes()
            .filter(|found| !known.contains(&found.name()))
        {
            let what = format!(
                "attribute {} is unknown; expected {}",
                attribute.name(),
                one_of(known)
            );
            self.fault_at(node, attribute.name(), what);
        }
    }

    /// The child elements; all but these are named, and so is text between them.
    pub fn children<'n>(&self, node: Node<'n, 'n>, known: &[&str]) -> Vec<Node<'n, 'n>> {
        for child in node.children().filter(|child| child.is_text()) {
            if child.text().is_some_and(|text| !text.trim().is_empty()) {
                self.note(
                    child.range().start,
                    node.tag_name().name(),
                    "text is not expected here".into(),
                );
            }
        }
        let (fine, other): (Vec<_>, Vec<_>) = node
            .children()
            .filter(Node::is_element)
            .partition(|child| known.contains(&child.tag_name().name()));
        for child in other {
            let expected = if known.is_empty() {
                "nothing".into()
            } else {
                one_of(known)
            };
            self.fault(
                child,
                format!(
                    "not expected in <{}>; expected {expected}",
                    node.tag_name().name()
                ),
            );
        }
        fine
    }

    /// Names children that stand again.
    pub fn at_most_one(&self, children: &[Node]) {
        for (i, child) in children.iter().enumerate() {
            if children[..i]
                .iter()
                .any(|other| other.tag_name().name() == child.tag_name().name())
            {
                self.fault(*child, "stands more than once");
            }
        }
    }

    /// An attribute that may be left out.
    pub fn maybe<T, E: Into<String>>(
        &self,
        node: Node,
        name: &str,
        read: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        let text = node.attribute(name)?;
        read(text)
            .map_err(|expected| self.wrong(node, name, text, expected.into()))
            .ok()
    }

    fn wrong(&self, node: Node, name: &str, text: &str, expected: String) {
        let what = if expected.contains(&format!("{text:?}")) {
            expected
        } else {
            format!("{text:?}: expected {expected}")
        };
        self.fault_at(node, name, format!("{name}: {what}"));
    }

    /// One that may not.
    pub fn need<T, E: Into<String>>(
        &self,
        node: Node,
        name: &str,
        read: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        if node.attribute(name).is_none() {
            self.fault(node, format!("attribute {name} is missing"));
        }
        self.maybe(node, name, read)
    }
}

fn one_of(names: &[&str]) -> String {
    names.join(", ")
}
