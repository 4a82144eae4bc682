//! Handles the signals that a running agent receives: write counters and state, reload, and shut down.
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;

use crate::clients::Clients;
use crate::discovery::Discovery;
use crate::error::StartFileError;
use crate::json::Json;
use crate::log::{self, Quoted, info};
use crate::operator_file::OperatorFile;
use crate::platform::Platform;
use crate::signals::{Command, SignalStream};
use crate::start_config::{self, StartConfig};

/// How long to wait at the end for the reader of the log to take the last lines.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the start file at a path.
///
/// # Errors
/// Fails if the file cannot be read or cannot be used.
pub(crate) fn read_start_file(path: &str) -> Result<StartConfig, StartFileError> {
    let text = std::fs::read(path).map_err(|error| StartFileError::Unreadable {
        path: path.to_owned(),
        error,
    })?;
    start_config::read(&text)
}

/// The components that signals act on.
pub(crate) struct Lifecycle {
    pub(crate) signals: SignalStream,
    /// The path of the start file.
    pub(crate) path: String,
    /// The start file as it was when the agent started.
    pub(crate) initial_file: Json,
    pub(crate) discovery: Rc<Discovery>,
    pub(crate) platform: Rc<Platform>,
    pub(crate) operator_file: OperatorFile,
}

impl Lifecycle {
    /// Handles signals until the agent ends.
    ///
    /// After the first signal to stop, the agent goes on serving for as long as it may, then answers every request that
    /// it has accepted. A second one makes it stop accepting at once, and a third one ends it immediately.
    pub(crate) async fn run(mut self, clients: Rc<Clients>) {
        self.handle_until_stop().await;
        info!("shutdown_started");
        let stopped_again = async {
            self.handle_until_stop().await;
            info!("shutdown_expedited");
            clients.drain();
            self.handle_until_stop().await;
        };
        clients.shut_down().or(stopped_again).await;
        // Empties the queue first, so that there is room for the line of the counters.
        log::flush(LOG_FLUSH_TIMEOUT);
        write_counters();
        log::flush(LOG_FLUSH_TIMEOUT);
    }

    /// Handles signals until the next one to stop.
    async fn handle_until_stop(&mut self) {
        loop {
            match self.signals.next().await {
                Command::WriteState => {
                    write_counters();
                    self.operator_file.write_state();
                }
                Command::Reload => {
                    self.reload();
                    self.operator_file.reload();
                }
                Command::Stop => return,
            }
        }
    }

    /// Reloads the start file: takes over the addresses of discovery and the platform, and nothing else. A file that
    /// cannot be used changes nothing.
    fn reload(&self) {
        let config = match read_start_file(&self.path) {
            Ok(config) => config,
            Err(error) => return info!("reload_failed file=start error={}", Quoted(error)),
        };
        let ignored = start_config::differences(&self.initial_file, &config.file);
        if !ignored.is_empty() {
            info!(
                "reload_requires_restart fields={}",
                Quoted(ignored.join(", "))
            );
        }
        info!(
            "reload_completed file=start discovery={} platform={}",
            config.discovery, config.platform
        );
        self.discovery.address.set(config.discovery);
        self.platform.release_watch.address.set(config.platform);
    }
}

fn write_counters() {
    log::write(format!("counters{}", log::counters()));
}
