//! When idle connections are closed, so that other agents can open theirs.
use std::time::Duration;

use crate::model::EndpointId;
use crate::state::demand::Demand;
use crate::state::endpoint_table::EndpointTable;

/// Share of attempts without a connection at which connections are short.
const MAX_CONNECTION_SHORTAGE: f64 = 0.05;

/// The endpoints whose idle connections are closed: all, where connections are short. Guards against endpoints
/// that accept far fewer than usual; costs handshakes.
pub(crate) fn endpoints_to_close(
    now: Duration,
    demand: &Demand,
    endpoints: &mut EndpointTable,
) -> Vec<EndpointId> {
    if demand.connection_shortage(now) > MAX_CONNECTION_SHORTAGE {
        endpoints.disconnect_idle()
    } else {
        Vec::new()
    }
}
