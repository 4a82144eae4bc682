//! What agents send each other: counts of outcomes for the report aggregators, and warnings from these.
pub(crate) mod aggregation;
pub(crate) mod codec;
pub(crate) mod relays;
pub(crate) mod reporter;
