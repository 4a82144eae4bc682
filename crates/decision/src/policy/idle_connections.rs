//! When idle connections are closed, so that other agents can open connections to the same endpoints.
use std::time::Duration;

use crate::model::EndpointId;
use crate::state::demand::Demand;
use crate::state::endpoint_table::EndpointTable;

/// Share of attempts that found no connection, at endpoints that answer others, above which connections are short.
const MAX_CONNECTION_SHORTAGE: f64 = 0.05;

/// The endpoints whose idle connections are to be closed: all with idle connections while connections are short, else
/// none. Guards against endpoints that accept far fewer connections than usual. Costs a handshake for each connection
/// that is opened again.
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
