//! Owns the demonstration: a small fleet on loopback, three releases (one goes through, one is voted back, one loses
//! its dependency mid-stage), and then in plain words what happened and what the checker found.
use std::path::Path;
use std::time::Duration;

use crate::check::{Terms, check};
use crate::days::order;
use crate::record::{Event, Seen};
use crate::town::{Manners, State, Town, Traffic, ZONES};

/// The share of places, and the cap, of each stage.
const RINGS: [f64; 3] = [0.34, 0.67, 1.0];
const CAPS: [f64; 3] = [0.1, 0.4, 1.0];
/// Places for nodes, half in each zone.
const PLACES: usize = 6;
/// No release takes longer.
const MOST: Duration = Duration::from_secs(25);

/// What the platform makes of a vote: on moves a stage on or releases, back takes the build off.
fn on_vote(build: u16, stage: u8, decision: &str, now: State) -> Option<State> {
    let fits = (now.build, now.stage, now.course) == (build, stage, "Progressing");
    match decision {
        "promote" if fits => {
            let next = stage + 1;
            Some(match CAPS.get(usize::from(next)) {
                Some(&cap) => State {
                    stage: next,
                    cap,
                    ..now
                },
                None => State {
                    course: "Healthy",
                    cap: 1.0,
                    ..now
                },
            })
        }
        "abort" if fits => Some(State {
            course: "Aborting",
            cap: 0.0,
            ..now
        }),
        _ => None,
    }
}

struct Show {
    town: Town,
    /// The nodes that run the released build, and the one on trial.
    old: Vec<usize>,
    new: Vec<usize>,
}

impl Show {
    fn say(&self, text: &str) {
        println!("{:6.2} s  {text}", self.town.record.now().as_secs_f64());
    }

    fn manners(place: usize, build: u16, fails: f64) -> Manners {
        Manners {
            fails,
            ..Manners::good(build, place % 2, Duration::from_millis(3))
        }
    }

    /// Offers a build and follows what becomes of it, until it is released, taken off, or `until` says so.
    fn offer(
        &mut self,
        build: u16,
        fails: f64,
        until: &mut dyn FnMut(&mut Self, State) -> bool,
    ) -> State {
        self.new.clear();
        self.town.platform.tell(State {
            build,
            stage: 0,
            course: "Progressing",
            cap: CAPS[0],
        });
        self.say(&format!("build {build} is offered"));
        let began = self.town.record.now();
        let mut stage = None;
        loop {
            let state = self.town.platform.state();
            if state.course != "Progressing"
                || until(self, state)
                || self.town.record.now() > began + MOST
            {
                return state;
            }
            if stage != Some(state.stage) {
                stage = Some(state.stage);
                let many = (RINGS[usize::from(state.stage)] * PLACES as f64).round() as usize;
                let first = self.town.nodes.len();
                for place in self.new.len()..many {
                    let node = self.town.start_node(Self::manners(place, build, fails));
                    self.new.push(node);
                }
                let started: Vec<usize> = (first..self.town.nodes.len()).collect();
                self.town.list(&started);
                self.say(&format!(
                    "stage {}: {many} of {PLACES} nodes run build {build}",
                    state.stage
                ));
            }
            self.town.pass(Duration::from_millis(20));
        }
    }

    /// Nodes drain, and go once they have done.
    fn take_off(&mut self, nodes: Vec<usize>) {
        for node in nodes {
            self.town.ready(node, false);
        }
    }
}

/// What the operators' command line beside the agent prints.
fn lgctl(program: &Path, line: &[&str]) -> Result<String, String> {
    let call = std::process::Command::new(program.with_file_name("lgctl"))
        .args(line)
        .output();
    let call = call.map_err(|fault| format!("no lgctl beside the agent: {fault}"))?;
    match call.status.success() {
        true => Ok(String::from_utf8_lossy(&call.stdout).into_owned()),
        false => Err(String::from_utf8_lossy(&call.stderr).into_owned()),
    }
}

fn got(events: &[Event], build: u16, zone: Option<usize>) -> usize {
    let at = |event: &&Event| matches!(event.seen, Seen::Got { build: b, zone: z, .. } if b == build && zone.is_none_or(|zone| z == zone));
    events.iter().filter(at).count()
}

/// Plays it. Whether each release went as it should and no rule broke.
pub fn play(program: &Path) -> bool {
    println!(
        "A fleet of {PLACES} desk nodes in the zones {} and {}, one agent, ten clients, on loopback.",
        ZONES[0], ZONES[1]
    );
    let state = State {
        build: 1,
        stage: 3,
        course: "Healthy",
        cap: 1.0,
    };
    let mut town = Town::new(program, 11, state, Box::new(on_vote));
    town.desk(
        "ledger",
        State {
            build: 5,
            stage: 3,
            course: "Healthy",
            cap: 1.0,
        },
    );
    for (field, value) in [
        ("layout", "\"side_by_side\"".to_owned()),
        ("rings", format!("{RINGS:?}")),
        ("most-shares", format!("{CAPS:?}")),
    ] {
        town.set(field, &value);
    }
    let old = (0..PLACES)
        .map(|place| town.node(Show::manners(place, 1, 0.0)))
        .collect();
    let rules = r#"<ladder service="s" from="2"><ring name="first" stage="0"><pairs zones="a"/></ring>
<ring name="all" stage="1" after="2s"><pairs/></ring></ladder>
<needs service="s" from="4" of="ledger" at-least="5"/>"#;
    let lines = format!("<timeline dump=\"{}\"/></operator>", town.dump().display());
    let text = order(&town, rules, "").replace("</operator>", &lines);
    town.order(&text);
    if !town.up(true) {
        println!("the agent does not come up");
        return false;
    }
    town.open(Traffic {
        clients: 10,
        pause: Duration::from_millis(25),
        deadline: Duration::from_millis(1000),
    });
    let mut show = Show {
        town,
        old,
        new: Vec::new(),
    };
    show.town.pass(Duration::from_millis(800));

    let first = show.offer(2, 0.0, &mut |_, _| false);
    let went_through = first.course == "Healthy";
    show.say(if went_through {
        "build 2 is released: the agent voted it on, stage by stage"
    } else {
        "build 2 did NOT go through"
    });
    let (old, new) = (std::mem::take(&mut show.old), std::mem::take(&mut show.new));
    show.take_off(old);
    show.old = new;

    let second = show.offer(3, 0.4, &mut |_, _| false);
    let voted_back = second.course == "Aborting";
    show.say(if voted_back {
        "build 3 fails four requests in ten: the agent voted it back"
    } else {
        "build 3 was NOT voted back"
    });
    let new = std::mem::take(&mut show.new);
    show.take_off(new);
    show.town.pass(Duration::from_millis(300));
    show.town.platform.tell(State {
        build: 3,
        stage: second.stage,
        course: "Aborted",
        cap: 0.0,
    });

    // The third: once it stands in its second stage, the service that it needs is rolled back.
    let mut rolled = None;
    let third = show.offer(4, 0.0, &mut |show, state| {
        if state.stage >= 1 && rolled.is_none() && show.new.len() * 2 >= PLACES {
            show.town.pass(Duration::from_millis(1500));
            show.town.desks["ledger"].tell(State {
                build: 5,
                stage: 3,
                course: "Aborting",
                cap: 0.0,
            });
            show.town.record.put(Seen::Forbidden {
                build: 4,
                zone: None,
            });
            rolled = Some(show.town.record.now());
            show.say("the ledger that build 4 needs is rolled back, mid-stage");
        }
        rolled.is_some_and(|at| show.town.record.now() > at + Duration::from_millis(4500))
    });
    let stayed = rolled.is_some() && third.course == "Progressing";
    show.say(if stayed {
        "build 4 got nothing more, and the agent asked for no further step"
    } else {
        "build 4 did NOT stay"
    });
    let told = show.town.tells_its_lines();
    let story = lgctl(
        program,
        &[
            "timeline",
            "story",
            &show.town.dump().display().to_string(),
            "--build",
            "3",
        ],
    );
    let log = show.town.close();
    let events = show.town.record.events();
    let verdict = check(&events, &Terms::default());

    println!("\nWhat the agent said of releases and votes:");
    for line in log
        .lines()
        .filter(|line| line.contains("releases: ") || line.contains(" vote "))
    {
        println!("  {}", line.split_once(' ').map_or(line, |(_, rest)| rest));
    }
    println!(
        "\nWhat the checker found in {} steps and attempts on record:",
        events.len()
    );
    println!(
        "  {} requests: {} settled, {} declined, {} voided, {} lost",
        verdict.requests, verdict.settled, verdict.declined, verdict.voided, verdict.lost
    );
    for build in 1..=4 {
        println!(
            "  build {build} got {} attempts, {} of them in zone b",
            got(&events, build, None),
            got(&events, build, Some(1))
        );
    }
    println!(
        "  last attempt at build 4 after its dependency was gone: {} ms (250 are allowed)",
        verdict.worst_stop.as_millis()
    );
    println!(
        "  sent twice: {}, at a forbidden build: {}, other rules broken: {}",
        verdict.doubled,
        verdict.forbidden,
        verdict.broken.len()
    );
    for broken in verdict.broken.iter().take(10) {
        println!("  broken: {broken}");
    }
    println!("\nThe story of build 3, from the agent's own time lines (lgctl timeline story):");
    match &story {
        Ok(text) => text.lines().for_each(|line| println!("  {line}")),
        Err(why) => println!("  {why}"),
    }
    if let Some(file) = std::env::var_os("LILACGATE_DEMO_LINES") {
        std::fs::copy(show.town.dump(), file).ok();
    }
    let fine = told && story.is_ok() && went_through && voted_back && stayed && verdict.is_clean();
    println!(
        "\n{}",
        if fine {
            "All went as it should; no rule broke."
        } else {
            "Something went wrong: see above."
        }
    );
    fine
}
