//! Plays every scenario in `tests/scenarios` against a gate: first an operator's file, then, behind a line `==`, steps:
//!
//!     tenant NAME                      whose requests are routed here; all, if this does not stand first
//!     at SECONDS|INSTANT               the time from now on: since 2026-12-01T00:00Z, or in RFC 3339 form
//!     status SERVICE BUILD STAGE canary|released|rolling-back|withdrawn [AGO]   a release status, AGO seconds old
//!     heartbeat SERVICE / list BUILD ..   a heartbeat / the builds that are listed
//!     restart                          a new gate, which has received nothing
//!     edit ONE => OTHER                the rules are replaced, with one text of the file in place of another
//!     store                            the state is written and restored; the permissions stay the same
//!     open|closed BUILD ZONE TENANT CLASS [REASON]   whether requests are admitted; a `*` stands for all
//!     advance BUILD STAGE / hold REASON [SECONDS]    whether the canary may advance, and if not, until when
//!     next SECONDS|never               when something changes by time alone
//!     event TEXT                       one of the events since the last such step contains this
use std::path::PathBuf;
use std::time::Duration;

use lilacgate_decision::{Build, ReleasePhase, RequestClass, Stage, Tenant, Zone};
use lilacgate_operator_config::{KnownNames, read};
use lilacgate_releases::gate::Gate;
use lilacgate_releases::model::{Rules, ServiceId};
use lilacgate_releases::reason::PermittedAdvance;
use lilacgate_releases::service_status::ReleaseStatus;
use rstest::rstest;

/// 2026-12-01T00:00Z, the time at which a scenario begins.
const START: Duration = Duration::from_secs(1_796_083_200);
/// Stands for all names.
const ALL: &str = "*";

fn rules(text: &str) -> Rules {
    let operator =
        read(text, &KnownNames::default()).unwrap_or_else(|faults| panic!("{faults:#?}"));
    operator.releases.expect("releases").rules
}

fn seconds(text: &str) -> Duration {
    Duration::from_secs_f64(text.parse().expect("seconds"))
}

fn time(text: &str) -> Duration {
    let instant = text.parse::<jiff::Timestamp>();
    instant.map_or_else(
        |_| START + seconds(text),
        |at| Duration::from_nanos(at.as_nanosecond() as u64),
    )
}

fn build(text: &str) -> Build {
    Build(text.parse().expect("a build"))
}

fn stage(text: &str) -> Stage {
    Stage(text.parse().expect("a stage"))
}

fn phase(text: &str) -> ReleasePhase {
    match text {
        "canary" => ReleasePhase::Canary,
        "released" => ReleasePhase::Released,
        "rolling-back" => ReleasePhase::RollingBack,
        "withdrawn" => ReleasePhase::Withdrawn,
        other => panic!("no phase {other}"),
    }
}

fn tenant(rules: &Rules, name: &str) -> Option<Tenant> {
    let mut tenants = rules.tenants.iter();
    let found = tenants.position(|tenant| tenant == name);
    found.map(|tenant| Tenant(tenant as u16))
}

fn new_gate(text: &str, tenant_name: Option<&str>, now: Duration) -> Gate {
    let rules = rules(text);
    let only = tenant_name.map(|name| tenant(&rules, name).expect("a tenant"));
    Gate::new(rules, only, now).expect("no cycle")
}

/// The indices of a name, or of all names.
fn indices(names: &[String], wanted: &str) -> Vec<usize> {
    let fits = |i: &usize| wanted == ALL || names[*i] == wanted;
    let found: Vec<usize> = (0..names.len()).filter(fits).collect();
    assert!(!found.is_empty(), "no {wanted}");
    found
}

/// A scenario that is being played.
struct Play {
    /// The operator's file.
    text: String,
    tenant: Option<String>,
    now: Duration,
    gate: Gate,
}

impl Play {
    fn service(&self, name: &str) -> ServiceId {
        let mut services = self.gate.rules().services.iter();
        let found = services.position(|service| service.name == name);
        ServiceId(found.expect("a service") as u8)
    }

    fn step(&mut self, words: &[&str]) {
        match words {
            ["tenant", name] => {
                self.tenant = Some((*name).to_owned());
                self.restart();
            }
            ["at", at] => {
                self.now = time(at);
                self.gate.advance(self.now);
            }
            ["status", service, status @ ..] => self.receive_status(service, status),
            ["heartbeat", service] => self.gate.on_heartbeat(self.now, self.service(service)),
            ["list", builds @ ..] => {
                let builds = builds.iter().map(|text| build(text));
                self.gate.set_listed_builds(self.now, builds);
            }
            ["restart"] => self.restart(),
            ["edit", texts @ ..] => self.edit(&texts.join(" ")),
            ["store"] => self.store_and_restore(),
            ["open", place @ ..] => self.check_admitted(true, place),
            ["closed", place @ ..] => self.check_admitted(false, place),
            ["advance", number, in_stage] => self.check_advance(build(number), stage(in_stage)),
            ["hold", reason, until @ ..] => self.check_hold(reason, until),
            ["next", "never"] => assert_eq!(self.gate.next_change(), None),
            ["next", at] => assert_eq!(self.gate.next_change(), Some(time(at))),
            ["event", text @ ..] => self.check_event(&text.join(" ")),
            _ => panic!("no such step"),
        }
    }

    fn receive_status(&mut self, service: &str, status: &[&str]) {
        let [number, in_stage, in_phase, age @ ..] = status else {
            panic!("status SERVICE BUILD STAGE PHASE [AGO]");
        };
        let age = age.first().map_or(Duration::ZERO, |age| seconds(age));
        let status = ReleaseStatus {
            build: build(number),
            stage: stage(in_stage),
            phase: phase(in_phase),
            since: self.now - age,
        };
        let service = self.service(service);
        self.gate.on_release_status(self.now, service, status);
    }

    fn restart(&mut self) {
        self.gate = new_gate(&self.text, self.tenant.as_deref(), self.now);
    }

    fn edit(&mut self, texts: &str) {
        let (old, new) = texts.split_once(" =>").expect("ONE => OTHER");
        assert!(self.text.contains(old), "no {old}");
        self.text = self.text.replace(old, new.trim());
        let rules = rules(&self.text);
        let only = self.tenant.as_ref().and_then(|name| tenant(&rules, name));
        self.gate
            .replace_rules(self.now, rules, only)
            .expect("no cycle");
    }

    fn store_and_restore(&mut self) {
        let state = self.gate.state("n0", Vec::new());
        let text = serde_json::to_string(&state).expect("it is written");
        let state = serde_json::from_str(&text).expect("it is read");
        let restored = Gate::from_state(rules(&self.text), &state).expect("it can be used");
        assert_eq!(restored.permissions(), self.gate.permissions());
        self.gate = restored;
    }

    fn check_admitted(&self, is_open: bool, place: &[&str]) {
        let [number, zone, tenant, class, reason @ ..] = place else {
            panic!("open|closed BUILD ZONE TENANT CLASS [REASON]");
        };
        let rules = self.gate.rules();
        for zone in indices(&rules.zones, zone) {
            for tenant in indices(&rules.tenants, tenant) {
                for class in indices(&rules.request_classes, class) {
                    let admits = self.gate.admits(
                        build(number),
                        Zone(zone as u8),
                        Tenant(tenant as u16),
                        RequestClass(class as u8),
                    );
                    let code = admits.err().map_or("open", |reason| reason.code());
                    assert_eq!(admits.is_ok(), is_open, "{code}: {zone}, {tenant}, {class}");
                    if let Some(reason) = reason.first() {
                        assert_eq!(code, *reason, "{zone}, {tenant}, {class}");
                    }
                }
            }
        }
    }

    fn check_advance(&self, build: Build, stage: Stage) {
        let expected = PermittedAdvance { build, stage };
        assert_eq!(self.gate.permitted_advance(), Ok(expected));
        assert!(self.gate.permissions().may_advance(build, stage));
    }

    fn check_hold(&self, reason: &str, until: &[&str]) {
        let hold = self.gate.permitted_advance().expect_err("a hold");
        assert_eq!(hold.reason.code(), reason);
        assert_eq!(hold.until, until.first().map(|at| time(at)));
    }

    fn check_event(&mut self, text: &str) {
        let taken = self.gate.take_events().events;
        let events: Vec<String> = taken.iter().map(|event| format!("{event:?}")).collect();
        assert!(
            events.iter().any(|event| event.contains(text)),
            "{events:#?}"
        );
    }
}

#[rstest]
fn scenario(#[files("tests/scenarios/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("a scenario");
    let (file, steps) = text.split_once("\n==\n").expect("a file, then steps");
    let mut play = Play {
        text: file.to_owned(),
        tenant: None,
        now: START,
        gate: new_gate(file, None, START),
    };
    for line in steps.lines() {
        println!("{}: {line}", path.display());
        for step in line.split('#').next().unwrap_or("").split(';') {
            let words: Vec<&str> = step.split_whitespace().collect();
            if !words.is_empty() {
                play.step(&words);
            }
        }
    }
}
