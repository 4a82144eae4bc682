//! Owns what an operator orders: services and their builds, ladders of rings, dependencies, freezes, and what of it
//! concerns a build. Plain rules, no state; it must never hold a fact, nor be changed once it is in use.
use std::time::Duration;

use lilacgate_decision::{Build, RequestClass, Stage, Tenant, Zone};
use petgraph::algo::toposort;
use petgraph::graph::{DiGraph, NodeIndex};

use crate::calendar::{InForce, When};

/// A service, by its place in the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u8);

/// Builds from one to another, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Builds {
    pub from: Build,
    pub to: Build,
}

impl Builds {
    pub const ALL: Builds = Builds {
        from: Build(0),
        to: Build(u16::MAX),
    };

    pub fn holds(self, build: Build) -> bool {
        self.from <= build && build <= self.to
    }
}

/// A set of pairs of a zone and a member firm, by zone x firms + firm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pairs(pub Vec<bool>);

impl Pairs {
    pub fn meets(&self, other: &Pairs) -> bool {
        self.0.iter().zip(&other.0).any(|(one, two)| *one && *two)
    }
}

#[derive(Clone, Debug)]
pub struct Service {
    pub name: String,
    /// After so long without a sign of life, what was heard of it is unknown; never, if none is given.
    pub silent_after: Option<Duration>,
}

/// One ring of a ladder: who gets a build next.
#[derive(Clone, Debug)]
pub struct Ring {
    pub name: String,
    /// The platform's stage from which on it may open.
    pub stage: Stage,
    /// The least time that the ring before it must have been open.
    pub after: Duration,
    pub pairs: Pairs,
    /// The products that may use a build on trial there, as bits.
    pub products: u64,
}

/// The order in which builds of a service come to zones and member firms. Pairs in no ring never get such a build.
#[derive(Clone, Debug)]
pub struct Ladder {
    pub service: ServiceId,
    pub builds: Builds,
    /// In their order; the stages never fall.
    pub rings: Vec<Ring>,
    /// The least time that the last ring must have been open before the release.
    pub settles: Duration,
}

impl Ladder {
    /// All pairs that any of its rings holds.
    pub fn pairs(&self) -> Pairs {
        let mut all = vec![false; self.rings.first().map_or(0, |ring| ring.pairs.0.len())];
        for ring in &self.rings {
            all.iter_mut()
                .zip(&ring.pairs.0)
                .for_each(|(all, one)| *all |= one);
        }
        Pairs(all)
    }

    /// The first ring that holds each pair.
    pub fn first_rings(&self) -> Vec<Option<u8>> {
        let pairs = self.rings.first().map_or(0, |ring| ring.pairs.0.len());
        let first = |pair| {
            self.rings
                .iter()
                .position(|ring| ring.pairs.0[pair])
                .map(|ring| ring as u8)
        };
        (0..pairs).map(first).collect()
    }
}

/// Where a dependency must stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    Everywhere,
    SameZone,
}

/// What becomes of a build while a dependency of it is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InDoubt {
    /// Nobody new gets it; who has it keeps it.
    Hold,
    Close,
}

/// Builds of a service need another service at a released build, or a later one.
#[derive(Clone, Debug)]
pub struct Need {
    pub service: ServiceId,
    pub builds: Builds,
    pub of: ServiceId,
    pub at_least: Build,
    pub reach: Reach,
    /// For builds on trial, and for released ones.
    pub on_trial: InDoubt,
    pub released: InDoubt,
}

/// While it is in force, nobody new gets a build.
#[derive(Clone, Debug)]
pub struct Freeze {
    pub name: String,
    /// All services if none is named.
    pub service: Option<ServiceId>,
    pub pairs: Pairs,
    /// Whether builds on trial are closed to those who have them, too.
    pub closes: bool,
    pub when: When,
}

/// All that an operator orders.
#[derive(Clone, Debug)]
pub struct Rules {
    pub zones: Vec<String>,
    pub firms: Vec<String>,
    pub products: Vec<String>,
    pub services: Vec<Service>,
    /// The service whose builds are routed here.
    pub own: ServiceId,
    pub ladders: Vec<Ladder>,
    pub needs: Vec<Need>,
    pub freezes: Vec<Freeze>,
}

impl Rules {
    pub fn pair(&self, zone: Zone, firm: Tenant) -> usize {
        usize::from(zone.0) * self.firms.len() + usize::from(firm.0)
    }

    pub fn pairs(&self) -> usize {
        self.zones.len() * self.firms.len()
    }

    /// The pairs of a zone.
    pub fn of_zone(&self, zone: Zone) -> std::ops::Range<usize> {
        let first = self.pair(zone, Tenant(0));
        first..first + self.firms.len()
    }

    pub fn zone_ids(&self) -> impl Iterator<Item = Zone> + use<> {
        (0..self.zones.len()).map(|zone| Zone(zone as u8))
    }

    pub fn service(&self, id: ServiceId) -> &str {
        self.services
            .get(usize::from(id.0))
            .map_or("?", |service| &service.name)
    }

    pub fn service_ids(&self) -> impl Iterator<Item = ServiceId> + use<> {
        (0..self.services.len()).map(|id| ServiceId(id as u8))
    }

    pub fn product_bit(product: RequestClass) -> u64 {
        1u64.checked_shl(u32::from(product.0)).unwrap_or(0)
    }

    /// The ladder that a build climbs: the first that holds it.
    pub fn ladder(&self, service: ServiceId, build: Build) -> Option<&Ladder> {
        self.ladders
            .iter()
            .find(|ladder| ladder.service == service && ladder.builds.holds(build))
    }

    /// What a build needs, with each need's place in the rules.
    pub fn needs(&self, service: ServiceId, build: Build) -> impl Iterator<Item = (usize, &Need)> {
        let of =
            move |(_, need): &(usize, &Need)| need.service == service && need.builds.holds(build);
        self.needs.iter().enumerate().filter(of)
    }

    /// The freezes in force on a service, with their places and how long they last.
    pub fn frozen(
        &self,
        service: ServiceId,
        now: Duration,
    ) -> impl Iterator<Item = (usize, &Freeze, InForce)> {
        let of = move |freeze: &Freeze| freeze.service.is_none_or(|s| s == service);
        let held = move |(i, freeze): (usize, &'_ Freeze)| {
            let force = freeze.when.in_force(now).filter(|_| of(freeze))?;
            Some((i, force))
        };
        let found: Vec<_> = self.freezes.iter().enumerate().filter_map(held).collect();
        found
            .into_iter()
            .map(|(i, force)| (i, &self.freezes[i], force))
    }

    /// The freeze that holds up a step of a build: any that touches a pair the build may ever come to. The one that
    /// lasts longest counts.
    pub fn holds_step(
        &self,
        service: ServiceId,
        build: Build,
        now: Duration,
    ) -> Option<(usize, InForce)> {
        let climbs = self.ladder(service, build).map(Ladder::pairs);
        let touches = |freeze: &Freeze| {
            climbs
                .as_ref()
                .is_none_or(|pairs| pairs.meets(&freeze.pairs))
        };
        let all = self
            .frozen(service, now)
            .filter(|(_, freeze, _)| touches(freeze));
        all.map(|(i, _, force)| (i, force))
            .max_by_key(|(_, force)| force.until.unwrap_or(Duration::MAX))
    }

    /// The freeze that keeps a ring shut: all of its pairs are frozen. The one that ends first counts.
    pub fn holds_ring(
        &self,
        service: ServiceId,
        ring: &Ring,
        now: Duration,
    ) -> Option<(usize, InForce)> {
        let frozen: Vec<_> = self.frozen(service, now).collect();
        let covered = |pair: usize| frozen.iter().any(|(_, freeze, _)| freeze.pairs.0[pair]);
        let all = ring
            .pairs
            .0
            .iter()
            .enumerate()
            .filter(|(_, is)| **is)
            .all(|(pair, _)| covered(pair));
        let ends = |force: &InForce| force.until.unwrap_or(Duration::MAX);
        let first = frozen
            .iter()
            .filter(|(_, freeze, _)| freeze.pairs.meets(&ring.pairs));
        first
            .map(|(i, _, force)| (*i, *force))
            .filter(|_| all)
            .min_by_key(|(_, force)| ends(force))
    }

    /// The zones in which a build is used, or would be after the next step from a stage.
    pub fn zones_up_to(&self, service: ServiceId, build: Build, stage: Stage) -> Vec<Zone> {
        let Some(ladder) = self.ladder(service, build) else {
            return self.zone_ids().collect();
        };
        let next = ladder
            .rings
            .iter()
            .map(|ring| ring.stage)
            .find(|s| *s > stage)
            .unwrap_or(stage);
        let rings: Vec<_> = ladder
            .rings
            .iter()
            .filter(|ring| ring.stage <= next)
            .collect();
        let used = |zone: &Zone| {
            rings
                .iter()
                .any(|ring| self.of_zone(*zone).any(|pair| ring.pairs.0[pair]))
        };
        self.zone_ids().filter(used).collect()
    }

    /// The needs in an order in which each comes after all that it rests on.
    ///
    /// # Errors
    /// A circle of needs, by their places in the rules, the first one again at its end.
    pub fn needs_in_order(&self) -> Result<Vec<usize>, Vec<usize>> {
        let mut graph = DiGraph::<usize, ()>::new();
        let nodes: Vec<_> = (0..self.needs.len()).map(|i| graph.add_node(i)).collect();
        for (i, need) in self.needs.iter().enumerate() {
            // A build that would do for this one may have needs of its own.
            let rests = |other: &Need| other.service == need.of && other.builds.to >= need.at_least;
            for (j, _) in self
                .needs
                .iter()
                .enumerate()
                .filter(|(_, other)| rests(other))
            {
                graph.add_edge(nodes[j], nodes[i], ());
            }
        }
        match toposort(&graph, None) {
            Ok(order) => Ok(order.into_iter().map(|node| graph[node]).collect()),
            Err(cycle) => Err(circle(&graph, cycle.node_id())),
        }
    }
}

/// A shortest circle through a node that is on one.
fn circle(graph: &DiGraph<usize, ()>, from: NodeIndex) -> Vec<usize> {
    let mut before = std::collections::HashMap::new();
    let mut queue = std::collections::VecDeque::from([from]);
    while let Some(node) = queue.pop_front() {
        for next in graph.neighbors(node) {
            if next == from {
                let mut path = vec![graph[from], graph[node]];
                let mut at = node;
                while at != from {
                    at = before[&at];
                    path.push(graph[at]);
                }
                return path;
            }
            before.entry(next).or_insert_with(|| {
                queue.push_back(next);
                node
            });
        }
    }
    vec![graph[from]]
}
