//! Owns the plan: when wished builds can come out at the earliest under the same rules as the gate, what the end
//! rests on, or which few statements contradict each other. It asks [`crate::model`] what a freeze, a need or a ring
//! forbids and has no rules of its own; it must never plan a step that the gate would refuse.
//!
//! Every step waits for all that it needs, and for a need the first build that does will do. So each step's earliest
//! time is the least fixed point of functions that never fall, found by taking steps in the order of their times
//! (Knuth's generalization of Dijkstra's search). What is never taken can never come out.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lilacgate_decision::{Build, Stage, Zone};

use crate::model::{Ladder, Reach, Rules, ServiceId};

/// A build to bring out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wish {
    pub service: ServiceId,
    pub build: Build,
    /// Not before this time, and released by that one, since 1970.
    pub not_before: Option<Duration>,
    pub by: Option<Duration>,
}

/// What is so at the start: builds that are released everywhere.
pub type Given = BTreeSet<(ServiceId, Build)>;

/// A step of a build's way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// Its ring of this number opens. A build without a ladder has none.
    Ring(ServiceId, Build, u8),
    Released(ServiceId, Build),
}

/// What determined a step's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Because {
    Start,
    /// The wish says not before.
    NotBefore,
    /// The step before it, and the least time since.
    Before(Step),
    /// A need, and the step that met it.
    Need(usize, Step),
    /// A freeze that had to end, by its place in the rules.
    Freeze(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planned {
    pub step: Step,
    pub at: Duration,
    pub because: Because,
}

/// The earliest plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// In the order of their times.
    pub steps: Vec<Planned>,
    /// What the end rests on: each step because of the one before, the last one last.
    pub chain: Vec<Planned>,
}

/// Something that can be given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Statement {
    /// That a wished build comes out, by its place.
    Comes(usize),
    /// That it does by its time.
    By(usize),
    Need(usize),
    Freeze(usize),
    /// That builds of a service come out one after another.
    Order(ServiceId),
}

/// Statements that cannot all hold; without any one of them the others can.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Clash {
    pub statements: Vec<Statement>,
    /// Whether it is shown that no smaller set clashes; the search for one has a bound.
    pub is_smallest: bool,
}

/// Sets that the search for a smaller clash tries at most.
const TRIES: usize = 20_000;
/// Freezes that follow on each other without a gap, before they count as endless.
const ROUNDS: usize = 1_000;

/// The earliest time for all wishes, from a start on.
///
/// # Errors
/// Statements that contradict each other.
pub fn plan(rules: &Rules, given: &Given, wishes: &[Wish], start: Duration) -> Result<Plan, Clash> {
    let needs = (0..rules.needs.len()).map(Statement::Need);
    let freezes = (0..rules.freezes.len()).map(Statement::Freeze);
    let wished = (0..wishes.len()).flat_map(|i| {
        std::iter::once(Statement::Comes(i)).chain(wishes[i].by.map(|_| Statement::By(i)))
    });
    let orders = rules.service_ids().map(Statement::Order);
    let all: BTreeSet<Statement> = wished.chain(needs).chain(freezes).chain(orders).collect();
    let search = Search {
        rules,
        given,
        wishes,
        start,
    };
    match search.steps(&all) {
        Some(steps) => Ok(search.plan(steps)),
        None => Err(search.clash(&all)),
    }
}

struct Search<'a> {
    rules: &'a Rules,
    given: &'a Given,
    wishes: &'a [Wish],
    start: Duration,
}

/// When each step is taken and why, and in which order: one that another rests on comes before it.
#[derive(Default)]
struct Times {
    of: BTreeMap<Step, (Duration, Because)>,
    order: Vec<Step>,
}

impl Times {
    fn get(&self, step: &Step) -> Option<&(Duration, Because)> {
        self.of.get(step)
    }
}

impl Search<'_> {
    /// When all that can come out does, if that satisfies the statements.
    fn steps(&self, held: &BTreeSet<Statement>) -> Option<Times> {
        let mut times = Times::default();
        let mut left: Vec<Step> = self.wishes.iter().flat_map(|wish| self.of(wish)).collect();
        // The earliest that is ready is taken: nothing that comes later can make it earlier.
        while let Some((ready, step)) = left
            .iter()
            .filter_map(|&step| Some((self.ready(step, &times, held)?, step)))
            .min_by_key(|r| (r.0.0, r.1))
        {
            times.of.insert(step, ready);
            times.order.push(step);
            left.retain(|other| *other != step);
        }
        let kept = |(i, wish): (usize, &Wish)| {
            let out = times
                .get(&Step::Released(wish.service, wish.build))
                .map(|(at, _)| *at);
            let comes = !held.contains(&Statement::Comes(i)) || out.is_some();
            let in_time = !held.contains(&Statement::By(i))
                || wish.by.is_none_or(|by| out.is_none_or(|out| out <= by));
            comes && in_time
        };
        self.wishes.iter().enumerate().all(kept).then_some(times)
    }

    fn ladder(&self, wish: &Wish) -> Option<&Ladder> {
        self.rules.ladder(wish.service, wish.build)
    }

    /// All steps of a build's way.
    fn of(&self, wish: &Wish) -> Vec<Step> {
        let rings = self.ladder(wish).map_or(0, |ladder| ladder.rings.len());
        let rings = (0..rings).map(|ring| Step::Ring(wish.service, wish.build, ring as u8));
        rings
            .chain([Step::Released(wish.service, wish.build)])
            .collect()
    }

    /// When a step can be taken at the earliest, if all that it waits for has been.
    fn ready(
        &self,
        step: Step,
        times: &Times,
        held: &BTreeSet<Statement>,
    ) -> Option<(Duration, Because)> {
        let (service, build, ring) = match step {
            Step::Ring(service, build, ring) => (service, build, Some(usize::from(ring))),
            Step::Released(service, build) => (service, build, None),
        };
        let wish = self
            .wishes
            .iter()
            .find(|wish| (wish.service, wish.build) == (service, build))?;
        let ladder = self.ladder(wish);
        let rings = ladder.map_or(0, |ladder| ladder.rings.len());
        let mut at = (self.start, Because::Start);
        let mut later = |then: Duration, because| {
            if then > at.0 {
                at = (then, because);
            }
        };
        if let Some(not_before) = wish.not_before {
            later(not_before, Because::NotBefore);
        }
        let before = ring.unwrap_or(rings).checked_sub(1);
        match (before, ladder) {
            (Some(before), Some(ladder)) => {
                let step = Step::Ring(service, build, before as u8);
                let after = ring.map_or(ladder.settles, |ring| ladder.rings[ring].after);
                later(
                    times.get(&step)?.0.saturating_add(after),
                    Because::Before(step),
                );
            }
            // The first of all: builds of a service come one after another.
            _ if held.contains(&Statement::Order(service)) => {
                let earlier = self
                    .wishes
                    .iter()
                    .filter(|w| w.service == service && w.build < build);
                if let Some(last) = earlier.max_by_key(|w| w.build) {
                    let step = Step::Released(service, last.build);
                    later(times.get(&step)?.0, Because::Before(step));
                }
            }
            _ => {}
        }
        for (i, need) in self
            .rules
            .needs(service, build)
            .filter(|(i, _)| held.contains(&Statement::Need(*i)))
        {
            let zones: Vec<Zone> = match need.reach {
                Reach::SameZone => self.zones(wish, ring),
                Reach::Everywhere => self.rules.zone_ids().collect(),
            };
            let does = |of: ServiceId, other: Build| of == need.of && other >= need.at_least;
            if self.given.iter().any(|(of, other)| does(*of, *other)) {
                continue;
            }
            // A build that is out has come to every ring of its ladder: so it is in all zones that these hold.
            let met = self
                .wishes
                .iter()
                .filter(|other| does(other.service, other.build));
            let met = met
                .filter(|other| self.reaches(other, &zones))
                .filter_map(|other| {
                    let step = Step::Released(other.service, other.build);
                    times.get(&step).map(|(at, _)| (*at, step))
                });
            let (then, by) = met.min()?;
            later(then, Because::Need(i, by));
        }
        self.past_freezes(wish, ring, at, held)
    }

    /// The zones that a build is used in once a step of it is taken.
    fn zones(&self, wish: &Wish, ring: Option<usize>) -> Vec<Zone> {
        match (self.ladder(wish), ring) {
            (Some(ladder), Some(ring)) => {
                let before = ring
                    .checked_sub(1)
                    .map_or(Stage(0), |before| ladder.rings[before].stage);
                let stage = if ring == 0 {
                    ladder.rings[0].stage
                } else {
                    before
                };
                self.rules.zones_up_to(wish.service, wish.build, stage)
            }
            _ => self.rules.zone_ids().collect(),
        }
    }

    /// Whether a build that is out is so for all firms of some zones.
    fn reaches(&self, wish: &Wish, zones: &[Zone]) -> bool {
        let Some(pairs) = self.ladder(wish).map(Ladder::pairs) else {
            return true;
        };
        zones
            .iter()
            .all(|zone| self.rules.of_zone(*zone).all(|pair| pairs.0[pair]))
    }

    /// The first instant from then on at which no freeze holds the step up.
    fn past_freezes(
        &self,
        wish: &Wish,
        ring: Option<usize>,
        mut at: (Duration, Because),
        held: &BTreeSet<Statement>,
    ) -> Option<(Duration, Because)> {
        let ladder = self.ladder(wish);
        let pairs = match (ladder, ring) {
            (Some(ladder), Some(0)) => Some(ladder.rings[0].pairs.clone()),
            (Some(ladder), _) => Some(ladder.pairs()),
            _ => None,
        };
        for _ in 0..ROUNDS {
            let touches = |i: usize, freeze: &crate::model::Freeze| {
                held.contains(&Statement::Freeze(i))
                    && pairs.as_ref().is_none_or(|p| p.meets(&freeze.pairs))
            };
            let frozen = self
                .rules
                .frozen(wish.service, at.0)
                .filter(|(i, freeze, _)| touches(*i, freeze));
            let Some((i, _, force)) =
                frozen.max_by_key(|(.., force)| force.until.unwrap_or(Duration::MAX))
            else {
                return Some(at);
            };
            at = (force.until?, Because::Freeze(i));
        }
        None
    }

    fn plan(&self, times: Times) -> Plan {
        let planned = |step: &Step| {
            times.get(step).map(|(at, because)| Planned {
                step: *step,
                at: *at,
                because: *because,
            })
        };
        let steps: Vec<Planned> = times.order.iter().filter_map(planned).collect();
        let mut chain = Vec::new();
        let mut next = steps.last().copied();
        while let Some(planned) = next.filter(|_| chain.len() <= steps.len()) {
            chain.push(planned);
            let before = match planned.because {
                Because::Before(step) | Because::Need(_, step) => Some(step),
                // What it waited for before the freeze is the step before it, if there is one.
                Because::Freeze(_) => self.step_before(planned.step),
                Because::Start | Because::NotBefore => None,
            };
            next =
                before.and_then(|step| steps.iter().find(|planned| planned.step == step).copied());
        }
        chain.reverse();
        Plan { steps, chain }
    }

    fn step_before(&self, step: Step) -> Option<Step> {
        match step {
            Step::Ring(service, build, ring) => ring
                .checked_sub(1)
                .map(|ring| Step::Ring(service, build, ring)),
            Step::Released(service, build) => {
                let rings = self
                    .rules
                    .ladder(service, build)
                    .map_or(0, |ladder| ladder.rings.len());
                rings
                    .checked_sub(1)
                    .map(|ring| Step::Ring(service, build, ring as u8))
            }
        }
    }

    fn clashes(&self, held: &BTreeSet<Statement>) -> bool {
        self.steps(held).is_none()
    }

    /// A smallest set of statements that clashes: first one of which none can be left out, then, as far as the tries
    /// reach, all smaller ones.
    fn clash(&self, all: &BTreeSet<Statement>) -> Clash {
        let mut set = all.clone();
        for one in all {
            set.remove(one);
            if !self.clashes(&set) {
                set.insert(*one);
            }
        }
        let universe: Vec<Statement> = all.iter().copied().collect();
        let mut tries = TRIES;
        for size in 1..set.len() {
            match self.smaller(&universe, size, &mut BTreeSet::new(), &mut tries) {
                Some(found) => {
                    return Clash {
                        statements: found.into_iter().collect(),
                        is_smallest: true,
                    };
                }
                None if tries == 0 => break,
                None => {}
            }
        }
        Clash {
            statements: set.into_iter().collect(),
            is_smallest: tries > 0,
        }
    }

    /// A clashing set of this size, if there is one and the tries last.
    fn smaller(
        &self,
        rest: &[Statement],
        size: usize,
        held: &mut BTreeSet<Statement>,
        tries: &mut usize,
    ) -> Option<BTreeSet<Statement>> {
        if held.len() == size {
            *tries = tries.saturating_sub(1);
            return self.clashes(held).then(|| held.clone());
        }
        for (i, one) in rest.iter().enumerate() {
            if *tries == 0 || rest.len() - i < size - held.len() {
                return None;
            }
            held.insert(*one);
            let found = self.smaller(&rest[i + 1..], size, held, tries);
            held.remove(one);
            if found.is_some() {
                return found;
            }
        }
        None
    }
}
