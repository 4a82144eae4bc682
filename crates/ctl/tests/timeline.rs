//! `lgctl timeline` over a store filled by a simulated day: a bad build comes to three of ten nodes.
use std::path::Path;
use std::process::Command;
use std::time::Duration;

use lilacgate_store::storage::FileSystem;
use lilacgate_store::writer::{Retention, StoreWriter};
use lilacgate_test_bed::virtual_time::{EPOCH, Fault, ScheduledFault, VirtualFleet, aims, run};
use lilacgate_timeline::entry::Record;
use lilacgate_timeline::fleet_timeline::{FleetTimeline, MemoryLimits};
use rstest::{fixture, rstest};

fn secs(many: u64) -> Duration {
    Duration::from_secs(many)
}

#[fixture]
#[once]
fn store() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    let at = secs(60);
    let start = |node| ScheduledFault {
        at,
        duration: secs(1),
        fault: Fault::Replace { node, build: 2 },
    };
    let mut events = vec![ScheduledFault {
        at,
        duration: secs(40),
        fault: Fault::BadBuild {
            build: 2,
            share: 0.5,
        },
    }];
    events.extend([1, 4, 8].map(start));
    let day = VirtualFleet {
        nodes: 10,
        request_rate: 100.0,
        duration: secs(90),
        faults: events,
        list_delay: secs(1),
        seed: 7,
    };
    let mut book = FleetTimeline::new(
        EPOCH,
        aims(0.5),
        MemoryLimits {
            timeline_bytes: 1 << 24,
            queued_records: 1 << 20,
        },
    );
    run(&day, &mut book, &mut |_| {});
    let products = ["read", "post", "book"].map(str::to_owned).to_vec();
    let mut records = vec![Record::Start {
        agent: "n0".into(),
        at: EPOCH,
        classes: products,
    }];
    records.extend((0..10).map(|node| Record::Name {
        node,
        name: format!("d{node}"),
    }));
    records.extend(book.take_records());
    let bounds = Retention {
        max_bytes: 1 << 24,
        max_age: secs(1 << 20),
    };
    let mut writer =
        StoreWriter::new(folder.path(), bounds, Box::new(FileSystem)).expect("a writer");
    records
        .chunks(50)
        .for_each(|batch| writer.append(EPOCH, batch).expect("it is kept"));
    folder
}

fn call(folder: &Path, line: &str) -> (i32, String, String) {
    let store = folder.display().to_string();
    let call = Command::new(env!("CARGO_BIN_EXE_lgctl"))
        .args(line.split(' ').map(|word| word.replace("STORE", &store)))
        .output();
    let call = call.expect("it runs");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (
        call.status.code().expect("a code"),
        text(call.stdout),
        text(call.stderr),
    )
}

#[rstest]
#[case("events STORE", 0, "build 2 failed")]
#[case("events STORE", 0, "stage 0 of build 2 had begun shortly before")]
#[case("events STORE --to 2026-12-01T00:00:50Z", 1, "no departures")]
#[case("events STORE --json", 0, r#""whom":{"build":2}"#)]
#[case(
    "show STORE --node d4 --from -60s",
    0,
    "listed ready with build 2, started 00:01:00"
)]
#[case(
    "show STORE --node d4 --as-of 2026-12-01T00:01:00.5Z",
    0,
    "listed ready with build 1"
)]
#[case("show STORE --node d77", 3, "no node \"d77\" in this span")]
#[case("show STORE --zone-of-reader Asia/Tokyo", 0, "2026-12-01 09:01:00 JST")]
#[case(
    "story STORE --build 2",
    0,
    "In short: 0 departures of nodes, 1 of builds, 0 of the fleet; then: it goes on."
)]
#[case("story STORE --build 9", 1, "build 9 is not on trial in this span")]
#[case("story STORE --build 2 --json", 0, r#""build":2"#)]
#[case("export STORE --from -5s", 0, r#""p95_ms""#)]
#[case("events STORE/gone", 3, "gone")]
#[case("events STORE --from soon", 3, "\"soon\" is no time")]
fn calls(store: &tempfile::TempDir, #[case] line: &str, #[case] code: i32, #[case] says: &str) {
    let (got, out, log) = call(store.path(), &format!("timeline {line}"));
    assert!(
        got == code && format!("{out}{log}").contains(says),
        "{got}: {out}{log}"
    );
}

#[rstest]
fn what_was_not_known_is_not_shown(store: &tempfile::TempDir) {
    let (_, out, _) = call(
        store.path(),
        "timeline show STORE --node d4 --as-of 2026-12-01T00:01:00.5Z",
    );
    assert!(!out.contains("build 2"), "{out}");
}

#[rstest]
fn a_picture_is_drawn(store: &tempfile::TempDir) {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("lines.svg");
    assert_eq!(
        call(
            store.path(),
            &format!("timeline plot STORE --svg {}", file.display())
        )
        .0,
        0
    );
    let svg = std::fs::read_to_string(file).expect("it is drawn");
    assert!(svg.contains("d9") && svg.contains("build 2") && svg.matches("<rect").count() > 500);
}
