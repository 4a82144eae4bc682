//! The load estimate: capacity, latency and request rate as of the last refresh.
use std::time::Duration;

use super::demand::Demand;
use super::endpoint_table::EndpointTable;

/// Work of a request, in seconds, that is assumed before any estimate is known.
const INITIAL_WORK: f64 = 1e-3;

/// Lower bound of the mean work of a request, in seconds.
const MIN_MEAN_WORK: f64 = 1e-4;

/// Capacity of the endpoints and demand on them. A latency ratio is the time taken divided by the estimated work.
#[derive(Debug)]
pub(crate) struct LoadEstimate {
    /// Served work in seconds per second and unit of listed weight.
    pub(crate) capacity_per_weight: f64,
    /// Mean listed weight of a ready endpoint.
    pub(crate) mean_listed_weight: f64,
    /// Work, in seconds, of pending requests and of those expected within the overload window.
    pub(crate) expected_work: f64,
    /// Long-run latency ratio over all ready endpoints.
    pub(crate) long_run_latency_ratio: f64,
    /// Median over the endpoints of their recent latency ratio.
    pub(crate) median_latency_ratio: f64,
    /// Mean estimated work of a request, in seconds.
    pub(crate) mean_work: f64,
    /// Time in which a few of the agent's requests are served, within the half-lives of recent and of
    /// long-run values. Half-life of shares that have to react to a few answers.
    pub(crate) sample_period: Duration,
    /// Requests received per second.
    pub(crate) request_rate: f64,
    /// Attempts served per second, recently.
    pub(crate) served_rate: f64,
    /// Share of capacity lost since the end of the previous stage: the lower of the losses against the capacity
    /// before the canary and against the requested work. 0 unless the agent aggregates enough reports to tell.
    pub(crate) lost_share: f64,
}

impl Default for LoadEstimate {
    fn default() -> Self {
        LoadEstimate {
            capacity_per_weight: 0.0,
            mean_listed_weight: 0.0,
            expected_work: 0.0,
            long_run_latency_ratio: 1.0,
            median_latency_ratio: 1.0,
            mean_work: INITIAL_WORK,
            sample_period: Duration::ZERO,
            request_rate: 0.0,
            served_rate: 0.0,
            lost_share: 0.0,
        }
    }
}

impl LoadEstimate {
    /// Updates the values that follow from endpoints and demand alone.
    pub(crate) fn refresh(&mut self, now: Duration, endpoints: &EndpointTable, demand: &Demand) {
        let catalog = &endpoints.catalog;
        self.mean_listed_weight = catalog.listed_weight() / catalog.ready_count().max(1) as f64;
        self.long_run_latency_ratio = endpoints.mean_latency_ratio(now).unwrap_or(1.0);
        let mean_work = demand.mean_work(now, |_| true);
        self.mean_work = mean_work.unwrap_or(INITIAL_WORK).max(MIN_MEAN_WORK);
        self.served_rate = demand.served_rate(now);
        self.request_rate = demand.request_rate(now);
        self.capacity_per_weight = demand.capacity_per_weight(now);
    }

    /// Expected number of the agent's outstanding requests (Little's law).
    pub(crate) fn mean_outstanding(&self) -> f64 {
        self.request_rate * self.median_latency_ratio * self.mean_work
    }
}
