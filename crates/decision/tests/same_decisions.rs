//! On a fleet that is no larger than what one agent works with, the module decides as it did before it had subsets: a
//! scripted minute of each size ends in a digest of all decisions, recorded from the program before that change.
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lilacgate_decision::brain::Brain;
use lilacgate_decision::openings::Openings;
use lilacgate_decision::parts::*;
use lilacgate_decision::port::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const DAWN: Duration = Duration::from_secs(100);
const BEAT: Duration = Duration::from_millis(10);
const BEATS: u32 = 6000;

fn ms(many: u64) -> Duration {
    Duration::from_millis(many)
}

fn terms(repeat: Repeat, remembered: u64) -> Terms {
    let (sla, deadline) = (ms(400), ms(2000));
    Terms {
        repeat,
        sla,
        deadline,
        remembered: ms(remembered),
        revenue: 1.0,
        late_share: 0.1,
    }
}

fn products() -> Vec<Terms> {
    let keyed = |group| terms(Repeat::Referenced(group), 1000);
    vec![
        terms(Repeat::InquiryLike, 0),
        keyed(Group::Zone),
        keyed(Group::Cell),
        terms(Repeat::OnceOnly, 0),
    ]
}

fn agent(me: u32, agents: u32, seed: u64) -> Brain {
    let among = Among {
        me: AgentId(me),
        agents,
        may_tell: true,
    };
    let calls = Calls {
        lasts: ms(6000),
        wait: ms(1200),
    };
    Brain::new(
        seed,
        Membership::new(Zone(0), Some(ms(10_000))),
        Thaw::new(0.34, ms(4000), 2.5, ms(1000)),
        Exposure::new(ms(4000), ms(5), 3.0, 0.1, true, 1, false),
        Jury::new(
            Gate::Single,
            vec![0.1, 0.5, 1.0],
            ms(900),
            calls,
            true,
            among,
            4,
        ),
        Desk::new(products(), 3, true, ms(2000), ms(5)),
    )
}

/// A digest (FNV-1a, 64 bits) of all decisions but wake-ups, and the attempts of the round.
struct Digest {
    sum: u64,
    decisions: u32,
    sent: Vec<(RequestId, ApplianceId)>,
}

impl Digest {
    fn put(&mut self, text: &str) {
        self.decisions += 1;
        for octet in text.bytes().chain([b'\n']) {
            self.sum = (self.sum ^ u64::from(octet)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

impl Decisions for Digest {
    fn send_attempt(&mut self, id: RequestId, to: ApplianceId, _: Duration) {
        self.put(&format!("submit {} {}", id.0, to.0));
        self.sent.push((id, to));
    }
    fn decline(&mut self, id: RequestId, wait: Duration) {
        self.put(&format!("decline {} {wait:?}", id.0));
    }
    fn void(&mut self, id: RequestId) {
        self.put(&format!("void {}", id.0));
    }
    fn call_off(&mut self, id: RequestId, attempt: AttemptNumber) {
        self.put(&format!("call off {} {}", id.0, attempt.0));
    }
    fn wake(&mut self, _: Duration, _: Ticket) {}
    fn probe(&mut self, at: ApplianceId) {
        self.put(&format!("probe {}", at.0));
    }
    fn free_links(&mut self, at: ApplianceId) {
        self.put(&format!("free {}", at.0));
    }
    fn tell(&mut self, peer: Option<AgentId>, octets: &[u8]) {
        self.put(&format!("tell {peer:?} {octets:?}"));
    }
    fn log(&mut self, text: &str) {
        self.put(&format!("log {text}"));
    }
    fn watch_membership(&mut self, on: bool) {
        self.put(&format!("watch {on}"));
    }
    fn fetch_membership(&mut self) {
        self.put("fetch");
    }
    fn vote(&mut self, build: Build, stage: Stage, verdict: Verdict) {
        self.put(&format!("vote {} {} {verdict:?}", build.0, stage.0));
    }
    fn note(&mut self, note: Note) {
        self.put(&format!("note {note:?}"));
    }
}

fn line(i: u32, listed: u32) -> Line {
    let appliance = ApplianceId(i.wrapping_mul(0x9E37_79B9));
    let (model, build, mode) = (Model((i % 3) as u8), Build(1), Mode::Ready);
    let (cell, zone) = (Cell((i / 3) as u16), Zone((i * 4 / listed) as u8));
    Line {
        appliance,
        mode,
        model,
        weight: [1.0, 2.5, 4.0][i as usize % 3],
        started: None,
        build,
        cell,
        zone,
    }
}

/// An attempt on its way: when it ends, which it is, where it is and how it ends.
type Attempt = (
    Duration,
    RequestId,
    AttemptNumber,
    ApplianceId,
    Ending,
    Duration,
);

struct Minute {
    chance: Pcg64Mcg,
    lines: Vec<Line>,
    attempts: BTreeMap<RequestId, u8>,
    out: Vec<Attempt>,
    next: u32,
}

impl Minute {
    /// A list change, a restart onto the trial build, a drain or a return.
    fn change(&mut self, now: Duration, beat: u32, ears: &mut dyn Hears) {
        let all = self.lines.len();
        let i = self.chance.random_range(0..all);
        let one = &mut self.lines[i];
        match self.chance.random_range(0..6) {
            0 => one.mode = Mode::Draining,
            1 if i > 0 => one.mode = Mode::Gone,
            2 if beat > 1000 => {
                (one.mode, one.build, one.started) = (Mode::Ready, Build(2), Some(now))
            }
            3 => (one.mode, one.started) = (Mode::Ready, Some(now)),
            _ => one.mode = Mode::Ready,
        }
        ears.membership(Listing::Changes, &mut [*one].into_iter());
    }

    fn news(&mut self, beat: u32, ears: &mut dyn Hears) {
        let told = match beat {
            0 => (1, 2, Course::Released, 1.0),
            1000 => (2, 0, Course::OnTrial, 0.2),
            2000 => (2, 1, Course::OnTrial, 0.6),
            3500 => (2, 2, Course::Released, 1.0),
            4000 => (3, 0, Course::OnTrial, 0.1),
            4300 => (3, 0, Course::GoingBack, 0.0),
            _ => return,
        };
        ears.stage(Build(told.0), Stage(told.1), told.2, told.3, Duration::ZERO);
    }

    fn hear(&mut self, now: Duration, beat: u32, ears: &mut dyn Hears) {
        self.news(beat, ears);
        if beat == 0 {
            ears.membership(Listing::Saved, &mut self.lines.clone().into_iter());
        }
        if beat.is_multiple_of(700) {
            let ready = self.lines.iter().filter(|line| line.mode != Mode::Gone);
            ears.membership(
                Listing::Whole,
                &mut ready.copied().collect::<Vec<_>>().into_iter(),
            );
        } else if beat.is_multiple_of(60) {
            self.change(now, beat, ears);
        }
        if beat == 4500 {
            let rows = [
                (Build(1), &[15, 15, 0, 3][..]),
                (Build(2), &[15, 7, 15, 0][..]),
            ];
            ears.openings(Some(Arc::new(Openings::new(
                4,
                1,
                &rows,
                Some((Build(2), Stage(0))),
            ))));
        }
        if beat == 5000 {
            ears.openings(None);
        }
        for (_, id, attempt, at, ending, took) in self.out.extract_if(.., |one| one.0 <= now) {
            ears.ended(id, attempt, at, ending, took, ending == Ending::Served);
        }
        if self.chance.random::<f64>() < 0.4 {
            self.next += 1;
            let (product, tenant) = (Product(self.chance.random_range(0..4)), Tenant(0));
            let (deadline, hint) = (now + ms(2000), Some(ms(self.chance.random_range(20..120))));
            let request = Request {
                product,
                tenant,
                mark: Some(Mark(7)),
                deadline,
                hint,
                repeated: false,
            };
            ears.request(RequestId(self.next), request);
        }
    }

    /// How an attempt goes: a tenth of the appliances say nothing for ten seconds, others fail at times.
    fn fate(&mut self, now: Duration, beat: u32, id: RequestId, to: ApplianceId) {
        let attempt = self.attempts.entry(id).or_default();
        let which = AttemptNumber(*attempt);
        *attempt += 1;
        let silent = (2500..3500).contains(&beat) && to.0 % 10 == 3;
        let (ending, took) = match self.chance.random_range(0..100) {
            _ if silent => (Ending::TimedOut, 1500),
            0 => (Ending::TimedOut, 1500),
            1..4 => (Ending::Failed, 40),
            4 => (Ending::Broken, 30),
            5 => (Ending::Unconnected, 5),
            6 => (Ending::TurnedAway, 3),
            _ => (Ending::Served, self.chance.random_range(30..260)),
        };
        self.out
            .push((now + ms(took), id, which, to, ending, ms(took)));
    }
}

/// The digest of a minute's decisions, and how many they were.
fn play(listed: u32, seed: u64) -> (u64, u32) {
    let mut brain = agent(1, 3, seed);
    let lines = (0..listed).map(|i| line(i, listed)).collect();
    let chance = Pcg64Mcg::seed_from_u64(seed);
    let mut minute = Minute {
        chance,
        lines,
        attempts: BTreeMap::new(),
        out: Vec::new(),
        next: 0,
    };
    let mut digest = Digest {
        sum: 0xcbf2_9ce4_8422_2325,
        decisions: 0,
        sent: Vec::new(),
    };
    for beat in 0..BEATS {
        let now = DAWN + BEAT * beat;
        brain.round(now, |ears| minute.hear(now, beat, ears), &mut digest);
        for (id, to) in std::mem::take(&mut digest.sent) {
            minute.fate(now, beat, id, to);
        }
    }
    (digest.sum, digest.decisions)
}

#[rstest]
#[case::one(1, 1, 0x4bca_b1db_d355_7e08, 4158)]
#[case::few(12, 2, 0xc71b_0b3e_2502_0624, 2908)]
#[case::small(35, 3, 0x31ee_e0b7_1883_6636, 3004)]
#[case::sixty(60, 4, 0x86d1_897e_8f14_2ce9, 3100)]
#[case::most(150, 5, 0xba5f_6224_0eee_5a5f, 3153)]
fn the_same_decisions_as_before(
    #[case] listed: u32,
    #[case] seed: u64,
    #[case] sum: u64,
    #[case] decisions: u32,
) {
    assert_eq!(play(listed, seed), (sum, decisions));
    assert_eq!(
        play(listed, seed),
        (sum, decisions),
        "the same events, the same decisions"
    );
}
