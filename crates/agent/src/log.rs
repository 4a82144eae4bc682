//! Owns what staff sees: the one macro that writes log lines, at a bounded rate, the codes of how connections end, and
//! the counters. It must never block, and nothing may be decided by what it holds.
use std::fmt::Display;
use std::io;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Lines that one place may write in a second; the rest is counted, and the count stands in its next line.
const LINES: u64 = 20;

/// What a place has written in this second, and left out since its last line.
pub struct Place {
    second: AtomicU64,
    said: AtomicU64,
    left_out: AtomicU64,
}

impl Default for Place {
    fn default() -> Self {
        Place::new()
    }
}

impl Place {
    pub const fn new() -> Self {
        Place {
            second: AtomicU64::new(0),
            said: AtomicU64::new(0),
            left_out: AtomicU64::new(0),
        }
    }

    /// Whether a line may go out in this second; if so, how many were left out before it.
    pub fn may_say(&self, second: u64) -> Option<u64> {
        if self.second.swap(second, Relaxed) != second {
            self.said.store(0, Relaxed);
        }
        if self.said.fetch_add(1, Relaxed) < LINES {
            Some(self.left_out.swap(0, Relaxed))
        } else {
            self.left_out.fetch_add(1, Relaxed);
            None
        }
    }

    pub fn write(&self, line: impl Display) {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        match self.may_say(now.as_secs()) {
            Some(0) => write(format!("{:.3} {line}", now.as_secs_f64())),
            Some(left_out) => {
                write(format!(
                    "{:.3} {line} (and {left_out} like it left out)",
                    now.as_secs_f64()
                ));
            }
            None => {}
        }
    }
}

/// What the thread that writes is given: a line, or word that someone waits until all before is out.
enum Item {
    Line(String),
    Mark(SyncSender<()>),
}

/// Lines that may wait for whoever reads the log.
const WAITING: usize = 256;
static OUT: OnceLock<SyncSender<Item>> = OnceLock::new();

fn out() -> &'static SyncSender<Item> {
    OUT.get_or_init(|| {
        let (to, items) = sync_channel(WAITING);
        // A reader that stands still holds up this thread, and nothing else.
        let writes = move || {
            for item in items {
                match item {
                    Item::Line(line) => eprintln!("{line}"),
                    Item::Mark(done) => drop(done.try_send(())),
                }
            }
        };
        // Where the machine has no thread left, nobody takes the lines: then they go out from where they are.
        thread::Builder::new().spawn(writes).ok();
        to
    })
}

/// Writes a line as soon as the log's reader takes it; while too many wait for that it is left out, and counted.
pub fn write(line: String) {
    match out().try_send(Item::Line(line)) {
        Err(TrySendError::Disconnected(Item::Line(line))) => eprintln!("{line}"),
        Err(_) => count(Count::LinesLost),
        Ok(()) => {}
    }
}

/// Waits until all lines are out, and no longer than so.
pub fn flush(wait: Duration) {
    let last = Instant::now() + wait;
    let (done, is_done) = sync_channel(1);
    let mut mark = Item::Mark(done);
    while let Err(TrySendError::Full(back)) = out().try_send(mark) {
        if Instant::now() >= last {
            return;
        }
        mark = back;
        thread::sleep(wait / 1000);
    }
    is_done
        .recv_timeout(last.saturating_duration_since(Instant::now()))
        .ok();
}

/// Writes a log line, unless its place has written too many in this second.
macro_rules! info {
    ($($what:tt)*) => {{
        static PLACE: $crate::log::Place = $crate::log::Place::new();
        PLACE.write(format_args!($($what)*))
    }};
}
pub(crate) use info;

macro_rules! codes {
    ($($name:ident $code:literal)*) => {
        /// Why a connection ended. What each code means, and what to do, is in docs/on-call.md.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum End { $($name),* }

        impl Display for End {
            fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str(match self { $(End::$name => $code),* })
            }
        }
    };
}

codes! {
    Closed "closed"
    Reset "reset"
    Refused "refused"
    Unreachable "unreachable"
    Silent "silent"
    Stalled "stalled"
    Malformed "malformed"
    TooLong "too-long"
    Flood "flood"
    GivenUp "given-up"
    Idle "idle"
    Crowded "crowded"
    Stale "stale"
    Gone "gone"
    Moved "moved"
    OwnLimit "own-limit"
    Stopping "stopping"
    Failed "failed"
}

impl From<io::Error> for End {
    fn from(fault: io::Error) -> End {
        match fault.kind() {
            io::ErrorKind::ConnectionRefused => End::Refused,
            io::ErrorKind::UnexpectedEof => End::Closed,
            io::ErrorKind::ConnectionReset
            | io::ErrorKind::BrokenPipe
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::NotConnected => End::Reset,
            io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable => End::Unreachable,
            // No port is free. EMFILE and ENFILE have no kind of their own.
            io::ErrorKind::AddrNotAvailable => End::OwnLimit,
            _ if matches!(fault.raw_os_error(), Some(23 | 24)) => End::OwnLimit,
            _ => End::Failed,
        }
    }
}

macro_rules! counts {
    ($($name:ident $text:literal)*) => {
        /// What is counted since the start.
        #[derive(Clone, Copy)]
        pub enum Count { $($name),* }

        const NAMES: &[&str] = &[$($text),*];
    };
}

counts! {
    ClientsIn "clients_accepted"
    ClientsOut "clients_ended"
    RequestsTaken "requests_taken"
    CommandsRefused "commands_refused"
    Settled "settled"
    Declined "declined"
    TurnedAway "turned_away"
    Voided "voided"
    ClientsLeft "left_by_client"
    Attempts "attempts"
    EndedServed "attempts_served"
    EndedFailed "attempts_failed"
    EndedTurnedAway "attempts_turned_away"
    EndedTimedOut "attempts_timed_out"
    EndedUnconnected "attempts_unconnected"
    EndedBroken "attempts_broken"
    EndedSpoilt "attempts_spoilt"
    EndedCalledOff "attempts_called_off"
    EndedUnsent "attempts_unsent"
    LinksOpened "links_opened"
    LinksClosed "links_closed"
    Probes "probes"
    MembershipUpdates "membership_updates"
    ReleaseUpdate "news"
    VoteSender "votes"
    ServiceNews "service_news"
    Openings "openings"
    Departures "departures"
    PeersOut "datagrams_sent"
    PeersIn "datagrams_taken"
    Strangers "datagrams_dropped"
    Rounds "rounds"
    Calls "calls_queued"
    LateRounds "rounds_late"
    LinesLost "log_lines_lost"
}

static COUNTS: [AtomicU64; NAMES.len()] = [const { AtomicU64::new(0) }; NAMES.len()];

pub fn count(what: Count) {
    add(what, 1);
}

pub fn add(what: Count, many: u64) {
    COUNTS[what as usize].fetch_add(many, Relaxed);
}

/// All counters, on one line.
pub fn counters() -> String {
    let one = |(name, count): (&&str, &AtomicU64)| format!(" {name}={}", count.load(Relaxed));
    NAMES.iter().zip(&COUNTS).map(one).collect()
}
