//! Watches whether the endpoint gets a request that has been written to its connection.
use std::rc::Rc;
use std::time::Duration;

use futures_lite::{FutureExt, future};
use lilacgate_decision::{DeliveryLimits, DeliveryProgress, DeliveryStep, Outcome};

use super::UpstreamPool;
use crate::log::{Count, count};
use crate::transport::{Notifier, SendQueue, SocketAddresses};

/// A command of at most this many bytes goes out in one segment, which the endpoint's machine gets whole or not at all.
const ONE_SEGMENT: usize = 1 << 10;

/// A request whose last byte the socket has taken.
pub(super) struct WrittenRequest {
    /// The connection; `None` if it is not connected any more.
    pub(super) addresses: Option<SocketAddresses>,
    pub(super) command_bytes: usize,
    /// When the time left to the client was determined, which the request tells.
    pub(super) encoded_at: Duration,
    pub(super) written_at: Duration,
    /// The end of the request's deduplication window, if the attempt is a repeat of one that may have run.
    pub(super) send_by: Option<Duration>,
    /// Notified when the request needs no answer any more.
    pub(super) request_over: Rc<Notifier>,
}

impl WrittenRequest {
    /// Waits until the attempt has to be given up because its endpoint has not got it in time, and returns its outcome. The
    /// connection has to be closed abortively at once. Never returns for an attempt that is delivered.
    pub(super) async fn give_up(&self, pool: &UpstreamPool) -> Outcome {
        let mut limits = self.limits();
        let mut step = limits.first_check();
        loop {
            match step {
                DeliveryStep::GiveUp(outcome) => {
                    count(Count::AttemptsUndelivered);
                    return outcome;
                }
                DeliveryStep::CheckAt(time) => {
                    let clock = pool.clock();
                    let check = clock.sleep_until(time);
                    check.or(self.request_over(&limits)).await;
                }
                DeliveryStep::Await => self.request_over(&limits).await,
            }
            let now = pool.clock().now();
            if limits.request_over_at.is_none() && self.request_over.is_notified() {
                limits.request_over_at = Some(now);
            }
            step = limits.step(now, self.progress(pool));
        }
    }

    /// Whether the endpoint has replied although it has not got the whole request.
    pub(super) fn is_incomplete(&self, pool: &UpstreamPool) -> bool {
        self.command_bytes > ONE_SEGMENT
            && self
                .send_queue(pool)
                .is_some_and(|queue| queue.unacknowledged > 0)
    }

    fn limits(&self) -> DeliveryLimits {
        DeliveryLimits {
            encoded_at: self.encoded_at,
            written_at: self.written_at,
            send_by: self.send_by,
            request_over_at: None,
        }
    }

    /// Waits until the request needs no answer any more; never returns if that is known already.
    async fn request_over(&self, limits: &DeliveryLimits) {
        if limits.request_over_at.is_some() {
            future::pending::<()>().await;
        }
        self.request_over.notified().await;
    }

    fn progress(&self, pool: &UpstreamPool) -> DeliveryProgress {
        match self.send_queue(pool) {
            Some(SendQueue {
                unacknowledged: 0, ..
            }) => DeliveryProgress::Delivered,
            Some(SendQueue { unsent: 1.., .. }) => DeliveryProgress::Unsent,
            Some(_) => DeliveryProgress::InTransit,
            // Without the kernel's word, only a request of one segment counts as delivered.
            None if self.command_bytes <= ONE_SEGMENT => DeliveryProgress::Delivered,
            None => DeliveryProgress::InTransit,
        }
    }

    /// What the kernel holds of the request; `None` if the kernel does not tell.
    fn send_queue(&self, pool: &UpstreamPool) -> Option<SendQueue> {
        let addresses = self.addresses?;
        pool.send_queues.read(addresses).ok()
    }
}
