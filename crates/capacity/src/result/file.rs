//! Reading and writing result files.
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use super::{ResultError, Sample};

/// The extension of result files.
pub const RESULT_EXTENSION: &str = "jsonl";

/// Writes samples, one per line.
///
/// # Errors
/// The stream fails, or a figure is not finite; in the latter case nothing of
/// that sample is written.
pub fn write(output: &mut dyn Write, samples: &[Sample]) -> Result<(), ResultError> {
    for sample in samples {
        let line = to_line(sample)?;
        output.write_all(line.as_bytes())?;
        output.write_all(b"\n")?;
    }
    output.flush()?;
    Ok(())
}

fn to_line(sample: &Sample) -> Result<String, ResultError> {
    for (&quantity, &value) in &sample.figures {
        if !value.is_finite() {
            return Err(ResultError::NotFinite { quantity, value });
        }
    }
    serde_json::to_string(sample).map_err(ResultError::Write)
}

/// Reads samples, one per line; empty lines are skipped. `name` is the file
/// name in errors.
///
/// # Errors
/// The first line that cannot be read or is not a sample.
pub fn read(input: &mut dyn BufRead, name: &Path) -> Result<Vec<Sample>, ResultError> {
    let mut samples = Vec::new();
    for (index, line) in input.lines().enumerate() {
        let line = line.map_err(|source| file_error(name, source))?;
        if line.trim().is_empty() {
            continue;
        }
        let sample = serde_json::from_str(&line).map_err(|source| ResultError::Line {
            path: name.to_owned(),
            line: index + 1,
            source,
        })?;
        samples.push(sample);
    }
    Ok(samples)
}

/// Writes a result file, replacing an existing one.
///
/// # Errors
/// As [`write()`].
pub fn save(path: &Path, samples: &[Sample]) -> Result<(), ResultError> {
    let file = File::create(path).map_err(|source| file_error(path, source))?;
    write(&mut BufWriter::new(file), samples)
}

/// Reads a result file.
///
/// # Errors
/// As [`read`].
pub fn load(path: &Path) -> Result<Vec<Sample>, ResultError> {
    let file = File::open(path).map_err(|source| file_error(path, source))?;
    read(&mut BufReader::new(file), path)
}

/// Reads all result files of a directory, in the order of their names.
///
/// # Errors
/// As [`read`], or the directory cannot be listed.
pub fn load_directory(directory: &Path) -> Result<Vec<Sample>, ResultError> {
    let mut paths = Vec::new();
    for entry in fs::read_dir(directory).map_err(|source| file_error(directory, source))? {
        let path = entry
            .map_err(|source| file_error(directory, source))?
            .path();
        if path
            .extension()
            .is_some_and(|found| found == RESULT_EXTENSION)
        {
            paths.push(path);
        }
    }
    paths.sort();
    let mut samples = Vec::new();
    for path in paths {
        samples.extend(load(&path)?);
    }
    Ok(samples)
}

fn file_error(path: &Path, source: io::Error) -> ResultError {
    ResultError::File {
        path: path.to_owned(),
        source,
    }
}
