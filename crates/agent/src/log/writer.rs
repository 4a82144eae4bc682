//! Writes log lines to standard error on a thread of its own, so that a reader which stands still holds up nothing
//! else. The rate of each call site is bounded, and so are the lines that wait for the reader.
use std::fmt::Display;
use std::io::{self, Write as _};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::log::counters::{Count, count};

/// How many lines a call site may write in a second; the rest is counted, and the next line says how many they were.
const MAX_LINES_PER_SECOND: u64 = 20;

/// How many lines may wait for the reader.
const MAX_QUEUED_LINES: usize = 256;

/// How many times a flush tries to get into a full queue.
const MAX_FLUSH_ATTEMPTS: u32 = 1000;

/// A place in the code that writes log lines, and the bound on its rate.
#[derive(Debug, Default)]
pub struct CallSite {
    /// The second in which it last tried to write, since the Unix epoch.
    second: AtomicU64,
    /// The lines that it tried to write in this second.
    attempted: AtomicU64,
    /// The lines that it has left out since its last one.
    suppressed: AtomicU64,
}

impl CallSite {
    /// A call site that has written nothing yet.
    pub const fn new() -> Self {
        CallSite {
            second: AtomicU64::new(0),
            attempted: AtomicU64::new(0),
            suppressed: AtomicU64::new(0),
        }
    }

    /// Whether a line may be written in this second; if so, how many were left out before it.
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

    /// Writes a line with the present time before it, unless too many have been written in this second.
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

/// What the writing thread is sent.
enum Message {
    Line(String),
    /// Answered once all lines before it are out.
    Flush(SyncSender<()>),
}

static QUEUE: OnceLock<SyncSender<Message>> = OnceLock::new();

/// The way to the writing thread, which is started at the first use.
fn queue() -> &'static SyncSender<Message> {
    QUEUE.get_or_init(|| {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        // Without a thread the receiver is dropped, and lines are written where they come from.
        thread::Builder::new()
            .spawn(move || write_messages(receiver))
            .ok();
        sender
    })
}

/// Writes a line to standard error. One that cannot be written is lost: a full disk behind it must end nothing.
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

/// Writes a line as soon as the log's reader takes it. It is left out and counted if too many lines wait already.
pub fn write(line: String) {
    match queue().try_send(Message::Line(line)) {
        Err(TrySendError::Disconnected(Message::Line(line))) => write_line(&line),
        Err(_) => count(Count::LogLinesLost),
        Ok(()) => {}
    }
}

/// Waits until all lines are out, for `timeout` at most.
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

/// Writes a log line, unless its call site has written too many in this second.
macro_rules! info {
    ($($what:tt)*) => {{
        static CALL_SITE: $crate::log::CallSite = $crate::log::CallSite::new();
        CALL_SITE.write(format_args!($($what)*))
    }};
}
pub(crate) use info;
