//! The faults of a configuration file, with their positions.
use std::cmp::Ordering;
use std::fmt;
use std::path::PathBuf;

use lilacgate_releases::calendar::TimeTextError;

use super::MAX_FILE_BYTES;

/// A fault in a file. Faults are ordered by their positions, then by their texts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The line, from 1; 0 if the fault has no position.
    pub line: u32,
    /// The column, from 1; 0 if the fault has no position.
    pub column: u32,
    /// The element's name; empty if the fault is not in an element.
    pub element: String,
    /// The kind of fault, with the values that it concerns.
    pub kind: FaultKind,
}

impl Fault {
    /// A fault of the file as a whole, without a position.
    pub fn of_file(kind: FaultKind) -> Fault {
        Fault {
            line: 0,
            column: 0,
            element: String::new(),
            kind,
        }
    }

    pub(super) fn not_well_formed(error: &roxmltree::Error) -> Fault {
        let place = error.pos();
        Fault {
            line: place.row,
            column: place.col,
            element: String::new(),
            kind: FaultKind::NotWellFormed(error.to_string()),
        }
    }
}

impl Ord for Fault {
    fn cmp(&self, other: &Self) -> Ordering {
        let place = |fault: &Fault| (fault.line, fault.column);
        place(self)
            .cmp(&place(other))
            .then_with(|| self.element.cmp(&other.element))
            .then_with(|| self.kind.to_string().cmp(&other.kind.to_string()))
    }
}

impl PartialOrd for Fault {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(formatter, "{}:{}: ", self.line, self.column)?;
        }
        if !self.element.is_empty() {
            write!(formatter, "<{}>: ", self.element)?;
        }
        write!(formatter, "{}", self.kind)
    }
}

/// The kinds of faults, with their messages.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FaultKind {
    /// The file is larger than [`MAX_FILE_BYTES`].
    #[error("the file has {bytes} bytes; expected {MAX_FILE_BYTES} at the most")]
    FileTooLarge {
        /// The file's size.
        bytes: usize,
    },
    /// The file cannot be opened or read, or is not UTF-8.
    #[error("{}: the file cannot be read: {error}", path.display())]
    FileUnreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system or of UTF-8 decoding.
        error: String,
    },
    /// The text is not well-formed XML.
    #[error("not well-formed: {0}")]
    NotWellFormed(String),
    /// The root element has another name than this.
    #[error("the root is not <{0}>")]
    WrongRoot(&'static str),
    /// The element has no attribute of this name.
    #[error("attribute {attribute} is unknown; expected {expected}")]
    UnknownAttribute {
        /// The unknown name.
        attribute: String,
        /// The attributes that the element may have.
        expected: String,
    },
    /// An element contains text, which no element may.
    #[error("text is not expected here")]
    UnexpectedText,
    /// An element is in another element that may not contain it.
    #[error("not expected in <{parent}>; expected {expected}")]
    UnexpectedElement {
        /// The name of the containing element.
        parent: String,
        /// The elements that the containing element may contain.
        expected: String,
    },
    /// An element that may occur only once is repeated.
    #[error("stands more than once; expected at most one")]
    RepeatedElement,
    /// A required element is missing.
    #[error("<{0}> is missing")]
    MissingElement(&'static str),
    /// There are more elements of a kind than there are numbers for them, or than can be processed in time.
    #[error("{count} elements <{element}>; expected {max_count} at the most")]
    TooManyElements {
        /// The name of the elements.
        element: &'static str,
        /// The number of elements in the file.
        count: usize,
        /// The number of elements that are accepted.
        max_count: usize,
    },
    /// A required attribute is missing.
    #[error("attribute {0} is missing")]
    MissingAttribute(String),
    /// The value of an attribute does not have the expected form or is out of range.
    #[error("{attribute}: {text:?}: expected {expected}")]
    InvalidAttribute {
        /// The name of the attribute.
        attribute: String,
        /// The attribute's value in the file.
        text: String,
        /// The accepted values, in words.
        expected: String,
    },
    /// The value of an attribute is not a valid time, span of time or time zone.
    #[error("{attribute}: {error}")]
    InvalidTime {
        /// The name of the attribute.
        attribute: String,
        /// The attribute's value and what is accepted.
        error: TimeTextError,
    },
    /// An attribute contradicts another attribute or another element.
    #[error("{attribute}: expected {expected}")]
    ContradictingAttribute {
        /// The name of the attribute.
        attribute: &'static str,
        /// The accepted values, in words.
        expected: &'static str,
    },
    /// An attribute refers to a name that is not defined in the file.
    #[error("{attribute}: {kind} {name:?} is defined nowhere")]
    UndefinedName {
        /// The name of the attribute.
        attribute: String,
        /// The kind of thing that the name should denote, such as `zone`.
        kind: &'static str,
        /// The name that is not defined.
        name: String,
    },
    /// A name is defined twice.
    #[error("{kind} {name:?} is defined twice")]
    DefinedTwice {
        /// The kind of thing that the name denotes, such as `zone`.
        kind: &'static str,
        /// The name that is repeated.
        name: String,
    },
    /// The start settings have a name that the file does not define.
    #[error("{kind} {name:?} of the agent's start settings is not defined")]
    KnownNameNotDefined {
        /// The kind of thing that the name denotes, such as `zone`.
        kind: &'static str,
        /// The name in the start settings.
        name: String,
    },
    /// The file defines no name with this element.
    #[error("no <{0}> is defined")]
    NoneDefined(&'static str),
    /// The agent's own service has an address of a release control plane, which the start file already gives.
    #[error(
        "service {0:?} is the agent's own: expected no attribute desk, since its address is in the start file"
    )]
    OwnServiceHasControlPlane(String),
    /// Two ladders of one service apply to the same builds.
    #[error("another ladder of this service applies to some of these builds")]
    OverlappingLadders,
    /// Dependencies form a cycle.
    #[error("<needs> form a cycle: {0}")]
    DependencyCycle(String),
    /// A freeze has no window, or several.
    #[error("expected exactly one of once, weekly, yearly, declared")]
    FreezeWindow,
    /// A window is given in local time without a time zone.
    #[error("attribute time-zone is missing; the windows of freezes need it")]
    WindowsNeedTimeZone,
    /// A limit of the store is given without a store.
    #[error("{0}: expected only together with attribute store")]
    LimitWithoutStore(&'static str),
    /// A fault with a message of the code that reads the element.
    #[error("{0}")]
    Message(String),
}

impl From<String> for FaultKind {
    fn from(message: String) -> Self {
        FaultKind::Message(message)
    }
}

impl From<&str> for FaultKind {
    fn from(message: &str) -> Self {
        FaultKind::Message(message.to_owned())
    }
}

/// Why the value of an attribute is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttributeError {
    /// The value is not one of those that these words describe.
    #[error("expected {0}")]
    Expected(&'static str),
    /// The value is a name that is not defined in the file.
    #[error("{kind} {name:?} is defined nowhere")]
    Undefined {
        /// The kind of thing that the name should denote, such as `zone`.
        kind: &'static str,
        /// The name that is not defined.
        name: String,
    },
    /// The value is not a valid time, span of time or time zone.
    #[error(transparent)]
    Time(#[from] TimeTextError),
}

impl AttributeError {
    /// Converts the error to the fault of an attribute with this value.
    pub(crate) fn into_fault(self, attribute: &str, text: &str) -> FaultKind {
        let attribute = attribute.to_owned();
        match self {
            AttributeError::Expected(expected) => FaultKind::InvalidAttribute {
                attribute,
                text: text.to_owned(),
                expected: expected.to_owned(),
            },
            AttributeError::Undefined { kind, name } => FaultKind::UndefinedName {
                attribute,
                kind,
                name,
            },
            AttributeError::Time(error) => FaultKind::InvalidTime { attribute, error },
        }
    }
}

impl From<&'static str> for AttributeError {
    fn from(expected: &'static str) -> Self {
        AttributeError::Expected(expected)
    }
}
