//! The signals that the agent handles, as a stream.
//!
//! Each command has its own pipe, on which each of its signals writes one byte, so that a read cannot return part of a
//! signal. A failed read is not a signal: it is retried after a pause.
//!
//! Only the main thread handles signals. The kernel may let any thread that does not block a signal handle it, and while
//! that thread waits for a processor, the event loop would go on as if there were no signal.
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use nix::sys::signal::{SigSet, SigmaskHow, Signal};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};

use crate::log::{Quoted, info};
use crate::transport::retry_interrupted;

/// The pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Blocks all signals that the agent handles in the current thread, and in the threads that it starts. They stay pending
/// until another thread unblocks them.
///
/// # Errors
/// Fails if the mask of the thread cannot be set.
pub(crate) fn block_in_thread() -> io::Result<()> {
    Ok(handled_signals().thread_block()?)
}

/// Lets the current thread handle the signals that the agent handles, and those that are pending at once. Threads that it
/// starts afterwards may handle them, too, unless they are started [`with_blocked`] signals.
///
/// # Errors
/// Fails if the mask of the thread cannot be set.
pub(crate) fn unblock_in_thread() -> io::Result<()> {
    Ok(handled_signals().thread_unblock()?)
}

/// Makes a call during which the current thread blocks the signals that the agent handles, so that the threads that it
/// starts meanwhile block them from their first instruction on.
pub(crate) fn with_blocked<T>(start_thread: impl FnOnce() -> T) -> T {
    // Without a mask the new thread may handle a signal, as late as it runs, which is no reason not to start it.
    let earlier_mask = handled_signals().thread_swap_mask(SigmaskHow::SIG_BLOCK);
    let result = start_thread();
    if let Ok(mask) = earlier_mask {
        mask.thread_set_mask().ok();
    }
    result
}

fn handled_signals() -> SigSet {
    SigSet::from_iter([
        Signal::SIGUSR1,
        Signal::SIGHUP,
        Signal::SIGTERM,
        Signal::SIGINT,
    ])
}

/// The command that a signal stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// SIGUSR1: write the counters to the log, and the state files.
    WriteState,
    /// SIGHUP: reload the start file and the operator's file.
    Reload,
    /// SIGTERM and SIGINT: shut down.
    Stop,
}

/// The pipe of the signals that stand for one command.
#[derive(Debug)]
struct SignalPipe {
    command: Command,
    reader: Async<UnixStream>,
}

impl SignalPipe {
    fn new(command: Command, signals: &[i32]) -> io::Result<Self> {
        let (reader, writer) = UnixStream::pair()?;
        for signal in signals {
            signal_hook::low_level::pipe::register(*signal, writer.try_clone()?)?;
        }
        Ok(SignalPipe {
            command,
            reader: Async::new(reader)?,
        })
    }

    /// Waits for the next signal on this pipe.
    async fn next(&self) -> Command {
        loop {
            let read = |mut pipe: &UnixStream| retry_interrupted(|| pipe.read(&mut [0]));
            match self.reader.read_with(read).await {
                Ok(1) => return self.command,
                Ok(_) => info!("signal_read_failed error=closed"),
                Err(error) => info!("signal_read_failed error={}", Quoted(error)),
            }
            Timer::after(READ_PAUSE).await;
        }
    }
}

/// The signals that the agent handles.
#[derive(Debug)]
pub(crate) struct SignalStream([SignalPipe; 3]);

impl SignalStream {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// Fails if a pipe cannot be opened or a handler cannot be installed.
    pub(crate) fn new() -> io::Result<Self> {
        Ok(SignalStream([
            SignalPipe::new(Command::WriteState, &[SIGUSR1])?,
            SignalPipe::new(Command::Reload, &[SIGHUP])?,
            SignalPipe::new(Command::Stop, &[SIGTERM, SIGINT])?,
        ]))
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&self) -> Command {
        let [write_state, reload, stop] = &self.0;
        future::or(write_state.next(), future::or(reload.next(), stop.next())).await
    }
}
