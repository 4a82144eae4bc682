//! Owns the form of a segment: a head of 16 octets (`lgtl`, the version, two octets of nothing, the seconds since 1970
//! when it was begun), then frames, each with its length and checksum before it. All numbers are little-endian.
use lilacgate_timeline::entry::Record;

/// The version that is written; it and all before it are read.
pub const VERSION: u16 = 1;
pub const HEAD: usize = 16;
const MAGIC: [u8; 4] = *b"lgtl";
/// Before a record stand its length and its checksum.
pub const FRAME: usize = 8;
/// The longest record; a length above it is damage.
pub const LONGEST: usize = 1 << 20;

/// A segment's head.
pub fn head(begun: u64) -> [u8; HEAD] {
    let mut head = [0; HEAD];
    head[..4].copy_from_slice(&MAGIC);
    head[4..6].copy_from_slice(&VERSION.to_le_bytes());
    head[8..].copy_from_slice(&begun.to_le_bytes());
    head
}

/// When a segment was begun.
///
/// # Errors
/// That it is no segment, or of a later version.
pub fn begun(bytes: &[u8]) -> Result<u64, String> {
    let head = bytes
        .get(..HEAD)
        .filter(|head| head[..4] == MAGIC)
        .ok_or("no segment of a time line")?;
    let version = u16::from_le_bytes([head[4], head[5]]);
    if version == 0 || version > VERSION {
        return Err(format!(
            "version {version}; {VERSION} is the last that is known here"
        ));
    }
    Ok(u64::from_le_bytes(head[8..].try_into().unwrap_or_default()))
}

/// Adds a record's frame.
pub fn put(to: &mut Vec<u8>, record: &Record) {
    let Ok(body) = postcard::to_stdvec(record) else {
        return;
    };
    if body.len() > LONGEST {
        return;
    }
    to.extend((body.len() as u32).to_le_bytes());
    to.extend(crc32fast::hash(&body).to_le_bytes());
    to.extend(body);
}

/// The records of a segment behind its head, up to the first that is damaged or torn: and where that is.
pub fn records(bytes: &[u8]) -> (Vec<Record>, usize) {
    let (mut found, mut at) = (Vec::new(), HEAD);
    while let Some((record, next)) = one(bytes, at) {
        found.push(record);
        at = next;
    }
    (found, at)
}

fn one(bytes: &[u8], at: usize) -> Option<(Record, usize)> {
    let frame = bytes.get(at..at + FRAME)?;
    let long = u32::from_le_bytes(frame[..4].try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(frame[4..].try_into().ok()?);
    let body = bytes
        .get(at + FRAME..at + FRAME + long)
        .filter(|_| long <= LONGEST)?;
    let record = postcard::from_bytes(body)
        .ok()
        .filter(|_| crc32fast::hash(body) == sum)?;
    Some((record, at + FRAME + long))
}
