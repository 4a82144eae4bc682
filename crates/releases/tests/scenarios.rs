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
#![allow(clippy::min_ident_chars)] // Not met yet.
#![allow(clippy::too_many_lines)] // Not met yet.
use std::path::PathBuf;
use std::time::Duration;

use lilacgate_decision::{Build, ReleasePhase, RequestClass, Stage, Tenant, Zone};
use lilacgate_operator_config::{Known, read};
use lilacgate_releases::gate::Gate;
use lilacgate_releases::model::{Rules, ServiceId};
use lilacgate_releases::reason::PermittedAdvance;
use lilacgate_releases::service_status::ReleaseStatus;
use rstest::rstest;

/// 2026-12-01T00:00Z.
const ZERO: Duration = Duration::from_secs(1_796_083_200);

fn rules(text: &str) -> Rules {
    let operator = read(text, &Known::default()).unwrap_or_else(|faults| panic!("{faults:#?}"));
    operator.releases.expect("releases").rules
}

fn secs(text: &str) -> Duration {
    Duration::from_secs_f64(text.parse().expect("seconds"))
}

fn time(text: &str) -> Duration {
    let instant = text.parse::<jiff::Timestamp>();
    instant.map_or_else(
        |_| ZERO + secs(text),
        |at| Duration::from_nanos(at.as_nanosecond() as u64),
    )
}

struct Play {
    text: String,
    tenant: Option<String>,
    now: Duration,
    gate: Gate,
}

fn gate(text: &str, tenant: Option<&str>, now: Duration) -> Gate {
    let rules = rules(text);
    let me = tenant.map(|tenant| {
        Tenant(
            rules
                .tenants
                .iter()
                .position(|f| f == tenant)
                .expect("a firm") as u16,
        )
    });
    Gate::new(rules, me, now).unwrap_or_else(|_| panic!("a circle"))
}

fn all<'a>(names: &'a [String], wanted: &'a str) -> impl Iterator<Item = usize> + 'a {
    let fits = move |i: &usize| wanted == "*" || names[*i] == wanted;
    let found: Vec<usize> = (0..names.len()).filter(fits).collect();
    assert!(!found.is_empty(), "no {wanted}");
    found.into_iter()
}

impl Play {
    fn service(&self, name: &str) -> ServiceId {
        let found = self
            .gate
            .rules()
            .services
            .iter()
            .position(|service| service.name == name);
        ServiceId(found.expect("a service") as u8)
    }

    fn step(&mut self, words: &[&str]) {
        match words {
            ["tenant", name] => {
                self.tenant = Some(name.to_string());
                self.step(&["restart"]);
            }
            ["at", at] => {
                self.now = time(at);
                self.gate.advance(self.now);
            }
            ["status", service, build, stage, phase, ago @ ..] => {
                let phase = match *phase {
                    "canary" => ReleasePhase::Canary,
                    "released" => ReleasePhase::Released,
                    "rolling-back" => ReleasePhase::RollingBack,
                    "withdrawn" => ReleasePhase::Withdrawn,
                    other => panic!("no phase {other}"),
                };
                let (build, stage) = (
                    Build(build.parse().expect("a build")),
                    Stage(stage.parse().expect("a stage")),
                );
                let since = self.now - ago.first().map_or(Duration::ZERO, |ago| secs(ago));
                let service = self.service(service);
                self.gate.on_release_status(
                    self.now,
                    service,
                    ReleaseStatus {
                        build,
                        stage,
                        phase,
                        since,
                    },
                );
            }
            ["heartbeat", service] => self.gate.on_heartbeat(self.now, self.service(service)),
            ["list", builds @ ..] => {
                self.gate.set_listed_builds(
                    self.now,
                    builds
                        .iter()
                        .map(|build| Build(build.parse().expect("a build"))),
                );
            }
            ["restart"] => self.gate = gate(&self.text, self.tenant.as_deref(), self.now),
            ["edit", rest @ ..] => {
                let rest = rest.join(" ");
                let (one, other) = rest.split_once(" =>").expect("ONE => OTHER");
                let other = other.trim();
                assert!(self.text.contains(one), "no {one}");
                self.text = self.text.replace(one, other);
                let rules = rules(&self.text);
                let me = self
                    .tenant
                    .as_ref()
                    .and_then(|f| rules.tenants.iter().position(|g| g == f));
                self.gate
                    .replace_rules(self.now, rules, me.map(|me| Tenant(me as u16)))
                    .expect("no circle");
            }
            ["store"] => {
                let state = self.gate.state("n0", Vec::new());
                let text = serde_json::to_string(&state).expect("it is written");
                let state = serde_json::from_str(&text).expect("it is read");
                let kept = Gate::from_state(rules(&self.text), &state).expect("it can be used");
                assert_eq!(kept.permissions(), self.gate.permissions());
                self.gate = kept;
            }
            [
                what @ ("open" | "closed"),
                build,
                zone,
                tenant,
                product,
                why @ ..,
            ] => {
                let rules = self.gate.rules();
                let build = Build(build.parse().expect("a build"));
                for zone in all(&rules.zones, zone).map(|zone| Zone(zone as u8)) {
                    for tenant in all(&rules.tenants, tenant).map(|tenant| Tenant(tenant as u16)) {
                        for product in all(&rules.request_classes, product)
                            .map(|product| RequestClass(product as u8))
                        {
                            let got = self.gate.admits(build, zone, tenant, product);
                            let code = got.err().map_or("open", |why| why.code());
                            let fine = (*what == "open") == got.is_ok()
                                && why.first().is_none_or(|w| *w == code);
                            assert!(fine, "{code} in {zone:?} for {tenant:?} and {product:?}");
                        }
                    }
                }
            }
            ["advance", build, stage] => {
                let build = Build(build.parse().expect("a build"));
                let stage = Stage(stage.parse().expect("a stage"));
                let want = PermittedAdvance { build, stage };
                assert_eq!(self.gate.permitted_advance(), Ok(want));
                assert!(self.gate.permissions().may_step(build, stage));
            }
            ["hold", reason, until @ ..] => {
                let hold = self.gate.permitted_advance().expect_err("no step");
                assert_eq!(hold.reason.code(), *reason);
                assert_eq!(hold.until, until.first().map(|at| time(at)));
            }
            ["next", "never"] => assert_eq!(self.gate.next_change(), None),
            ["next", at] => assert_eq!(self.gate.next_change(), Some(time(at))),
            ["event", rest @ ..] => {
                let events: Vec<String> = self
                    .gate
                    .take_events()
                    .events
                    .iter()
                    .map(|event| format!("{event:?}"))
                    .collect();
                assert!(
                    events.iter().any(|event| event.contains(&rest.join(" "))),
                    "{events:#?}"
                );
            }
            _ => panic!("no such step"),
        }
    }
}

#[rstest]
fn scenario(#[files("tests/scenarios/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("a scenario");
    let (file, steps) = text.split_once("\n==\n").expect("a file, then steps");
    let mut play = Play {
        text: file.into(),
        tenant: None,
        now: ZERO,
        gate: gate(file, None, ZERO),
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
