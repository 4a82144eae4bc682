//! What is measured of fleet and demand, as of the last refresh.
use std::time::Duration;

use super::demand::Demand;
use super::endpoint_table::EndpointTable;

/// Work that is assumed of a request, in seconds, before any is known.
const INITIAL_WORK: f64 = 1e-3;

/// Lower bound of the mean work of a request, in seconds.
const MIN_MEAN_WORK: f64 = 1e-4;

/// Fleet and demand at a glance. A pace is the time taken for a unit of estimated work.
#[derive(Debug)]
pub(crate) struct LoadEstimate {
    /// Served work in seconds for each unit of listed weight and second.
    pub(crate) capacity_per_weight: f64,
    /// Mean listed weight of an endpoint.
    pub(crate) mean_weight: f64,
    /// Work in hand and to come, in seconds, in the window over which overload is measured.
    pub(crate) work_due: f64,
    /// Long-run mean pace of all endpoints.
    pub(crate) baseline_pace: f64,
    /// The median endpoint's pace now.
    pub(crate) median_pace: f64,
    /// Mean estimated work of a request, in seconds.
    pub(crate) mean_work: f64,
    /// How long the agent takes to be served a few requests.
    pub(crate) sample_period: Duration,
    /// Requests received a second.
    pub(crate) request_rate: f64,
    /// Attempts served a second, of late.
    pub(crate) served_rate: f64,
    /// Share of capacity that is lost, both against what was carried before the canary and what is requested.
    pub(crate) lost_share: f64,
}

impl Default for LoadEstimate {
    fn default() -> Self {
        LoadEstimate {
            capacity_per_weight: 0.0,
            mean_weight: 0.0,
            work_due: 0.0,
            baseline_pace: 1.0,
            median_pace: 1.0,
            mean_work: INITIAL_WORK,
            sample_period: Duration::ZERO,
            request_rate: 0.0,
            served_rate: 0.0,
            lost_share: 0.0,
        }
    }
}

impl LoadEstimate {
    /// Measures fleet and demand anew.
    pub(crate) fn refresh(&mut self, now: Duration, endpoints: &EndpointTable, demand: &Demand) {
        let catalog = &endpoints.catalog;
        self.mean_weight = catalog.weight() / catalog.ready_count().max(1) as f64;
        self.baseline_pace = endpoints.mean_pace(now).unwrap_or(1.0);
        let mean_work = demand.mean_work(now, |_| true);
        self.mean_work = mean_work.unwrap_or(INITIAL_WORK).max(MIN_MEAN_WORK);
        self.served_rate = demand.served_rate(now);
        self.request_rate = demand.request_rate(now);
        self.capacity_per_weight = demand.capacity_per_weight(now);
    }

    /// What the agent has outstanding on average, in requests.
    pub(crate) fn mean_outstanding(&self) -> f64 {
        self.request_rate * self.median_pace * self.mean_work
    }
}
