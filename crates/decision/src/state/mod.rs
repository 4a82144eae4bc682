//! The engine's state: records, sums and indexes. Decisions are made in `policy`.
pub(crate) mod candidates;
pub(crate) mod decaying_sum;
pub(crate) mod demand;
pub(crate) mod endpoint_catalog;
pub(crate) mod endpoint_pool;
pub(crate) mod endpoint_record;
pub(crate) mod endpoint_table;
pub(crate) mod evidence;
pub(crate) mod exposure_windows;
pub(crate) mod half_lives;
pub(crate) mod hash_ring;
pub(crate) mod load_estimate;
pub(crate) mod pending_requests;
pub(crate) mod schedule;
pub(crate) mod votes;
