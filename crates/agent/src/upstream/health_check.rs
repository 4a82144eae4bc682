//! Health checks, which ask an endpoint for its load report.
use std::rc::Rc;

use lilacgate_decision::{EndpointId, EventHandler as _, Outcome};

use super::UpstreamPool;
use crate::resp::{self, Resp};
use crate::transport::with_timeout;

impl UpstreamPool {
    /// Checks an endpoint within the connect timeout, and reports the outcome to the decision engine.
    pub(super) async fn run_health_check(self: Rc<Self>, endpoint: EndpointId) {
        let started = self.clock().now();
        let check = async { Ok(self.request_load(endpoint).await) };
        let result = with_timeout(self.connect_timeout, check)
            .await
            .unwrap_or(Err(Outcome::TimedOut));
        let duration = self.clock().now().saturating_sub(started);
        let outcome = match result {
            Ok(_) => Outcome::Succeeded,
            Err(outcome) => outcome,
        };
        self.report_load(endpoint, result.ok().flatten());
        self.event_loop
            .enqueue(move |router| router.on_health_check(endpoint, outcome, duration));
    }

    /// Asks for a load report, on an idle connection or on a new one.
    async fn request_load(&self, endpoint: EndpointId) -> Result<Option<Vec<u8>>, Outcome> {
        let mut connection = match self.take_idle(endpoint) {
            Some(connection) => connection,
            None => self.open(endpoint).await?,
        };
        let command = resp::encode_command([&b"INFO"[..], b"load"].into_iter());
        let reply = connection.exchange_health_check(command).await?;
        let load_report = match reply {
            Resp::Bulk(load_report) => Ok(load_report),
            Resp::Error(_) => Err(Outcome::Failed),
            _ => return Err(connection.reject_reply()),
        };
        self.put_back(endpoint, connection);
        load_report
    }
}
