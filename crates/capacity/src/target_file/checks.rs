//! Checks of a target file that involve several of its values.
use std::collections::BTreeSet;

use lilacgate_operator_config::xml::XmlReader;
use roxmltree::Node;

use super::reader::Reader;
use crate::target::{Places, Services, Target};

/// Reports values that do not agree with each other.
pub(super) fn check(reader: &Reader<'_, '_>, target: &Target) {
    let file = reader.file;
    if let Some(node) = reader.child("places") {
        check_places(file, node, &target.places);
    }
    if let Some(node) = reader.child("services") {
        check_services(file, node, &target.services);
    }
    if let Some(node) = reader.child("releases") {
        check_releases(file, node, target);
    }
}

fn check_places(file: &XmlReader, node: Node, places: &Places) {
    if places.zones < places.regions {
        let message = format!(
            "zones: {} zones for {} regions; each needs one",
            places.zones, places.regions
        );
        file.report_at(node, "zones", message);
    }
}

fn check_services(file: &XmlReader, node: Node, services: &Services) {
    let appliances = services.appliances;
    if services.count > appliances {
        let message = format!(
            "count: {} services for {appliances} appliances; each needs one",
            services.count
        );
        return file.report_at(node, "count", message);
    }
    if services.list_cap < appliances {
        let message = format!(
            "list-cap: {} is less than the {appliances} appliances",
            services.list_cap
        );
        file.report_at(node, "list-cap", message);
    }
    check_named(file, node, services);
}

fn check_named(file: &XmlReader, node: Node, services: &Services) {
    let named = services.named.len() as u64;
    if named > u64::from(services.count) {
        let message = format!("count: {} services, but {named} are named", services.count);
        return file.report_at(node, "count", message);
    }
    let mut names = BTreeSet::new();
    let elements = node.children().filter(Node::is_element);
    for (element, service) in elements.zip(&services.named) {
        if !names.insert(&service.name) {
            file.report_at(
                element,
                "name",
                format!("name: {:?} is there twice", service.name),
            );
        }
    }
    check_sizes(file, node, services);
}

fn check_sizes(file: &XmlReader, node: Node, services: &Services) {
    let sizes = services
        .named
        .iter()
        .map(|service| u64::from(service.appliances));
    let known: u64 = sizes.clone().sum();
    let drawn = u64::from(services.count) - services.named.len() as u64;
    let appliances = u64::from(services.appliances);
    let largest = u64::from(services.largest);
    if known + drawn > appliances || (drawn == 0 && known != appliances) {
        let message = format!(
            "appliances: {appliances} do not suit the {known} of named services and {drawn} others"
        );
        return file.report_at(node, "appliances", message);
    }
    let has_large = sizes.max().is_some_and(|most| most >= largest);
    let room = drawn > 0 && known + largest + (drawn - 1) <= appliances;
    if !has_large && !room {
        let message = format!("largest: no service can have {largest} of {appliances} appliances");
        file.report_at(node, "largest", message);
    }
}

fn check_releases(file: &XmlReader, node: Node, target: &Target) {
    if target.releases > target.services.count {
        let message = format!(
            "at-once: {} releases for {} services; each has one at most",
            target.releases, target.services.count
        );
        file.report_at(node, "at-once", message);
    }
}
