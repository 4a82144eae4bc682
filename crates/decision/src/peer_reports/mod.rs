//! The messages between agents: reports of outcomes to the report aggregators, and warnings from the aggregators.
pub(crate) mod aggregation;
pub(crate) mod codec;
pub(crate) mod relays;
pub(crate) mod reporter;
