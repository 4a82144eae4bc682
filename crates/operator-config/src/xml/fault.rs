//! What can be wrong with a configuration file, and where.
use std::cmp::Ordering;
use std::fmt;
use std::path::PathBuf;

use lilacgate_releases::calendar::TimeTextError;

use super::MAX_FILE_BYTES;

/// Something in a file that cannot be used. Faults are ordered by their places, then by their texts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The line, from 1; 0 where the fault has no place.
    pub line: u32,
    /// The column, from 1; 0 where the fault has no place.
    pub column: u32,
    /// The element's name; empty where the fault has no place in an element.
    pub element: String,
    /// What is wrong.
    pub kind: FaultKind,
}

impl Fault {
    /// A fault of the file as a whole, without a place.
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

/// What is wrong at a place of a file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FaultKind {
    /// The file is larger than any that is read.
    #[error("the file has {bytes} bytes; {MAX_FILE_BYTES} are the most")]
    FileTooLarge {
        /// The file's size.
        bytes: usize,
    },
    /// The file cannot be opened or read, or is not UTF-8.
    #[error("{}: {error}", path.display())]
    FileUnreadable {
        /// The file.
        path: PathBuf,
        /// Why it cannot be read.
        error: String,
    },
    /// The text is not XML.
    #[error("not well-formed: {0}")]
    NotWellFormed(String),
    /// The root is another element.
    #[error("the root is not <{0}>")]
    WrongRoot(&'static str),
    /// An attribute is not one of those of its element.
    #[error("attribute {attribute} is unknown; expected {expected}")]
    UnknownAttribute {
        /// The attribute.
        attribute: String,
        /// The attributes of the element.
        expected: String,
    },
    /// An element has text, which none may.
    #[error("text is not expected here")]
    UnexpectedText,
    /// An element stands in another that does not have it.
    #[error("not expected in <{parent}>; expected {expected}")]
    UnexpectedElement {
        /// The element that it stands in.
        parent: String,
        /// The elements of that.
        expected: String,
    },
    /// An element that may stand once stands again.
    #[error("stands more than once")]
    RepeatedElement,
    /// A necessary element is missing.
    #[error("<{0}> is missing")]
    MissingElement(&'static str),
    /// There are more elements of a kind than can be numbered or worked through in time.
    #[error("{count} of <{element}>; {most} are the most")]
    TooManyElements {
        /// The elements' name.
        element: &'static str,
        /// How many there are.
        count: usize,
        /// How many there may be.
        most: usize,
    },
    /// A necessary attribute is missing.
    #[error("attribute {0} is missing")]
    MissingAttribute(String),
    /// An attribute has another form than is wanted.
    #[error("{attribute}: {text:?}: expected {expected}")]
    UnusableAttribute {
        /// The attribute.
        attribute: String,
        /// Its text.
        text: String,
        /// What is wanted.
        expected: String,
    },
    /// An attribute is no time or no time zone.
    #[error("{attribute}: {error}")]
    UnusableTime {
        /// The attribute.
        attribute: String,
        /// What was read and what is wanted.
        error: TimeTextError,
    },
    /// An attribute contradicts another one, or another element.
    #[error("{attribute}: expected {expected}")]
    ContradictingAttribute {
        /// The attribute.
        attribute: &'static str,
        /// What is wanted.
        expected: &'static str,
    },
    /// An attribute refers to a name that is defined nowhere.
    #[error("{attribute}: {kind} {name:?} is defined nowhere")]
    UndefinedName {
        /// The attribute.
        attribute: String,
        /// What the name is of.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A name is defined twice.
    #[error("{kind} {name:?} is defined twice")]
    DefinedTwice {
        /// What the name is of.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// The start settings have a name that the file does not define.
    #[error("{kind} {name:?}, which the agent is told of, is not defined")]
    KnownNameNotDefined {
        /// What the name is of.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// No name of a kind is defined.
    #[error("no <{0}> is defined")]
    NoneDefined(&'static str),
    /// The agent's own service has an address of a release control plane.
    #[error("service {0:?} is the agent's own: its desk is in the start file")]
    OwnServiceHasControlPlane(String),
    /// Two rollouts of one service hold the same builds.
    #[error("another ladder of this service holds some of these builds")]
    OverlappingLadders,
    /// Dependencies lead back to where they began.
    #[error("needs go in a circle: {0}")]
    DependencyCycle(String),
    /// A freeze has no window, or several.
    #[error("expected one of once, weekly, yearly, declared")]
    FreezeWindow,
    /// A window is given in local time without a time zone.
    #[error("attribute time-zone is missing, which windows need")]
    WindowsNeedTimeZone,
    /// A limit of the store is given without a store.
    #[error("{0}: without store nothing is kept")]
    LimitWithoutStore(&'static str),
    /// A fault in the words of whoever found it.
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

/// Why the text of an attribute cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttributeError {
    /// The text has another form than this.
    #[error("expected {0}")]
    Expected(&'static str),
    /// The text is a name that is defined nowhere.
    #[error("{kind} {name:?} is defined nowhere")]
    Undefined {
        /// What the name is of.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// The text is no time, or no time zone.
    #[error(transparent)]
    Time(#[from] TimeTextError),
}

impl AttributeError {
    /// The fault of the attribute with this text.
    pub(crate) fn into_fault(self, attribute: &str, text: &str) -> FaultKind {
        let attribute = attribute.to_owned();
        match self {
            AttributeError::Expected(expected) => FaultKind::UnusableAttribute {
                attribute,
                text: text.to_owned(),
                expected: expected.to_owned(),
            },
            AttributeError::Undefined { kind, name } => FaultKind::UndefinedName {
                attribute,
                kind,
                name,
            },
            AttributeError::Time(error) => FaultKind::UnusableTime { attribute, error },
        }
    }
}

impl From<&'static str> for AttributeError {
    fn from(expected: &'static str) -> Self {
        AttributeError::Expected(expected)
    }
}
