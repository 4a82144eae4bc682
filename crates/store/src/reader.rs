//! Owns the reading side: all records of a folder, or of one file, in their order, and what is damaged. It changes
//! nothing.
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use lilacgate_timeline::entry::Record;

use crate::frames;

/// The segments of a folder with their numbers, in their order.
///
/// # Errors
/// What the file system says.
pub fn segments(folder: &Path) -> io::Result<Vec<(u64, PathBuf)>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        let is = path.extension().is_some_and(|extension| extension == "seg");
        let number = path
            .file_stem()
            .and_then(|stem| stem.to_str())
            .and_then(|stem| stem.parse().ok());
        found.extend(number.filter(|_| is).map(|number| (number, path)));
    }
    found.sort();
    Ok(found)
}

/// What was read.
#[derive(Debug, Default)]
pub struct Read {
    pub records: Vec<Record>,
    /// Files with a damaged or torn end, where it begins, and how many octets are lost with it; or why all are.
    pub damaged: Vec<(PathBuf, String)>,
}

/// Reads a folder of segments, or a file that is one.
///
/// # Errors
/// What the file system says; damage is none.
pub fn read(path: &Path) -> io::Result<Read> {
    let files = if path.is_dir() {
        segments(path)?.into_iter().map(|(_, path)| path).collect()
    } else {
        vec![path.to_owned()]
    };
    let mut read = Read::default();
    for file in files {
        let bytes = fs::read(&file)?;
        match frames::begun(&bytes) {
            Ok(_) => {
                let (records, end) = frames::records(&bytes);
                read.records.extend(records);
                if end < bytes.len() {
                    read.damaged.push((
                        file,
                        format!("damaged at octet {end}; {} lost", bytes.len() - end),
                    ));
                }
            }
            Err(why) => read.damaged.push((file, why)),
        }
    }
    Ok(read)
}
