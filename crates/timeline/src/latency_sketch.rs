//! The latencies of a time span as a quantile sketch (DDSketch). It is kept serialized, which takes a tenth of the
//! memory.
use std::time::Duration;

use sketches_ddsketch::{Config, DDSketch};

/// The maximum relative error of a quantile.
const RELATIVE_ERROR: f64 = 0.03;
/// The maximum number of bins of a sketch.
pub(crate) const MAX_BINS: u32 = 256;
/// All latencies below this value, in seconds, share one bin.
const MIN_SECONDS: f64 = 1e-5;

/// An empty sketch for latencies in seconds.
pub(crate) fn empty_sketch() -> DDSketch {
    DDSketch::new(Config::new(RELATIVE_ERROR, MAX_BINS, MIN_SECONDS))
}

/// A serialized sketch of the latencies of a time span.
#[derive(Clone, Debug, Default)]
pub struct LatencySketch {
    /// The serialized sketch; empty if there are no latencies.
    bytes: Vec<u8>,
}

impl LatencySketch {
    pub(crate) fn pack(sketch: &DDSketch) -> LatencySketch {
        if sketch.count() == 0 {
            return LatencySketch::default();
        }
        LatencySketch {
            bytes: postcard::to_stdvec(sketch).unwrap_or_default(),
        }
    }

    /// Wraps the stored bytes of a sketch. Bytes that cannot be decoded count as an empty sketch.
    pub fn from_bytes(bytes: Vec<u8>) -> LatencySketch {
        LatencySketch { bytes }
    }

    /// The serialized sketch, empty if there are no latencies.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// The allocated size of the serialized sketch, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    fn unpack(&self) -> DDSketch {
        postcard::from_bytes(&self.bytes).unwrap_or_else(|_| empty_sketch())
    }

    /// The quantile at `share`, from 0 to 1; `None` if there are no latencies.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let seconds = self.unpack().quantile(share).ok().flatten()?;
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Merges several sketches into one.
    pub fn merged<'a>(sketches: impl Iterator<Item = &'a LatencySketch>) -> LatencySketch {
        let mut all = empty_sketch();
        for sketch in sketches.filter(|sketch| !sketch.bytes.is_empty()) {
            // A sketch with a different configuration cannot be merged and is skipped.
            all.merge(&sketch.unpack()).ok();
        }
        LatencySketch::pack(&all)
    }
}
