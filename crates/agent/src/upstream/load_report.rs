//! Load reports: `name=value` pairs that endpoints append to replies and send in reply to health checks.
use lilacgate_decision::{EndpointId, EventHandler as _};

use super::UpstreamPool;

impl UpstreamPool {
    /// Passes a load report on to the decision engine. Missing and unreadable fields are NaN; a report without any
    /// readable field is dropped.
    pub(super) fn report_load(&self, endpoint: EndpointId, report: Option<Vec<u8>>) {
        let Some(report) = report.and_then(|report| String::from_utf8(report).ok()) else {
            return;
        };
        let fields = self.load_fields.iter();
        let loads: Vec<f32> = fields.map(|name| field(&report, name)).collect();
        if loads.iter().any(|load| load.is_finite()) {
            self.event_loop
                .enqueue(move |router| router.on_load_report(endpoint, &loads));
        }
    }
}

/// Returns the value of a field by its name, or NaN.
fn field(report: &str, name: &str) -> f32 {
    report
        .split(',')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(f32::NAN)
}
