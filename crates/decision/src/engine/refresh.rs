//! The periodic refresh, which serves many events: the load estimate, the ejection of silent endpoints, the subset, and
//! the selection weights.
use std::time::Duration;

use super::{DecisionEngine, REFRESH_TICKS};
use crate::model::PerArm;
use crate::policy::load_balancing::recent_latency_ratio;
use crate::policy::outlier_ejection::{self, eject_silent, max_silence};
use crate::policy::selection_weights::SelectionWeightInputs;
use crate::policy::subsetting::{SubsetSelection, assigned_count};
use crate::state::evidence::WorkSums;
use crate::state::half_lives::{LONG_RUN_HALF_LIFE, RECENT_HALF_LIFE};

/// The load estimate's `sample_period` is the time that the agent takes to be served this many requests.
const SAMPLE_REQUESTS: f64 = 5.0;

impl DecisionEngine {
    /// Walks over the endpoints that the agent works with, and updates everything that decisions about requests depend
    /// on.
    pub(super) fn refresh(&mut self) {
        self.schedule.refresh_at = self.now + self.tick * REFRESH_TICKS;
        self.schedule.events_since_refresh = 0;
        self.refresh_load();
        self.eject_silent_endpoints();
        self.refresh_candidates();
        let sample_period =
            Duration::from_secs_f64(SAMPLE_REQUESTS / self.load.served_rate.max(1.0));
        self.load.sample_period = sample_period.clamp(RECENT_HALF_LIFE, LONG_RUN_HALF_LIFE);
        if let Some(status) = self.exposure.release_status {
            let latency_ratios = self.endpoints.latency_ratios_before(self.now, status.build);
            self.analysis
                .evidence
                .model_latency_ratios
                .extend(latency_ratios);
            self.load.lost_share = self.analysis.lost_share(self.now, status, &self.load);
        }
    }

    /// Accounts for the time that has passed, then updates the load estimate and the median latency ratio.
    fn refresh_load(&mut self) {
        let now = self.now;
        let elapsed = std::mem::take(&mut self.schedule.time_since_refresh);
        let listed_weight = self.endpoints.catalog.listed_weight();
        let weight_seconds = self.demand.on_elapsed(now, elapsed, listed_weight);
        let served_work = &mut self.analysis.evidence.served_work;
        served_work.add(WorkSums {
            baseline: served_work.baseline_capacity * weight_seconds,
            ..WorkSums::default()
        });
        self.load.refresh(now, &self.endpoints, &self.demand);
        let median = self
            .endpoints
            .median(|record| recent_latency_ratio(record, now, &self.load));
        self.load.median_latency_ratio = median.unwrap_or(self.load.long_run_latency_ratio);
    }

    fn eject_silent_endpoints(&mut self) {
        let max_silence = max_silence(self.load.median_latency_ratio, self.load.mean_work);
        let resumed_at = self.schedule.resumed_at;
        eject_silent(
            &mut self.endpoints,
            self.now,
            max_silence,
            resumed_at,
            &mut self.diagnostics,
        );
    }

    /// Chooses the subset if the list is long, then computes the selection weights of all candidates and the
    /// expected work.
    fn refresh_candidates(&mut self) {
        let assigned_count = assigned_count(&self.load);
        let mut first_assigned_rank = PerArm::default();
        if self.endpoints.has_subset {
            let selection = SubsetSelection {
                now: self.now,
                fleet_position: self.fleet_position,
                slow_start: &self.slow_start,
                exposure: &self.exposure,
                assigned_count,
            };
            first_assigned_rank = selection.choose(&mut self.subset, &mut self.endpoints);
        } else {
            self.subset.is_sufficient = false;
        }
        let inputs = SelectionWeightInputs {
            now: self.now,
            fleet_position: self.fleet_position,
            load: &self.load,
            slow_start: &self.slow_start,
            exposure: &self.exposure,
            is_panic: outlier_ejection::is_panic(&self.endpoints, self.subset.is_sufficient),
            assigned_count,
            first_assigned_rank,
        };
        self.candidates = inputs.candidates(&mut self.endpoints);
        self.load.expected_work = self.expected_work();
    }

    /// Work of the pending requests and of those received or expected in the window over which overload is measured, in
    /// seconds.
    fn expected_work(&self) -> f64 {
        let window = self.slow_start.settings.overload_window;
        let window_start = self.now.saturating_sub(window);
        let received = self.exposure.windows.all_received_since(window_start) as f64;
        let expected = self.load.request_rate * window.as_secs_f64();
        let requests = received.max(expected) + self.requests.by_id.len() as f64;
        requests * self.load.mean_work
    }
}
