//! Messages of the endpoint list service and of the release control plane, as they stand on the wire.

/// The head of the answer to a watch of the endpoint list.
pub const WATCH_RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The heartbeat of a watch.
pub const WATCH_HEARTBEAT: &[u8] = b"1\r\n\n\r\n";
/// The answer to a request to listen for release updates.
pub const LISTEN_ACCEPTED: &[u8] = b"{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":true}\n";
/// The heartbeat of a release control plane.
pub const RELEASE_HEARTBEAT: &[u8] = b"{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";

/// A release update as an object. All values are JSON texts but `state`, which is put into quotes.
pub fn release_update(build: &str, stage: &str, state: &str, cap: &str) -> String {
    format!(
        r#"{{"Revision":{build},"Wave":{stage},"State":"{state}","MaxShare":{cap},"AgeMs":100}}"#
    )
}

/// The notification that carries a release update.
pub fn rollout_notification(update: &str) -> String {
    format!("{{\"jsonrpc\":\"2.0\",\"method\":\"ROLLOUT\",\"params\":{update}}}\n")
}
