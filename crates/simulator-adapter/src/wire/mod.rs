//! The simulator's wire protocol: frames of big-endian records, with events as input and actions as output. The
//! protocol's own terms are used in this module only; outside of it, values have the types of the decision module.

mod event;
mod fields;
mod frame;
mod kind;
mod layout;
mod reply;

pub use event::{
    AttemptEnd, EndpointPage, Event, LoadReport, PeriodStatistics, ReleaseNotice, ReleaseStatus,
};
pub use fields::WireError;
pub use frame::{EventRecord, Frame, read_frame};
pub use kind::EventKind;
pub use reply::Reply;
