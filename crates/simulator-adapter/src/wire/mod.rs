//! The bench's wire: frames of big-endian records, events in and actions out. The wire's own words stand in this
//! module alone; everything that leaves it has the types of the decision module.

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
