//! Latencies of a time span as a sketch (DDSketch), kept serialized: that takes a tenth of the memory.
use std::time::Duration;

use sketches_ddsketch::{Config, DDSketch};

/// The relative error of a quantile.
const RELATIVE_ERROR: f64 = 0.03;
/// The most bins of a sketch.
pub(crate) const MAX_BINS: u32 = 256;
/// Latencies below this, in seconds, share a bin.
const MIN_SECONDS: f64 = 1e-5;

/// A sketch with no latencies, to which latencies in seconds can be added.
pub(crate) fn empty_sketch() -> DDSketch {
    DDSketch::new(Config::new(RELATIVE_ERROR, MAX_BINS, MIN_SECONDS))
}

/// The latencies of a time span.
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

    /// A sketch from its stored bytes. If they can't be read, it holds no latencies.
    pub fn from_bytes(bytes: Vec<u8>) -> LatencySketch {
        LatencySketch { bytes }
    }

    /// The bytes to be stored.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// The memory of the bytes, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    fn unpack(&self) -> DDSketch {
        postcard::from_bytes(&self.bytes).unwrap_or_else(|_| empty_sketch())
    }

    /// The latency below which this share (from 0 to 1) of them lies; `None` if there are no latencies.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let seconds = self.unpack().quantile(share).ok().flatten()?;
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// All latencies of several sketches.
    pub fn merged<'a>(sketches: impl Iterator<Item = &'a LatencySketch>) -> LatencySketch {
        let mut all = empty_sketch();
        for sketch in sketches.filter(|sketch| !sketch.bytes.is_empty()) {
            // A sketch with another configuration can't be merged, and is left out.
            all.merge(&sketch.unpack()).ok();
        }
        LatencySketch::pack(&all)
    }
}
