//! Runs `lgctl timeline` on the store of a simulated fleet in which a failing build is deployed to three of ten nodes.
use std::path::Path;
use std::process::Command;
use std::time::Duration;

use lilacgate_store::storage::FileSystem;
use lilacgate_store::writer::{Retention, StoreWriter};
use lilacgate_test_bed::virtual_time::{EPOCH, Fault, ScheduledFault, VirtualFleet, aims, run};
use lilacgate_timeline::entry::Record;
use lilacgate_timeline::fleet_timeline::{FleetTimeline, MemoryLimits};
use rstest::{fixture, rstest};

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[fixture]
#[once]
fn store() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let at = secs(60);
    let replace = |node| ScheduledFault {
        at,
        duration: secs(1),
        fault: Fault::Replace { node, build: 2 },
    };
    let mut faults = vec![ScheduledFault {
        at,
        duration: secs(40),
        fault: Fault::BadBuild {
            build: 2,
            share: 0.5,
        },
    }];
    faults.extend([1, 4, 8].map(replace));
    let fleet = VirtualFleet {
        nodes: 10,
        request_rate: 100.0,
        duration: secs(90),
        faults,
        list_delay: secs(1),
        seed: 7,
    };
    let mut timeline = FleetTimeline::new(
        EPOCH,
        aims(0.5),
        MemoryLimits {
            timeline_bytes: 1 << 24,
            queued_records: 1 << 20,
        },
    );
    run(&fleet, &mut timeline, &mut |_| {});
    let request_classes = ["read", "post", "book"].map(str::to_owned).to_vec();
    let mut records = vec![Record::Start {
        agent: "n0".into(),
        at: EPOCH,
        classes: request_classes,
    }];
    records.extend((0..10).map(|node| Record::Name {
        node,
        name: format!("d{node}"),
    }));
    records.extend(timeline.take_records());
    let retention = Retention {
        max_bytes: 1 << 24,
        max_age: secs(1 << 20),
    };
    let mut writer =
        StoreWriter::new(folder.path(), retention, Box::new(FileSystem)).expect("a store writer");
    records
        .chunks(50)
        .for_each(|batch| writer.append(EPOCH, batch).expect("the records are stored"));
    folder
}

fn run_command(folder: &Path, line: &str) -> (i32, String, String) {
    let store = folder.display().to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_lgctl"))
        .args(line.split(' ').map(|word| word.replace("STORE", &store)))
        .output();
    let output = output.expect("lgctl runs");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8 output");
    (
        output.status.code().expect("an exit code"),
        text(output.stdout),
        text(output.stderr),
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
#[case(
    "show STORE --node d77",
    3,
    "no records of node \"d77\" between --from and --to"
)]
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
#[case("events STORE --from soon", 3, "\"soon\" is not a time")]
fn commands_print_and_exit(
    store: &tempfile::TempDir,
    #[case] line: &str,
    #[case] code: i32,
    #[case] expected: &str,
) {
    let (exit_code, output, log) = run_command(store.path(), &format!("timeline {line}"));
    assert!(
        exit_code == code && format!("{output}{log}").contains(expected),
        "{exit_code}: {output}{log}"
    );
}

#[rstest]
fn as_of_hides_what_the_agent_did_not_know_yet(store: &tempfile::TempDir) {
    let (_, output, _) = run_command(
        store.path(),
        "timeline show STORE --node d4 --as-of 2026-12-01T00:01:00.5Z",
    );
    assert!(!output.contains("build 2"), "{output}");
}

#[rstest]
fn timelines_are_drawn_as_svg(store: &tempfile::TempDir) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("lines.svg");
    assert_eq!(
        run_command(
            store.path(),
            &format!("timeline plot STORE --svg {}", file.display())
        )
        .0,
        0
    );
    let svg = std::fs::read_to_string(file).expect("the charts are written");
    assert!(svg.contains("d9") && svg.contains("build 2") && svg.matches("<rect").count() > 500);
}
