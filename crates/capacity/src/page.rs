//! Regenerates the generated parts of the capacity page.
//!
//! A part is the text between `<!-- generated: NAME -->` and
//! `<!-- end generated -->`, each on a line of its own. Each part has to be on
//! the page exactly once; the text around them is kept unchanged.
use std::collections::BTreeSet;

use crate::analysis::Analysis;
use crate::result::Sample;
use crate::tables::Part;
use crate::target::Target;

const BEGIN: &str = "<!-- generated: ";
const BEGIN_END: &str = " -->";
const END: &str = "<!-- end generated -->";

/// Why a page cannot be regenerated. Lines are counted from 1.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PageError {
    /// There is no part of that name.
    #[error("line {line}: no generated part is named {name:?}")]
    UnknownPart {
        /// The line.
        line: usize,
        /// The name.
        name: String,
    },
    /// A part is there twice.
    #[error("line {line}: the part {name} is there twice")]
    Twice {
        /// The line of the second one.
        line: usize,
        /// The name.
        name: &'static str,
    },
    /// A part has no end.
    #[error("line {line}: the part {name} has no end")]
    NoEnd {
        /// The line of its beginning.
        line: usize,
        /// The name.
        name: &'static str,
    },
    /// An end has no beginning.
    #[error("line {line}: an end without a beginning")]
    NoBeginning {
        /// The line.
        line: usize,
    },
    /// A part is not on the page.
    #[error("the part {name} is missing")]
    Missing {
        /// The name.
        name: &'static str,
    },
}

/// The page with its generated parts regenerated from the samples.
///
/// # Errors
/// A marker is wrong, or a part is missing.
pub fn regenerate(page: &str, samples: &[Sample], target: &Target) -> Result<String, PageError> {
    let sections = sections(page)?;
    let analysis = Analysis::new(samples, target);
    let mut output = String::new();
    for section in sections {
        match section {
            Section::Text(line) => output.push_str(line),
            // Markdown needs blank lines between a table and the markers.
            Section::Generated(part) => output.push_str(&format!(
                "{BEGIN}{}{BEGIN_END}\n\n{}\n{END}",
                part.name(),
                part.render(&analysis)
            )),
        }
        output.push('\n');
    }
    Ok(output)
}

/// A piece of a page.
enum Section<'a> {
    /// A line that is kept.
    Text(&'a str),
    /// A part that is regenerated.
    Generated(Part),
}

/// A generated part whose end has not been read yet.
#[derive(Clone, Copy)]
struct OpenPart {
    /// The line of its beginning.
    line: usize,
    part: Part,
}

fn sections(page: &str) -> Result<Vec<Section<'_>>, PageError> {
    let mut sections = Vec::new();
    let mut seen = BTreeSet::new();
    let mut open: Option<OpenPart> = None;
    for (index, text) in page.lines().enumerate() {
        let line = index + 1;
        match (open, marker(text, line)?) {
            (None, None) => sections.push(Section::Text(text)),
            (None, Some(Marker::Begin(part))) if seen.insert(part) => {
                sections.push(Section::Generated(part));
                open = Some(OpenPart { line, part });
            }
            (None, Some(Marker::Begin(part))) => return Err(twice(line, part)),
            (None, Some(Marker::End)) => return Err(PageError::NoBeginning { line }),
            (Some(_), None) => {}
            (Some(_), Some(Marker::End)) => open = None,
            (Some(open), Some(Marker::Begin(_))) => return Err(no_end(open)),
        }
    }
    if let Some(open) = open {
        return Err(no_end(open));
    }
    let missing = Part::ALL.into_iter().find(|part| !seen.contains(part));
    match missing {
        Some(part) => Err(PageError::Missing { name: part.name() }),
        None => Ok(sections),
    }
}

fn twice(line: usize, part: Part) -> PageError {
    let name = part.name();
    PageError::Twice { line, name }
}

fn no_end(open: OpenPart) -> PageError {
    PageError::NoEnd {
        line: open.line,
        name: open.part.name(),
    }
}

/// The line that begins or ends a generated part.
enum Marker {
    Begin(Part),
    End,
}

fn marker(text: &str, line: usize) -> Result<Option<Marker>, PageError> {
    let text = text.trim_end();
    if text == END {
        return Ok(Some(Marker::End));
    }
    let name = text
        .strip_prefix(BEGIN)
        .and_then(|rest| rest.strip_suffix(BEGIN_END));
    let Some(name) = name else { return Ok(None) };
    match Part::named(name) {
        Some(part) => Ok(Some(Marker::Begin(part))),
        None => Err(PageError::UnknownPart {
            line,
            name: name.to_owned(),
        }),
    }
}
