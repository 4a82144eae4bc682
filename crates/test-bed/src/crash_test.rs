//! The crash test of the store: a process writes records and prints which ones are stored. It is killed at a random
//! moment, and all that it printed must be found. Only processes that the test started are killed.
use std::collections::{BTreeSet, VecDeque};
use std::io::{self, BufRead, BufReader, Write};
use std::ops::Range;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lilacgate_store::reader::read;
use lilacgate_store::storage::FileSystem;
use lilacgate_store::writer::{Retention, StoreWriter};
use lilacgate_timeline::entry::{Entry, Event, Record};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const BATCH_SIZES: Range<u32> = 1..40;
/// How long a writer runs on after its first batch, in microseconds.
const RUN_TIMES: Range<u64> = 0..9000;
/// After each kill the records of so many earlier writers are looked for again.
const CHECKED_AGAIN: usize = 4;

/// The result of a crash test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashTestReport {
    /// How many writers were killed.
    pub kills: u32,
    /// Records that were said to be stored and were not found, counted once for each kill after which they were
    /// missing.
    pub lost_records: usize,
}

fn record(number: u32) -> Record {
    let at = Duration::from_secs(u64::from(number));
    let what = Event::GivenUp {
        reason: "x".repeat(number as usize % 300),
        count: number,
    };
    Record::Entry(Entry {
        happened: at,
        known: at,
        node: None,
        event: what,
    })
}

fn number_of(record: &Record) -> Option<u32> {
    match record {
        Record::Entry(Entry {
            event: Event::GivenUp { count: many, .. },
            ..
        }) => Some(*many),
        _ => None,
    }
}

/// Writes records from this number on until it is killed, in batches of random sizes. Once a batch is stored it prints
/// the number behind its last record.
///
/// # Errors
/// If the store or the standard output cannot be written.
pub fn write_until_killed(folder: &Path, first: u32) -> io::Result<()> {
    let bounds = Retention {
        max_bytes: 1 << 28,
        max_age: Duration::from_secs(1 << 30),
    };
    let mut writer = StoreWriter::new(folder, bounds, Box::new(FileSystem))?;
    let mut rng = Pcg64Mcg::seed_from_u64(u64::from(first));
    let mut next = first;
    loop {
        let batch_size = rng.random_range(BATCH_SIZES);
        let batch: Vec<Record> = (next..next + batch_size).map(record).collect();
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        writer.append(now, &batch)?;
        next += batch_size;
        println!("{next}");
        io::stdout().flush()?;
    }
}

/// Kills so many writers, each at a random moment; the next one goes on in the same store. `program` is the test bed's
/// own.
///
/// # Errors
/// If a writer cannot be started or killed, or the store cannot be read.
pub fn run(program: &Path, kills: u32, seed: u64) -> io::Result<CrashTestReport> {
    let folder = tempfile::tempdir()?;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut first = 0;
    let mut lost_records = 0;
    // Ranges of numbers, since a batch that was cut off may leave a gap between two writers.
    let mut stored: VecDeque<Range<u32>> = VecDeque::new();
    for _ in 0..kills {
        let run_time = Duration::from_micros(rng.random_range(RUN_TIMES));
        let end = run_writer(program, folder.path(), first, run_time)?;
        stored.push_back(first..end);
        let found: BTreeSet<u32> = read(folder.path())?
            .records
            .iter()
            .filter_map(number_of)
            .collect();
        lost_records += stored
            .iter()
            .cloned()
            .flatten()
            .filter(|number| !found.contains(number))
            .count();
        // The next writer begins behind all that may be there.
        first = found.last().map_or(end, |last| last + 1).max(end) + 1;
        if stored.len() > CHECKED_AGAIN {
            stored.pop_front();
        }
    }
    Ok(CrashTestReport {
        kills,
        lost_records,
    })
}

/// Starts a writer and kills it so long after its first batch. Returns the number behind the last record that it said
/// to be stored.
fn run_writer(program: &Path, folder: &Path, first: u32, run_time: Duration) -> io::Result<u32> {
    let mut writer = Command::new(program)
        .arg("write-store")
        .arg(folder)
        .arg(first.to_string())
        .stdout(Stdio::piped())
        .spawn()?;
    let stdout = writer.stdout.take().expect("its output is piped");
    let mut numbers = BufReader::new(stdout)
        .lines()
        .map_while(|line| line.ok()?.parse().ok());
    let first_batch_end = numbers.next().unwrap_or(first);
    std::thread::sleep(run_time);
    writer.kill()?;
    writer.wait()?;
    Ok(numbers.last().unwrap_or(first_batch_end))
}
