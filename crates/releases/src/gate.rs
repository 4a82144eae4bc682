//! Owns the decision where and for whom each build may be used, and whether a step on may be asked for. It weighs
//! ladders, dependencies and freezes by what is heard, and makes the table that is looked up for each request. It must
//! never open what the decision module closes (the module asks it besides its own rules, not instead), never hold up
//! a way back, and never believe what is unknown.
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use lilacgate_decision::{
    Build, ReleasePermissions, ReleasePhase, RequestClass, Stage, Tenant, Zone,
};
use serde::{Deserialize, Serialize};

use crate::climb::Climb;
use crate::facts::{Doubt, Fact, Standing, Told};
use crate::model::{InDoubt, Reach, Ring, Rules, ServiceId};
use crate::table::{self, Cell, Row};

/// Events that are kept until they are fetched; older ones are counted only.
const EVENTS: usize = 256;

/// Why a build is closed somewhere, or is kept there though nobody new gets it. Rings, freezes and needs are named by
/// their places in the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    Open,
    /// No appliance is listed with it, and no news name it.
    NotListed,
    /// Its ladder has no ring with this zone and firm.
    NoRing,
    RingShut(u8),
    /// Open, but not to this product.
    Product,
    Frozen(u16),
    Unmet(u16),
    Unknown(u16),
    /// The news of the service itself cannot be relied on.
    OwnNews,
    GoingBack,
}

impl Why {
    /// The code that logs and `lgctl` use.
    pub fn code(self) -> &'static str {
        match self {
            Why::Open => "open",
            Why::NotListed => "not-listed",
            Why::NoRing => "no-ring",
            Why::RingShut(_) => "ring-shut",
            Why::Product => "product",
            Why::Frozen(_) => "frozen",
            Why::Unmet(_) => "need-unmet",
            Why::Unknown(_) => "need-unknown",
            Why::OwnNews => "own-news",
            Why::GoingBack => "going-back",
        }
    }
}

/// Why no step on may be asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hindrance {
    /// No build is on trial.
    NoTrial,
    /// A ring of the present stage is not open yet, or the last one not long enough.
    Ring(u8),
    Frozen(u16),
    Unmet(u16),
    Unknown(u16),
    OwnNews,
    /// The build is open to none of this agent's requests: it has seen nothing of it.
    NoView,
}

impl Hindrance {
    pub fn code(self) -> &'static str {
        match self {
            Hindrance::NoTrial => "no-trial",
            Hindrance::Ring(_) => "ring-time",
            Hindrance::Frozen(_) => "frozen",
            Hindrance::Unmet(_) => "need-unmet",
            Hindrance::Unknown(_) => "need-unknown",
            Hindrance::OwnNews => "own-news",
            Hindrance::NoView => "no-view",
        }
    }
}

/// No step on, why, and until when at least, where the time alone decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stay {
    pub why: Hindrance,
    pub until: Option<Duration>,
}

/// What changed since the last look.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Since 1970.
    pub at: Duration,
    pub build: u16,
    pub what: What,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// So many pairs of a zone and a firm got it.
    Opened(usize),
    /// So many lost it, by the code of the reason.
    Closed(usize, String),
    /// A step on may be asked for from this stage on, or no more, by the code of the reason.
    MayStep(u8),
    Stays(String),
}

/// Whether a need is met in a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Met {
    Yes,
    Unknown,
    No,
}

/// How a build of the service stands: before the newest, or as that one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Footing {
    Earlier,
    Released,
    OnTrial,
    Back,
}

/// How far a build is open somewhere, the worst last.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Level {
    Open,
    Hold(Why),
    Closed(Why),
}

pub struct Gate {
    pub(crate) rules: Rules,
    /// The needs, each after all that it rests on; and for each ladder, the first ring of each pair.
    order: Vec<usize>,
    firsts: Vec<Vec<Option<u8>>>,
    /// The firm whose requests are routed here; all if none is given.
    pub(crate) me: Option<Tenant>,
    pub(crate) now: Duration,
    pub(crate) facts: Vec<Fact>,
    pub(crate) climbs: BTreeMap<(ServiceId, Build), Climb>,
    pub(crate) rows: BTreeMap<Build, Row>,
    listed: BTreeSet<Build>,
    step: Result<(Build, Stage), Stay>,
    events: VecDeque<Event>,
    dropped: u64,
    handed: Arc<ReleasePermissions>,
}

impl Gate {
    /// Nothing is heard yet, and so nothing open.
    ///
    /// # Errors
    /// A circle of needs, by their places.
    pub fn new(rules: Rules, me: Option<Tenant>, now: Duration) -> Result<Gate, Vec<usize>> {
        let order = rules.needs_in_order()?;
        let firsts = rules
            .ladders
            .iter()
            .map(crate::model::Ladder::first_rings)
            .collect();
        let facts = vec![Fact::default(); rules.services.len()];
        let (climbs, rows, listed, events, dropped, handed) = Default::default();
        let step = Err(Stay {
            why: Hindrance::NoTrial,
            until: None,
        });
        let mut gate = Gate {
            rules,
            order,
            firsts,
            me,
            now,
            facts,
            climbs,
            rows,
            listed,
            step,
            events,
            dropped,
            handed,
        };
        gate.rebuild(now);
        Ok(gate)
    }

    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Takes other rules as a whole. What is heard stays, by the services' names, and who has what, by zone and firm;
    /// rings open anew by the same news.
    ///
    /// # Errors
    /// A circle of needs; nothing changes then.
    pub fn replace(
        &mut self,
        now: Duration,
        rules: Rules,
        me: Option<Tenant>,
    ) -> Result<(), Vec<usize>> {
        let mut next = Gate::new(rules, me, now)?;
        for (id, service) in next.rules.services.iter().enumerate() {
            let Some(old) = self
                .rules
                .services
                .iter()
                .position(|s| s.name == service.name)
            else {
                continue;
            };
            next.facts[id] = self.facts[old].clone();
            let of = |(service, _): &(ServiceId, Build)| usize::from(service.0) == old;
            for ((_, build), climb) in self.climbs.iter().filter(|(key, _)| of(key)) {
                // Rings that are open stay so as far as they are the same: what has changed begins behind them.
                let ladders = (
                    self.rules.ladder(ServiceId(old as u8), *build),
                    next.rules.ladder(ServiceId(id as u8), *build),
                );
                let same = ladders.0.zip(ladders.1).map_or(0, |(one, two)| {
                    let same = |(one, two): &(&Ring, &Ring)| self.same_ring(one, &next.rules, two);
                    one.rings.iter().zip(&two.rings).take_while(same).count()
                });
                let opened = climb.opened.iter().take(same).copied().collect();
                let climb = Climb {
                    reached: climb.reached.clone(),
                    opened,
                };
                next.climbs.insert((ServiceId(id as u8), *build), climb);
            }
        }
        let pair = |zone: usize, firm: usize| {
            let zone = self
                .rules
                .zones
                .iter()
                .position(|z| *z == next.rules.zones[zone])?;
            let firm = self
                .rules
                .firms
                .iter()
                .position(|f| *f == next.rules.firms[firm])?;
            Some(self.rules.pair(Zone(zone as u8), Tenant(firm as u16)))
        };
        let firms = next.rules.firms.len();
        for (build, row) in &self.rows {
            let mut kept = Row::new(next.rules.pairs(), false);
            for i in 0..kept.had.len() {
                if let Some(pair) = pair(i / firms, i % firms) {
                    (kept.had[i], kept.cells[i]) = (row.had[pair], row.cells[pair]);
                }
            }
            next.rows.insert(*build, kept);
        }
        next.step = self.step;
        next.listed = self.listed.clone();
        next.events = std::mem::take(&mut self.events);
        next.dropped = self.dropped;
        next.rebuild(now);
        *self = next;
        Ok(())
    }

    /// Whether a ring holds the same zones and firms in other rules, whatever its times.
    fn same_ring(&self, ring: &Ring, rules: &Rules, other: &Ring) -> bool {
        let same = self.rules.zones == rules.zones && self.rules.firms == rules.firms;
        same && ring.name == other.name && ring.stage == other.stage && ring.pairs == other.pairs
    }

    /// News of a service.
    pub fn hear(&mut self, now: Duration, service: ServiceId, told: Told) {
        let Some(fact) = self.facts.get_mut(usize::from(service.0)) else {
            return;
        };
        fact.tell(now, told);
        if fact
            .last()
            .is_some_and(|last| (last.build, last.course) == (told.build, told.course))
        {
            self.climbs
                .entry((service, told.build))
                .or_default()
                .told(told);
        }
        self.rebuild(now);
    }

    /// A sign of life of a service.
    pub fn alive(&mut self, now: Duration, service: ServiceId) {
        let silent = self.doubt(service, now);
        let Some(fact) = self.facts.get_mut(usize::from(service.0)) else {
            return;
        };
        fact.alive(now);
        if silent == Some(Doubt::Silent) {
            self.rebuild(now);
        }
    }

    /// The builds of the appliances that are listed now.
    pub fn list(&mut self, now: Duration, builds: impl Iterator<Item = Build>) {
        let listed: BTreeSet<Build> = builds.collect();
        if listed != self.listed {
            self.listed = listed;
            self.rebuild(now);
        }
    }

    /// Time has passed.
    pub fn advance(&mut self, now: Duration) {
        self.rebuild(now);
    }

    /// Time has passed, in which every service that was not in doubt has gone on giving signs of life: for looking
    /// ahead, not for a running agent.
    pub fn live_on(&mut self, now: Duration) {
        for service in self.rules.service_ids() {
            if self.doubt(service, self.now).is_none() {
                self.facts[usize::from(service.0)].alive(now.max(self.now));
            }
        }
        self.rebuild(now);
    }

    /// The time that it stands at.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// The newest build that its own service's news name.
    pub fn newest(&self) -> Option<Build> {
        self.facts[usize::from(self.rules.own.0)]
            .last()
            .map(|last| last.build)
    }

    /// Whether a request may go to a build in a zone, or why not.
    ///
    /// # Errors
    /// The reason.
    pub fn admits(
        &self,
        build: Build,
        zone: Zone,
        firm: Tenant,
        product: RequestClass,
    ) -> Result<(), Why> {
        let row = self.rows.get(&build).ok_or(Why::NotListed)?;
        let (zones, firms) = (self.rules.zones.len(), self.rules.firms.len());
        if usize::from(zone.0) >= zones || usize::from(firm.0) >= firms {
            return Err(Why::NoRing);
        }
        let cell = &row.cells[self.rules.pair(zone, firm)];
        if cell.open & Rules::product_bit(product) != 0 {
            Ok(())
        } else {
            Err(if cell.open == 0 {
                cell.why
            } else {
                Why::Product
            })
        }
    }

    /// What stands in the way of newcomers where a build is kept.
    pub fn kept_in_spite_of(&self, build: Build, zone: Zone, firm: Tenant) -> Option<Why> {
        let cell = self
            .rows
            .get(&build)?
            .cells
            .get(self.rules.pair(zone, firm))?;
        (cell.open != 0 && cell.why != Why::Open).then_some(cell.why)
    }

    /// The step on that may be asked for, or why there is none.
    ///
    /// # Errors
    /// The reason, and until when at least.
    pub fn step(&self) -> Result<(Build, Stage), Stay> {
        self.step
    }

    /// The table as the module takes it; the same one until something changes.
    pub fn openings(&self) -> Arc<ReleasePermissions> {
        self.handed.clone()
    }

    /// What changed since the last look, and how many changes were left out before.
    pub fn events(&mut self) -> (Vec<Event>, u64) {
        (
            self.events.drain(..).collect(),
            std::mem::take(&mut self.dropped),
        )
    }

    /// The builds that are known here, and the pairs that each is open to.
    pub fn builds(&self) -> impl Iterator<Item = (Build, usize)> + '_ {
        self.rows.iter().map(|(build, row)| {
            (
                *build,
                row.cells.iter().filter(|cell| cell.open != 0).count(),
            )
        })
    }

    /// When something changes by time alone.
    pub fn next_change(&self) -> Option<Duration> {
        let silent = self
            .rules
            .services
            .iter()
            .zip(&self.facts)
            .filter_map(|(service, fact)| {
                fact.heard()
                    .zip(service.silent_after)
                    .map(|(heard, most)| heard.saturating_add(most))
            });
        silent
            .filter(|at| *at > self.now)
            .chain(self.next_ordered())
            .min()
    }

    /// The same, but for services that fall silent.
    pub fn next_ordered(&self) -> Option<Duration> {
        let climbs = self.climbs.iter().flat_map(|((service, build), climb)| {
            let ladder = self.rules.ladder(*service, *build);
            ladder
                .into_iter()
                .flat_map(|ladder| [climb.due(ladder), climb.earned(ladder)])
                .flatten()
        });
        let freezes = self
            .rules
            .freezes
            .iter()
            .filter_map(|freeze| freeze.when.next_change(self.now));
        climbs.chain(freezes).filter(|at| *at > self.now).min()
    }

    /// When a ring of a build opens by time alone, if that is known.
    pub fn ring_due(&self, build: Build) -> Option<Duration> {
        let ladder = self.rules.ladder(self.rules.own, build)?;
        self.climbs.get(&(self.rules.own, build))?.due(ladder)
    }

    fn doubt(&self, service: ServiceId, now: Duration) -> Option<Doubt> {
        let i = usize::from(service.0);
        self.facts
            .get(i)?
            .doubt(now, self.rules.services[i].silent_after)
    }

    fn footing(&self, build: Build) -> Footing {
        match self.facts[usize::from(self.rules.own.0)].last() {
            Some(last) if build < last.build => Footing::Earlier,
            Some(last) if build == last.build => match last.course {
                ReleasePhase::Canary => Footing::OnTrial,
                ReleasePhase::Released => Footing::Released,
                ReleasePhase::RollingBack | ReleasePhase::Withdrawn => Footing::Back,
            },
            _ => Footing::OnTrial,
        }
    }

    /// Forgets what is neither listed nor told of, and begins rows for what is new.
    fn tidy(&mut self, now: Duration) {
        let own = self.rules.own;
        let newest = self.facts[usize::from(own.0)].last().map(|last| last.build);
        let named: BTreeSet<Build> = self.listed.iter().copied().chain(newest).collect();
        self.rows.retain(|build, _| named.contains(build));
        for &build in &named {
            if !self.rows.contains_key(&build) {
                // What is released already when it is first seen was there before this agent was.
                let had = matches!(self.footing(build), Footing::Earlier | Footing::Released);
                self.rows.insert(build, Row::new(self.rules.pairs(), had));
            }
            let climb = self.climbs.entry((own, build)).or_default();
            if climb.reached.is_empty() && newest.is_none_or(|newest| build > newest) {
                // Not announced: it counts as in the first stage since it was first listed.
                climb.reached.push((Stage(0), now));
            }
        }
        let facts = &self.facts;
        let told = |service: ServiceId, build: Build| {
            let fact = &facts[usize::from(service.0)];
            fact.last().is_some_and(|last| last.build == build)
                || fact.released().any(|r| r == build)
        };
        self.climbs.retain(|(service, build), _| {
            told(*service, *build) || *service == own && named.contains(build)
        });
    }

    fn rebuild(&mut self, now: Duration) {
        self.now = self.now.max(now);
        let now = self.now;
        self.tidy(now);
        for ((service, build), climb) in &mut self.climbs {
            let last = self.facts[usize::from(service.0)]
                .last()
                .filter(|last| last.build == *build);
            let climbs = last
                .is_none_or(|l| matches!(l.course, ReleasePhase::Canary | ReleasePhase::Released));
            if let Some(ladder) = self.rules.ladder(*service, *build) {
                climb.advance(now, &self.rules, *service, ladder, climbs);
            }
        }
        let needs = self.needs_met();
        let mut rows = std::mem::take(&mut self.rows);
        for (build, row) in &mut rows {
            self.fill(*build, row, &needs);
        }
        self.rows = rows;
        let step = self.may_step(&needs);
        if step != self.step {
            let (build, what) = match step {
                Ok((build, stage)) => (build.0, What::MayStep(stage.0)),
                Err(stay) => {
                    let newest = self.facts[usize::from(self.rules.own.0)].last();
                    (
                        newest.map_or(0, |last| last.build.0),
                        What::Stays(stay.why.code().into()),
                    )
                }
            };
            let same = matches!((&step, &self.step), (Err(one), Err(two)) if one.why == two.why);
            self.step = step;
            if !same {
                self.note(build, what);
            }
        }
        let size = (self.rules.zones.len(), self.rules.firms.len());
        let rows = self.rows.iter().map(|(build, row)| (*build, row));
        let open = table::openings(rows, size, self.me, self.step.ok());
        if *self.handed != open {
            self.handed = Arc::new(open);
        }
    }

    fn note(&mut self, build: u16, what: What) {
        if self.events.len() >= EVENTS {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(Event {
            at: self.now,
            build,
            what,
        });
    }

    /// By need and zone, each after all that it rests on.
    fn needs_met(&self) -> Vec<Vec<Met>> {
        let mut met = vec![vec![Met::Unknown; self.rules.zones.len()]; self.rules.needs.len()];
        for &i in &self.order {
            let need = &self.rules.needs[i];
            let stands = match self.doubt(need.of, self.now) {
                Some(_) => Standing::Unknown,
                None => self.facts[usize::from(need.of.0)].stands(need.at_least),
            };
            let by_zone: Vec<Met> = match stands {
                Standing::No => vec![Met::No; self.rules.zones.len()],
                Standing::Unknown => vec![Met::Unknown; self.rules.zones.len()],
                Standing::Yes(build) => {
                    let at = |zone: Zone| {
                        let deeper = self
                            .rules
                            .needs(need.of, build)
                            .map(|(j, _)| met[j][usize::from(zone.0)]);
                        let own = if self.brought(need.of, build, zone) {
                            Met::Yes
                        } else {
                            Met::No
                        };
                        deeper.fold(own, Met::max)
                    };
                    self.rules.zone_ids().map(at).collect()
                }
            };
            met[i] = match need.reach {
                Reach::SameZone => by_zone,
                Reach::Everywhere => {
                    let worst = by_zone.iter().copied().max().unwrap_or(Met::Yes);
                    vec![worst; by_zone.len()]
                }
            };
        }
        met
    }

    /// Whether a service's released build has come to all firms of a zone.
    fn brought(&self, service: ServiceId, build: Build, zone: Zone) -> bool {
        let Some(at) = self
            .rules
            .ladders
            .iter()
            .position(|l| l.service == service && l.builds.holds(build))
        else {
            return true;
        };
        let opened = self
            .climbs
            .get(&(service, build))
            .map_or(0, |climb| climb.opened.len());
        self.rules
            .of_zone(zone)
            .all(|pair| self.firsts[at][pair].is_some_and(|ring| usize::from(ring) < opened))
    }

    /// What a build's needs allow in a zone.
    fn needed(&self, build: Build, zone: Zone, footing: Footing, met: &[Vec<Met>]) -> Level {
        let level = |(i, need): (usize, &crate::model::Need)| {
            let doubt = match footing {
                Footing::OnTrial | Footing::Back => need.on_trial,
                Footing::Earlier | Footing::Released => need.released,
            };
            match (met[i][usize::from(zone.0)], doubt) {
                (Met::Yes, _) => Level::Open,
                (Met::No, _) => Level::Closed(Why::Unmet(i as u16)),
                (Met::Unknown, InDoubt::Close) => Level::Closed(Why::Unknown(i as u16)),
                (Met::Unknown, InDoubt::Hold) => Level::Hold(Why::Unknown(i as u16)),
            }
        };
        self.rules
            .needs(self.rules.own, build)
            .map(level)
            .max()
            .unwrap_or(Level::Open)
    }

    /// Fills in one build's row.
    fn fill(&mut self, build: Build, row: &mut Row, met: &[Vec<Met>]) {
        let (own, footing) = (self.rules.own, self.footing(build));
        let (trial, goes_up) = (
            matches!(footing, Footing::OnTrial | Footing::Back),
            footing != Footing::Earlier,
        );
        let ladder = self
            .rules
            .ladders
            .iter()
            .position(|l| l.service == own && l.builds.holds(build));
        let ladder = ladder
            .filter(|_| goes_up)
            .map(|at| (&self.rules.ladders[at], &self.firsts[at]));
        let opened = self
            .climbs
            .get(&(own, build))
            .map_or(0, |climb| climb.opened.len());
        // Which products the open rings allow: all, once it is released.
        let mut allowed = vec![
            if trial && ladder.is_some() {
                0
            } else {
                u64::MAX
            };
            row.cells.len()
        ];
        for ring in ladder
            .iter()
            .flat_map(|(ladder, _)| &ladder.rings[..opened.min(ladder.rings.len())])
        {
            for (allowed, _) in allowed.iter_mut().zip(&ring.pairs.0).filter(|(_, is)| **is) {
                *allowed |= ring.products;
            }
        }
        let mut frozen = vec![Level::Open; row.cells.len()];
        for (i, freeze, _) in self.rules.frozen(own, self.now).filter(|_| goes_up) {
            let why = Why::Frozen(i as u16);
            let level = if freeze.closes && trial {
                Level::Closed(why)
            } else {
                Level::Hold(why)
            };
            for (frozen, _) in frozen
                .iter_mut()
                .zip(&freeze.pairs.0)
                .filter(|(_, is)| **is)
            {
                *frozen = level.max(*frozen);
            }
        }
        let own_news = match self.doubt(own, self.now) {
            Some(_) if goes_up => Level::Hold(Why::OwnNews),
            _ if footing == Footing::Back => Level::Hold(Why::GoingBack),
            _ => Level::Open,
        };
        let (mut got, mut lost) = (0, BTreeMap::<Why, usize>::new());
        for zone in self.rules.zone_ids() {
            let needed = self.needed(build, zone, footing, met).max(own_news);
            for pair in self.rules.of_zone(zone) {
                let ring = ladder.map(|(_, firsts)| firsts[pair]);
                let climbed = match ring {
                    None => Level::Open,
                    Some(None) => Level::Closed(Why::NoRing),
                    Some(Some(ring)) if usize::from(ring) < opened => Level::Open,
                    Some(Some(ring)) => Level::Closed(Why::RingShut(ring)),
                };
                let (had, was) = (&mut row.had[pair], row.cells[pair]);
                let cell = match needed.max(frozen[pair]).max(climbed) {
                    Level::Open => {
                        *had = true;
                        Cell {
                            open: allowed[pair],
                            why: Why::Open,
                        }
                    }
                    Level::Hold(why) => Cell {
                        open: if *had { allowed[pair] } else { 0 },
                        why,
                    },
                    Level::Closed(why) => {
                        *had = false;
                        Cell { open: 0, why }
                    }
                };
                row.cells[pair] = cell;
                match (was.open != 0, cell.open != 0) {
                    (false, true) => got += 1,
                    (true, false) => *lost.entry(cell.why).or_default() += 1,
                    _ => {}
                }
            }
        }
        if got > 0 {
            self.note(build.0, What::Opened(got));
        }
        for (why, many) in lost {
            self.note(build.0, What::Closed(many, why.code().into()));
        }
    }

    /// Whether the module may ask that the build on trial goes on.
    fn may_step(&self, met: &[Vec<Met>]) -> Result<(Build, Stage), Stay> {
        let own = self.rules.own;
        let stay = |why, until| Err(Stay { why, until });
        let last = self.facts[usize::from(own.0)]
            .last()
            .filter(|last| last.course == ReleasePhase::Canary);
        let Some(Told { build, stage, .. }) = last else {
            return stay(Hindrance::NoTrial, None);
        };
        if self.doubt(own, self.now).is_some() {
            return stay(Hindrance::OwnNews, None);
        }
        if let Some((freeze, force)) = self.rules.holds_step(own, build, self.now) {
            return stay(Hindrance::Frozen(freeze as u16), force.until);
        }
        let zones = self.rules.zones_up_to(own, build, stage);
        let worst = self
            .rules
            .needs(own, build)
            .flat_map(|(i, _)| zones.iter().map(move |zone| (i, *zone)));
        match worst
            .map(|(i, zone)| (met[i][usize::from(zone.0)], i as u16))
            .max()
        {
            Some((Met::No, need)) => return stay(Hindrance::Unmet(need), None),
            Some((Met::Unknown, need)) => return stay(Hindrance::Unknown(need), None),
            _ => {}
        }
        if let Some((ladder, climb)) = self
            .rules
            .ladder(own, build)
            .zip(self.climbs.get(&(own, build)))
        {
            let opened = climb.opened.len();
            if ladder
                .rings
                .get(opened)
                .is_some_and(|ring| ring.stage <= stage)
            {
                return stay(
                    Hindrance::Ring(opened as u8),
                    climb.due(ladder).filter(|due| *due > self.now),
                );
            }
            if let Some(earned) = climb.earned(ladder).filter(|earned| *earned > self.now) {
                return stay(
                    Hindrance::Ring(opened.saturating_sub(1) as u8),
                    Some(earned),
                );
            }
        }
        let seen = |(pair, cell): (usize, &Cell)| {
            cell.open != 0
                && self
                    .me
                    .is_none_or(|me| pair % self.rules.firms.len() == usize::from(me.0))
        };
        let seen = self
            .rows
            .get(&build)
            .is_some_and(|row| row.cells.iter().enumerate().any(seen));
        if seen {
            Ok((build, stage))
        } else {
            stay(Hindrance::NoView, None)
        }
    }

    /// What a reason means, in plain words.
    pub fn words(&self, build: Build, why: Why) -> String {
        let rules = &self.rules;
        let need = |i: u16| {
            let need = &rules.needs[usize::from(i)];
            let reach = if need.reach == Reach::SameZone {
                "in the same zone"
            } else {
                "everywhere"
            };
            format!(
                "{} {} or later, released {reach}",
                rules.service(need.of),
                need.at_least.0
            )
        };
        let freeze = |i: u16| format!("the freeze {:?}", rules.freezes[usize::from(i)].name);
        match why {
            Why::Open => "open".into(),
            Why::NotListed => "no appliance is listed with it and no news name it".into(),
            Why::NoRing => "no ring of its ladder holds this zone and firm".into(),
            Why::RingShut(ring) => {
                let ladder = rules.ladder(rules.own, build);
                let name = ladder
                    .and_then(|l| l.rings.get(usize::from(ring)))
                    .map_or("?", |r| &r.name);
                format!("ring {name:?} is not open yet")
            }
            Why::Product => "open there, but not to this product".into(),
            Why::Frozen(i) => format!("{} lets nobody new have it", freeze(i)),
            Why::Unmet(i) => format!("it needs {}, which is not so", need(i)),
            Why::Unknown(i) => {
                let of = rules.needs[usize::from(i)].of;
                let doubt = self.doubt(of, self.now);
                format!(
                    "it needs {}; whether that is so is unknown ({doubt:?})",
                    need(i)
                )
            }
            Why::OwnNews => format!(
                "the news of {} cannot be relied on",
                rules.service(rules.own)
            ),
            Why::GoingBack => "it is going back: nobody new gets it".into(),
        }
    }

    /// The same for a step that may not be asked for.
    pub fn step_words(&self, build: Build, why: Hindrance) -> String {
        match why {
            Hindrance::NoTrial => "no build is on trial".into(),
            Hindrance::Ring(ring) => {
                let ladder = self.rules.ladder(self.rules.own, build);
                let name = ladder
                    .and_then(|l| l.rings.get(usize::from(ring)))
                    .map_or("?", |r| &r.name);
                format!("ring {name:?} has not had its time")
            }
            Hindrance::Frozen(i) => {
                format!(
                    "the freeze {:?} is in force",
                    self.rules.freezes[usize::from(i)].name
                )
            }
            Hindrance::Unmet(i) => self.words(build, Why::Unmet(i)),
            Hindrance::Unknown(i) => self.words(build, Why::Unknown(i)),
            Hindrance::OwnNews => self.words(build, Why::OwnNews),
            Hindrance::NoView => "the build is open to none of this agent's requests".into(),
        }
    }
}
