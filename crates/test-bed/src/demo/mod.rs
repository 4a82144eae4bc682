//! The demonstration: a small fleet on loopback and three releases. One goes through, one is rolled back by votes, and
//! one loses its dependency in the middle of a stage. Then what happened, and what the checker found, are printed.
mod report;

use std::path::Path;
use std::time::Duration;

use lilacgate_decision::ReleasePhase;

use crate::client::Traffic;
use crate::endpoint_server::EndpointBehavior;
use crate::error::TestBedError;
use crate::event_log::Event;
use crate::release_control_plane::{ReleaseState, VoteRequest};
use crate::test_bed::{TestBed, ZONES};

/// The share of places that run the new build, by stage.
const PLACE_SHARES: [f64; 3] = [0.34, 0.67, 1.0];
/// The largest share of requests that the new build may get, by stage.
const CAPS: [f64; 3] = [0.1, 0.4, 1.0];
/// Places for endpoints, half of them in each zone.
const PLACES: usize = 6;
/// A release that takes longer has failed.
const MAX_RELEASE_TIME: Duration = Duration::from_secs(25);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const SERVICE_TIME: Duration = Duration::from_millis(3);
const SEED: u64 = 11;
const TRAFFIC: Traffic = Traffic {
    clients: 10,
    mean_pause: Duration::from_millis(25),
    deadline: Duration::from_millis(1000),
};

/// The service that build 4 depends on, and its build that is needed.
const DEPENDENCY: &str = "ledger";
const DEPENDENCY_BUILD: u16 = 5;
const RULES: &str = r#"<ladder service="s" from="2"><ring name="first" stage="0"><pairs zones="a"/></ring>
<ring name="all" stage="1" after="2s"><pairs/></ring></ladder>
<needs service="s" from="4" of="ledger" at-least="5"/>"#;

/// Runs the demonstration with the agent's program at this path. Whether each release went as it should and no rule
/// was broken.
///
/// # Panics
/// If stand-ins cannot be started or files cannot be written.
pub fn run(program: &Path) -> bool {
    println!(
        "A fleet of {PLACES} endpoints in the zones {} and {}, one agent, ten clients, on loopback.",
        ZONES[0], ZONES[1]
    );
    let mut demo = match Demo::start(program) {
        Ok(demo) => demo,
        Err(error) => {
            println!("{error}");
            return false;
        }
    };
    let first_released = demo.release_good_build();
    let second_rolled_back = demo.release_bad_build();
    let third_held = demo.release_build_that_loses_its_dependency();
    let clean = report::print(&mut demo.bed, program);
    let passed = first_released && second_rolled_back && third_held && clean;
    let summary = if passed {
        "All went as it should; no rule was broken."
    } else {
        "Something went wrong: see above."
    };
    println!("\n{summary}");
    passed
}

/// What a vote makes of a release: `promote` advances it, and releases it after its last stage; `abort` rolls it back.
fn apply_vote(vote: &VoteRequest, current: ReleaseState) -> Option<ReleaseState> {
    let about_current = (vote.build, vote.stage) == (current.build, current.stage);
    if !about_current || current.phase != ReleasePhase::Canary {
        return None;
    }
    let next_stage = current.stage + 1;
    match vote.decision.as_str() {
        "promote" => Some(match CAPS.get(usize::from(next_stage)) {
            Some(&cap) => ReleaseState {
                stage: next_stage,
                cap,
                ..current
            },
            None => ReleaseState {
                phase: ReleasePhase::Released,
                cap: 1.0,
                ..current
            },
        }),
        "abort" => Some(ReleaseState {
            phase: ReleasePhase::RollingBack,
            cap: 0.0,
            ..current
        }),
        _ => None,
    }
}

struct Demo {
    bed: TestBed,
    /// The endpoints that run the released build.
    released: Vec<usize>,
    /// The endpoints that run the build whose release is under way.
    canaries: Vec<usize>,
}

impl Demo {
    /// Starts the fleet with build 1 released everywhere.
    fn start(program: &Path) -> Result<Demo, TestBedError> {
        let mut bed = TestBed::new(
            program,
            SEED,
            ReleaseState::released(1),
            Box::new(apply_vote),
        );
        bed.add_dependency(DEPENDENCY, ReleaseState::released(DEPENDENCY_BUILD));
        bed.set_start_field("layout", "\"side_by_side\"");
        bed.set_start_field("rings", &format!("{PLACE_SHARES:?}"));
        bed.set_start_field("most-shares", &format!("{CAPS:?}"));
        let released = (0..PLACES)
            .map(|place| bed.add_endpoint(behavior(place, 1, 0.0)))
            .collect();
        let dump = bed.timeline_dump_path();
        let timeline = format!("<timeline dump=\"{}\"/>", dump.display());
        let operator_file = bed.operator_file(RULES, &timeline);
        bed.write_operator_file(&operator_file);
        bed.start_agent(true)?;
        bed.start_clients(TRAFFIC);
        bed.wait(Duration::from_millis(800));
        Ok(Demo {
            bed,
            released,
            canaries: Vec::new(),
        })
    }

    /// Prints a line with the time of the run.
    fn print(&self, text: &str) {
        println!(
            "{:6.2} s  {text}",
            self.bed.event_log.elapsed().as_secs_f64()
        );
    }

    /// Begins the release of a build, and starts its endpoints stage by stage. Returns the last state, once the build
    /// is released or rolled back, or `stop` says so.
    fn release(
        &mut self,
        build: u16,
        failure_share: f64,
        stop: &mut dyn FnMut(&mut Self, ReleaseState) -> bool,
    ) -> ReleaseState {
        self.canaries.clear();
        let first_stage = ReleaseState::canary(build, 0, CAPS[0]);
        self.bed.control_plane.publish(first_stage);
        self.print(&format!("the release of build {build} begins"));
        let give_up_at = self.bed.event_log.elapsed() + MAX_RELEASE_TIME;
        let mut stage = None;
        loop {
            let state = self.bed.control_plane.state();
            if state.phase != ReleasePhase::Canary
                || stop(self, state)
                || self.bed.event_log.elapsed() > give_up_at
            {
                return state;
            }
            if stage != Some(state.stage) {
                stage = Some(state.stage);
                self.start_stage(state, failure_share);
            }
            self.bed.wait(POLL_INTERVAL);
        }
    }

    /// Starts the further endpoints of a stage.
    fn start_stage(&mut self, state: ReleaseState, failure_share: f64) {
        let share = PLACE_SHARES[usize::from(state.stage)];
        let places = (share * PLACES as f64).round() as usize;
        let first_new = self.bed.endpoints.len();
        for place in self.canaries.len()..places {
            let behavior = behavior(place, state.build, failure_share);
            self.canaries.push(self.bed.add_starting_endpoint(behavior));
        }
        let started: Vec<usize> = (first_new..self.bed.endpoints.len()).collect();
        self.bed.publish_endpoints(&started);
        self.print(&format!(
            "stage {}: {places} of {PLACES} endpoints run build {}",
            state.stage, state.build
        ));
    }

    fn drain(&mut self, endpoints: &[usize]) {
        for &endpoint in endpoints {
            self.bed.set_ready(endpoint, false);
        }
    }

    /// Build 2 has no fault; whether it was released.
    fn release_good_build(&mut self) -> bool {
        let state = self.release(2, 0.0, &mut |_, _| false);
        let released = state.phase == ReleasePhase::Released;
        self.print(if released {
            "build 2 is released: the agent voted for each stage"
        } else {
            "build 2 was NOT released"
        });
        let new = std::mem::take(&mut self.canaries);
        let old = std::mem::replace(&mut self.released, new);
        self.drain(&old);
        released
    }

    /// Build 3 fails some requests; whether it was rolled back.
    fn release_bad_build(&mut self) -> bool {
        let state = self.release(3, 0.4, &mut |_, _| false);
        let rolled_back = state.phase == ReleasePhase::RollingBack;
        self.print(if rolled_back {
            "build 3 fails four requests in ten: the agent's vote rolled it back"
        } else {
            "build 3 was NOT rolled back"
        });
        let canaries = std::mem::take(&mut self.canaries);
        self.drain(&canaries);
        self.bed.wait(Duration::from_millis(300));
        self.bed.control_plane.publish(ReleaseState {
            phase: ReleasePhase::Withdrawn,
            cap: 0.0,
            ..state
        });
        rolled_back
    }

    /// Build 4 loses its dependency in its second stage; whether its release was held from then on.
    fn release_build_that_loses_its_dependency(&mut self) -> bool {
        let mut lost_at = None;
        let state = self.release(4, 0.0, &mut |demo, state| {
            if state.stage >= 1 && lost_at.is_none() && demo.canaries.len() * 2 >= PLACES {
                demo.bed.wait(Duration::from_millis(1500));
                lost_at = Some(demo.roll_dependency_back());
            }
            lost_at
                .is_some_and(|at| demo.bed.event_log.elapsed() > at + Duration::from_millis(4500))
        });
        let held = lost_at.is_some() && state.phase == ReleasePhase::Canary;
        self.print(if held {
            "build 4 got nothing more, and the agent voted for no further stage"
        } else {
            "build 4 was NOT held"
        });
        held
    }

    /// Returns the time at which the new build was forbidden.
    fn roll_dependency_back(&self) -> Duration {
        self.bed.dependencies[DEPENDENCY].publish(ReleaseState::taken_back(
            DEPENDENCY_BUILD,
            ReleasePhase::RollingBack,
        ));
        self.bed.event_log.push(Event::BuildForbidden {
            build: 4,
            zone: None,
        });
        let at = self.bed.event_log.elapsed();
        self.print("the ledger that build 4 needs is rolled back, mid-stage");
        at
    }
}

fn behavior(place: usize, build: u16, failure_share: f64) -> EndpointBehavior {
    EndpointBehavior {
        failure_share,
        ..EndpointBehavior::healthy(build, place % ZONES.len(), SERVICE_TIME)
    }
}
