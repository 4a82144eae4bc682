//! The file that describes a fleet (`deploy/capacity.xml`, with its schema
//! `deploy/capacity.xsd`) and its reader.
//!
//! Every fault is found with its line and column; the file is either taken
//! whole or not at all. [`crate::fleet`] draws services and agents from it.
use std::collections::BTreeSet;
use std::fmt;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use lilacgate_operator_config::Fault;
use lilacgate_operator_config::xml::{self, XmlReader};
use roxmltree::Node;

use crate::result::Size;

/// The version of the form, as its root says.
pub const VERSION: &str = "1";
/// The largest count that is read, of anything.
pub const LARGEST_COUNT: u32 = 10_000_000;
/// The largest skew: the standard deviation of the logarithm of a share.
pub const LARGEST_SKEW: f64 = 3.0;

const SECONDS_A_DAY: f64 = 86_400.0;
const CHILDREN: [&str; 11] = [
    "today", "agents", "places", "services", "routes", "tenants", "requests", "changes",
    "failures", "releases", "budgets",
];

/// A fleet that the design has to carry, and the budgets it has to keep.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The fleet that runs today.
    pub today: Size,
    /// Agents in the fleet.
    pub agents: u32,
    /// How unevenly requests are spread over agents.
    pub agent_skew: f64,
    /// Regions, zones and racks.
    pub places: Places,
    /// Services and their appliances.
    pub services: Services,
    /// Routes over all services.
    pub routes: u32,
    /// Tenants over all services.
    pub tenants: u32,
    /// Requests per second at the peak, over all agents and services.
    pub request_rate: f64,
    /// How unevenly requests are spread over services of one size.
    pub request_skew: f64,
    /// Changes of configuration.
    pub changes: Changes,
    /// Failures and restarts.
    pub failures: Failures,
    /// Releases on trial at once, each in a service of its own.
    pub releases: u32,
    /// What may be spent.
    pub budgets: Budgets,
}

/// Where agents and appliances stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Places {
    /// Regions.
    pub regions: u32,
    /// Zones over all regions.
    pub zones: u32,
    /// Appliances of one rack.
    pub rack_size: u32,
}

/// How many services there are and how large they are.
#[derive(Clone, Debug, PartialEq)]
pub struct Services {
    /// Services.
    pub count: u32,
    /// Appliances over all services.
    pub appliances: u32,
    /// The least size of the largest service.
    pub largest: u32,
    /// How unevenly appliances are spread over services.
    pub skew: f64,
    /// The most appliances that a list of an agent may hold.
    pub list_cap: u32,
    /// Services whose sizes are known; those of others are drawn.
    pub named: Vec<NamedService>,
}

/// A service whose size is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedService {
    /// Its name.
    pub name: String,
    /// Its appliances.
    pub appliances: u32,
}

/// Changes of configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Changes {
    /// Changes per day.
    pub per_day: f64,
    /// When the last agent has to act on one.
    pub in_force_within: Duration,
}

/// How often parts of the fleet fail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Failures {
    /// Machines that fail on an ordinary day.
    pub machines_per_day: f64,
    /// Machines that are restarted or replaced on an ordinary day.
    pub restarts_per_day: f64,
    /// Racks or switches that fail.
    pub racks_per_year: f64,
    /// Zones that fail.
    pub zones_per_year: f64,
    /// Times that regions lose each other.
    pub partitions_per_year: f64,
    /// For how long.
    pub partition_lasts: Duration,
}

/// What may be spent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budgets {
    /// Time added to a request, for 99 in 100.
    pub added_p99: Duration,
    /// Processor time of an agent for control, in percent of a core.
    pub core_percent: f64,
    /// Memory of an agent for control, in megabytes (10^6 bytes).
    pub memory_megabytes: f64,
    /// Bytes of an agent for control, in and out.
    pub bytes_per_second: f64,
    /// Machines set aside for control.
    pub control_machines: u32,
}

/// Why a target file cannot be used: one line, with the first fault's place.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct TargetError {
    path: Option<PathBuf>,
    faults: Vec<Fault>,
}

impl TargetError {
    /// All faults, in the order of their places; there is at least one.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

impl fmt::Display for TargetError {
    fn fmt(&self, output: &mut fmt::Formatter) -> fmt::Result {
        let Some((first, others)) = self.faults.split_first() else {
            return output.write_str("cannot be used");
        };
        let placed = first.line > 0;
        if let Some(path) = self.path.as_ref().filter(|_| placed) {
            write!(output, "{}:", path.display())?;
        }
        let what = first.to_string().replace('\n', " ");
        output.write_str(&what)?;
        if !others.is_empty() {
            write!(output, " (and {} more)", others.len())?;
        }
        Ok(())
    }
}

impl Target {
    /// Reads a target file.
    ///
    /// # Errors
    /// The file cannot be read or has faults.
    pub fn load(path: &Path) -> Result<Target, TargetError> {
        xml::text_of(path)
            .and_then(|text| xml::parse(&text, read_root))
            .map_err(|faults| TargetError {
                path: Some(path.to_owned()),
                faults,
            })
    }

    /// Reads the text of a target file.
    ///
    /// # Errors
    /// It has faults.
    pub fn parse(text: &str) -> Result<Target, TargetError> {
        xml::parse(text, read_root).map_err(|faults| TargetError { path: None, faults })
    }

    /// The sizes of the whole target. How many appliances an agent uses is
    /// decided by the program and not known here: it is 0.
    pub fn size(&self) -> Size {
        Size {
            agents: self.agents,
            listed_appliances: self.services.appliances,
            used_appliances: 0,
            services: self.services.count,
            routes: self.routes,
            tenants: self.tenants,
            request_rate: self.request_rate,
            change_rate: self.change_rate(),
            releases: self.releases,
        }
    }

    /// Requests per second of one agent at one service, on average.
    pub fn rate_per_agent_and_service(&self) -> f64 {
        self.request_rate / f64::from(self.agents) / f64::from(self.services.count)
    }

    /// Changes per second: configuration, and appliances that fail or are
    /// replaced, each of which leaves the list and comes back.
    pub fn change_rate(&self) -> f64 {
        let replaced = self.failures.machines_per_day + self.failures.restarts_per_day;
        (self.changes.per_day + 2.0 * replaced) / SECONDS_A_DAY
    }
}

fn read_root<'a>(file: &XmlReader<'a>, root: Node<'a, 'a>) -> Option<Target> {
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
    check(file, &reader, &target);
    version.map(|()| target)
}

/// The parts of a document, found by their names.
struct Reader<'f, 'a> {
    file: &'f XmlReader<'a>,
    root: Node<'a, 'a>,
    children: Vec<Node<'a, 'a>>,
}

impl<'a> Reader<'_, 'a> {
    fn child(&self, name: &str) -> Option<Node<'a, 'a>> {
        let is_named = |child: &&Node| child.tag_name().name() == name;
        self.children.iter().find(is_named).copied()
    }

    /// An element with nothing but these attributes.
    fn leaf(&self, name: &str, attributes: &[&str]) -> Option<Node<'a, 'a>> {
        let node = self.element(name, attributes)?;
        self.file.children(node, &[]);
        Some(node)
    }

    fn element(&self, name: &str, attributes: &[&str]) -> Option<Node<'a, 'a>> {
        let node = self.child(name);
        if node.is_none() {
            self.file.report(self.root, format!("<{name}> is missing"));
        }
        self.file.check_attributes(node?, attributes);
        node
    }

    /// All parts are read before one that is missing ends the reading, so
    /// that the faults of each are found.
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
        let (agents, agent_skew) = agents?;
        let (request_rate, request_skew) = requests?;
        Some(Target {
            today: today?,
            agents,
            agent_skew,
            places: places?,
            services: services?,
            routes: routes?,
            tenants: tenants?,
            request_rate,
            request_skew,
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

    fn agents(&self) -> Option<(u32, f64)> {
        let node = self.leaf("agents", &["count", "skew"])?;
        let count = self.file.required(node, "count", read_count);
        let skew = self.file.required(node, "skew", read_skew);
        Some((count?, skew?))
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

    fn requests(&self) -> Option<(f64, f64)> {
        let node = self.leaf("requests", &["per-second", "skew"])?;
        let rate = self.file.required(node, "per-second", read_amount);
        let skew = self.file.required(node, "skew", read_skew);
        Some((rate?, skew?))
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

/// What no part can say alone.
fn check(file: &XmlReader, reader: &Reader, target: &Target) {
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
        let what = format!(
            "zones: {} zones for {} regions; each needs one",
            places.zones, places.regions
        );
        file.report_at(node, "zones", what);
    }
}

fn check_services(file: &XmlReader, node: Node, services: &Services) {
    let appliances = services.appliances;
    if services.count > appliances {
        let what = format!(
            "count: {} services for {appliances} appliances; each needs one",
            services.count
        );
        return file.report_at(node, "count", what);
    }
    if services.list_cap < appliances {
        let what = format!(
            "list-cap: {} is less than the {appliances} appliances",
            services.list_cap
        );
        file.report_at(node, "list-cap", what);
    }
    check_named(file, node, services);
}

fn check_named(file: &XmlReader, node: Node, services: &Services) {
    let named = services.named.len() as u64;
    if named > u64::from(services.count) {
        let what = format!("count: {} services, but {named} are named", services.count);
        return file.report_at(node, "count", what);
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
        let what = format!(
            "appliances: {appliances} do not suit the {known} of named services and {drawn} others"
        );
        return file.report_at(node, "appliances", what);
    }
    let has_large = sizes.max().is_some_and(|most| most >= largest);
    let room = drawn > 0 && known + largest + (drawn - 1) <= appliances;
    if !has_large && !room {
        let what = format!("largest: no service can have {largest} of {appliances} appliances");
        file.report_at(node, "largest", what);
    }
}

fn check_releases(file: &XmlReader, node: Node, target: &Target) {
    if target.releases > target.services.count {
        let what = format!(
            "at-once: {} releases for {} services; each has one at most",
            target.releases, target.services.count
        );
        file.report_at(node, "at-once", what);
    }
}

fn read_name(text: &str) -> Result<String, &'static str> {
    let is_word = !text.is_empty() && !text.contains(char::is_whitespace);
    is_word
        .then(|| text.to_owned())
        .ok_or("a name without spaces")
}

fn read_count(text: &str) -> Result<u32, &'static str> {
    let count = u32::from_str(text).ok();
    let usable = count.filter(|count| (1..=LARGEST_COUNT).contains(count));
    usable.ok_or("a whole number from 1 to 10000000")
}

/// A plain decimal number; exponents and words like "inf" are not accepted.
fn read_decimal(text: &str) -> Option<f64> {
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let value = f64::from_str(text).ok().filter(|_| is_plain);
    value.filter(|value| value.is_finite())
}

fn read_rate(text: &str) -> Result<f64, &'static str> {
    read_decimal(text).ok_or("a number of 0 or more")
}

fn read_amount(text: &str) -> Result<f64, &'static str> {
    let amount = read_decimal(text).filter(|amount| *amount > 0.0);
    amount.ok_or("a number above 0")
}

fn read_skew(text: &str) -> Result<f64, &'static str> {
    let skew = read_decimal(text).filter(|skew| *skew <= LARGEST_SKEW);
    skew.ok_or("a number from 0 to 3")
}

fn read_duration(text: &str) -> Result<Duration, &'static str> {
    const EXPECTED: &str = "a time such as 3s, 3.7ms, 5m or 1h";
    let end = text.find(|letter: char| letter.is_ascii_alphabetic());
    let (number, unit) = text.split_at(end.ok_or(EXPECTED)?);
    let seconds = match unit {
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return Err(EXPECTED),
    };
    let number = read_decimal(number).ok_or(EXPECTED)?;
    Duration::try_from_secs_f64(number * seconds).map_err(|_| EXPECTED)
}
