//! The start file that a test gives to an agent, and entries of the endpoint list. Its values are arbitrary ones that
//! suit tests; they describe no real deployment.
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const START_FILE: &str = r#"{"name":"n0","seed":"8c1f30d27a5be964","listen":"LISTEN","discovery":"DISCOVERY",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":"PEER_LISTEN","peers":["PEER_LISTEN","PEER"],
"peers_all":"PEER","pipeline":{"address":"PLATFORM","news":{"Revision":1,"Wave":3,"State":"Healthy","MaxShare":1.0,
"AgeMs":60000}},"known":{"version":5,"full":true,"servers":[KNOWN]},"settings":{
"clients":{"marks-retry":true},"family":"rollout","family-info":{"behind-price":0.35,"blast-price":3.0,
"call-timeout":1200000,"calls-per-s":300.0,"forward-only":false,"free":3.0,"gate-mode":"single","guarded-stages":1,
"layout":"rolling","metrics-period":0,"min-dwell":1500000,"most-shares":[0.07,0.28,0.7,1.0],"moves-after":0,
"news-period":6000000,"on-votes":1,"per":"all","reported-share":0.0,"rings":[0.05,0.2,0.5,1.0],"span":4000000,
"vote-ttl":6000000,"votes-to-revert":1},"feedback":{"how":"probe","names":["lat_ms"]},"instances":2,
"limits":{"conn-idle":30000000,"connect-timeout":2000000,"max-attempts":3,"max-open":26666,
"max-retry-after":2000000,"may-cancel":true,"peers":true,"probing":true,"retry-after":true,
"streams-per-conn":32},"me":0,
"membership-mode":"push","profiles":[
{"aim":20000000,"give-up":30000000,"group":"all","late-value":0.0,"name":"read","repeat":"retryable","window":0,"worth":1.0},
{"aim":20000000,"give-up":30000000,"group":"all","late-value":0.2,"name":"post","repeat":"dedup","window":30000000,"worth":5.0},
{"aim":20000000,"give-up":30000000,"group":"all","late-value":0.0,"name":"book","repeat":"fragile","window":0,"worth":3.0}],
"rules":{"answer-slack":20000,"cold-from":0.34,"fall-multiple":2.5,"overload-for":1000000,"ramp-time":4400000,
"stop-sending-within":250000},"shapes":["m"],"tenants":[],"tick":5000,"zone":0,"zones":["x"]}}"#;

/// The text of a start file. Addresses stand in it as words in capitals until [`StartFileTemplate::render`] fills them
/// in.
#[derive(Clone, Debug)]
pub struct StartFileTemplate {
    /// The text as it stands.
    pub text: String,
}

impl Default for StartFileTemplate {
    fn default() -> Self {
        StartFileTemplate {
            text: START_FILE.into(),
        }
    }
}

impl StartFileTemplate {
    /// Replaces the value of each field of this name; the value `none` removes the field.
    ///
    /// # Panics
    /// If no field has this name.
    pub fn set(&mut self, field: &str, value: &str) {
        let key = format!("\"{field}\":");
        let mut searched = 0;
        while let Some(offset) = self.text[searched..].find(&key) {
            let key_start = searched + offset;
            let value_start = key_start + key.len();
            let value_end = self.value_end(value_start);
            if value == "none" {
                // With the comma behind it.
                self.text.replace_range(key_start..value_end + 1, "");
            } else {
                self.text.replace_range(value_start..value_end, value);
            }
            searched = value_start.min(self.text.len());
        }
        assert!(searched > 0, "no field {field}");
    }

    /// Where the value that starts here ends: a list behind its bracket, anything else before the next separator.
    fn value_end(&self, start: usize) -> usize {
        let value = &self.text[start..];
        if value.starts_with('[') {
            start + value.find(']').expect("the list ends") + 1
        } else {
            start + value.find([',', '}', ']']).expect("the value ends")
        }
    }

    /// The text with each place holder replaced by its value.
    pub fn render(&self, values: &[(&str, String)]) -> String {
        values
            .iter()
            .fold(self.text.clone(), |text, (placeholder, value)| {
                text.replace(placeholder, value)
            })
    }
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry<'a> {
    name: &'a str,
    address: SocketAddr,
    zone: &'a str,
    state: &'a str,
    build: &'a str,
    started: Option<SystemTime>,
}

impl<'a> EndpointEntry<'a> {
    /// An endpoint that started a minute ago. `state` is as on the wire: `ready`, `draining` or `gone`; `build` is a
    /// JSON value.
    pub fn new(
        name: &'a str,
        address: SocketAddr,
        zone: &'a str,
        state: &'a str,
        build: &'a str,
    ) -> Self {
        EndpointEntry {
            name,
            address,
            zone,
            state,
            build,
            started: None,
        }
    }

    /// With the time of its start, unless `started` is `None`.
    pub fn started_at(mut self, started: Option<SystemTime>) -> Self {
        self.started = started;
        self
    }

    /// The entry as a JSON object on one line.
    ///
    /// # Panics
    /// If the clock is before 1970.
    pub fn to_json(&self) -> String {
        /// The same for all entries of a process: another time would be another start of the endpoint.
        static LONG_AGO: OnceLock<SystemTime> = OnceLock::new();
        let long_ago = || *LONG_AGO.get_or_init(|| SystemTime::now() - Duration::from_secs(60));
        let started_ms = self
            .started
            .unwrap_or_else(long_ago)
            .duration_since(UNIX_EPOCH)
            .expect("a time after 1970")
            .as_millis();
        let EndpointEntry {
            name,
            address,
            zone,
            state,
            build,
            ..
        } = self;
        format!(
            "{{\"id\":\"s-{name}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"kind\":\"m\",\"cell\":0,\
             \"state\":\"{state}\",\"weight\":1.0,\"started_ms\":{started_ms},\"release\":{build}}}"
        )
    }
}
