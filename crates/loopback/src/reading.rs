//! Readings of a fleet's counters at the begin and the end of a window, and the figures between two of them.

use std::time::Duration;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

use crate::agent::Usage;
use crate::client::{Answered, Outcome};
use crate::traffic::Counts;
use crate::window::{Control, Requests, Window};

/// All counters of a fleet at one moment.
pub(crate) struct Reading {
    pub(crate) at: Instant,
    pub(crate) control: Control,
    pub(crate) datagrams_to_each: Vec<Counts>,
    pub(crate) usage: Vec<Usage>,
}

impl Reading {
    /// The window between an earlier reading and this one.
    pub(crate) fn window_since(
        self,
        begin: Reading,
        request_rate: f64,
        requests: Requests,
        complete: bool,
    ) -> Window {
        let difference = |of: fn(&Usage) -> Duration| -> Vec<Duration> {
            let pairs = begin.usage.iter().zip(&self.usage);
            pairs
                .map(|(begin, end)| of(end).saturating_sub(of(begin)))
                .collect()
        };
        let processor = difference(|usage| usage.processor);
        let run_queue_wait = difference(|usage| usage.run_queue_wait);
        let datagrams = begin.datagrams_to_each.iter().zip(&self.datagrams_to_each);
        let datagrams_to_each = datagrams.map(|(begin, end)| *end - *begin).collect();
        Window {
            request_rate,
            lasted: self.at - begin.at,
            processor,
            run_queue_wait,
            control: self.control.since(&begin.control),
            datagrams_to_each,
            at_end: self.usage,
            requests,
            complete,
        }
    }
}

/// Takes all reported outcomes from the channel and sums them up.
pub(crate) fn take_answers(answers: &mut UnboundedReceiver<Answered>) -> Requests {
    let mut requests = Requests::default();
    while let Ok(answered) = answers.try_recv() {
        match answered.outcome {
            Outcome::Served => {
                requests.served += 1;
                let added = answered.took.saturating_sub(answered.at_appliance);
                requests.added_latencies.push(added);
            }
            Outcome::Refused => requests.refused += 1,
            Outcome::Lost => requests.lost += 1,
            Outcome::Closed => requests.closed += 1,
        }
    }
    requests
}
