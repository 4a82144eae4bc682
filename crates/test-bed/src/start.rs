//! Owns the start file that stand-ins give an agent, and its entries of the list. Figures in it are ours.
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const START: &str = r#"{"name":"n0","seed":"8c1f30d27a5be964","listen":"LISTEN","discovery":"DISCOVERY",
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

/// A start file's text. Places stand in it as words in capitals until they are filled in.
#[derive(Clone)]
pub struct Start(pub String);

impl Default for Start {
    fn default() -> Self {
        Start(START.into())
    }
}

impl Start {
    /// Another value in each field of this name; `none` takes the field out.
    ///
    /// # Panics
    /// Where no field has this name.
    pub fn set(&mut self, field: &str, value: &str) {
        let key = format!("\"{field}\":");
        let mut done = 0;
        while let Some(at) = self.0[done..].find(&key) {
            let from = done + at + key.len();
            // A list ends with its bracket, all else where the next thing begins.
            let ends: &[char] = if self.0[from..].starts_with('[') {
                &[']']
            } else {
                &[',', '}', ']']
            };
            let to =
                from + self.0[from..].find(ends).expect("it ends") + usize::from(ends.len() == 1);
            let whole = if value == "none" {
                from - key.len()..to + 1
            } else {
                from..to
            };
            self.0
                .replace_range(whole, if value == "none" { "" } else { value });
            done = from.min(self.0.len());
        }
        assert!(done > 0, "no field {field}");
    }

    /// With its places filled in.
    pub fn with(&self, places: &[(&str, String)]) -> String {
        places.iter().fold(self.0.clone(), |text, (name, value)| {
            text.replace(name, value)
        })
    }
}

/// An entry of the list, of an appliance that started then, or has run for long, but not for ever.
pub fn entry(
    name: &str,
    at: SocketAddr,
    zone: &str,
    state: &str,
    build: &str,
    started: Option<SystemTime>,
) -> String {
    static NOW: OnceLock<SystemTime> = OnceLock::new();
    let long_ago = || *NOW.get_or_init(SystemTime::now) - Duration::from_secs(60);
    let started = started
        .unwrap_or_else(long_ago)
        .duration_since(UNIX_EPOCH)
        .expect("a clock")
        .as_millis();
    format!(
        r#"{{"id":"s-{name}","addr":"{at}","zone":"{zone}","kind":"m","cell":0,"state":"{state}","weight":1.0,
"started_ms":{started},"release":{build}}}"#
    )
    .replace('\n', "")
}
