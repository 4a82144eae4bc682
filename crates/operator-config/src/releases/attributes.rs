//! Reads attributes that several elements of `<releases>` have.
use std::net::SocketAddr;
use std::time::Duration;

use lilacgate_decision::Build;
use lilacgate_releases::calendar;
use lilacgate_releases::model::{BuildRange, PairSet, WhenUnknown};
use roxmltree::Node;

use super::ReleasesReader;
use crate::places;
use crate::xml::{AttributeError, FaultKind};

/// Describes an attribute that is a list of names.
pub(super) struct NameList<'n> {
    pub(super) attribute: &'static str,
    /// The kind of thing that the names denote, such as `zone`.
    pub(super) kind: &'static str,
    /// The names that are defined in the file.
    pub(super) names: &'n [String],
}

pub(super) fn read_build(text: &str) -> Result<Build, AttributeError> {
    text.parse()
        .map(Build)
        .map_err(|_| AttributeError::Expected("a build, 0 to 65535"))
}

pub(super) fn read_when_unknown(text: &str) -> Result<WhenUnknown, AttributeError> {
    match text {
        "hold" => Ok(WhenUnknown::Hold),
        "close" => Ok(WhenUnknown::Close),
        _ => Err(AttributeError::Expected("hold or close")),
    }
}

/// Reads a duration above 0.
pub(super) fn read_period(text: &str) -> Result<Duration, AttributeError> {
    let duration = calendar::parse_span(text)?;
    if duration.is_zero() {
        Err(AttributeError::Expected("a span of time above 0"))
    } else {
        Ok(duration)
    }
}

pub(super) fn read_address(text: &str) -> Result<SocketAddr, AttributeError> {
    text.parse()
        .map_err(|_| AttributeError::Expected("an address such as 127.0.0.1:6401"))
}

impl ReleasesReader<'_, '_> {
    /// Reads a range of builds from the attributes `from` and `to`, both inclusive. If one is missing, the range is
    /// open at this end.
    pub(super) fn builds(&self, node: Node<'_, '_>) -> Option<BuildRange> {
        let reader = self.reader;
        let from = reader.optional(node, "from", read_build);
        let to = reader.optional(node, "to", read_build);
        let builds = BuildRange {
            from: from.unwrap_or(BuildRange::ALL.from),
            to: to.unwrap_or(BuildRange::ALL.to),
        };
        if builds.from > builds.to {
            let fault = FaultKind::ContradictingAttribute {
                attribute: "to",
                expected: "a build not before from",
            };
            reader.report_at(node, "to", fault);
            return None;
        }
        Some(builds)
    }

    /// Reads which of the defined names an attribute lists; all of them if the attribute is missing.
    pub(super) fn read_name_list(
        &self,
        node: Node<'_, '_>,
        list: &NameList<'_>,
    ) -> Option<Vec<bool>> {
        let Some(text) = node.attribute(list.attribute) else {
            return Some(vec![true; list.names.len()]);
        };
        if text.trim().is_empty() {
            let fault = FaultKind::ContradictingAttribute {
                attribute: list.attribute,
                expected: "at least one name, or no attribute for all names",
            };
            self.reader.report_at(node, list.attribute, fault);
            return None;
        }
        let mut listed = vec![false; list.names.len()];
        let mut all_defined = true;
        for name in text.split_whitespace() {
            match places::find(list.names, list.kind, name) {
                Ok(index) => listed[index] = true,
                Err(error) => {
                    let fault = error.into_fault(list.attribute, name);
                    self.reader.report_at(node, list.attribute, fault);
                    all_defined = false;
                }
            }
        }
        all_defined.then_some(listed)
    }

    /// Reads the pairs of each zone in the attribute `zones` with each tenant in the attribute `firms`.
    pub(super) fn pairs(&self, node: Node<'_, '_>) -> Option<PairSet> {
        let zones = self.read_name_list(
            node,
            &NameList {
                attribute: "zones",
                kind: "zone",
                names: &self.places.zones,
            },
        );
        let tenants = self.read_name_list(
            node,
            &NameList {
                attribute: "firms",
                kind: "firm",
                names: &self.places.tenants,
            },
        );
        let (zones, tenants) = zones.zip(tenants)?;
        let pairs_of_zone = |zone: bool| tenants.iter().map(move |tenant| zone && *tenant);
        Some(PairSet(zones.into_iter().flat_map(pairs_of_zone).collect()))
    }
}
