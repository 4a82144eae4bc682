//! Owns the thread that writes, and the way to it: batches in a bounded queue, taken without waiting. It must never make
//! whoever hands in a batch wait; the first fault of the disk ends writing for good, with one word of why.
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use lilacgate_timeline::entry::Record;

use crate::writer::Writer;

/// Batches that may wait.
const WAITING: usize = 16;

pub struct Pump {
    to: Option<SyncSender<(Duration, Vec<Record>)>>,
    fault: Arc<Mutex<Option<String>>>,
    life: Option<thread::JoinHandle<()>>,
}

/// What became of a batch.
#[derive(Debug, PartialEq)]
pub enum Handed {
    Taken,
    /// The disk is behind: the batch comes back.
    Behind(Vec<Record>),
    /// Writing has ended; why, the first time it is seen.
    Over(Option<String>),
}

impl Pump {
    pub fn new(mut writer: Writer) -> Pump {
        let (to, from): (_, Receiver<(Duration, Vec<Record>)>) = sync_channel(WAITING);
        let fault = Arc::new(Mutex::new(None));
        let said = fault.clone();
        let life = thread::spawn(move || {
            for (now, batch) in from {
                if let Err(why) = writer.append(now, &batch) {
                    *said
                        .lock()
                        .unwrap_or_else(std::sync::PoisonError::into_inner) = Some(why.to_string());
                    return;
                }
            }
        });
        Pump {
            to: Some(to),
            fault,
            life: Some(life),
        }
    }

    /// Hands a batch over.
    pub fn hand(&mut self, now: Duration, batch: Vec<Record>) -> Handed {
        let Some(to) = &self.to else {
            return Handed::Over(None);
        };
        match to.try_send((now, batch)) {
            Ok(()) => Handed::Taken,
            Err(TrySendError::Full((_, batch))) => Handed::Behind(batch),
            Err(TrySendError::Disconnected(_)) => {
                self.to = None;
                let fault = self
                    .fault
                    .lock()
                    .unwrap_or_else(std::sync::PoisonError::into_inner)
                    .take();
                Handed::Over(Some(fault.unwrap_or_else(|| "the writer has ended".into())))
            }
        }
    }
}

impl Drop for Pump {
    /// Waits until all that was taken is written.
    fn drop(&mut self) {
        self.to = None;
        self.life.take().map(|life| life.join().ok());
    }
}
