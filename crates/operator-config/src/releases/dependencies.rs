//! The element `<needs>`: a dependency of a service's builds on a build of another service.
use lilacgate_releases::model::{Dependency, DependencyCycle, DependencyScope, Rules, WhenUnknown};
use roxmltree::Node;

use super::ReleasesReader;
use super::attributes::{read_build, read_when_unknown};
use crate::xml::{AttributeError, FaultKind, XmlReader};

fn read_scope(text: &str) -> Result<DependencyScope, AttributeError> {
    match text {
        "everywhere" => Ok(DependencyScope::Everywhere),
        "same-zone" => Ok(DependencyScope::SameZone),
        _ => Err(AttributeError::Expected("everywhere or same-zone")),
    }
}

impl ReleasesReader<'_, '_> {
    pub(super) fn dependency(&self, node: Node<'_, '_>) -> Option<Dependency> {
        let reader = self.reader;
        let attributes = [
            "service", "from", "to", "of", "at-least", "where", "on-trial", "released",
        ];
        reader.check_attributes(node, &attributes);
        reader.children(node, &[]);
        let service = reader.required(node, "service", |text| self.find_service(text));
        let requires = reader.required(node, "of", |text| self.find_service(text));
        if service.is_some() && service == requires {
            let fault = FaultKind::ContradictingAttribute {
                attribute: "of",
                expected: "another service",
            };
            reader.report_at(node, "of", fault);
            return None;
        }
        let at_least = reader.required(node, "at-least", read_build);
        let scope = reader.optional(node, "where", read_scope);
        let canary = reader.optional(node, "on-trial", read_when_unknown);
        let released = reader.optional(node, "released", read_when_unknown);
        Some(Dependency {
            builds: self.builds(node)?,
            service: service?,
            requires: requires?,
            at_least: at_least?,
            scope: scope.unwrap_or(DependencyScope::Everywhere),
            canary_when_unknown: canary.unwrap_or(WhenUnknown::Close),
            released_when_unknown: released.unwrap_or(WhenUnknown::Hold),
        })
    }
}

/// Reports a cycle of dependencies, at the first of them.
pub(super) fn check_cycles(reader: &XmlReader<'_>, rules: &Rules, nodes: &[Node<'_, '_>]) {
    if let Err(DependencyCycle(cycle)) = rules.dependency_order() {
        let steps: Vec<String> = cycle
            .iter()
            .map(|index| describe(rules, &rules.dependencies[*index]))
            .collect();
        let fault = FaultKind::DependencyCycle(steps.join("; "));
        reader.report(nodes[cycle[0]], fault);
    }
}

fn describe(rules: &Rules, dependency: &Dependency) -> String {
    let service = rules.service_name(dependency.service);
    let needed = rules.service_name(dependency.requires);
    let (first_build, needed_build) = (dependency.builds.from.0, dependency.at_least.0);
    format!("{service} {first_build}.. needs {needed} {needed_build}")
}
