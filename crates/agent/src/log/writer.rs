//! Writes log lines to standard error on a separate thread, so that a stalled reader blocks nothing else. The rate of
//! each call site and the number of queued lines are limited.
use std::fmt::Display;
use std::io::{self, Write as _};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::log::counters::{Count, count};

/// How many lines a call site may write per second. Further lines are suppressed, and the next line that is written
/// says how many.
const MAX_LINES_PER_SECOND: u64 = 20;

/// How many lines may wait for the writer thread.
const MAX_QUEUED_LINES: usize = 256;

/// How often a flush tries to enter a full queue before its timeout ends.
const MAX_FLUSH_ATTEMPTS: u32 = 1000;

/// A place in the code that writes log lines, with its rate limit.
#[derive(Debug, Default)]
pub struct CallSite {
    /// The second of the last attempt to write, since the Unix epoch.
    second: AtomicU64,
    /// How many lines it has attempted to write in this second.
    attempted: AtomicU64,
    /// How many lines were suppressed since the last line that was written.
    suppressed: AtomicU64,
}

impl CallSite {
    /// Creates a call site that has written nothing yet.
    pub const fn new() -> Self {
        CallSite {
            second: AtomicU64::new(0),
            attempted: AtomicU64::new(0),
            suppressed: AtomicU64::new(0),
        }
    }

    /// Counts an attempt to write in this second. Returns the number of lines suppressed before this one, or `None` if
    /// this line is to be suppressed too.
    pub fn may_write(&self, second: u64) -> Option<u64> {
        if self.second.swap(second, Relaxed) != second {
            self.attempted.store(0, Relaxed);
        }
        if self.attempted.fetch_add(1, Relaxed) < MAX_LINES_PER_SECOND {
            Some(self.suppressed.swap(0, Relaxed))
        } else {
            self.suppressed.fetch_add(1, Relaxed);
            None
        }
    }

    /// Writes a line after the current time, unless too many have been written in this second.
    pub fn write(&self, line: impl Display) {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        let time = now.as_secs_f64();
        match self.may_write(now.as_secs()) {
            Some(0) => write(format!("{time:.3} {line}")),
            Some(suppressed) => {
                write(format!("{time:.3} {line} suppressed_lines={suppressed}"));
            }
            None => {}
        }
    }
}

/// A message to the writer thread.
enum Message {
    Line(String),
    /// Answered once all lines before it have been written.
    Flush(SyncSender<()>),
}

static QUEUE: OnceLock<SyncSender<Message>> = OnceLock::new();

/// The queue of the writer thread, which is started on first use.
fn queue() -> &'static SyncSender<Message> {
    QUEUE.get_or_init(|| {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        // If the thread cannot be started, the receiver is dropped and lines are written by their callers.
        thread::Builder::new()
            .spawn(move || write_messages(receiver))
            .ok();
        sender
    })
}

/// Writes a line to standard error. A line that cannot be written is counted as lost: a full disk behind standard error
/// must not end the agent.
fn write_line(line: &str) {
    if writeln!(io::stderr().lock(), "{line}").is_err() {
        count(Count::LogLinesLost);
    }
}

fn write_messages(messages: Receiver<Message>) {
    for message in messages {
        match message {
            Message::Line(line) => write_line(&line),
            Message::Flush(done) => drop(done.try_send(())),
        }
    }
}

/// Queues a line for the writer thread. If the queue is full, the line is dropped and counted as lost.
pub fn write(line: String) {
    match queue().try_send(Message::Line(line)) {
        Err(TrySendError::Disconnected(Message::Line(line))) => write_line(&line),
        Err(_) => count(Count::LogLinesLost),
        Ok(()) => {}
    }
}

/// Waits until all queued lines have been written, for at most `timeout`.
pub fn flush(timeout: Duration) {
    let deadline = Instant::now() + timeout;
    let (sender, receiver) = sync_channel(1);
    let mut message = Message::Flush(sender);
    while let Err(TrySendError::Full(returned)) = queue().try_send(message) {
        if Instant::now() >= deadline {
            return;
        }
        message = returned;
        thread::sleep(timeout / MAX_FLUSH_ATTEMPTS);
    }
    let left = deadline.saturating_duration_since(Instant::now());
    receiver.recv_timeout(left).ok();
}

/// Writes a log line, unless the call site has written too many in this second.
macro_rules! info {
    ($($what:tt)*) => {{
        static CALL_SITE: $crate::log::CallSite = $crate::log::CallSite::new();
        CALL_SITE.write(format_args!($($what)*))
    }};
}
pub(crate) use info;
