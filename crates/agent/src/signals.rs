//! The signals that the agent handles, as a stream.
//!
//! Each kind of signal has a pipe of its own and sends one byte on it, so that no read can tear one. A read that fails
//! is no signal: it is made again.
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};

use crate::log::{Quoted, info};
use crate::transport::uninterrupted;

/// How long to wait after a pipe could not be read.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// SIGUSR1: show the counters, and write state files.
    WriteState,
    /// SIGHUP: read the files again.
    Reload,
    /// SIGTERM and SIGINT: shut down.
    Stop,
}

/// The pipe of the signals that ask for one command.
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

    /// Waits for the next of these signals.
    async fn next(&self) -> Command {
        loop {
            let read = |mut pipe: &UnixStream| uninterrupted(|| pipe.read(&mut [0]));
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
    /// Takes over the handling of the signals.
    ///
    /// # Errors
    /// The handlers cannot be installed.
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
