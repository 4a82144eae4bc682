//! Tests of the store under damage (incomplete records, flipped bytes, full and failing disks, foreign files) and of
//! its limits of size and age.
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
    StoreWriter::new(folder, retention, Box::new(FileSystem)).expect("the store is opened")
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
        .expect("the store is readable")
        .records
        .iter()
        .map(number)
        .collect()
}

#[test]
fn appended_records_are_read_back() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    for run in 0..3 {
        let mut writer = writer(folder.path(), RETENTION);
        for batch in 0..4 {
            let first = run * 40 + batch * 10;
            writer
                .append(now(0), &(first..first + 10).map(record).collect::<Vec<_>>())
                .expect("the batch is stored");
        }
    }
    assert_eq!(stored_numbers(folder.path()), (0..120).collect::<Vec<_>>());
}

#[test]
fn retention_bounds_bytes_and_age() {
    let folder = tempfile::tempdir().expect("a temporary folder");
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
        .expect("the batch is stored");
        let sum: u64 = list_segments(folder.path())
            .expect("the folder is readable")
            .iter()
            .map(|segment| {
                segment
                    .path
                    .metadata()
                    .expect("the segment has a size")
                    .len()
            })
            .sum();
        assert!(sum <= retention.max_bytes, "{sum}");
    }
    let kept = stored_numbers(folder.path());
    assert!(kept.first() > Some(&0) && kept.last() == Some(&39) && kept.is_sorted());
    writer(folder.path(), retention)
        .append(now(1000), &[record(99)])
        .expect("the batch is stored");
    assert_eq!(stored_numbers(folder.path()), [99]);
}

/// A disk with a limited number of free bytes.
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
        let mut bytes_left = self.bytes_left.lock().expect("the lock is not poisoned");
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

/// The disk fills up in the middle of a batch. Accepted batches are written once there is space again, and each record
/// is stored exactly once.
#[test]
fn a_disk_that_is_full_for_a_while_loses_no_accepted_batch() {
    let folder = tempfile::tempdir().expect("a temporary folder");
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
    *bytes_left.lock().expect("the lock is not poisoned") = usize::MAX;
    let resumed = next_change(&background);
    assert!(
        matches!(resumed, StatusChange::Resumed { failed_for } if failed_for > Duration::ZERO),
        "{resumed:?}"
    );
    (12..40).for_each(|number| submit(&mut background, number));
    assert_eq!(background.close(), 0);
    assert_eq!(stored_numbers(folder.path()), (0..40).collect::<Vec<_>>());
    assert!(
        read(folder.path())
            .expect("the store is readable")
            .damaged
            .is_empty()
    );
}

/// The disk stays full until the writer is closed. Synced records are intact, all others are counted as lost, and
/// closing does not wait for the disk much longer than a second.
#[test]
fn records_that_a_full_disk_never_took_are_counted_on_close() {
    let folder = tempfile::tempdir().expect("a temporary folder");
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
    assert!(
        read(folder.path())
            .expect("the store is readable")
            .damaged
            .is_empty()
    );
    self::writer(folder.path(), RETENTION)
        .append(now(0), &[record(7000)])
        .expect("the batch is stored");
    assert_eq!(stored_numbers(folder.path()).len(), kept.len() + 1);
}

/// A disk on which one kind of call fails a given number of times.
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
    /// Fails if this kind of call is to fail and failures are left.
    fn call(&self, call: FailingCall) -> io::Result<()> {
        let is_failing_call = self.fails == call
            || self.fails == FailingCall::SyncAndTruncate && call == FailingCall::Sync;
        let mut left = self.failures_left.lock().expect("the lock is not poisoned");
        if !is_failing_call || *left == 0 {
            return Ok(());
        }
        *left -= 1;
        Err(io::Error::from_raw_os_error(EIO))
    }
}

/// The error number of Linux for an input or output error.
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
        // Half of the bytes are written nevertheless, as in a short write.
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

/// Each kind of call fails for a while, from the first batch on or after some batches were stored. A batch that is
/// appended again until it succeeds is stored exactly once and in its order.
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
    // Each segment has room for one batch, or one segment has room for all.
    #[values(1 << 16, 1 << 20)] max_bytes: u64,
) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let disk = FailingDisk {
        failures_left: Arc::default(),
        fails,
    };
    let failures_left = disk.failures_left.clone();
    let retention = Retention {
        max_bytes,
        ..RETENTION
    };
    let mut writer =
        StoreWriter::new(folder.path(), retention, Box::new(disk)).expect("the store is opened");
    let batch = |number: u32| {
        (number * 100..number * 100 + 100)
            .map(record)
            .collect::<Vec<_>>()
    };
    for number in 0..kept_before {
        writer
            .append(now(0), &batch(number))
            .expect("the batch is stored");
    }
    *failures_left.lock().expect("the lock is not poisoned") = failures;
    for number in kept_before..kept_before + 6 {
        while writer.append(now(0), &batch(number)).is_err() {}
    }
    assert_eq!(
        stored_numbers(folder.path()),
        (0..(kept_before + 6) * 100).collect::<Vec<_>>()
    );
    assert!(
        read(folder.path())
            .expect("the store is readable")
            .damaged
            .is_empty()
    );
}

#[test]
fn a_folder_that_cannot_be_written_is_an_error() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("file");
    std::fs::write(&file, "x").expect("the file is written");
    assert!(StoreWriter::new(&file.join("under"), RETENTION, Box::new(FileSystem)).is_err());
}

#[test]
fn foreign_and_later_files_do_not_affect_other_segments() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    std::fs::write(
        folder.path().join("000000000000.seg"),
        "something else altogether",
    )
    .expect("the file is written");
    let mut later = header(0);
    later[4] = 9;
    std::fs::write(folder.path().join("000000000001.seg"), later).expect("the file is written");
    std::fs::write(folder.path().join("notes.txt"), "x").expect("the file is written");
    writer(folder.path(), RETENTION)
        .append(now(0), &[record(5)])
        .expect("the batch is stored");
    let read = read(folder.path()).expect("the store is readable");
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

/// A segment that was written by the first version of the format stays readable.
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

    /// A flipped bit loses at most the records from it to the end of its segment. Nothing before it and no other
    /// segment is affected, and nothing panics.
    #[test]
    fn a_flipped_bit_affects_only_the_rest_of_its_segment(at in 0usize..10_000, bit in 0u8..8) {
        let folder = tempfile::tempdir().expect("a temporary folder");
        for run in 0..3 {
            writer(folder.path(), RETENTION).append(now(0), &(run * 10..run * 10 + 10).map(record).collect::<Vec<_>>()).expect("stored");
        }
        let path = folder.path().join("000000000001.seg");
        let mut bytes = std::fs::read(&path).expect("the segment is readable");
        let at = at % bytes.len();
        let before = decode_records(&bytes[..at.max(HEADER_BYTES)]).records.len() as u32;
        bytes[at] ^= 1 << bit;
        std::fs::write(&path, &bytes).expect("the file is written");
        let kept = stored_numbers(folder.path());
        let affects_no_record = (6..HEADER_BYTES).contains(&at);
        let intact = if at < 6 { 0 } else if affects_no_record { 10 } else { before };
        let expected: Vec<u32> = (0..10).chain(10..10 + intact).chain(20..30).collect();
        prop_assert_eq!(kept, expected);
    }

    /// Decoding ends within the file whatever its bytes are.
    #[test]
    fn decoding_any_bytes_ends_within_them(tail in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut bytes = header(0).to_vec();
        bytes.extend(tail);
        prop_assert!(decode_records(&bytes).end <= bytes.len());
    }
}
