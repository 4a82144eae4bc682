//! The membership list that the discovery stand-in serves: entries, their version, and the changes since the first.

use std::net::SocketAddr;
use std::time::SystemTime;

use lilacgate_test_bed::start_file::EndpointEntry;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The zone of each entry, as the start file names it.
const ZONE: &str = "x";
/// The version of the first list.
const FIRST_VERSION: u64 = 1;

/// One listed appliance.
#[derive(Clone, Debug)]
struct Member {
    name: String,
    address: SocketAddr,
    build: u16,
    is_draining: bool,
}

impl Member {
    fn json(&self) -> String {
        let state = if self.is_draining {
            "draining"
        } else {
            "ready"
        };
        let build = self.build.to_string();
        let started: Option<SystemTime> = None;
        EndpointEntry::new(&self.name, self.address, ZONE, state, &build)
            .started_at(started)
            .to_json()
    }
}

/// A version of the list that a watcher has, as it names it in its request. Zero means none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version(pub u64);

/// What a watcher is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// It has the present list already.
    None,
    /// The changes since its version, as one JSON object.
    Changes(Version, String),
    /// The whole list, as one JSON object.
    Whole(Version, String),
}

/// The list and its changes.
#[derive(Debug)]
pub struct Membership {
    members: Vec<Member>,
    /// Which member each change touched; the i-th change led to version `FIRST_VERSION + 1 + i`.
    changes: Vec<usize>,
    /// The member that the last single change drained, and the next one returns.
    drained: Option<usize>,
    random: Pcg64Mcg,
}

impl Membership {
    /// So many appliances over these listeners in turn; `trial_share` of them run the second build.
    pub fn new(count: usize, listeners: &[SocketAddr], trial_share: f64, seed: u64) -> Self {
        let trial_count = (count as f64 * trial_share).round() as usize;
        let members = (0..count)
            .map(|index| Member {
                name: format!("{index:08x}"),
                address: listeners[index % listeners.len()],
                build: if index < trial_count { 2 } else { 1 },
                is_draining: false,
            })
            .collect();
        Membership {
            members,
            changes: Vec::new(),
            drained: None,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The present version.
    pub fn version(&self) -> Version {
        Version(FIRST_VERSION + self.changes.len() as u64)
    }

    /// One appliance begins to drain, or the one that drains returns, in turns.
    pub fn change_one(&mut self) {
        let index = match self.drained.take() {
            Some(index) => index,
            None => {
                let index = self.random.random_range(0..self.members.len());
                self.drained = Some(index);
                index
            }
        };
        let is_draining = !self.members[index].is_draining;
        self.set_draining(index, is_draining);
    }

    /// One change: whether the appliance with this index drains.
    pub fn set_draining(&mut self, index: usize, is_draining: bool) {
        self.members[index].is_draining = is_draining;
        self.changes.push(index);
    }

    /// What a watcher with this version is to be sent.
    pub fn since(&self, version: Version) -> Update {
        let present = self.version();
        if version == present {
            return Update::None;
        }
        if version < Version(FIRST_VERSION) || version > present {
            return Update::Whole(present, self.whole());
        }
        let missed = (version.0 - FIRST_VERSION) as usize;
        let changed = self.changes[missed..].iter();
        let entries: Vec<String> = changed.map(|&index| self.members[index].json()).collect();
        Update::Changes(present, message(present, false, &entries))
    }

    /// The whole list as one JSON object.
    pub fn whole(&self) -> String {
        let entries: Vec<String> = self.members.iter().map(Member::json).collect();
        message(self.version(), true, &entries)
    }
}

fn message(version: Version, is_full: bool, entries: &[String]) -> String {
    let entries = entries.join(",");
    format!(
        "{{\"version\":{},\"full\":{is_full},\"servers\":[{entries}]}}",
        version.0
    )
}
