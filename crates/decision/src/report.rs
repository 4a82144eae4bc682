//! What agents pass each other, in octets, and what staff reads of a vote. Nothing here decides anything.
use crate::model::{Build, EndpointId, RequestClass, Stage, Vote};
use crate::state::{Counts, Report};

const HEAD: usize = 16;
const RECORD: usize = 9;
/// The longest report.
pub(crate) const LONGEST: usize = 256;
/// How many counts of outcomes a report can hold.
pub(crate) const MOST_ENTRIES: usize = (LONGEST - HEAD) / RECORD;

/// A life of an agent and a number that grows with each of its reports; later ones compare higher.
pub(crate) type Version = (u32, u32);

/// The build, the version, the sums, and as many counts of outcomes as fit.
pub(crate) fn write(
    build: Build,
    version: Version,
    sums: [u16; 3],
    entries: impl Iterator<Item = Entry>,
) -> Vec<u8> {
    let mut octets = build.0.to_be_bytes().to_vec();
    octets.extend(version.0.to_be_bytes());
    octets.extend(version.1.to_be_bytes());
    octets.extend(sums.iter().flat_map(|sum| sum.to_be_bytes()));
    for (trial, class, counts) in entries.take(MOST_ENTRIES) {
        octets.extend(trial.map_or(u32::MAX, |a| a.0).to_be_bytes());
        octets.push(class.0);
        octets.extend(counts);
    }
    octets
}

/// Takes counts out of a report, those at the trial build first.
pub(crate) fn drain(report: &mut Report) -> impl Iterator<Item = Entry> {
    std::iter::from_fn(|| {
        report
            .pop_last()
            .map(|((trial, class), counts)| (trial, class, counts))
    })
}

pub(crate) type Entry = (Option<EndpointId>, RequestClass, Counts);

/// Reads such a message; nothing of one that is malformed or too long.
pub(crate) fn read(
    octets: &[u8],
) -> Option<(Build, Version, [u16; 3], impl Iterator<Item = Entry>)> {
    let (head, records) = octets.split_at_checked(HEAD)?;
    let short = |i: usize| u16::from_be_bytes([head[i], head[i + 1]]);
    let long = |i: usize| u32::from_be_bytes([head[i], head[i + 1], head[i + 2], head[i + 3]]);
    if octets.len() > LONGEST || records.len() % RECORD > 0 {
        return None;
    }
    let entries = records.chunks_exact(RECORD).map(|r| {
        let at = EndpointId(u32::from_be_bytes([r[0], r[1], r[2], r[3]]));
        (
            (at.0 < u32::MAX).then_some(at),
            RequestClass(r[4]),
            [r[5], r[6], r[7], r[8]],
        )
    });
    Some((
        Build(short(0)),
        (long(2), long(6)),
        [10, 12, 14].map(short),
        entries,
    ))
}

/// The line of a new vote: what it says, the share lost, and of each test its trial outcomes, estimate and p.
pub(crate) fn ballot(
    (build, stage, vote): (Build, Stage, Vote),
    lost: f64,
    tests: impl Iterator<Item = (f64, f64, f64)>,
) -> String {
    let tests: String = tests
        .map(|(many, worse, p)| format!(" {many:.0}:{worse:+.2} p{p:.3}"))
        .collect();
    format!(
        "vote {vote:?} on build {} stage {} lost {lost:.2}{tests}",
        build.0, stage.0
    )
}
