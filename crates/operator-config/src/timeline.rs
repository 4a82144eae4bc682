//! The element `<timeline>`: whether an agent keeps timelines, their rate of false events, and where they are stored.
use std::path::PathBuf;
use std::time::Duration;

use lilacgate_releases::calendar;
use roxmltree::Node;

use crate::xml::{AttributeError, FaultKind, XmlReader};

/// The default of the attribute `false-events-per-hour`.
const DEFAULT_FALSE_EVENTS_PER_HOUR: f64 = 0.5;
/// The largest accepted value of the attribute `false-events-per-hour`.
const MAX_FALSE_EVENTS_PER_HOUR: f64 = 100.0;
/// The default of the attribute `memory`.
const DEFAULT_MEMORY_BYTES: u64 = 8 << 20;
/// The default of the attribute `keep`.
const DEFAULT_STORE_BYTES: u64 = 64 << 20;
/// The default of the attribute `age`: a week.
const DEFAULT_MAX_AGE: Duration = Duration::from_secs(7 * 24 * 3600);
/// The largest accepted size in mebibytes: a tebibyte.
const MAX_MEBIBYTES: u64 = 1 << 20;

/// The settings of an agent's timelines.
#[derive(Clone, Debug, PartialEq)]
pub struct Timeline {
    /// The mean number of false events per hour, over all nodes, that must not be exceeded.
    pub max_false_events_per_hour: f64,
    /// The memory that all timelines together may use, in bytes.
    pub memory_bytes: usize,
    /// Where timelines are stored; if `None`, they are lost when the agent ends.
    pub store: Option<Store>,
    /// The file to which the timelines are written on SIGUSR1.
    pub dump: Option<PathBuf>,
}

/// The store in which timelines survive the agent's end.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// The folder of the segment files.
    pub folder: PathBuf,
    /// The total size of the files, in bytes.
    pub max_bytes: u64,
    /// The age after which segments are removed.
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

/// Reads a size in mebibytes, and returns it in bytes.
fn read_mebibytes(text: &str) -> Result<u64, AttributeError> {
    let mebibytes = text.parse::<u64>().ok();
    mebibytes
        .filter(|mebibytes| (1..=MAX_MEBIBYTES).contains(mebibytes))
        .map(|mebibytes| mebibytes << 20)
        .ok_or(AttributeError::Expected(
            "mebibytes, a whole number from 1 to 1048576",
        ))
}

fn read_rate(text: &str) -> Result<f64, AttributeError> {
    let rate = text.parse::<f64>().ok();
    rate.filter(|rate| *rate > 0.0 && *rate <= MAX_FALSE_EVENTS_PER_HOUR)
        .ok_or(AttributeError::Expected("a rate above 0 and at most 100"))
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
