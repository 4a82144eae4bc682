//! Reads elements and attributes, and collects their faults.
use std::cell::RefCell;
use std::fmt;

use roxmltree::{Document, Node};

use super::fault::{AttributeError, Fault, FaultKind};

/// A document that is being read, and the faults found so far.
pub struct XmlReader<'a> {
    document: &'a Document<'a>,
    faults: RefCell<Vec<Fault>>,
}

impl fmt::Debug for XmlReader<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("XmlReader")
            .field("faults", &self.faults)
            .finish_non_exhaustive()
    }
}

impl<'a> XmlReader<'a> {
    pub(super) fn new(document: &'a Document<'a>) -> Self {
        XmlReader {
            document,
            faults: RefCell::default(),
        }
    }

    /// All faults without duplicates, in the order of their positions.
    pub(super) fn into_faults(self) -> Vec<Fault> {
        let mut faults = self.faults.into_inner();
        faults.sort();
        faults.dedup();
        faults
    }

    fn push(&self, offset: usize, element: &str, kind: FaultKind) {
        let place = self.document.text_pos_at(offset);
        let fault = Fault {
            line: place.row,
            column: place.col,
            element: element.to_owned(),
            kind,
        };
        self.faults.borrow_mut().push(fault);
    }

    /// Reports a fault of an element.
    pub fn report(&self, node: Node<'_, '_>, kind: impl Into<FaultKind>) {
        self.push(node.range().start, node.tag_name().name(), kind.into());
    }

    /// Reports a fault at an attribute, or at the element if it does not have the attribute.
    pub fn report_at(&self, node: Node<'_, '_>, attribute: &str, kind: impl Into<FaultKind>) {
        let offset = node
            .attribute_node(attribute)
            .map_or(node.range().start, |found| found.range().start);
        self.push(offset, node.tag_name().name(), kind.into());
    }

    /// Reports all attributes that are not in `known`.
    pub fn check_attributes(&self, node: Node<'_, '_>, known: &[&str]) {
        for attribute in node.attributes() {
            let name = attribute.name();
            if !known.contains(&name) {
                let kind = FaultKind::UnknownAttribute {
                    attribute: name.to_owned(),
                    expected: join_names(known),
                };
                self.report_at(node, name, kind);
            }
        }
    }

    /// The child elements whose names are in `known`. All others are reported, and so is text between them.
    pub fn children<'n>(&self, node: Node<'n, 'n>, known: &[&str]) -> Vec<Node<'n, 'n>> {
        let parent = node.tag_name().name();
        for child in node.children().filter(Node::is_text) {
            if child.text().is_some_and(|text| !text.trim().is_empty()) {
                self.push(child.range().start, parent, FaultKind::UnexpectedText);
            }
        }
        let (expected, others): (Vec<_>, Vec<_>) = node
            .children()
            .filter(Node::is_element)
            .partition(|child| known.contains(&child.tag_name().name()));
        for child in others {
            let kind = FaultKind::UnexpectedElement {
                parent: parent.to_owned(),
                expected: if known.is_empty() {
                    "nothing".to_owned()
                } else {
                    join_names(known)
                },
            };
            self.report(child, kind);
        }
        expected
    }

    /// Reports each child that has the name of an earlier child.
    pub fn check_no_repeats(&self, children: &[Node<'_, '_>]) {
        let name = |child: &Node<'_, '_>| child.tag_name().name().to_owned();
        for (index, child) in children.iter().enumerate() {
            let is_repeat = children[..index]
                .iter()
                .any(|earlier| name(earlier) == name(child));
            if is_repeat {
                self.report(*child, FaultKind::RepeatedElement);
            }
        }
    }

    /// The value of an optional attribute. A text that `read` refuses is reported.
    pub fn optional<T, E: Into<AttributeError>>(
        &self,
        node: Node<'_, '_>,
        attribute: &str,
        read: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        let text = node.attribute(attribute)?;
        match read(text) {
            Ok(value) => Some(value),
            Err(error) => {
                let error: AttributeError = error.into();
                self.report_at(node, attribute, error.into_fault(attribute, text));
                None
            }
        }
    }

    /// The value of a required attribute. A missing attribute, or a text that `read` refuses, is reported.
    pub fn required<T, E: Into<AttributeError>>(
        &self,
        node: Node<'_, '_>,
        attribute: &str,
        read: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        if node.attribute(attribute).is_none() {
            self.report(node, FaultKind::MissingAttribute(attribute.to_owned()));
        }
        self.optional(node, attribute, read)
    }
}

fn join_names(names: &[&str]) -> String {
    names.join(", ")
}
