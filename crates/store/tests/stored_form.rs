//! Files of earlier versions stay readable, and the same records are still stored as the same bytes. Records are
//! encoded by the order of their fields and variants, so that a reordered type would break stored files.
//!
//! The files in `fixtures/version-1` were written before the types of records were renamed: a store of several
//! segments, of which the last one is cut off, and a dump. The files `*.jsonl` hold the records that were read from
//! them then, one per line.
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use lilacgate_decision::{
    AttemptNumber, Build, Cell, EjectionReason, Endpoint, EndpointId, EndpointStatus, GiveUpReason,
    ListUpdate, MachineModel, Note, Outcome, ReleasePhase, RequestClass, RequestId, Stage, Vote,
    Zone,
};
use lilacgate_store::reader::{DamagedFile, read};
use lilacgate_store::segment_format::{SegmentError, append_record, header};
use lilacgate_store::storage::FileSystem;
use lilacgate_store::writer::{Retention, StoreWriter};
use lilacgate_timeline::entry::{
    Departure, DepartureKind, DepartureScope, Entry, Event, Record, ReleaseStage, StepRecord,
};
use lilacgate_timeline::fleet_timeline::{AttemptEnd, FleetTimeline, MemoryLimits};
use lilacgate_timeline::latency_sketch::LatencySketch;
use lilacgate_timeline::monitor::MonitorConfig;
use lilacgate_timeline::node_timeline::NodeTimeline;
use lilacgate_timeline::step_history::TimedStep;
use serde_json::{Value, json};

/// When the recorded session begins, as time since 1970.
const START: Duration = Duration::from_secs(1_796_083_200);
/// The length of the session in steps of [`STEP`].
const SESSION_STEPS: u32 = 2400;
const STEP: Duration = Duration::from_millis(25);
const NODES: u32 = 4;
/// During these steps half of the attempts on node 3 fail.
const FAILING_STEPS: std::ops::Range<u32> = 1200..1600;
/// The agent does not run during these steps.
const PAUSED_STEPS: std::ops::Range<u32> = 2000..2080;

fn endpoint_entry(node: u32, status: EndpointStatus, started: Option<Duration>) -> Endpoint {
    Endpoint {
        id: EndpointId(node),
        status,
        machine_model: MachineModel(0),
        weight: 1.0,
        started,
        build: Build(1),
        cell: Cell(0),
        zone: Zone(0),
    }
}

/// Records each kind of release phase, vote and note at its own step.
fn record_decisions(timeline: &mut FleetTimeline, step: u32, now: Duration) {
    let (build, stage, endpoint) = (Build(2), Stage(1), EndpointId(2));
    let phase =
        |timeline: &mut FleetTimeline, phase| timeline.record_stage(now, build, stage, phase, STEP);
    let vote = |timeline: &mut FleetTimeline, vote| timeline.record_vote(now, build, stage, vote);
    match step {
        100 => phase(timeline, ReleasePhase::Canary),
        110 => {
            timeline.set_vote_figures("build 2: 12 of 400 failed");
            vote(timeline, Vote::Hold);
        }
        120 => vote(timeline, Vote::Advance),
        130 => phase(timeline, ReleasePhase::Released),
        140 => vote(timeline, Vote::RollBack),
        150 => phase(timeline, ReleasePhase::RollingBack),
        160 => vote(timeline, Vote::Retract),
        170 => phase(timeline, ReleasePhase::Withdrawn),
        200 => timeline.record_note(
            now,
            Note::Ejected {
                endpoint,
                reason: EjectionReason::FailureRate,
                until: now + 40 * STEP,
            },
        ),
        240 => timeline.record_note(now, Note::Tried(endpoint)),
        250 => timeline.record_note(now, Note::Readmitted(endpoint)),
        300 | 301 => timeline.record_note(now, Note::GivenUp(GiveUpReason::Overload)),
        400 => {
            let draining = endpoint_entry(2, EndpointStatus::Draining, None);
            timeline.apply_list_update(now, ListUpdate::Delta, &[draining]);
        }
        420 => {
            let removed = endpoint_entry(2, EndpointStatus::Removed, None);
            timeline.apply_list_update(now, ListUpdate::Delta, &[removed]);
        }
        440 | 1800 => {
            let restarted = endpoint_entry(2, EndpointStatus::Ready, Some(now));
            timeline.apply_list_update(now, ListUpdate::Delta, &[restarted]);
        }
        _ => {}
    }
}

/// Records a request with one attempt and its outcome.
fn record_request(timeline: &mut FleetTimeline, step: u32, now: Duration) {
    let (id, attempt) = (RequestId(step), AttemptNumber(0));
    let node = EndpointId(step % NODES);
    let failing = FAILING_STEPS.contains(&step) && node.0 == 3;
    let outcome = match step {
        _ if failing && (step / NODES).is_multiple_of(2) => Outcome::Failed,
        500 => Outcome::Rejected,
        600 => Outcome::ConnectFailed,
        700 => Outcome::TimedOut,
        800 => Outcome::Malformed,
        900 => Outcome::Cancelled,
        1000 => Outcome::NotSent,
        _ => Outcome::Succeeded,
    };
    timeline.request_started(id, RequestClass((step % 3) as u8));
    timeline.attempt_started(now, id, attempt, node);
    if outcome == Outcome::Cancelled {
        timeline.attempt_cancelled(now, id, attempt);
    }
    let took = Duration::from_micros(9000 + u64::from(step * 7919 % 4000));
    let end = AttemptEnd {
        request: id,
        attempt,
        endpoint: node,
        outcome,
        duration: took,
        request_closed: true,
    };
    timeline.attempt_ended(now + took, &end);
}

/// The timeline of one minute, the same in each run.
fn session() -> FleetTimeline {
    let config = MonitorConfig {
        false_alarms_per_hour: 50.0,
        slow_start: Duration::from_secs(4),
        classes: 3,
    };
    let limits = MemoryLimits {
        timeline_bytes: 1 << 22,
        queued_records: 1 << 16,
    };
    let mut timeline = FleetTimeline::new(START, config, limits);
    let endpoints: Vec<Endpoint> = (0..NODES)
        .map(|node| endpoint_entry(node, EndpointStatus::Ready, None))
        .collect();
    timeline.apply_list_update(START, ListUpdate::Full, &endpoints);
    for step in (0..SESSION_STEPS).filter(|step| !PAUSED_STEPS.contains(step)) {
        let now = START + STEP * step;
        record_decisions(&mut timeline, step, now);
        record_request(&mut timeline, step, now);
        timeline.advance(now + STEP / 2);
    }
    timeline
}

/// The records that an agent writes first to a store.
fn first_records() -> Vec<Record> {
    let start = Record::Start {
        agent: "n0".into(),
        at: START,
        classes: ["read", "post", "book"].map(str::to_owned).to_vec(),
    };
    let name = |node| Record::Name {
        node,
        name: format!("d{node}"),
    };
    std::iter::once(start).chain((0..NODES).map(name)).collect()
}

/// Departures of the kinds and scopes that do not occur in the session.
fn other_departures() -> Vec<Record> {
    let at = START + Duration::from_secs(61);
    let departures = [
        (
            DepartureScope::Build(2),
            DepartureKind::Latency,
            Some(1),
            Some(ReleaseStage { build: 2, stage: 1 }),
        ),
        (DepartureScope::Fleet, DepartureKind::Silence, None, None),
        (DepartureScope::Fleet, DepartureKind::Load, None, None),
        (DepartureScope::Node(0), DepartureKind::Links, None, None),
    ];
    let record = |(number, (scope, kind, class, concurrent_stage))| {
        let departure = Departure {
            number: 100 + number,
            scope,
            kind,
            class,
            onset: at,
            confirmed: at + Duration::from_millis(1500),
            ended: None,
            baseline: 0.0625,
            observed: 0.7,
            concurrent_stage,
        };
        Record::Entry(Entry {
            happened: at,
            known: at + Duration::from_millis(1500),
            node: None,
            event: Event::DepartureBegan(departure),
        })
    };
    (0u32..).zip(departures).map(record).collect()
}

/// Writes the session to a store of several segments, and cuts off the last one in the middle of a record.
fn write_store(folder: &Path, timeline: &mut FleetTimeline) {
    let retention = Retention {
        max_bytes: 1 << 17,
        max_age: Duration::from_secs(3600),
    };
    let mut writer =
        StoreWriter::new(folder, retention, Box::new(FileSystem)).expect("the store is opened");
    let mut records = first_records();
    records.extend(other_departures());
    records.extend(timeline.take_records());
    records.push(Record::Dropped {
        at: START + Duration::from_secs(62),
        count: 17,
    });
    for batch in records.chunks(10) {
        writer.append(START, batch).expect("the batch is stored");
    }
    let last = segment_files(folder).pop().expect("the store has segments");
    let bytes = fs::read(&last).expect("the segment is readable");
    fs::write(&last, &bytes[..bytes.len() - 3]).expect("the segment is cut off");
}

/// A dump with the records that an agent writes to it.
fn dump(timeline: &FleetTimeline) -> Vec<u8> {
    let mut records = first_records();
    let entries = |node: &NodeTimeline| -> Vec<Record> {
        node.as_of(Duration::MAX)
            .cloned()
            .map(Record::Entry)
            .collect()
    };
    records.extend(entries(timeline.agent()));
    for node in timeline.nodes() {
        let node_timeline = timeline.node(node).expect("the node has a timeline");
        records.extend(entries(node_timeline));
        for TimedStep { duration, step } in node_timeline.steps().since(Duration::ZERO) {
            records.push(Record::Step(StepRecord {
                node,
                from: step.from,
                duration,
                build: 0,
                counts: step.counts,
                latency: step.latency.as_bytes().to_vec(),
            }));
        }
    }
    let mut bytes = header(START.as_secs()).to_vec();
    for record in &records {
        append_record(&mut bytes, record);
    }
    bytes
}

/// A record as JSON with its stored names. A latency sketch is shown by its quantiles in seconds.
fn shown(record: &Record) -> Value {
    let mut value = serde_json::to_value(record).expect("the record is serialized");
    if let Record::Step(step) = record {
        let latency = LatencySketch::from_bytes(step.latency.clone());
        let quantile = |share| latency.quantile(share).map(|time| time.as_secs_f64());
        value["Step"]["latency"] = json!([quantile(0.5), quantile(0.95), quantile(0.99)]);
    }
    value
}

fn shown_lines(path: &Path) -> String {
    let records = read(path).expect("the store is readable").records;
    records
        .iter()
        .map(|record| format!("{}\n", shown(record)))
        .collect()
}

fn segment_files(folder: &Path) -> Vec<PathBuf> {
    let mut files: Vec<PathBuf> = fs::read_dir(folder)
        .expect("the folder is readable")
        .map(|entry| entry.expect("the entry is readable").path())
        .collect();
    files.sort();
    files
}

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/version-1")
}

fn assert_same_lines(read: &str, expected: &str) {
    for (number, (read, expected)) in (1..).zip(read.lines().zip(expected.lines())) {
        assert_eq!(read, expected, "record {number}");
    }
    assert_eq!(read.lines().count(), expected.lines().count());
}

#[test]
fn a_stored_timeline_is_read_as_before() {
    let expected =
        fs::read_to_string(fixtures().join("store.jsonl")).expect("the fixture is readable");
    assert_same_lines(&shown_lines(&fixtures().join("store")), &expected);
}

#[test]
fn a_segment_that_is_cut_off_is_named_with_the_place() {
    let damaged = read(&fixtures().join("store"))
        .expect("the store is readable")
        .damaged;
    let [DamagedFile { path, error }] = &damaged[..] else {
        panic!("{damaged:?}")
    };
    let name = path
        .file_name()
        .expect("the path has a file name")
        .to_string_lossy();
    assert_eq!(name, "000000000007.seg");
    let (offset, lost) = (7667, 13);
    assert_eq!(*error, SegmentError::Damaged { offset, lost });
    assert_eq!(
        error.to_string(),
        "damaged at byte 7667; the 13 bytes from there to the end are lost"
    );
}

#[test]
fn a_dump_is_read_as_before() {
    let expected =
        fs::read_to_string(fixtures().join("dump.jsonl")).expect("the fixture is readable");
    assert_same_lines(&shown_lines(&fixtures().join("dump.seg")), &expected);
}

#[test]
fn a_store_is_written_with_the_same_bytes() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    write_store(folder.path(), &mut session());
    let (written, expected) = (
        segment_files(folder.path()),
        segment_files(&fixtures().join("store")),
    );
    assert!(expected.len() > 2);
    let names = |files: &[PathBuf]| -> Vec<_> {
        files
            .iter()
            .map(|file| file.file_name().map(ToOwned::to_owned))
            .collect()
    };
    assert_eq!(names(&written), names(&expected));
    for (written, expected) in written.iter().zip(&expected) {
        let (written, expected) = (fs::read(written), fs::read(expected));
        assert!(
            written.expect("the segment is readable") == expected.expect("the segment is readable")
        );
    }
}

#[test]
fn a_dump_is_written_with_the_same_bytes() {
    let expected = fs::read(fixtures().join("dump.seg")).expect("the fixture is readable");
    assert!(dump(&session()) == expected);
}
