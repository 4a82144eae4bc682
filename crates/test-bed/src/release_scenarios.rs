//! Scripted runs of a release under the operator's rules. Each scenario logs what the rules forbid, and from when on;
//! it knows the rules only as its script has them, and asks no release gate.
use std::path::Path;
use std::time::Duration;

use lilacgate_decision::ReleasePhase;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::check::{CheckLimits, CheckReport, check};
use crate::client::Traffic;
use crate::endpoint_server::EndpointBehavior;
use crate::error::TestBedError;
use crate::event_log::Event;
use crate::release_control_plane::{ReleaseState, ignore_votes};
use crate::test_bed::{SILENT_AFTER, TestBed, ZONES};

/// What happens in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseScenario {
    /// The dependency is rolled back in the middle of a stage, and released again.
    DependencyRolledBack,
    /// The last of a chain of four services is rolled back.
    ChainRolledBack,
    /// A freeze is declared for a zone in the middle of a stage, and lifted.
    Freeze,
    /// The dependency's control plane crashes in the middle of a line, and recovers.
    ControlPlaneCrash,
    /// The dependency goes back to an older build.
    OlderBuild,
    /// The dependency's released build is withdrawn.
    DependencyWithdrawn,
    /// A ring opens one zone a stage later than the other.
    RingByZone,
    /// A new operator's file closes a ring that has requests in it.
    RingClosed,
    /// An endpoint's address comes back with a forbidden build.
    AddressReused,
    /// The agent is killed, and started again while the state of the dependency is unknown.
    AgentRestart,
    /// The service and its dependency are updated at the same moment, in either order.
    SimultaneousUpdates,
    /// All allowed endpoints drain: for a time only forbidden ones are left.
    OnlyForbiddenLeft,
}

/// The build whose release is under way in all scenarios.
const NEW_BUILD: u16 = 2;
/// The name of the dependency, and the oldest of its builds that the new build can work with.
const DEPENDENCY: &str = "d";
const DEPENDENCY_BUILD: u16 = 5;
const NEEDS_DEPENDENCY: &str = r#"<needs service="s" from="2" of="d" at-least="5"/>"#;
const CHAIN_OF_NEEDS: &str = r#"<needs service="s" from="2" of="d" at-least="5"/><needs service="d" from="5" of="e" at-least="4"/><needs service="e" of="h" at-least="3"/>"#;
/// The new build is allowed in the first zone from the first stage on, and in both from stage 2 on.
const RING_BY_ZONE: &str = r#"<ladder service="s"><ring name="one" stage="0"><pairs zones="a"/></ring>
<ring name="two" stage="2" after="100ms"><pairs/></ring></ladder>"#;
/// The new build is allowed in the first zone, or in both.
const RING_OF_FIRST_ZONE: &str =
    r#"<ladder service="s"><ring name="one" stage="0"><pairs zones="a"/></ring></ladder>"#;
const RING_OF_ALL_ZONES: &str =
    r#"<ladder service="s"><ring name="one" stage="0"><pairs /></ring></ladder>"#;

const SERVICE_TIME: Duration = Duration::from_millis(2);
const TRAFFIC: Traffic = Traffic {
    clients: 10,
    mean_pause: Duration::from_millis(16),
    deadline: Duration::from_millis(1000),
};

/// Pauses between steps, drawn from these ranges in milliseconds.
const BETWEEN_STEPS: std::ops::Range<u64> = 500..900;
const SHORT: std::ops::Range<u64> = 100..200;

impl ReleaseScenario {
    /// All scenarios.
    pub const ALL: [ReleaseScenario; 12] = [
        ReleaseScenario::DependencyRolledBack,
        ReleaseScenario::ChainRolledBack,
        ReleaseScenario::Freeze,
        ReleaseScenario::ControlPlaneCrash,
        ReleaseScenario::OlderBuild,
        ReleaseScenario::DependencyWithdrawn,
        ReleaseScenario::RingByZone,
        ReleaseScenario::RingClosed,
        ReleaseScenario::AddressReused,
        ReleaseScenario::AgentRestart,
        ReleaseScenario::SimultaneousUpdates,
        ReleaseScenario::OnlyForbiddenLeft,
    ];

    /// Runs the scenario with the agent's program at this path, and checks its log. Without the operator's file the
    /// agent knows none of the rules.
    ///
    /// # Errors
    /// If the agent does not serve, or has panicked: the run gives no report then.
    ///
    /// # Panics
    /// If stand-ins cannot be started or files cannot be written.
    pub fn run(
        self,
        seed: u64,
        program: &Path,
        with_operator_file: bool,
    ) -> Result<CheckReport, TestBedError> {
        let state = ReleaseState::canary(NEW_BUILD, 1, 1.0);
        let mut bed = TestBed::new(program, seed, state, ignore_votes());
        // No endpoint is slow but by the machine's load: what it delays must not be cancelled and sent again.
        bed.set_start_field("aim", "4000000");
        for (build, zone) in [(1, 0), (1, 1), (NEW_BUILD, 0), (NEW_BUILD, 1)] {
            bed.add_endpoint(EndpointBehavior::healthy(build, zone, SERVICE_TIME));
        }
        let mut run = Run {
            bed,
            rng: Pcg64Mcg::seed_from_u64(seed),
            with_operator_file,
        };
        run.play(self)?;
        run.wait(400..500);
        let log = run.bed.shut_down();
        let report = check(&run.bed.event_log.events(), &CheckLimits::default());
        if log.contains("panicked") {
            return Err(TestBedError::AgentPanicked { log });
        }
        Ok(report)
    }
}

/// A scenario under way.
struct Run {
    bed: TestBed,
    rng: Pcg64Mcg,
    with_operator_file: bool,
}

impl Run {
    fn play(&mut self, scenario: ReleaseScenario) -> Result<(), TestBedError> {
        match scenario {
            ReleaseScenario::ChainRolledBack => self.chain_rolled_back(),
            ReleaseScenario::Freeze => self.freeze(),
            ReleaseScenario::RingByZone => self.ring_by_zone(),
            ReleaseScenario::RingClosed => self.ring_closed(),
            ReleaseScenario::AddressReused => self.address_reused(),
            _ => self.dependency_breaks_and_recovers(scenario),
        }
    }

    /// Waits for a time drawn from a range in milliseconds.
    fn wait(&mut self, range: std::ops::Range<u64>) {
        let wait = self.rng.random_range(range);
        self.bed.wait(Duration::from_millis(wait));
    }

    /// Logs that the new build is forbidden from now on.
    fn forbid(&self, zone: Option<usize>) {
        self.bed.event_log.push(Event::BuildForbidden {
            build: NEW_BUILD,
            zone,
        });
    }

    /// Logs that the new build is allowed from now on.
    fn allow(&self, zone: Option<usize>) {
        self.bed.event_log.push(Event::BuildAllowed {
            build: NEW_BUILD,
            zone,
        });
    }

    fn write_rules(&mut self, rules: &str) {
        let text = self.bed.operator_file(rules, "");
        self.bed.write_operator_file(&text);
    }

    /// Starts the agent under these rules, then the clients.
    fn start(&mut self, rules: &str) -> Result<(), TestBedError> {
        self.write_rules(rules);
        self.bed.start_agent(self.with_operator_file)?;
        self.bed.start_clients(TRAFFIC);
        Ok(())
    }

    fn publish(&self, service: &str, state: ReleaseState) {
        self.bed.dependencies[service].publish(state);
    }

    /// Runs with one dependency that is met at first, breaks, and recovers.
    fn dependency_breaks_and_recovers(
        &mut self,
        scenario: ReleaseScenario,
    ) -> Result<(), TestBedError> {
        self.bed
            .add_dependency(DEPENDENCY, ReleaseState::released(DEPENDENCY_BUILD));
        self.start(NEEDS_DEPENDENCY)?;
        self.wait(BETWEEN_STEPS);
        self.break_dependency(scenario);
        self.wait(BETWEEN_STEPS);
        self.allow(None);
        self.mend_dependency(scenario);
        Ok(())
    }

    fn break_dependency(&mut self, scenario: ReleaseScenario) {
        match scenario {
            ReleaseScenario::ControlPlaneCrash => self.crash_control_plane(),
            ReleaseScenario::AgentRestart => {
                self.crash_control_plane();
                self.wait(SHORT);
                self.bed.kill_agent();
                // If it does not come back, requests without an answer show it.
                self.bed.start_agent(self.with_operator_file).ok();
            }
            ReleaseScenario::SimultaneousUpdates => self.update_both(),
            ReleaseScenario::OnlyForbiddenLeft => {
                self.publish_broken(scenario);
                self.wait(SHORT);
                self.bed.set_ready(0, false);
                self.bed.set_ready(1, false);
            }
            _ => self.publish_broken(scenario),
        }
    }

    fn mend_dependency(&mut self, scenario: ReleaseScenario) {
        let same = ReleaseState::released(DEPENDENCY_BUILD);
        match scenario {
            ReleaseScenario::ControlPlaneCrash | ReleaseScenario::AgentRestart => {
                self.bed.dependencies[DEPENDENCY].recover(same);
            }
            ReleaseScenario::OlderBuild => self.publish(DEPENDENCY, same),
            _ => self.publish(DEPENDENCY, ReleaseState::released(DEPENDENCY_BUILD + 1)),
        }
        if scenario == ReleaseScenario::OnlyForbiddenLeft {
            self.wait(200..300);
            self.bed.set_ready(0, true);
        }
    }

    /// Publishes a state of the dependency that forbids the new build.
    fn publish_broken(&self, scenario: ReleaseScenario) {
        let state = match scenario {
            ReleaseScenario::OlderBuild => ReleaseState::released(DEPENDENCY_BUILD - 1),
            ReleaseScenario::DependencyWithdrawn => {
                ReleaseState::taken_back(DEPENDENCY_BUILD, ReleasePhase::Withdrawn)
            }
            _ => ReleaseState::taken_back(DEPENDENCY_BUILD, ReleasePhase::RollingBack),
        };
        self.publish(DEPENDENCY, state);
        self.forbid(None);
    }

    /// The dependency's state becomes unknown once its control plane has been silent for long enough.
    fn crash_control_plane(&self) {
        self.bed.dependencies[DEPENDENCY].crash();
        let unknown_from = self.bed.event_log.elapsed() + SILENT_AFTER;
        self.bed.wait(SILENT_AFTER);
        let forbidden = Event::BuildForbidden {
            build: NEW_BUILD,
            zone: None,
        };
        self.bed.event_log.push_at(unknown_from, forbidden);
    }

    fn update_both(&mut self) {
        let own_first = self.rng.random::<bool>();
        let next_stage = ReleaseState::canary(NEW_BUILD, 2, 1.0);
        if own_first {
            self.bed.control_plane.publish(next_stage);
        }
        self.publish_broken(ReleaseScenario::SimultaneousUpdates);
        if !own_first {
            self.bed.control_plane.publish(next_stage);
        }
    }

    fn chain_rolled_back(&mut self) -> Result<(), TestBedError> {
        for (name, build) in [(DEPENDENCY, DEPENDENCY_BUILD), ("e", 4), ("h", 3)] {
            self.bed.add_dependency(name, ReleaseState::released(build));
        }
        self.start(CHAIN_OF_NEEDS)?;
        self.wait(BETWEEN_STEPS);
        self.publish("h", ReleaseState::taken_back(3, ReleasePhase::RollingBack));
        self.forbid(None);
        self.wait(BETWEEN_STEPS);
        self.allow(None);
        self.publish("h", ReleaseState::released(4));
        Ok(())
    }

    fn freeze(&mut self) -> Result<(), TestBedError> {
        self.start("")?;
        self.wait(BETWEEN_STEPS);
        let zone = self.rng.random_range(0..ZONES.len());
        self.write_rules(&format!(
            r#"<freeze name="now" zones="{}" keeps="close"><declared/></freeze>"#,
            ZONES[zone]
        ));
        self.forbid(Some(zone));
        self.wait(BETWEEN_STEPS);
        self.allow(Some(zone));
        self.write_rules("");
        Ok(())
    }

    fn ring_by_zone(&mut self) -> Result<(), TestBedError> {
        self.forbid(Some(1));
        self.start(RING_BY_ZONE)?;
        self.wait(700..1100);
        self.allow(Some(1));
        let next_stage = ReleaseState::canary(NEW_BUILD, 2, 1.0);
        self.bed.control_plane.publish(next_stage);
        self.wait(BETWEEN_STEPS);
        Ok(())
    }

    fn ring_closed(&mut self) -> Result<(), TestBedError> {
        self.start(RING_OF_ALL_ZONES)?;
        self.wait(BETWEEN_STEPS);
        self.write_rules(RING_OF_FIRST_ZONE);
        self.forbid(Some(1));
        self.wait(BETWEEN_STEPS);
        self.allow(Some(1));
        self.write_rules(RING_OF_ALL_ZONES);
        Ok(())
    }

    fn address_reused(&mut self) -> Result<(), TestBedError> {
        self.forbid(Some(1));
        self.start(RING_OF_FIRST_ZONE)?;
        self.wait(BETWEEN_STEPS);
        self.bed.set_ready(1, false);
        self.wait(350..400);
        self.bed
            .replace_endpoint(1, |behavior| behavior.build = NEW_BUILD);
        self.bed.set_ready(1, true);
        self.wait(BETWEEN_STEPS);
        Ok(())
    }
}
