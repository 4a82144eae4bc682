//! The file with the number of faults that each rule has injected: one little-endian `u64` per rule. The file outlives
//! the process under test.
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// The size of one count in the file, in bytes.
const COUNT_BYTES: usize = size_of::<u64>();

/// Reads the counts, in the order of the rules.
///
/// # Errors
/// The file cannot be read.
pub fn read(path: &Path) -> io::Result<Vec<u64>> {
    let bytes = std::fs::read(path)?;
    let (counts, _) = bytes.as_chunks::<COUNT_BYTES>();
    Ok(counts
        .iter()
        .map(|count| u64::from_le_bytes(*count))
        .collect())
}

/// Writes the count of the rule with this index.
pub fn write(file: &File, rule: usize, count: u64) {
    let offset = (rule * COUNT_BYTES) as u64;
    // A failed write is ignored so that it does not affect the process under test.
    file.write_at(&count.to_le_bytes(), offset).ok();
}
