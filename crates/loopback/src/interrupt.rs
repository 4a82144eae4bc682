//! SIGINT and SIGTERM end a run early: what has been measured by then is kept.

use std::future::pending;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::error::LoopbackError;

/// Whether the run is to end early.
#[derive(Clone, Debug)]
pub struct Interrupt(watch::Receiver<bool>);

impl Interrupt {
    /// An interrupt that SIGINT and SIGTERM set from now on.
    ///
    /// # Errors
    /// [`LoopbackError::Setup`] if the signal handlers cannot be installed.
    pub fn on_signals() -> Result<Self, LoopbackError> {
        let interrupt = signal(SignalKind::interrupt()).map_err(LoopbackError::setup("signals"))?;
        let terminate = signal(SignalKind::terminate()).map_err(LoopbackError::setup("signals"))?;
        let (sender, receiver) = watch::channel(false);
        tokio::spawn(wait_for_signal(interrupt, terminate, sender));
        Ok(Interrupt(receiver))
    }

    /// An interrupt that is never set.
    pub fn never() -> Self {
        Interrupt(watch::channel(false).1)
    }

    /// An interrupt that the returned trigger sets.
    pub fn by_trigger() -> (Trigger, Self) {
        let (sender, receiver) = watch::channel(false);
        (Trigger(sender), Interrupt(receiver))
    }

    /// Whether it is set.
    pub fn is_set(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until it is set.
    pub async fn wait(&self) {
        let mut receiver = self.0.clone();
        if receiver.wait_for(|is_set| *is_set).await.is_err() {
            pending().await
        }
    }
}

/// Sets an interrupt.
#[derive(Debug)]
pub struct Trigger(watch::Sender<bool>);

impl Trigger {
    /// Sets the interrupt; the run ends as soon as it can.
    pub fn set(&self) {
        self.0.send_replace(true);
    }
}

async fn wait_for_signal(
    mut interrupt: Signal,
    mut terminate: Signal,
    sender: watch::Sender<bool>,
) {
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    sender.send_replace(true);
    // Keep the handlers installed: a second signal must not end this process and leave the agents running.
    sender.closed().await;
}
