//! Plays every scenario in `tests/scenarios` against a gate: first an operator's file, then, behind a line `==`, steps:
//!
//!     firm NAME                        whose requests are routed here; all, if this does not stand first
//!     at SECONDS|INSTANT               the time from now on: since 2026-12-01T00:00Z, or as RFC 3339 has it
//!     tell SERVICE BUILD STAGE trial|released|back|withdrawn [AGO]   news, so many seconds old
//!     alive SERVICE / list BUILD ..    a sign of life / the builds that are listed
//!     restart                          the gate forgets all
//!     swap ONE => OTHER                the file is replaced by one with other words
//!     keep                             the state is written and read back: what it answers stays the same
//!     open|shut BUILD ZONE FIRM PRODUCT [WHY]   what it answers; a `*` stands for all
//!     step BUILD STAGE / stay WHY [SECONDS]     whether a step may be asked for, and if not, until when
//!     next SECONDS|never               when something changes by time alone
//!     event TEXT                       one of the events since the last look holds this
#![allow(clippy::min_ident_chars)] // Not met yet.
#![allow(clippy::too_many_lines)] // Not met yet.
use std::path::PathBuf;
use std::time::Duration;

use lilacgate_decision::{Build, ReleasePhase, RequestClass, Stage, Tenant, Zone};
use lilacgate_operator_config::{Known, read};
use lilacgate_releases::facts::Told;
use lilacgate_releases::gate::Gate;
use lilacgate_releases::model::{Rules, ServiceId};
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
    firm: Option<String>,
    now: Duration,
    gate: Gate,
}

fn gate(text: &str, firm: Option<&str>, now: Duration) -> Gate {
    let rules = rules(text);
    let me =
        firm.map(|firm| Tenant(rules.firms.iter().position(|f| f == firm).expect("a firm") as u16));
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
            ["firm", name] => {
                self.firm = Some(name.to_string());
                self.step(&["restart"]);
            }
            ["at", at] => {
                self.now = time(at);
                self.gate.advance(self.now);
            }
            ["tell", service, build, stage, course, ago @ ..] => {
                let course = match *course {
                    "trial" => ReleasePhase::Canary,
                    "released" => ReleasePhase::Released,
                    "back" => ReleasePhase::RollingBack,
                    _ => ReleasePhase::Withdrawn,
                };
                let (build, stage) = (
                    Build(build.parse().expect("a build")),
                    Stage(stage.parse().expect("a stage")),
                );
                let since = self.now - ago.first().map_or(Duration::ZERO, |ago| secs(ago));
                let service = self.service(service);
                self.gate.hear(
                    self.now,
                    service,
                    Told {
                        build,
                        stage,
                        course,
                        since,
                    },
                );
            }
            ["alive", service] => self.gate.alive(self.now, self.service(service)),
            ["list", builds @ ..] => {
                self.gate.list(
                    self.now,
                    builds
                        .iter()
                        .map(|build| Build(build.parse().expect("a build"))),
                );
            }
            ["restart"] => self.gate = gate(&self.text, self.firm.as_deref(), self.now),
            ["swap", rest @ ..] => {
                let rest = rest.join(" ");
                let (one, other) = rest.split_once(" =>").expect("ONE => OTHER");
                let other = other.trim();
                assert!(self.text.contains(one), "no {one}");
                self.text = self.text.replace(one, other);
                let rules = rules(&self.text);
                let me = self
                    .firm
                    .as_ref()
                    .and_then(|f| rules.firms.iter().position(|g| g == f));
                self.gate
                    .replace(self.now, rules, me.map(|me| Tenant(me as u16)))
                    .expect("no circle");
            }
            ["keep"] => {
                let state = self.gate.state("n0", Vec::new());
                let text = serde_json::to_string(&state).expect("it is written");
                let state = serde_json::from_str(&text).expect("it is read");
                let kept = Gate::from_state(rules(&self.text), &state).expect("it can be used");
                assert_eq!(kept.openings(), self.gate.openings());
                self.gate = kept;
            }
            [
                what @ ("open" | "shut"),
                build,
                zone,
                firm,
                product,
                why @ ..,
            ] => {
                let rules = self.gate.rules();
                let build = Build(build.parse().expect("a build"));
                for zone in all(&rules.zones, zone).map(|zone| Zone(zone as u8)) {
                    for firm in all(&rules.firms, firm).map(|firm| Tenant(firm as u16)) {
                        for product in
                            all(&rules.products, product).map(|product| RequestClass(product as u8))
                        {
                            let got = self.gate.admits(build, zone, firm, product);
                            let code = got.err().map_or("open", |why| why.code());
                            let fine = (*what == "open") == got.is_ok()
                                && why.first().is_none_or(|w| *w == code);
                            assert!(fine, "{code} in {zone:?} for {firm:?} and {product:?}");
                        }
                    }
                }
            }
            ["step", build, stage] => {
                let want = (
                    Build(build.parse().expect("a build")),
                    Stage(stage.parse().expect("a stage")),
                );
                assert_eq!(self.gate.step(), Ok(want));
                assert!(self.gate.openings().may_step(want.0, want.1));
            }
            ["stay", why, until @ ..] => {
                let stay = self.gate.step().expect_err("no step");
                assert_eq!(stay.why.code(), *why);
                assert_eq!(stay.until, until.first().map(|at| time(at)));
            }
            ["next", "never"] => assert_eq!(self.gate.next_change(), None),
            ["next", at] => assert_eq!(self.gate.next_change(), Some(time(at))),
            ["event", rest @ ..] => {
                let events: Vec<String> = self
                    .gate
                    .events()
                    .0
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
        firm: None,
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
