//! Owns the scripted days of releases: what happens to a town, by kind and seed, each with what the operator's rules
//! forbid from when on. The days know the rules only as their scripts have them; no gate is asked.
use std::path::Path;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::check::{Terms, Verdict, check};
use crate::record::Seen;
use crate::town::{Manners, State, Town, Traffic};

/// What happens on a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The dependency is rolled back mid-stage, and comes back.
    RolledBack,
    /// The last of a chain of four services is.
    Chain,
    /// A freeze that closes is declared for a zone with the stage half done, and lifted.
    Frozen,
    /// The dependency's desk dies in the middle of a line, and comes back.
    DeskDies,
    /// It comes back with an older revision.
    OlderRevision,
    /// It tells a released build withdrawn.
    Withdrawn,
    /// One zone's ring opens a stage later.
    RingByZone,
    /// A file replaced under load closes a ring with requests in it.
    RingClosed,
    /// A node's address returns under a forbidden build.
    AddressReturns,
    /// The agent is killed and comes back while the dependency is unknown.
    Restart,
    /// News of the service and of its dependency at the same moment, in either order.
    SameMoment,
    /// All that may be used drains: only forbidden nodes are left for a while.
    OnlyForbidden,
}

pub const KINDS: [Kind; 12] = [
    Kind::RolledBack,
    Kind::Chain,
    Kind::Frozen,
    Kind::DeskDies,
    Kind::OlderRevision,
    Kind::Withdrawn,
    Kind::RingByZone,
    Kind::RingClosed,
    Kind::AddressReturns,
    Kind::Restart,
    Kind::SameMoment,
    Kind::OnlyForbidden,
];

/// How long a desk may be silent on these days.
const SILENT: Duration = Duration::from_millis(700);
const NEEDS: &str = r#"<needs service="s" from="2" of="d" at-least="5"/>"#;

/// The operator's file of a town: its own service is `s`.
pub fn order(town: &Town, rules: &str, more: &str) -> String {
    let at = |(name, desk): (&String, &crate::town::Desk)| {
        format!(
            "<service name=\"{name}\" desk=\"{}\" silent-after=\"{}ms\"/>",
            desk.at(),
            SILENT.as_millis()
        )
    };
    let services: String = town.desks.iter().map(at).collect();
    format!(
        r#"<operator version="1"><places><zone name="a"/><zone name="b"/><firm name="f"/><firm name="g"/>
<product name="read"/><product name="post"/><product name="book"/><agent name="n0" firm="f"/></places>
<releases service="s" {more}><service name="s"/>{services}{rules}</releases></operator>"#
    )
}

fn released(build: u16) -> State {
    State {
        build,
        stage: 3,
        course: "Healthy",
        cap: 1.0,
    }
}

fn trial(build: u16, stage: u8, cap: f64) -> State {
    State {
        build,
        stage,
        course: "Progressing",
        cap,
    }
}

struct Day {
    town: Town,
    chance: Pcg64Mcg,
    with_operator: bool,
}

/// Plays a day; without the operator's file, the agent is what it was before.
///
/// # Errors
/// Where the town itself fails: no verdict then.
pub fn play(kind: Kind, seed: u64, program: &Path, with_operator: bool) -> Result<Verdict, String> {
    let chance = Pcg64Mcg::seed_from_u64(seed);
    let mut town = Town::new(program, seed, trial(2, 1, 1.0), Box::new(|_, _, _, _| None));
    // No node is slow here but by the machine's doing: what it holds up must not be called off and sent again.
    town.set("aim", "4000000");
    let mut day = Day {
        town,
        chance,
        with_operator,
    };
    for (build, zone) in [(1, 0), (1, 1), (2, 0), (2, 1)] {
        let takes = Duration::from_millis(2);
        day.town.node(Manners::good(build, zone, takes));
    }
    day.play(kind)?;
    day.wait(400, 500);
    let log = day.town.close();
    let verdict = check(&day.town.record.events(), &Terms::default());
    match log.contains("panicked") {
        true => Err(format!("the agent panicked: {log}")),
        false => Ok(verdict),
    }
}

impl Day {
    fn wait(&mut self, from: u64, to: u64) {
        let wait = self.chance.random_range(from..to);
        self.town.pass(Duration::from_millis(wait));
    }

    fn forbid(&self, zone: Option<usize>) {
        self.town.record.put(Seen::Forbidden { build: 2, zone });
    }

    fn allow(&self, zone: Option<usize>) {
        self.town.record.put(Seen::Allowed { build: 2, zone });
    }

    fn open(&mut self, rules: &str) -> Result<(), String> {
        let text = order(&self.town, rules, "");
        self.town.order(&text);
        self.up()?;
        let traffic = Traffic {
            clients: 10,
            pause: Duration::from_millis(16),
            deadline: Duration::from_millis(1000),
        };
        self.town.open(traffic);
        Ok(())
    }

    fn up(&mut self) -> Result<(), String> {
        let up = self.town.up(self.with_operator);
        let log = || {
            self.town
                .agent
                .as_ref()
                .map(|a| a.log.lock().map(|l| l.clone()).unwrap_or_default())
        };
        if up {
            Ok(())
        } else {
            Err(format!(
                "the agent does not come up: {}",
                log().unwrap_or_default()
            ))
        }
    }

    /// A day with one dependency, which is met; what goes wrong, and what mends it.
    fn with_need(
        &mut self,
        wrong: impl FnOnce(&mut Self),
        mend: impl FnOnce(&mut Self),
    ) -> Result<(), String> {
        self.town.desk("d", released(5));
        self.open(NEEDS)?;
        self.wait(500, 900);
        wrong(self);
        self.wait(500, 900);
        self.allow(None);
        mend(self);
        Ok(())
    }

    fn tell(&self, service: &str, state: State) {
        self.town.desks[service].tell(state);
    }

    fn play(&mut self, kind: Kind) -> Result<(), String> {
        let back = |build| State {
            build,
            stage: 3,
            course: "Aborting",
            cap: 0.0,
        };
        match kind {
            Kind::RolledBack => self.with_need(
                |day| {
                    day.tell("d", back(5));
                    day.forbid(None);
                },
                |day| day.tell("d", released(6)),
            ),
            Kind::Withdrawn => self.with_need(
                |day| {
                    day.tell(
                        "d",
                        State {
                            build: 5,
                            stage: 3,
                            course: "Aborted",
                            cap: 0.0,
                        },
                    );
                    day.forbid(None);
                },
                |day| day.tell("d", released(6)),
            ),
            Kind::OlderRevision => self.with_need(
                |day| {
                    day.tell("d", released(4));
                    day.forbid(None);
                },
                |day| day.tell("d", released(5)),
            ),
            Kind::DeskDies => self.with_need(
                |day| {
                    day.town.desks["d"].die();
                    // Its last sign of life is this; then the file's time runs.
                    let silent = day.town.record.now() + SILENT;
                    day.town.pass(SILENT);
                    day.town.record.put_at(
                        silent,
                        Seen::Forbidden {
                            build: 2,
                            zone: None,
                        },
                    );
                },
                |day| day.town.desks["d"].come_back(released(5)),
            ),
            Kind::SameMoment => self.with_need(
                |day| {
                    let own_first = day.chance.random::<bool>();
                    if own_first {
                        day.town.platform.tell(trial(2, 2, 1.0));
                    }
                    day.tell("d", back(5));
                    day.forbid(None);
                    if !own_first {
                        day.town.platform.tell(trial(2, 2, 1.0));
                    }
                },
                |day| day.tell("d", released(6)),
            ),
            Kind::Restart => self.with_need(
                |day| {
                    day.town.desks["d"].die();
                    let silent = day.town.record.now() + SILENT;
                    day.town.pass(SILENT);
                    day.town.record.put_at(
                        silent,
                        Seen::Forbidden {
                            build: 2,
                            zone: None,
                        },
                    );
                    day.wait(100, 200);
                    day.town.kill();
                    day.up().ok();
                },
                |day| day.town.desks["d"].come_back(released(5)),
            ),
            Kind::OnlyForbidden => self.with_need(
                |day| {
                    day.tell("d", back(5));
                    day.forbid(None);
                    day.wait(100, 200);
                    day.town.ready(0, false);
                    day.town.ready(1, false);
                },
                |day| {
                    day.tell("d", released(6));
                    day.wait(200, 300);
                    day.town.ready(0, true);
                },
            ),
            Kind::Chain => {
                for (name, build) in [("d", 5), ("e", 4), ("h", 3)] {
                    self.town.desk(name, released(build));
                }
                let rest = r#"<needs service="d" from="5" of="e" at-least="4"/><needs service="e" of="h" at-least="3"/>"#;
                self.open(&format!("{NEEDS}{rest}"))?;
                self.wait(500, 900);
                self.tell("h", back(3));
                self.forbid(None);
                self.wait(500, 900);
                self.allow(None);
                self.tell("h", released(4));
                Ok(())
            }
            Kind::Frozen => {
                self.open("")?;
                self.wait(500, 900);
                let zone = self.chance.random_range(0..2);
                let frozen = format!(
                    r#"<freeze name="now" zones="{}" keeps="close"><declared/></freeze>"#,
                    crate::town::ZONES[zone]
                );
                let (frozen, lifted) = (order(&self.town, &frozen, ""), order(&self.town, "", ""));
                self.town.order(&frozen);
                self.forbid(Some(zone));
                self.wait(500, 900);
                self.allow(Some(zone));
                self.town.order(&lifted);
                Ok(())
            }
            Kind::RingByZone => {
                self.forbid(Some(1));
                self.open(
                    r#"<ladder service="s"><ring name="one" stage="0"><pairs zones="a"/></ring>
<ring name="two" stage="2" after="100ms"><pairs/></ring></ladder>"#,
                )?;
                self.wait(700, 1100);
                self.allow(Some(1));
                self.town.platform.tell(trial(2, 2, 1.0));
                self.wait(500, 900);
                Ok(())
            }
            Kind::RingClosed => {
                let ring = |zones| {
                    format!(
                        r#"<ladder service="s"><ring name="one" stage="0"><pairs {zones}/></ring></ladder>"#
                    )
                };
                self.open(&ring(""))?;
                self.wait(500, 900);
                let closed = order(&self.town, &ring(r#"zones="a""#), "");
                let open = order(&self.town, &ring(""), "");
                self.town.order(&closed);
                self.forbid(Some(1));
                self.wait(500, 900);
                self.allow(Some(1));
                self.town.order(&open);
                Ok(())
            }
            Kind::AddressReturns => {
                self.forbid(Some(1));
                self.open(
                    r#"<ladder service="s"><ring name="one" stage="0"><pairs zones="a"/></ring></ladder>"#,
                )?;
                self.wait(500, 900);
                self.town.ready(1, false);
                self.wait(350, 400);
                self.town.restart_node(1, |manners| manners.build = 2);
                self.town.ready(1, true);
                self.wait(500, 900);
                Ok(())
            }
        }
    }
}
