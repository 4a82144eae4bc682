//! Owns the trial of the store by `kill -9`: a process of its own writes and says what is kept; it is killed at a drawn
//! moment, and all that it said must be there. It kills no other process than those that it started.
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lilacgate_store::reader::read;
use lilacgate_store::storage::FileSystem;
use lilacgate_store::writer::{Retention, StoreWriter};
use lilacgate_timeline::entry::{Entry, Event, Record};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn record(number: u32) -> Record {
    let at = Duration::from_secs(u64::from(number));
    let event = Event::GivenUp {
        reason: "x".repeat(number as usize % 300),
        count: number,
    };
    Record::Entry(Entry {
        happened: at,
        known: at,
        node: None,
        event,
    })
}

/// Writes from a number on, in batches of drawn sizes, and prints the last number of each once it is synced.
pub fn write(folder: &Path, first: u32) {
    let bounds = Retention {
        max_bytes: 1 << 28,
        max_age: Duration::from_secs(1 << 30),
    };
    let Ok(mut writer) = StoreWriter::new(folder, bounds, Box::new(FileSystem)) else {
        return;
    };
    let mut chance = Pcg64Mcg::seed_from_u64(u64::from(first));
    let mut next = first;
    loop {
        let many = chance.random_range(1..40);
        let batch: Vec<Record> = (next..next + many).map(record).collect();
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        if writer.append(now, &batch).is_err() {
            return;
        }
        next += many;
        println!("{next}");
        if std::io::stdout().flush().is_err() {
            return;
        }
    }
}

/// Kills a writer so often, each time at a drawn moment, and lets the next one go on there. Returns how many kills there
/// were, and how many records were said to be kept and are not, or stand out of order.
pub fn trial(program: &Path, kills: u32, seed: u64) -> std::io::Result<(u32, usize)> {
    let folder = tempfile::tempdir()?;
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let (mut first, mut lost, mut done) = (0, 0, 0);
    // What was said to be kept, as spans of numbers: a killed batch may leave a gap behind.
    let mut kept: Vec<(u32, u32)> = Vec::new();
    for _ in 0..kills {
        let folder_text = folder.path().display().to_string();
        let mut child = Command::new(program)
            .args(["write-store", &folder_text, &first.to_string()])
            .stdout(Stdio::piped())
            .spawn()?;
        let mut said = BufReader::new(child.stdout.take().expect("its output")).lines();
        // It has begun once it says something; then it runs on for a drawn while.
        let mut last = said
            .next()
            .and_then(|line| line.ok()?.parse().ok())
            .unwrap_or(first);
        std::thread::sleep(Duration::from_micros(chance.random_range(0..9000)));
        child.kill()?;
        child.wait()?;
        last = said
            .map_while(|line| line.ok()?.parse().ok())
            .last()
            .unwrap_or(last);
        kept.push((first, last));
        done += 1;
        let numbers: std::collections::BTreeSet<u32> = read(folder.path())?
            .records
            .iter()
            .filter_map(|record| match record {
                Record::Entry(Entry {
                    event: Event::GivenUp { count, .. },
                    ..
                }) => Some(*count),
                _ => None,
            })
            .collect();
        lost += kept
            .iter()
            .flat_map(|(from, to)| *from..*to)
            .filter(|number| !numbers.contains(number))
            .count();
        // The next one goes on behind all that may be there.
        first = numbers.last().map_or(last, |number| number + 1).max(last) + 1;
        // What was found again once need not be looked for each time.
        if kept.len() > 4 {
            kept.remove(0);
        }
    }
    Ok((done, lost))
}
