//! The store against damage: torn ends, flipped bytes, full disks, foreign files; and its bounds.
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lilacgate_store::background_writer::{BackgroundWriter, StatusChange, SubmitResult};
use lilacgate_store::reader::{list_segments, read};
use lilacgate_store::segment_format::{
    HEADER_BYTES, SegmentError, creation_time, decode_records, header,
};
use lilacgate_store::storage::{FileSystem, SegmentFile, Storage};
use lilacgate_store::writer::{Retention, StoreWriter};
use lilacgate_timeline::entry::{Entry, Event, Record};
use proptest::prelude::*;
use rstest::rstest;

const RETENTION: Retention = Retention {
    max_bytes: 1 << 20,
    max_age: Duration::from_secs(3600),
};

fn record(number: u32) -> Record {
    let at = Duration::from_secs(number.into());
    let event = Event::GivenUp {
        reason: "crowded".into(),
        count: number,
    };
    Record::Entry(Entry {
        happened: at,
        known: at,
        node: Some(number),
        event,
    })
}

fn now(secs: u64) -> Duration {
    Duration::from_secs(1_796_083_200 + secs)
}

fn writer(folder: &Path, retention: Retention) -> StoreWriter {
    StoreWriter::new(folder, retention, Box::new(FileSystem)).expect("a writer")
}

fn stored_numbers(folder: &Path) -> Vec<u32> {
    let number = |record: &Record| match record {
        Record::Entry(Entry {
            event: Event::GivenUp { count, .. },
            ..
        }) => *count,
        other => panic!("{other:?}"),
    };
    read(folder)
        .expect("it is read")
        .records
        .iter()
        .map(number)
        .collect()
}

#[test]
fn appended_records_are_read_back() {
    let folder = tempfile::tempdir().expect("a folder");
    for run in 0..3 {
        let mut writer = writer(folder.path(), RETENTION);
        for batch in 0..4 {
            let first = run * 40 + batch * 10;
            writer
                .append(now(0), &(first..first + 10).map(record).collect::<Vec<_>>())
                .expect("it is kept");
        }
    }
    assert_eq!(stored_numbers(folder.path()), (0..120).collect::<Vec<_>>());
}

#[test]
fn retention_bounds_bytes_and_age() {
    let folder = tempfile::tempdir().expect("a folder");
    let retention = Retention {
        max_bytes: 1 << 17,
        max_age: Duration::from_secs(100),
    };
    let mut old = writer(folder.path(), retention);
    for number in 0..40 {
        old.append(
            now(u64::from(number)),
            &(0..200).map(|_| record(number)).collect::<Vec<_>>(),
        )
        .expect("it is kept");
        let sum: u64 = list_segments(folder.path())
            .expect("files")
            .iter()
            .map(|segment| segment.path.metadata().expect("a size").len())
            .sum();
        assert!(sum <= retention.max_bytes, "{sum}");
    }
    let kept = stored_numbers(folder.path());
    assert!(kept.first() > Some(&0) && kept.last() == Some(&39) && kept.is_sorted());
    writer(folder.path(), retention)
        .append(now(1000), &[record(99)])
        .expect("it is kept");
    assert_eq!(stored_numbers(folder.path()), [99]);
}

/// A disk with this many bytes left.
#[derive(Clone)]
struct FillingDisk {
    bytes_left: Arc<Mutex<usize>>,
}

impl Storage for FillingDisk {
    fn open(&mut self, path: &Path) -> io::Result<Box<dyn SegmentFile>> {
        Ok(Box::new(FillingFile {
            file: FileSystem.open(path)?,
            bytes_left: self.bytes_left.clone(),
        }))
    }
}

struct FillingFile {
    file: Box<dyn SegmentFile>,
    bytes_left: Arc<Mutex<usize>>,
}

impl Write for FillingFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut bytes_left = self.bytes_left.lock().expect("a lock");
        let accepted = bytes.len().min(*bytes_left);
        if accepted == 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        *bytes_left -= accepted;
        self.file.write(&bytes[..accepted])
    }

    fn flush(&mut self) -> io::Result<()> {
        self.file.flush()
    }
}

impl SegmentFile for FillingFile {
    fn sync(&mut self) -> io::Result<()> {
        self.file.sync()
    }

    fn truncate(&mut self, size: u64) -> io::Result<()> {
        self.file.truncate(size)
    }
}

/// Submits a record, and waits while the queue is full.
fn submit(background: &mut BackgroundWriter, number: u32) {
    let mut batch = vec![record(number)];
    loop {
        match background.submit(now(0), batch) {
            SubmitResult::Accepted => return,
            SubmitResult::QueueFull(returned) => batch = returned,
            SubmitResult::Closed => panic!("the thread has ended"),
        }
        std::thread::sleep(Duration::from_micros(100));
    }
}

/// Waits for the next change of the disk's status.
fn next_change(background: &BackgroundWriter) -> StatusChange {
    for _ in 0..2_000 {
        if let Some(change) = background.take_status_changes().pop() {
            return change;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("the status of the disk does not change")
}

fn background_writer(folder: &Path, disk: impl Storage + Clone + 'static) -> BackgroundWriter {
    let folder = folder.to_owned();
    BackgroundWriter::new(move || StoreWriter::new(&folder, RETENTION, Box::new(disk.clone())))
}

/// The disk fills amid a batch; what was taken is written once there is room again, each record one time.
#[test]
fn a_disk_that_is_full_for_a_while_loses_no_accepted_batch() {
    let folder = tempfile::tempdir().expect("a folder");
    let disk = FillingDisk {
        bytes_left: Arc::new(Mutex::new(HEADER_BYTES + 110)),
    };
    let bytes_left = disk.bytes_left.clone();
    let mut background = background_writer(folder.path(), disk);
    (0..12).for_each(|number| submit(&mut background, number));
    let failed = next_change(&background);
    assert!(
        matches!(&failed, StatusChange::Failed(error) if error.kind() == io::ErrorKind::StorageFull),
        "{failed:?}"
    );
    *bytes_left.lock().expect("a lock") = usize::MAX;
    let resumed = next_change(&background);
    assert!(
        matches!(resumed, StatusChange::Resumed { failed_for } if failed_for > Duration::ZERO),
        "{resumed:?}"
    );
    (12..40).for_each(|number| submit(&mut background, number));
    assert_eq!(background.close(), 0);
    assert_eq!(stored_numbers(folder.path()), (0..40).collect::<Vec<_>>());
    assert!(read(folder.path()).expect("it is read").damaged.is_empty());
}

/// The disk stays full to the end: what was synced is there and whole, all else is counted, and closing takes a second.
#[test]
fn records_that_a_full_disk_never_took_are_counted_on_close() {
    let folder = tempfile::tempdir().expect("a folder");
    let disk = FillingDisk {
        bytes_left: Arc::new(Mutex::new(HEADER_BYTES + 110)),
    };
    let mut background = background_writer(folder.path(), disk);
    (0..12).for_each(|number| submit(&mut background, number));
    next_change(&background);
    let closing = std::time::Instant::now();
    let lost = background.close();
    assert!(
        closing.elapsed() < Duration::from_secs(10),
        "{:?}",
        closing.elapsed()
    );
    let kept = stored_numbers(folder.path());
    assert!(
        !kept.is_empty() && kept.iter().copied().eq(0..kept.len() as u32),
        "{kept:?}"
    );
    assert_eq!(kept.len() as u64 + lost, 12);
    assert!(read(folder.path()).expect("it is read").damaged.is_empty());
    self::writer(folder.path(), RETENTION)
        .append(now(0), &[record(7000)])
        .expect("it is kept");
    assert_eq!(stored_numbers(folder.path()).len(), kept.len() + 1);
}

/// A disk whose syncs, or whose openings, fail so many times.
#[derive(Clone)]
struct FailingDisk {
    failures_left: Arc<Mutex<u32>>,
    fails: FailingCall,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailingCall {
    Open,
    Write,
    Sync,
    SyncAndTruncate,
}

impl FailingDisk {
    /// Fails if this call is to, and is so still.
    fn call(&self, call: FailingCall) -> io::Result<()> {
        let is_failing_call = self.fails == call
            || self.fails == FailingCall::SyncAndTruncate && call == FailingCall::Sync;
        let mut left = self.failures_left.lock().expect("a lock");
        if !is_failing_call || *left == 0 {
            return Ok(());
        }
        *left -= 1;
        Err(io::Error::from_raw_os_error(EIO))
    }
}

/// The error number of an input or output that failed.
const EIO: i32 = 5;

impl Storage for FailingDisk {
    fn open(&mut self, path: &Path) -> io::Result<Box<dyn SegmentFile>> {
        self.call(FailingCall::Open)?;
        Ok(Box::new(FailingFile {
            file: FileSystem.open(path)?,
            disk: self.clone(),
        }))
    }
}

struct FailingFile {
    file: Box<dyn SegmentFile>,
    disk: FailingDisk,
}

impl Write for FailingFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Half of it is there all the same.
        if let Err(error) = self.disk.call(FailingCall::Write) {
            self.file.write_all(&bytes[..bytes.len() / 2])?;
            return Err(error);
        }
        self.file.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.file.flush()
    }
}

impl SegmentFile for FailingFile {
    fn sync(&mut self) -> io::Result<()> {
        self.disk.call(FailingCall::Sync)?;
        self.file.sync()
    }

    fn truncate(&mut self, size: u64) -> io::Result<()> {
        if self.disk.fails == FailingCall::SyncAndTruncate {
            return Err(io::Error::from_raw_os_error(EIO));
        }
        self.file.truncate(size)
    }
}

/// Each call fails for a while, after a batch that was kept and from the very first one: a batch is appended again until
/// it is kept, and stands there one time, in its place.
#[rstest]
fn a_call_that_fails_for_a_while_loses_no_record(
    #[values(
        FailingCall::Open,
        FailingCall::Write,
        FailingCall::Sync,
        FailingCall::SyncAndTruncate
    )]
    fails: FailingCall,
    #[values(0, 3)] kept_before: u32,
    #[values(1, 4, 30)] failures: u32,
    // Each segment has room for one batch, or for all.
    #[values(1 << 16, 1 << 20)] max_bytes: u64,
) {
    let folder = tempfile::tempdir().expect("a folder");
    let disk = FailingDisk {
        failures_left: Arc::default(),
        fails,
    };
    let failures_left = disk.failures_left.clone();
    let retention = Retention {
        max_bytes,
        ..RETENTION
    };
    let mut writer = StoreWriter::new(folder.path(), retention, Box::new(disk)).expect("a writer");
    let batch = |number: u32| {
        (number * 100..number * 100 + 100)
            .map(record)
            .collect::<Vec<_>>()
    };
    for number in 0..kept_before {
        writer.append(now(0), &batch(number)).expect("it is kept");
    }
    *failures_left.lock().expect("a lock") = failures;
    for number in kept_before..kept_before + 6 {
        while writer.append(now(0), &batch(number)).is_err() {}
    }
    assert_eq!(
        stored_numbers(folder.path()),
        (0..(kept_before + 6) * 100).collect::<Vec<_>>()
    );
    assert!(read(folder.path()).expect("it is read").damaged.is_empty());
}

#[test]
fn a_folder_that_cannot_be_written_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("file");
    std::fs::write(&file, "x").expect("it is written");
    assert!(StoreWriter::new(&file.join("under"), RETENTION, Box::new(FileSystem)).is_err());
}

#[test]
fn foreign_and_later_files_do_not_affect_other_segments() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(
        folder.path().join("000000000000.seg"),
        "something else altogether",
    )
    .expect("it is written");
    let mut later = header(0);
    later[4] = 9;
    std::fs::write(folder.path().join("000000000001.seg"), later).expect("it is written");
    std::fs::write(folder.path().join("notes.txt"), "x").expect("it is written");
    writer(folder.path(), RETENTION)
        .append(now(0), &[record(5)])
        .expect("it is kept");
    let read = read(folder.path()).expect("it is read");
    assert_eq!(read.records, [record(5)]);
    let errors: Vec<SegmentError> = read.damaged.into_iter().map(|file| file.error).collect();
    assert_eq!(
        errors,
        [
            SegmentError::NotASegment,
            SegmentError::UnknownVersion { found: 9 }
        ]
    );
}

/// A segment of the first version, as it was written then, stays readable.
#[test]
fn the_first_version_stays_readable() {
    let bytes = include_bytes!("version-1.seg");
    let decoded = decode_records(bytes);
    assert_eq!(decoded.records, [record(1), record(300)]);
    assert_eq!(decoded.end, bytes.len());
    assert_eq!(creation_time(bytes), Ok(1_796_083_200));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A byte that is flipped costs the rest of its segment, nothing before it and no other segment; nothing panics.
    #[test]
    fn a_flipped_bit_affects_only_the_rest_of_its_segment(at in 0usize..10_000, bit in 0u8..8) {
        let folder = tempfile::tempdir().expect("a folder");
        for run in 0..3 {
            writer(folder.path(), RETENTION).append(now(0), &(run * 10..run * 10 + 10).map(record).collect::<Vec<_>>()).expect("kept");
        }
        let path = folder.path().join("000000000001.seg");
        let mut bytes = std::fs::read(&path).expect("a segment");
        let at = at % bytes.len();
        let before = decode_records(&bytes[..at.max(HEADER_BYTES)]).records.len() as u32;
        bytes[at] ^= 1 << bit;
        std::fs::write(&path, &bytes).expect("it is written");
        let kept = stored_numbers(folder.path());
        let affects_no_record = (6..HEADER_BYTES).contains(&at);
        let intact = if at < 6 { 0 } else if affects_no_record { 10 } else { before };
        let expected: Vec<u32> = (0..10).chain(10..10 + intact).chain(20..30).collect();
        prop_assert_eq!(kept, expected);
    }

    /// Whatever stands in a file, reading ends.
    #[test]
    fn decoding_any_bytes_ends_within_them(tail in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut bytes = header(0).to_vec();
        bytes.extend(tail);
        prop_assert!(decode_records(&bytes).end <= bytes.len());
    }
}
