//! Owns the gate's state as a file: what an agent writes when it is asked, and what `lgctl` reads. Everything is by
//! name, so that it fits rules that were edited since. It must never be read back into a running agent.
use std::collections::BTreeMap;
use std::time::Duration;

use lilacgate_decision::{Build, ReleasePhase, Stage, Tenant, Zone};
use serde::{Deserialize, Serialize};

use crate::climb::Climb;
use crate::facts::{Doubt, Fact, Told};
use crate::gate::{Event, Gate};
use crate::model::{Rules, ServiceId};
use crate::table::Row;

/// The form that is written; an earlier one stays readable.
pub const FORM: u32 = 1;

/// A gate's state, as JSON has it. Times are milliseconds since 1970.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct State {
    pub form: u32,
    pub agent: String,
    pub firm: Option<String>,
    pub at_ms: u64,
    pub zones: Vec<String>,
    pub firms: Vec<String>,
    pub services: Vec<ServiceState>,
    pub builds: Vec<BuildState>,
    pub events: Vec<Event>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceState {
    pub name: String,
    pub news: Option<NewsState>,
    pub heard_ms: Option<u64>,
    pub odd: Option<Doubt>,
    pub released: Vec<u16>,
    pub climbs: Vec<ClimbState>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NewsState {
    pub build: u16,
    pub stage: u8,
    pub course: String,
    pub since_ms: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClimbState {
    pub build: u16,
    pub reached_ms: Vec<(u8, u64)>,
    pub opened_ms: Vec<u64>,
}

/// A build that is listed or told of, and who has it: by zone, a `1` for each firm that has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BuildState {
    pub build: u16,
    pub had: Vec<String>,
}

const COURSES: [(&str, ReleasePhase); 4] = [
    ("on-trial", ReleasePhase::Canary),
    ("going-back", ReleasePhase::RollingBack),
    ("released", ReleasePhase::Released),
    ("withdrawn", ReleasePhase::Withdrawn),
];

fn ms(at: Duration) -> u64 {
    u64::try_from(at.as_millis()).unwrap_or(u64::MAX)
}

impl Gate {
    /// Its state, with the events given.
    pub fn state(&self, agent: &str, events: Vec<Event>) -> State {
        let firms = self.rules.firms.len();
        let service = |(id, fact): (usize, &Fact)| {
            let climbs = self
                .climbs
                .iter()
                .filter(|((service, _), _)| usize::from(service.0) == id);
            ServiceState {
                name: self.rules.services[id].name.clone(),
                news: fact.last().map(|last| NewsState {
                    build: last.build.0,
                    stage: last.stage.0,
                    course: COURSES
                        .iter()
                        .find(|(_, c)| *c == last.course)
                        .map_or("", |(name, _)| name)
                        .into(),
                    since_ms: ms(last.since),
                }),
                heard_ms: fact.heard().map(ms),
                odd: fact.odd(),
                released: fact.released().map(|build| build.0).collect(),
                climbs: climbs
                    .map(|((_, build), climb)| ClimbState {
                        build: build.0,
                        reached_ms: climb
                            .reached
                            .iter()
                            .map(|(stage, at)| (stage.0, ms(*at)))
                            .collect(),
                        opened_ms: climb.opened.iter().map(|at| ms(*at)).collect(),
                    })
                    .collect(),
            }
        };
        let zone = |had: &[bool]| had.iter().map(|had| if *had { '1' } else { '0' }).collect();
        State {
            form: FORM,
            agent: agent.into(),
            firm: self
                .me
                .map(|me| self.rules.firms[usize::from(me.0)].clone()),
            at_ms: ms(self.now),
            zones: self.rules.zones.clone(),
            firms: self.rules.firms.clone(),
            services: self.facts.iter().enumerate().map(service).collect(),
            builds: self
                .rows
                .iter()
                .map(|(build, row)| BuildState {
                    build: build.0,
                    had: row.had.chunks(firms.max(1)).map(zone).collect(),
                })
                .collect(),
            events,
        }
    }

    /// A gate with these rules that stands as the state says, at its time.
    ///
    /// # Errors
    /// What of the state cannot be used, or that the rules' needs go in a circle.
    pub fn from_state(rules: Rules, state: &State) -> Result<Gate, String> {
        if state.form > FORM {
            return Err(format!(
                "the state has form {}, which is newer than {FORM}",
                state.form
            ));
        }
        let at = Duration::from_millis(state.at_ms);
        let me = match &state.firm {
            Some(name) => {
                let firm = rules.firms.iter().position(|firm| firm == name);
                Some(Tenant(
                    firm.ok_or(format!("the state's firm {name:?} is not in the file"))? as u16,
                ))
            }
            None => None,
        };
        let mut gate =
            Gate::new(rules, me, at).map_err(|_| "the file's needs go in a circle".to_owned())?;
        for kept in &state.services {
            let Some(id) = gate.rules.services.iter().position(|s| s.name == kept.name) else {
                continue;
            };
            let told = kept.news.as_ref().map(|news| {
                let course = COURSES
                    .iter()
                    .find(|(name, _)| *name == news.course)
                    .map(|(_, course)| *course);
                let course =
                    course.ok_or(format!("the state's course {:?} is unknown", news.course))?;
                let (build, stage) = (Build(news.build), Stage(news.stage));
                Ok::<_, String>(Told {
                    build,
                    stage,
                    course,
                    since: Duration::from_millis(news.since_ms),
                })
            });
            let released = kept.released.iter().map(|build| Build(*build)).collect();
            let heard = kept.heard_ms.map(Duration::from_millis);
            gate.facts[id] = Fact::kept(told.transpose()?, heard, kept.odd, released);
            for climb in &kept.climbs {
                let since = |(stage, at): &(u8, u64)| (Stage(*stage), Duration::from_millis(*at));
                let reached = climb.reached_ms.iter().map(since).collect();
                let service = ServiceId(id as u8);
                let most = gate
                    .rules
                    .ladder(service, Build(climb.build))
                    .map_or(0, |ladder| ladder.rings.len());
                let opened = climb
                    .opened_ms
                    .iter()
                    .take(most)
                    .map(|at| Duration::from_millis(*at))
                    .collect();
                gate.climbs
                    .insert((service, Build(climb.build)), Climb { reached, opened });
            }
        }
        let place = |names: &[String], name: &String| names.iter().position(|n| n == name);
        let mut listed = BTreeMap::new();
        for build in &state.builds {
            let mut row = Row::new(gate.rules.pairs(), false);
            for (zone, had) in state.zones.iter().zip(&build.had) {
                for (firm, had) in state.firms.iter().zip(had.bytes()) {
                    let pair = place(&gate.rules.zones, zone).zip(place(&gate.rules.firms, firm));
                    if let Some((zone, firm)) = pair {
                        row.had[gate.rules.pair(Zone(zone as u8), Tenant(firm as u16))] =
                            had == b'1';
                    }
                }
            }
            listed.insert(Build(build.build), row);
        }
        gate.rows = listed;
        let builds: Vec<Build> = gate.rows.keys().copied().collect();
        gate.list(at, builds.into_iter());
        gate.advance(at);
        gate.events();
        Ok(gate)
    }
}
