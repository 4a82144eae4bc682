//! Notifications between the tasks of the event loop, which run on a single thread.
use async_channel::{Receiver, Sender};

/// An event that happens once. It wakes all waiting tasks, and later waits return at once.
#[derive(Debug)]
pub struct Notifier {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Notifier {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Notifier { sender, receiver }
    }
}

impl Notifier {
    /// Marks the event as having happened; later calls have no effect.
    pub fn notify(&self) {
        self.sender.close();
    }

    /// Whether the event has happened.
    pub fn is_notified(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the event has happened.
    pub async fn notified(&self) {
        self.receiver.recv().await.ok();
    }
}

/// A repeatable wake-up signal for one waiting task. A signal that is sent while another one is pending is merged with
/// it.
#[derive(Debug)]
pub struct WakeSignal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for WakeSignal {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        WakeSignal { sender, receiver }
    }
}

impl WakeSignal {
    /// Wakes the waiting task, or lets its next [`wait`](Self::wait) return at once.
    pub fn wake(&self) {
        self.sender.try_send(()).ok();
    }

    /// Waits for a wake-up, and consumes it.
    pub async fn wait(&self) {
        self.receiver.recv().await.ok();
    }
}
