//! Renews the generated parts of the capacity page.
//!
//! A part stands between `<!-- generated: NAME -->` and
//! `<!-- end generated -->`, each on a line of its own. All parts have to be on
//! the page, each once; the text around them is kept as it is.
use std::collections::BTreeSet;

use crate::analysis::Analysis;
use crate::result::Sample;
use crate::tables::Part;
use crate::target::Target;

const BEGIN: &str = "<!-- generated: ";
const BEGIN_END: &str = " -->";
const END: &str = "<!-- end generated -->";

/// Why a page cannot be renewed. Lines are counted from 1.
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
    /// A part stands again.
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

/// The page with its generated parts made anew from the samples.
///
/// # Errors
/// The marks of the page are wrong, or a part is missing.
pub fn regenerate(page: &str, samples: &[Sample], target: &Target) -> Result<String, PageError> {
    let sections = sections(page)?;
    let analysis = Analysis::new(samples, target);
    let mut output = String::new();
    for section in sections {
        match section {
            Section::Text(line) => output.push_str(line),
            // Blank lines keep a table apart from the marks.
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

enum Section<'a> {
    /// A line that is kept.
    Text(&'a str),
    /// A part that is made anew.
    Generated(Part),
}

fn sections(page: &str) -> Result<Vec<Section<'_>>, PageError> {
    let mut sections = Vec::new();
    let mut seen = BTreeSet::new();
    let mut open: Option<(usize, Part)> = None;
    for (index, text) in page.lines().enumerate() {
        let line = index + 1;
        match (open, mark(text, line)?) {
            (None, None) => sections.push(Section::Text(text)),
            (None, Some(Mark::Begin(part))) if seen.insert(part) => {
                sections.push(Section::Generated(part));
                open = Some((line, part));
            }
            (None, Some(Mark::Begin(part))) => return Err(twice(line, part)),
            (None, Some(Mark::End)) => return Err(PageError::NoBeginning { line }),
            (Some(_), None) => {}
            (Some(_), Some(Mark::End)) => open = None,
            (Some((line, part)), Some(Mark::Begin(_))) => return Err(no_end(line, part)),
        }
    }
    if let Some((line, part)) = open {
        return Err(no_end(line, part));
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

fn no_end(line: usize, part: Part) -> PageError {
    let name = part.name();
    PageError::NoEnd { line, name }
}

enum Mark {
    Begin(Part),
    End,
}

fn mark(text: &str, line: usize) -> Result<Option<Mark>, PageError> {
    let text = text.trim_end();
    if text == END {
        return Ok(Some(Mark::End));
    }
    let name = text
        .strip_prefix(BEGIN)
        .and_then(|rest| rest.strip_suffix(BEGIN_END));
    let Some(name) = name else { return Ok(None) };
    match Part::named(name) {
        Some(part) => Ok(Some(Mark::Begin(part))),
        None => Err(PageError::UnknownPart {
            line,
            name: name.to_owned(),
        }),
    }
}
