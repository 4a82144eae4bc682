//! The store against damage: torn ends, flipped bytes, full disks, foreign files; and its bounds.
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lilacgate_store::background_writer::{BackgroundWriter, Submitted};
use lilacgate_store::reader::{read, segments};
use lilacgate_store::segment_format::{
    HEADER_BYTES, SegmentError, begun_at, decode_records, header,
};
use lilacgate_store::storage::{FileSystem, SegmentFile, Storage};
use lilacgate_store::writer::{Retention, StoreWriter};
use lilacgate_timeline::entry::{Entry, Event, Record};
use proptest::prelude::*;

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

fn numbers(folder: &Path) -> Vec<u32> {
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
fn what_was_appended_is_there_again() {
    let folder = tempfile::tempdir().expect("a folder");
    for life in 0..3 {
        let mut writer = writer(folder.path(), RETENTION);
        for batch in 0..4 {
            let first = life * 40 + batch * 10;
            writer
                .append(now(0), &(first..first + 10).map(record).collect::<Vec<_>>())
                .expect("it is kept");
        }
    }
    assert_eq!(numbers(folder.path()), (0..120).collect::<Vec<_>>());
}

#[test]
fn bounds_hold_in_bytes_and_age() {
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
        let sum: u64 = segments(folder.path())
            .expect("files")
            .iter()
            .map(|segment| segment.path.metadata().expect("a size").len())
            .sum();
        assert!(sum <= retention.max_bytes, "{sum}");
    }
    let kept = numbers(folder.path());
    assert!(kept.first() > Some(&0) && kept.last() == Some(&39) && kept.is_sorted());
    writer(folder.path(), retention)
        .append(now(1000), &[record(99)])
        .expect("it is kept");
    assert_eq!(numbers(folder.path()), [99]);
}

/// A disk with this many bytes left.
struct SmallDisk {
    bytes_left: Arc<Mutex<usize>>,
}

impl Storage for SmallDisk {
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
        let some = bytes.len().min(*bytes_left);
        if some == 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        *bytes_left -= some;
        self.file.write(&bytes[..some])
    }

    fn flush(&mut self) -> io::Result<()> {
        self.file.flush()
    }
}

impl SegmentFile for FillingFile {
    fn sync(&mut self) -> io::Result<()> {
        self.file.sync()
    }
}

#[test]
fn a_disk_that_fills_amid_a_batch_ends_writing_and_nothing_else() {
    let folder = tempfile::tempdir().expect("a folder");
    let disk = SmallDisk {
        bytes_left: Arc::new(Mutex::new(HEADER_BYTES + 110)),
    };
    let writer = StoreWriter::new(folder.path(), RETENTION, Box::new(disk)).expect("a writer");
    let mut background = BackgroundWriter::new(writer);
    let first = background.submit(now(0), vec![record(0)]);
    assert!(matches!(first, Submitted::Accepted), "{first:?}");
    let mut errors = Vec::new();
    for number in 1..2000 {
        match background.submit(now(0), vec![record(number)]) {
            Submitted::Closed(error) => errors.extend(error.map(|error| error.to_string())),
            _ => std::thread::sleep(Duration::from_micros(100)),
        }
    }
    assert_eq!(errors, ["no storage space"]);
    drop(background);
    // What was whole is there; the next life cuts the torn end off and goes on.
    let kept = numbers(folder.path());
    assert!(
        !kept.is_empty() && kept.iter().copied().eq(0..kept.len() as u32),
        "{kept:?}"
    );
    assert_eq!(read(folder.path()).expect("it is read").damaged.len(), 1);
    self::writer(folder.path(), RETENTION)
        .append(now(0), &[record(7000)])
        .expect("it is kept");
    assert!(read(folder.path()).expect("it is read").damaged.is_empty());
    assert_eq!(numbers(folder.path()).len(), kept.len() + 1);
}

#[test]
fn a_folder_that_cannot_be_written_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("file");
    std::fs::write(&file, "x").expect("it is written");
    assert!(StoreWriter::new(&file.join("under"), RETENTION, Box::new(FileSystem)).is_err());
}

#[test]
fn foreign_and_later_files_cost_only_themselves() {
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
    assert_eq!(begun_at(bytes), Ok(1_796_083_200));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A byte that is flipped costs the rest of its segment, nothing before it and no other segment; nothing panics.
    #[test]
    fn a_flipped_byte(at in 0usize..10_000, bit in 0u8..8) {
        let folder = tempfile::tempdir().expect("a folder");
        for life in 0..3 {
            writer(folder.path(), RETENTION).append(now(0), &(life * 10..life * 10 + 10).map(record).collect::<Vec<_>>()).expect("kept");
        }
        let path = folder.path().join("000000000001.seg");
        let mut bytes = std::fs::read(&path).expect("a segment");
        let at = at % bytes.len();
        let before = decode_records(&bytes[..at.max(HEADER_BYTES)]).records.len() as u32;
        bytes[at] ^= 1 << bit;
        std::fs::write(&path, &bytes).expect("it is written");
        let kept = numbers(folder.path());
        let harmless = (6..HEADER_BYTES).contains(&at);
        let whole = if at < 6 { 0 } else if harmless { 10 } else { before };
        let want: Vec<u32> = (0..10).chain(10..10 + whole).chain(20..30).collect();
        prop_assert_eq!(kept, want);
    }

    /// Whatever stands in a file, reading ends.
    #[test]
    fn any_bytes(tail in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut bytes = header(0).to_vec();
        bytes.extend(tail);
        prop_assert!(decode_records(&bytes).end <= bytes.len());
    }
}
