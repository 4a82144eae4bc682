//! Reads the elements of a target file.
use lilacgate_operator_config::xml::XmlReader;
use roxmltree::Node;

use super::checks::check;
use super::values::{read_amount, read_count, read_duration, read_name, read_rate, read_skew};
use crate::result::Size;
use crate::target::{Budgets, Changes, Failures, NamedService, Places, Services, Target, VERSION};

/// The elements below the root.
const CHILDREN: [&str; 11] = [
    "today", "agents", "places", "services", "routes", "tenants", "requests", "changes",
    "failures", "releases", "budgets",
];

/// Reads a document from its root element; all faults go to `file`.
pub(crate) fn read_root<'a>(file: &XmlReader<'a>, root: Node<'a, 'a>) -> Option<Target> {
    if root.tag_name().name() != "capacity" {
        file.report(root, "the root is not <capacity>");
        return None;
    }
    let version = file.required(root, "version", |text| match text {
        VERSION => Ok(()),
        _ => Err("version 1"),
    });
    file.check_attributes(root, &["version"]);
    let children = file.children(root, &CHILDREN);
    file.check_no_repeats(&children);
    let reader = Reader {
        file,
        root,
        children,
    };
    let target = reader.target()?;
    check(&reader, &target);
    version.map(|()| target)
}

/// The elements of a document, found by their names.
pub(super) struct Reader<'f, 'a> {
    pub(super) file: &'f XmlReader<'a>,
    root: Node<'a, 'a>,
    children: Vec<Node<'a, 'a>>,
}

/// The values of `<agents>`.
struct AgentsElement {
    count: u32,
    skew: f64,
}

/// The values of `<requests>`.
struct RequestsElement {
    /// Requests per second.
    rate: f64,
    skew: f64,
}

impl<'a> Reader<'_, 'a> {
    pub(super) fn child(&self, name: &str) -> Option<Node<'a, 'a>> {
        let is_named = |child: &&Node| child.tag_name().name() == name;
        self.children.iter().find(is_named).copied()
    }

    /// An element with these attributes and no children.
    fn leaf(&self, name: &str, attributes: &[&str]) -> Option<Node<'a, 'a>> {
        let node = self.element(name, attributes)?;
        self.file.children(node, &[]);
        Some(node)
    }

    /// An element with these attributes; a fault is reported if it is missing.
    fn element(&self, name: &str, attributes: &[&str]) -> Option<Node<'a, 'a>> {
        let node = self.child(name);
        if node.is_none() {
            self.file.report(self.root, format!("<{name}> is missing"));
        }
        self.file.check_attributes(node?, attributes);
        node
    }

    /// Reads all elements before a missing one ends the reading, so that the
    /// faults of all elements are reported.
    fn target(&self) -> Option<Target> {
        let today = self.today();
        let agents = self.agents();
        let places = self.places();
        let services = self.services();
        let routes = self.count_of("routes");
        let tenants = self.count_of("tenants");
        let requests = self.requests();
        let changes = self.changes();
        let failures = self.failures();
        let releases = self.releases();
        let budgets = self.budgets();
        let agents = agents?;
        let requests = requests?;
        Some(Target {
            today: today?,
            agents: agents.count,
            agent_skew: agents.skew,
            places: places?,
            services: services?,
            routes: routes?,
            tenants: tenants?,
            request_rate: requests.rate,
            request_skew: requests.skew,
            changes: changes?,
            failures: failures?,
            releases: releases?,
            budgets: budgets?,
        })
    }

    fn today(&self) -> Option<Size> {
        let counts = ["agents", "appliances", "services", "routes", "tenants"];
        let known = [counts.as_slice(), &["requests-per-second"]].concat();
        let node = self.leaf("today", &known)?;
        let [agents, appliances, services, routes, tenants] =
            counts.map(|name| self.file.required(node, name, read_count));
        let request_rate = self.file.required(node, "requests-per-second", read_amount);
        Some(Size {
            agents: agents?,
            listed_appliances: appliances?,
            services: services?,
            routes: routes?,
            tenants: tenants?,
            request_rate: request_rate?,
            ..Size::default()
        })
    }

    fn agents(&self) -> Option<AgentsElement> {
        let node = self.leaf("agents", &["count", "skew"])?;
        let count = self.file.required(node, "count", read_count);
        let skew = self.file.required(node, "skew", read_skew);
        Some(AgentsElement {
            count: count?,
            skew: skew?,
        })
    }

    fn places(&self) -> Option<Places> {
        let names = ["regions", "zones", "rack-size"];
        let node = self.leaf("places", &names)?;
        let [regions, zones, rack_size] =
            names.map(|name| self.file.required(node, name, read_count));
        Some(Places {
            regions: regions?,
            zones: zones?,
            rack_size: rack_size?,
        })
    }

    fn services(&self) -> Option<Services> {
        let known = ["count", "appliances", "largest", "skew", "list-cap"];
        let node = self.element("services", &known)?;
        let count = self.file.required(node, "count", read_count);
        let appliances = self.file.required(node, "appliances", read_count);
        let largest = self.file.optional(node, "largest", read_count);
        let skew = self.file.required(node, "skew", read_skew);
        let list_cap = self.file.required(node, "list-cap", read_count);
        let named = self.file.children(node, &["service"]);
        let named: Option<Vec<_>> = named.into_iter().map(|node| self.service(node)).collect();
        Some(Services {
            count: count?,
            appliances: appliances?,
            largest: largest.unwrap_or(1),
            skew: skew?,
            list_cap: list_cap?,
            named: named?,
        })
    }

    fn service(&self, node: Node<'a, 'a>) -> Option<NamedService> {
        self.file.check_attributes(node, &["name", "appliances"]);
        self.file.children(node, &[]);
        let name = self.file.required(node, "name", read_name);
        let appliances = self.file.required(node, "appliances", read_count);
        Some(NamedService {
            name: name?,
            appliances: appliances?,
        })
    }

    fn count_of(&self, element: &str) -> Option<u32> {
        let node = self.leaf(element, &["count"])?;
        self.file.required(node, "count", read_count)
    }

    fn requests(&self) -> Option<RequestsElement> {
        let node = self.leaf("requests", &["per-second", "skew"])?;
        let rate = self.file.required(node, "per-second", read_amount);
        let skew = self.file.required(node, "skew", read_skew);
        Some(RequestsElement {
            rate: rate?,
            skew: skew?,
        })
    }

    fn changes(&self) -> Option<Changes> {
        let node = self.leaf("changes", &["per-day", "in-force-within"])?;
        let per_day = self.file.required(node, "per-day", read_rate);
        let within = self.file.required(node, "in-force-within", read_duration);
        Some(Changes {
            per_day: per_day?,
            in_force_within: within?,
        })
    }

    fn failures(&self) -> Option<Failures> {
        let rates = [
            "machines-per-day",
            "restarts-per-day",
            "racks-per-year",
            "zones-per-year",
            "partitions-per-year",
        ];
        let known = [rates.as_slice(), &["partition-lasts"]].concat();
        let node = self.leaf("failures", &known)?;
        let [machines, restarts, racks, zones, partitions] =
            rates.map(|name| self.file.required(node, name, read_rate));
        let lasts = self.file.required(node, "partition-lasts", read_duration);
        Some(Failures {
            machines_per_day: machines?,
            restarts_per_day: restarts?,
            racks_per_year: racks?,
            zones_per_year: zones?,
            partitions_per_year: partitions?,
            partition_lasts: lasts?,
        })
    }

    fn releases(&self) -> Option<u32> {
        let node = self.leaf("releases", &["at-once"])?;
        self.file.required(node, "at-once", read_count)
    }

    fn budgets(&self) -> Option<Budgets> {
        let amounts = ["core-percent", "memory-mb", "bytes-per-second"];
        let known = [amounts.as_slice(), &["added-p99", "control-machines"]].concat();
        let node = self.leaf("budgets", &known)?;
        let [core, memory, bytes] = amounts.map(|name| self.file.required(node, name, read_amount));
        let added_p99 = self.file.required(node, "added-p99", read_duration);
        let machines = self.file.required(node, "control-machines", read_count);
        Some(Budgets {
            added_p99: added_p99?,
            core_percent: core?,
            memory_megabytes: memory?,
            bytes_per_second: bytes?,
            control_machines: machines?,
        })
    }
}
