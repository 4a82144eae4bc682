//! Owns the element `<timeline>`: whether an agent keeps time lines, how often it may err, and where they are kept.
use std::path::PathBuf;
use std::time::Duration;

use lilacgate_releases::calendar;
use roxmltree::Node;

use crate::xml::File;

/// What is ordered of time lines.
#[derive(Clone, Debug, PartialEq)]
pub struct Timeline {
    /// False events an hour over all nodes, at most, in the mean.
    pub false_per_hour: f64,
    /// Octets of memory that all lines may hold.
    pub memory: usize,
    pub store: Option<Store>,
    /// Where the lines are written when the agent is asked for them (SIGUSR1).
    pub dump: Option<PathBuf>,
}

/// Where lines outlast the agent.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    pub folder: PathBuf,
    /// Octets and age at most.
    pub keep: u64,
    pub age: Duration,
}

fn absolute(text: &str) -> Result<PathBuf, &'static str> {
    let path = PathBuf::from(text);
    if path.is_absolute() {
        Ok(path)
    } else {
        Err("an absolute path")
    }
}

fn mebibytes(text: &str) -> Result<u64, &'static str> {
    let fine = text
        .parse::<u64>()
        .ok()
        .filter(|mib| (1..=1 << 20).contains(mib));
    fine.map(|mib| mib << 20).ok_or("mebibytes, 1 to 1048576")
}

pub(crate) fn read(file: &File, node: Node) -> Option<Timeline> {
    file.attributes(
        node,
        &[
            "false-events-per-hour",
            "memory",
            "store",
            "keep",
            "age",
            "dump",
        ],
    );
    file.children(node, &[]);
    let rate = |text: &str| {
        let fine = text
            .parse::<f64>()
            .ok()
            .filter(|rate| *rate > 0.0 && *rate <= 100.0);
        fine.ok_or("a rate above 0, 100 at most")
    };
    let false_per_hour = file
        .maybe(node, "false-events-per-hour", rate)
        .unwrap_or(0.5);
    let memory = file.maybe(node, "memory", mebibytes).unwrap_or(8 << 20) as usize;
    let keep = file.maybe(node, "keep", mebibytes).unwrap_or(64 << 20);
    let age = file
        .maybe(node, "age", calendar::span)
        .unwrap_or(Duration::from_secs(7 * 24 * 3600));
    let folder = file.maybe(node, "store", absolute);
    let dump = file.maybe(node, "dump", absolute);
    if node.attribute("store").is_none() {
        for name in ["keep", "age"]
            .into_iter()
            .filter(|name| node.attribute(*name).is_some())
        {
            file.fault_at(node, name, format!("{name}: without store nothing is kept"));
        }
    }
    Some(Timeline {
        false_per_hour,
        memory,
        store: folder.map(|folder| Store { folder, keep, age }),
        dump,
    })
}
