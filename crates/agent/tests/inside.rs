//! What can only be seen from inside. Parsers, fed whole, byte by byte and cut at every place, must find the same: a
//! line of their scenarios is `KIND BYTES => ITEM | ITEM !FAULT`, with \r \n \xHH and <COUNT*BYTES> in the bytes.
#![allow(clippy::min_ident_chars)] // Not met yet.
use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use lilacgate_decision::{
    AttemptNumber, Build, Endpoint, EndpointId, EndpointStatus, EventHandler, ListUpdate, Outcome,
    ReleasePhase, Request, RequestClass, RequestId, Stage, Tenant,
};
use lilacgate_start_settings::Paths;
use lilacgate_test_bed::recorded_actions::RecordedActions;
use lilacgate_test_bed::scenario_text::unescape;
use lilacgate_test_bed::start_file::{EndpointEntry, StartFileTemplate};
use rstest::rstest;

use lilacgate_agent::appliances::Appliances;
use lilacgate_agent::discovery::{Answer, Discovery, Lines};
use lilacgate_agent::hub::{Carries, Hub, Wording};
use lilacgate_agent::json::{self, Json};
use lilacgate_agent::keeper::{Ears, Keeper};
use lilacgate_agent::log::Place;
use lilacgate_agent::recorder::Recorder;
use lilacgate_agent::resp::{self, Resp};
use lilacgate_agent::ring::Parse;

/// What a parser finds in these pieces, as a text.
fn found<P: Parse>(mut parser: P, pieces: &[&[u8]], show: &impl Fn(P::Item) -> String) -> String {
    let mut out = Vec::new();
    for piece in pieces {
        let mut rest = *piece;
        while !rest.is_empty() {
            match parser.take(rest) {
                Ok((taken, item)) => {
                    assert!(taken <= rest.len() && (taken > 0 || item.is_some()));
                    out.extend(item.map(show));
                    rest = &rest[taken..];
                }
                Err(end) => return format!("{} !{end}", out.join(" | ")).trim().to_owned(),
            }
        }
    }
    out.join(" | ")
}

fn in_all_ways<P: Parse>(
    make: impl Fn() -> P,
    text: &[u8],
    show: impl Fn(P::Item) -> String,
) -> String {
    let whole = found(make(), &[text], &show);
    assert_eq!(
        found(make(), &text.chunks(1).collect::<Vec<_>>(), &show),
        whole,
        "byte by byte"
    );
    // Every place of a short one, and some of a long one.
    for cut in (0..text.len()).step_by(1 + text.len() / 500) {
        let (a, b) = text.split_at(cut);
        assert_eq!(found(make(), &[a, b], &show), whole, "cut at {cut}");
    }
    whole
}

fn words(command: Vec<Vec<u8>>) -> String {
    command
        .iter()
        .map(|word| word.escape_ascii().to_string())
        .collect::<Vec<_>>()
        .join(" ")
}

fn answer(value: Resp) -> String {
    match value {
        Resp::Simple(text) => format!("+{}", text.escape_ascii()),
        Resp::Error(text) => format!("-{}", text.escape_ascii()),
        Resp::Integer(number) => format!(":{number}"),
        Resp::Bulk(text) => text.map_or("$null".into(), |text| format!("${}", text.escape_ascii())),
        Resp::Array(None) => "*null".into(),
        Resp::Array(Some(items)) => {
            format!(
                "[{}]",
                items.into_iter().map(answer).collect::<Vec<_>>().join(" ")
            )
        }
    }
}

fn flat(value: Json) -> String {
    let mut out = Vec::new();
    value.flatten("", &mut |path, value| out.push(format!("{path}={value}")));
    out.join(" ")
}

#[rstest]
fn parser(#[files("tests/parsers/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("a scenario");
    for line in text
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
    {
        let (what, want) = line.split_once(" =>").expect("what it finds");
        let (kind, what) = what.split_once(' ').expect("a kind");
        let what = unescape(what);
        let got = match kind {
            "commands" => in_all_ways(resp::Commands::default, &what, words),
            "answers" => in_all_ways(resp::Values::default, &what, answer),
            "json" => in_all_ways(|| json::Values::new(100), &what, flat),
            "lines" => in_all_ways(|| json::Values::lines(100), &what, flat),
            "indented" => in_all_ways(|| json::Values::indented(100), &what, flat),
            "http" => in_all_ways(|| Answer::new(100), &what, flat),
            other => panic!("no parser of {other}"),
        };
        assert_eq!(got, want.trim(), "{line:.300}");
    }
}

/// A recorder that keeps nothing.
fn no_record() -> Recorder {
    let told = Paths::from_lines("profiles.count=0\nrules.ramp-time=0");
    Recorder::new("n0", &told, None, Duration::ZERO).expect("a recorder")
}

/// Hears how attempts end, and says whether they may go.
#[derive(Default)]
struct Ear {
    may_go: bool,
    ended: Option<Outcome>,
    loads: Vec<(EndpointId, Vec<f32>)>,
}

impl EventHandler for Ear {
    fn on_request(&mut self, _: RequestId, _: Request) {}
    fn on_attempt_ended(
        &mut self,
        _: RequestId,
        _: AttemptNumber,
        _: EndpointId,
        ending: Outcome,
        _: Duration,
        _: bool,
    ) {
        self.ended = Some(ending);
    }
    fn on_response_started(&mut self, _: RequestId, _: AttemptNumber, _: EndpointId, _: Duration) {}
    fn on_client_left(&mut self, _: RequestId) {}
    fn may_send(&mut self, _: RequestId, _: AttemptNumber) -> bool {
        self.may_go
    }
    fn on_endpoints(&mut self, _: ListUpdate, _: &mut dyn Iterator<Item = Endpoint>) {}
    fn on_load_report(&mut self, at: EndpointId, gauges: &[f32]) {
        self.loads.push((at, gauges.to_vec()));
    }
    fn on_health_check(&mut self, _: EndpointId, ending: Outcome, _: Duration) {
        self.ended = Some(ending);
    }
    fn on_release_status(&mut self, _: Build, _: Stage, _: ReleasePhase, _: f64, _: Duration) {}
    fn on_vote_answered(&mut self, _: Outcome) {}
    fn on_wrong_answer(&mut self, _: EndpointId, _: RequestClass, _: Duration) {}
}

impl Ear {
    fn until_ended(&mut self, hub: &Hub) -> Option<Outcome> {
        async_io::block_on(hub.run(async {
            while self.ended.is_none() {
                hub.hear(&mut Ears {
                    module: self,
                    keeper: &mut Keeper::default(),
                    recorder: &no_record(),
                    now: Duration::ZERO,
                });
                futures_lite::future::yield_now().await;
            }
        }));
        self.ended
    }
}

/// So many links, and a stand-in that listens as appliance 1.
fn linked(links: usize) -> (Rc<Hub>, Rc<Appliances>, TcpListener) {
    let told = "feedback.names=lat_ms,util\nlimits.connect-timeout=9000000\nlimits.conn-idle=30000000\ntick=1\nrules.answer-slack=1\n\
        profiles.count=1\nprofiles.0.give-up=9000000";
    let hub = Hub::new(Duration::ZERO);
    let appliances = Appliances::new(hub.clone(), &Paths::from_lines(told), links).expect("links");
    let post = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (model, build, cell, zone) = Default::default();
    let (appliance, mode, weight, started) = (EndpointId(1), EndpointStatus::Ready, 1.0, None);
    let line = Endpoint {
        id: appliance,
        status: mode,
        model,
        weight,
        started,
        build,
        cell,
        zone,
    };
    appliances.place(&line, post.local_addr().expect("its address"));
    (hub, appliances, post)
}

/// What waited for its link goes only if the owner of the queue says so; else it ends as unsent, with no byte out. A
/// lack of links of its own, and an appliance without an address, are unsent too: they say nothing of the appliance.
#[rstest]
#[case::goes(true, 9, 1, Outcome::Rejected)]
#[case::may_not(false, 9, 1, Outcome::NotSent)]
#[case::no_link_left(true, 0, 1, Outcome::NotSent)]
#[case::no_address(true, 9, 2, Outcome::NotSent)]
fn asked_before_the_first_byte(
    #[case] may_go: bool,
    #[case] links: usize,
    #[case] to: u32,
    #[case] want: Outcome,
) {
    let (hub, appliances, post) = linked(links);
    let came = std::thread::spawn(move || {
        let mut conn = post.accept().expect("a link").0;
        let mut came = [0; 4];
        let many = conn.read(&mut came).unwrap_or(0);
        conn.write_all(b"-BUSY\r\n").ok();
        many
    });
    let now = hub.clock.now();
    let words: Wording = Rc::new(|_| b"hello".to_vec());
    appliances.clone().send_attempt(
        (RequestId(0), AttemptNumber(0)),
        EndpointId(to),
        words,
        now,
        now + Duration::from_secs(9),
    );
    let mut ear = Ear {
        may_go,
        ..Ear::default()
    };
    assert_eq!(ear.until_ended(&hub), Some(want));
    if links > 0 && to == 1 {
        drop((hub, appliances));
        assert_eq!(came.join().expect("it ends") > 0, may_go);
    }
}

/// An answer that breaks off at any byte may have run; whole, it counts, though its connection ends or is reset in the same
/// instant. Nothing is ever taken for never-ran once the last byte is out.
#[rstest]
#[case::served("*3\r\n$5\r\nvalue\r\n$-1\r\n$3\r\nu=1\r\n", Outcome::Succeeded)]
#[case::failed("-ERR failed util=0.5\r\n", Outcome::Failed)]
#[case::turned_away("-BUSY\r\n", Outcome::Rejected)]
fn an_answer_cut_at_each_byte(
    #[case] answer: &'static str,
    #[case] whole: Outcome,
    #[values(false, true)] reset: bool,
) {
    for cut in 0..=answer.len() {
        let (hub, appliances, post) = linked(9);
        std::thread::spawn(move || {
            let mut conn = post.accept().expect("a link").0;
            // What stands unread at the close resets the connection.
            conn.read_exact(&mut [0; 5][usize::from(reset)..])
                .expect("the command");
            conn.write_all(&answer.as_bytes()[..cut])
                .expect("it is written");
        });
        let now = hub.clock.now();
        let words: Wording = Rc::new(|_| b"hello".to_vec());
        appliances.send_attempt(
            (RequestId(0), AttemptNumber(0)),
            EndpointId(1),
            words,
            now,
            now + Duration::from_secs(9),
        );
        let mut ear = Ear {
            may_go: true,
            ..Ear::default()
        };
        let want = if cut == answer.len() {
            whole
        } else {
            Outcome::ConnectionLost
        };
        assert_eq!(ear.until_ended(&hub), Some(want), "cut at {cut}");
    }
}

/// A probe's answer, and the fields of its report in the module's order, whatever else the report holds.
#[rstest]
#[case::report("$28\r\nutil=0.61,queue=2,lat_ms=3.5\r\n", Outcome::Succeeded, &[3.5, 0.61])]
#[case::none("$-1\r\n", Outcome::Succeeded, &[])]
#[case::nonsense("$9\r\nlat_ms=??\r\n", Outcome::Succeeded, &[])]
#[case::error("-NOPERM\r\n", Outcome::Failed, &[])]
#[case::wrong("*x\r\n", Outcome::Malformed, &[])]
#[case::odd(":3\r\n", Outcome::Malformed, &[])]
fn probes(#[case] answer: &'static str, #[case] want: Outcome, #[case] gauges: &[f32]) {
    let (hub, appliances, post) = linked(9);
    std::thread::spawn(move || {
        let mut conn = post.accept().expect("a link").0;
        let mut asked = [0; 24];
        conn.read_exact(&mut asked).expect("a probe");
        assert_eq!(&asked, b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n");
        conn.write_all(answer.as_bytes()).ok();
        conn.read_to_end(&mut Vec::new()).ok();
    });
    appliances.clone().probe(EndpointId(1));
    let mut ear = Ear::default();
    assert_eq!(ear.until_ended(&hub), Some(want));
    let loads = ear
        .loads
        .iter()
        .map(|(at, gauges)| (at.0, gauges.as_slice()))
        .collect::<Vec<_>>();
    assert_eq!(
        loads,
        if gauges.is_empty() {
            vec![]
        } else {
            vec![(1, gauges)]
        }
    );
}

/// An empty line between lists is a sign of life; what comes amid one is none, so that a cut one has its time.
#[rstest]
fn only_between_lists_is_a_watch_alive() {
    let mut watch = Lines(Answer::new(100));
    let mut comes = |text: &str| {
        watch
            .take(text.as_bytes())
            .expect("it can be read")
            .1
            .map(|list| list.is_some())
    };
    assert_eq!(
        comes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
        Some(false)
    );
    assert_eq!(comes("1\r\n\n\r\n"), Some(false));
    assert_eq!(comes("4\r\n{\n  \r\n"), None);
    assert_eq!(comes("6\r\n"), None);
    assert_eq!(comes("\"a\":1}\r\n"), Some(true));
}

/// A fleet of this size goes through the start file, a list that comes indented and in pieces, and the module, on the
/// smallest memory that is given; each request finds its appliance.
#[rstest]
fn large_fleets_fit(
    #[values(1, 350, 1024)] agents: usize,
    #[values(1, 300, 1024)] appliances: usize,
) {
    let at = |i: usize| {
        format!("127.1.{}.{}:6379", i / 250, 1 + i % 250)
            .parse()
            .expect("an address")
    };
    let entries = |build: &str| {
        let one = |i| EndpointEntry::new(&format!("{i:08x}"), at(i), "x", "ready", build).to_json();
        (0..appliances).map(one).collect::<Vec<_>>().join(",")
    };
    let mut start = StartFileTemplate::default();
    let peers: Vec<_> = (0..agents)
        .map(|i| format!("\"127.2.{}.{}:7946\"", i / 250, 1 + i % 250))
        .collect();
    start.text = start
        .text
        .replace("\"PEER_LISTEN\",\"PEER\"", &peers.join(",\n"));
    start.text = start
        .text
        .replace("\"instances\":2", &format!("\"instances\":{agents}"));
    start.set("memory_mb", "32");
    let own = "127.0.0.1:1".to_owned();
    let places =
        ["PEER_LISTEN", "LISTEN", "DISCOVERY", "PLATFORM", "PEER"].map(|name| (name, own.clone()));
    let text = start.render(&[&places[..], &[("KNOWN", entries("1"))]].concat());
    let told = lilacgate_agent::told::read(text.as_bytes()).expect("a start file");
    assert_eq!(told.peers.len(), agents);
    let mut brain = lilacgate_start_settings::instance(told.seed, &told.settings)
        .expect("a module")
        .brain;
    let hub = Hub::new(Duration::ZERO);
    let links = Appliances::new(hub.clone(), &told.settings, 100).expect("links");
    let most = told.memory / 16;
    let discovery = Discovery::new(hub.clone(), links, told.discovery, &told.settings, most)
        .expect("discovery");
    discovery
        .told(
            lilacgate_agent::told::field(&told.file, "known").expect("a list"),
            true,
        )
        .expect("it can be used");
    // The same list again, under another build, with each field on a line of its own.
    let list = format!(
        "{{\"version\":9,\"full\":true,\"servers\":[{}]}}",
        entries("2")
    )
    .replace(',', ",\n    ");
    let list = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\n\r\n",
        list.len() + 1
    );
    let (mut answer, mut lists) = (Answer::new(most), Vec::new());
    for mut piece in list.as_bytes().chunks(1400) {
        while !piece.is_empty() {
            let (taken, item) = answer.take(piece).expect("it can be read");
            lists.extend(item);
            piece = &piece[taken..];
        }
    }
    discovery.told(&lists[0], false).expect("it can be used");
    let mut out = RecordedActions::default();
    let now = hub.clock.now();
    brain.round(
        now,
        |module| {
            let (keeper, recorder) = (&mut Keeper::default(), &no_record());
            hub.hear(&mut Ears {
                module,
                keeper,
                recorder,
                now,
            });
            module.on_release_status(
                Build(2),
                Stage(3),
                ReleasePhase::Released,
                1.0,
                Duration::from_secs(9),
            );
            let deadline = now + Duration::from_secs(9);
            let (product, tenant) = (RequestClass(0), Tenant(0));
            let request = Request {
                class: product,
                tenant,
                idempotency_key: None,
                deadline,
                estimated_work: None,
                is_retry: false,
            };
            (0..10).for_each(|id| module.on_request(RequestId(id), request));
        },
        &mut out,
    );
    assert_eq!((lists.len(), out.sent.len()), (1, 10));
}

/// A place writes so many lines a second, and says later how many it left out.
#[rstest]
fn log_lines_are_bounded() {
    let place = Place::new();
    let said = |second| {
        (0..100)
            .filter_map(|_| place.may_say(second))
            .collect::<Vec<_>>()
    };
    let first = said(7);
    assert!(first.len() < 100 && first.iter().all(|left_out| *left_out == 0));
    assert_eq!(said(8)[0], 100 - first.len() as u64);
}
