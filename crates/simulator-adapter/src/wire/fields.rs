//! Reads the fields of a record, a header or an entry of a page.
use std::time::Duration;

use lilacgate_decision::{
    AttemptNumber, Build, EndpointId, ListUpdate, Outcome, ReleasePhase, RequestClass, RequestId,
    Stage,
};

/// Why a record's bytes cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum WireError {
    /// No event has this code.
    #[error("unknown event code {0}; expected 1 to 15")]
    UnknownEvent(u8),
    /// No outcome has this code.
    #[error("unknown outcome code {0}; expected a multiple of 10 from 10 to 80")]
    UnknownOutcome(u8),
    /// No release phase has this code.
    #[error("unknown release phase code {0}; expected 0 to 3")]
    UnknownPhase(u8),
    /// No kind of update of the endpoint list has this code.
    #[error("unknown endpoint list update code {0}; expected 0 to 3")]
    UnknownListUpdate(u8),
    /// No status of an endpoint has this code.
    #[error("unknown endpoint status code {0}; expected 0 to 2")]
    UnknownStatus(u8),
    /// A share of requests is negative or not finite.
    #[error("a share of requests is {0}; expected a finite number, not below 0")]
    InvalidShare(f64),
    /// The build of an entry is not a number from 0 to 65535.
    #[error("an endpoint has the build {0}; expected 0 to 65535")]
    InvalidEntryBuild(f32),
    /// The weight of an entry is negative or not finite.
    #[error("an endpoint has the weight {0}; expected a finite number, not below 0")]
    InvalidEntryWeight(f32),
    /// A field refers to bytes beyond the end of the frame's tail.
    #[error("a field refers to bytes outside the frame's tail")]
    OutsideTail,
}

/// The bytes of a record, a header or an entry. Callers pass constant positions within its size; reading beyond it
/// panics.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fields<'a>(pub(super) &'a [u8]);

impl<'a> Fields<'a> {
    fn bytes<const SIZE: usize>(self, at: usize) -> [u8; SIZE] {
        let mut bytes = [0; SIZE];
        bytes.copy_from_slice(&self.0[at..at + SIZE]);
        bytes
    }

    pub(super) fn u8(self, at: usize) -> u8 {
        self.0[at]
    }

    pub(super) fn u16(self, at: usize) -> u16 {
        u16::from_be_bytes(self.bytes(at))
    }

    pub(super) fn u32(self, at: usize) -> u32 {
        u32::from_be_bytes(self.bytes(at))
    }

    pub(super) fn u64(self, at: usize) -> u64 {
        u64::from_be_bytes(self.bytes(at))
    }

    pub(super) fn f32(self, at: usize) -> f32 {
        f32::from_be_bytes(self.bytes(at))
    }

    pub(super) fn flag(self, at: usize) -> bool {
        self.u8(at) != 0
    }

    /// A duration of 32 bits, in microseconds.
    pub(super) fn duration(self, at: usize) -> Duration {
        Duration::from_micros(self.u32(at).into())
    }

    /// An instant of 64 bits, in microseconds of the simulator's clock.
    pub(super) fn instant(self, at: usize) -> Duration {
        Duration::from_micros(self.u64(at))
    }

    pub(super) fn request(self, at: usize) -> RequestId {
        RequestId(self.u32(at))
    }

    pub(super) fn endpoint(self, at: usize) -> EndpointId {
        EndpointId(self.u32(at))
    }

    pub(super) fn class(self, at: usize) -> RequestClass {
        RequestClass(self.u8(at))
    }

    pub(super) fn attempt(self, at: usize) -> AttemptNumber {
        AttemptNumber(self.u8(at))
    }

    pub(super) fn build(self, at: usize) -> Build {
        Build(self.u16(at))
    }

    pub(super) fn stage(self, at: usize) -> Stage {
        Stage(self.u8(at))
    }

    pub(super) fn share(self, at: usize) -> Result<f64, WireError> {
        let share = f64::from(self.f32(at));
        if share.is_finite() && share >= 0.0 {
            Ok(share)
        } else {
            Err(WireError::InvalidShare(share))
        }
    }

    pub(super) fn outcome(self, at: usize) -> Result<Outcome, WireError> {
        Ok(match self.u8(at) {
            10 => Outcome::Succeeded,
            20 => Outcome::Failed,
            30 => Outcome::Rejected,
            40 => Outcome::TimedOut,
            50 => Outcome::ConnectFailed,
            60 => Outcome::ConnectionLost,
            70 => Outcome::Cancelled,
            80 => Outcome::NotSent,
            code => return Err(WireError::UnknownOutcome(code)),
        })
    }

    pub(super) fn phase(self, at: usize) -> Result<ReleasePhase, WireError> {
        Ok(match self.u8(at) {
            0 => ReleasePhase::Canary,
            1 => ReleasePhase::RollingBack,
            2 => ReleasePhase::Released,
            3 => ReleasePhase::Withdrawn,
            code => return Err(WireError::UnknownPhase(code)),
        })
    }

    pub(super) fn list_update(self, at: usize) -> Result<ListUpdate, WireError> {
        Ok(match self.u8(at) {
            0 => ListUpdate::Delta,
            1 => ListUpdate::Full,
            2 => ListUpdate::Cached,
            3 => ListUpdate::Failed,
            code => return Err(WireError::UnknownListUpdate(code)),
        })
    }

    /// The bytes of the tail that a field refers to. The field holds an offset, then a number of items of `item_size`
    /// bytes.
    pub(super) fn tail_slice(
        self,
        at: usize,
        item_size: usize,
        tail: &'a [u8],
    ) -> Result<&'a [u8], WireError> {
        let start = self.u32(at) as usize;
        let length = (self.u32(at + 4) as usize).checked_mul(item_size);
        length
            .and_then(|length| tail.get(start..start.checked_add(length)?))
            .ok_or(WireError::OutsideTail)
    }
}
