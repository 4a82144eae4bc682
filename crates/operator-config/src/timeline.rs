//! The element `<timeline>`: whether an agent keeps time lines, how often they may err, and where they are kept.
use std::path::PathBuf;
use std::time::Duration;

use lilacgate_releases::calendar;
use roxmltree::Node;

use crate::xml::{AttributeError, FaultKind, XmlReader};

/// False events an hour unless the file says otherwise.
const DEFAULT_FALSE_EVENTS_PER_HOUR: f64 = 0.5;
/// The most false events an hour that can be ordered.
const MAX_FALSE_EVENTS_PER_HOUR: f64 = 100.0;
/// Bytes of memory unless the file says otherwise.
const DEFAULT_MEMORY_BYTES: u64 = 8 << 20;
/// Bytes that are stored unless the file says otherwise.
const DEFAULT_STORE_BYTES: u64 = 64 << 20;
/// The age up to which lines are stored unless the file says otherwise: a week.
const DEFAULT_MAX_AGE: Duration = Duration::from_secs(7 * 24 * 3600);
/// The most mebibytes that can be ordered: a tebibyte.
const MAX_MEBIBYTES: u64 = 1 << 20;

/// Which time lines are kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Timeline {
    /// The most false events an hour over all nodes, in the mean.
    pub max_false_events_per_hour: f64,
    /// The most memory of all lines, in bytes.
    pub memory_bytes: usize,
    /// Where lines are stored; without it they end with the agent.
    pub store: Option<Store>,
    /// Where the lines are written on SIGUSR1.
    pub dump: Option<PathBuf>,
}

/// Where lines outlast the agent.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// The folder of the files.
    pub folder: PathBuf,
    /// The most bytes of the files.
    pub max_bytes: u64,
    /// The greatest age of a line.
    pub max_age: Duration,
}

pub(crate) fn read_absolute_path(text: &str) -> Result<PathBuf, AttributeError> {
    let path = PathBuf::from(text);
    if path.is_absolute() {
        Ok(path)
    } else {
        Err(AttributeError::Expected("an absolute path"))
    }
}

/// Bytes, given in mebibytes.
fn read_mebibytes(text: &str) -> Result<u64, AttributeError> {
    let mebibytes = text.parse::<u64>().ok();
    mebibytes
        .filter(|mebibytes| (1..=MAX_MEBIBYTES).contains(mebibytes))
        .map(|mebibytes| mebibytes << 20)
        .ok_or(AttributeError::Expected("mebibytes, 1 to 1048576"))
}

fn read_rate(text: &str) -> Result<f64, AttributeError> {
    let rate = text.parse::<f64>().ok();
    rate.filter(|rate| *rate > 0.0 && *rate <= MAX_FALSE_EVENTS_PER_HOUR)
        .ok_or(AttributeError::Expected("a rate above 0, 100 at most"))
}

pub(crate) fn read(reader: &XmlReader<'_>, node: Node<'_, '_>) -> Option<Timeline> {
    let attributes = [
        "false-events-per-hour",
        "memory",
        "store",
        "keep",
        "age",
        "dump",
    ];
    reader.check_attributes(node, &attributes);
    reader.children(node, &[]);
    let max_false_events_per_hour = reader.optional(node, "false-events-per-hour", read_rate);
    let memory = reader.optional(node, "memory", read_mebibytes);
    let keep = reader.optional(node, "keep", read_mebibytes);
    let age = reader.optional(node, "age", calendar::parse_span);
    let folder = reader.optional(node, "store", read_absolute_path);
    let dump = reader.optional(node, "dump", read_absolute_path);
    if node.attribute("store").is_none() {
        for limit in ["keep", "age"] {
            if node.attribute(limit).is_some() {
                reader.report_at(node, limit, FaultKind::LimitWithoutStore(limit));
            }
        }
    }
    Some(Timeline {
        max_false_events_per_hour: max_false_events_per_hour
            .unwrap_or(DEFAULT_FALSE_EVENTS_PER_HOUR),
        memory_bytes: memory.unwrap_or(DEFAULT_MEMORY_BYTES) as usize,
        store: folder.map(|folder| Store {
            folder,
            max_bytes: keep.unwrap_or(DEFAULT_STORE_BYTES),
            max_age: age.unwrap_or(DEFAULT_MAX_AGE),
        }),
        dump,
    })
}
