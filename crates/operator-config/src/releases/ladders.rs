//! The element `<ladder>`: the rings that get the builds of a service one after the other.
use lilacgate_decision::{RequestClass, Stage};
use lilacgate_releases::calendar;
use lilacgate_releases::model::{Ladder, PairSet, Ring, Rules};
use roxmltree::Node;

use super::attributes::NameList;
use super::{ReleasesReader, RuleElement};
use crate::places;
use crate::xml::{AttributeError, FaultKind};

/// The number of rings that a ladder may have.
const MAX_RINGS: usize = 64;
/// The accepted stages, in words, for error messages. Stage 255 stands for the release.
const STAGES: &str = "a stage, 0 to 254";

fn read_stage(text: &str) -> Result<u8, AttributeError> {
    text.parse().map_err(|_| AttributeError::Expected(STAGES))
}

impl ReleasesReader<'_, '_> {
    pub(super) fn ladder(&self, node: Node<'_, '_>) -> Option<Ladder> {
        let reader = self.reader;
        reader.check_attributes(node, &["service", "from", "to", "settles"]);
        let service = reader.required(node, "service", |text| self.find_service(text));
        let settles = reader.optional(node, "settles", calendar::parse_span);
        let children = reader.children(node, &["ring"]);
        if children.is_empty() {
            reader.report(node, FaultKind::MissingElement("ring"));
        }
        self.check_count(node, "ring", children.len(), MAX_RINGS);
        let rings = self.rings(&children);
        Some(Ladder {
            service: service?,
            builds: self.builds(node)?,
            rings,
            final_soak: settles.unwrap_or_default(),
        })
    }

    fn rings(&self, nodes: &[Node<'_, '_>]) -> Vec<Ring> {
        let mut rings: Vec<Ring> = Vec::new();
        for node in nodes {
            let Some(ring) = self.ring(*node) else {
                continue;
            };
            if rings.last().is_some_and(|last| last.stage > ring.stage) {
                let fault = FaultKind::ContradictingAttribute {
                    attribute: "stage",
                    expected: "a stage not below that of the previous ring",
                };
                self.reader.report_at(*node, "stage", fault);
            }
            if rings.iter().any(|other| other.name == ring.name) {
                let fault = FaultKind::DefinedTwice {
                    kind: "ring",
                    name: ring.name.clone(),
                };
                self.reader.report_at(*node, "name", fault);
            }
            rings.push(ring);
        }
        rings
    }

    fn ring(&self, node: Node<'_, '_>) -> Option<Ring> {
        let reader = self.reader;
        reader.check_attributes(node, &["name", "stage", "after", "products"]);
        let name = reader.required(node, "name", places::read_name);
        let stage = reader.required(node, "stage", read_stage);
        let after = reader.optional(node, "after", calendar::parse_span);
        let request_classes = self.request_classes(node)?;
        let pairs = self.ring_pairs(node)?;
        Some(Ring {
            stage: self.stage_before_release(node, stage?)?,
            name: name?,
            soak_before: after.unwrap_or_default(),
            pairs,
            request_classes,
        })
    }

    /// Reads the request classes that the attribute `products` lists, as bits.
    fn request_classes(&self, node: Node<'_, '_>) -> Option<u64> {
        let listed = self.read_name_list(
            node,
            &NameList {
                attribute: "products",
                kind: "product",
                names: &self.places.products,
            },
        )?;
        let numbers = (0..listed.len()).filter(|number| listed[*number]);
        let bits = numbers.map(|number| Rules::request_class_bit(RequestClass(number as u8)));
        Some(bits.fold(0, |all, bit| all | bit))
    }

    fn ring_pairs(&self, node: Node<'_, '_>) -> Option<PairSet> {
        let reader = self.reader;
        let mut all = vec![false; self.places.zones.len() * self.places.tenants.len()];
        let children = reader.children(node, &["pairs"]);
        if children.is_empty() {
            reader.report(node, FaultKind::MissingElement("pairs"));
        }
        for child in children {
            reader.check_attributes(child, &["zones", "firms"]);
            reader.children(child, &[]);
            let pairs = self.pairs(child)?;
            for (any, one) in all.iter_mut().zip(pairs.0) {
                *any |= one;
            }
        }
        Some(PairSet(all))
    }

    fn stage_before_release(&self, node: Node<'_, '_>, stage: u8) -> Option<Stage> {
        if stage == u8::MAX {
            let fault = FaultKind::ContradictingAttribute {
                attribute: "stage",
                expected: STAGES,
            };
            self.reader.report_at(node, "stage", fault);
            return None;
        }
        Some(Stage(stage))
    }

    pub(super) fn check_overlaps(&self, ladders: &[RuleElement<'_, Ladder>]) {
        for (index, ladder) in ladders.iter().enumerate() {
            let earlier = &ladders[..index];
            if earlier
                .iter()
                .any(|other| overlap(&ladder.rule, &other.rule))
            {
                self.reader
                    .report(ladder.node, FaultKind::OverlappingLadders);
            }
        }
    }
}

fn overlap(one: &Ladder, other: &Ladder) -> bool {
    one.service == other.service
        && one.builds.from <= other.builds.to
        && other.builds.from <= one.builds.to
}
