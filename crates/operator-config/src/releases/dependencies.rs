//! The element `<needs>`: builds of a service that depend on a build of another one.
use lilacgate_releases::model::{InDoubt, Need, Reach, Rules};
use roxmltree::Node;

use super::ReleasesReader;
use super::attributes::{read_build, read_in_doubt};
use crate::xml::{AttributeError, FaultKind, XmlReader};

fn read_reach(text: &str) -> Result<Reach, AttributeError> {
    match text {
        "everywhere" => Ok(Reach::Everywhere),
        "same-zone" => Ok(Reach::SameZone),
        _ => Err(AttributeError::Expected("everywhere or same-zone")),
    }
}

impl ReleasesReader<'_, '_> {
    pub(super) fn need(&self, node: Node<'_, '_>) -> Option<Need> {
        let reader = self.reader;
        let attributes = [
            "service", "from", "to", "of", "at-least", "where", "on-trial", "released",
        ];
        reader.check_attributes(node, &attributes);
        reader.children(node, &[]);
        let service = reader.required(node, "service", |text| self.find_service(text));
        let of = reader.required(node, "of", |text| self.find_service(text));
        if service.is_some() && service == of {
            let fault = FaultKind::ContradictingAttribute {
                attribute: "of",
                expected: "another service",
            };
            reader.report_at(node, "of", fault);
            return None;
        }
        let at_least = reader.required(node, "at-least", read_build);
        let reach = reader.optional(node, "where", read_reach);
        let on_trial = reader.optional(node, "on-trial", read_in_doubt);
        let released = reader.optional(node, "released", read_in_doubt);
        Some(Need {
            builds: self.builds(node)?,
            service: service?,
            of: of?,
            at_least: at_least?,
            reach: reach.unwrap_or(Reach::Everywhere),
            on_trial: on_trial.unwrap_or(InDoubt::Close),
            released: released.unwrap_or(InDoubt::Hold),
        })
    }
}

/// Reports dependencies that lead back to where they began, at the first of them.
pub(super) fn check_cycles(reader: &XmlReader<'_>, rules: &Rules, nodes: &[Node<'_, '_>]) {
    if let Err(cycle) = rules.needs_in_order() {
        let steps: Vec<String> = cycle
            .iter()
            .map(|index| describe(rules, &rules.needs[*index]))
            .collect();
        let fault = FaultKind::DependencyCycle(steps.join("; "));
        reader.report(nodes[cycle[0]], fault);
    }
}

fn describe(rules: &Rules, need: &Need) -> String {
    let service = rules.service(need.service);
    let needed = rules.service(need.of);
    let (first_build, needed_build) = (need.builds.from.0, need.at_least.0);
    format!("{service} {first_build}.. needs {needed} {needed_build}")
}
