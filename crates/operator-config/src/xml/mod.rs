//! Reads configuration files in XML and collects their faults, each with its line, column and element. Nothing here
//! knows an element of its own; reading goes on after a fault, so that all of them are reported at once.

mod fault;
mod reader;

use std::io::Read;
use std::path::Path;

pub use fault::{AttributeError, Fault, FaultKind};
pub use reader::XmlReader;
use roxmltree::{Document, Node, ParsingOptions};

/// The largest file that is read, in bytes.
pub const MAX_FILE_BYTES: u64 = 1 << 20;
/// The most elements, attributes and texts of a file.
const MAX_NODES: u32 = 200_000;

/// Parses a document and reads its root with `read`, which reports faults to the reader that it gets.
///
/// # Errors
/// All faults, in the order of their places.
pub fn parse<T>(
    text: &str,
    read: impl for<'a> FnOnce(&XmlReader<'a>, Node<'a, 'a>) -> Option<T>,
) -> Result<T, Vec<Fault>> {
    let bytes = text.len();
    if bytes as u64 > MAX_FILE_BYTES {
        return Err(vec![Fault::of_file(FaultKind::FileTooLarge { bytes })]);
    }
    let options = ParsingOptions {
        allow_dtd: false,
        nodes_limit: MAX_NODES,
        ..Default::default()
    };
    let document = Document::parse_with_options(text, options)
        .map_err(|error| vec![Fault::not_well_formed(&error)])?;
    let reader = XmlReader::new(&document);
    let value = read(&reader, document.root_element());
    let faults = reader.into_faults();
    value.filter(|_| faults.is_empty()).ok_or(faults)
}

/// Reads a file's text, up to one byte more than [`parse`] takes.
///
/// # Errors
/// One fault without a place if the file cannot be read.
pub fn read_text(path: &Path) -> Result<String, Vec<Fault>> {
    let unreadable = |error: std::io::Error| {
        vec![Fault::of_file(FaultKind::FileUnreadable {
            path: path.to_owned(),
            error: error.to_string(),
        })]
    };
    let file = std::fs::File::open(path).map_err(unreadable)?;
    let mut text = String::new();
    file.take(MAX_FILE_BYTES + 1)
        .read_to_string(&mut text)
        .map_err(unreadable)?;
    Ok(text)
}
