//! Owns the decision engine and runs its rounds: one for each batch of events, expired timers, or change of the release
//! gate that is due.
//!
//! Nothing else may call the engine, and a round never waits. Events that are ready at the same time share a round.
use std::fmt;
use std::time::Duration;

use futures_lite::future;
use lilacgate_decision::{DecisionEngine, EventHandler as _};

use crate::dispatcher::{ActionDispatcher, RoundActions, WakeUp};
use crate::event_loop::Event;
use crate::log::{Count, count};
use crate::loop_monitor::LoopStep;
use crate::release_gate::{EventRouter, ReleaseGateHost};

/// The decision engine, with the release gate that its events pass and the dispatcher that carries out its actions.
pub struct EngineHost {
    /// The decision engine, which is called only by this host.
    pub engine: DecisionEngine,
    /// Restricts the engine by the operator's rules.
    pub gate_host: ReleaseGateHost,
    /// Carries out the engine's actions.
    pub dispatcher: ActionDispatcher,
}

impl fmt::Debug for EngineHost {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("EngineHost")
            .field("dispatcher", &self.dispatcher)
            .finish_non_exhaustive()
    }
}

impl EngineHost {
    /// Runs rounds for as long as the agent runs.
    pub async fn run(mut self) {
        loop {
            let first_event = self.wait_for_event().await;
            // Let other tasks queue their events, so that they are handled in this round.
            future::yield_now().await;
            let now = self.dispatcher.event_loop.clock.now();
            let expired = self.dispatcher.wake_ups.take_expired(now);
            self.count_round(expired.first(), now);
            self.dispatcher.recorder.advance(now);
            // The recorder's own timer does not need a round.
            let gate_is_due = self.gate_host.next_change().is_some_and(|next| next <= now);
            if first_event.is_some() || !expired.is_empty() || gate_is_due {
                self.round(now, first_event, &expired);
            }
        }
    }

    /// Waits for the next event, which is returned, or for the next timer.
    async fn wait_for_event(&self) -> Option<Event> {
        let queue = self.dispatcher.event_loop.queue();
        let clock = self.dispatcher.event_loop.clock;
        let next = [
            self.dispatcher.wake_ups.next(),
            self.gate_host.next_change(),
            self.dispatcher.recorder.next_tick(),
        ];
        let next = next.into_iter().flatten().min();
        let timer = async {
            match next {
                Some(time) => clock.sleep_until(time).await,
                None => future::pending().await,
            }
            None
        };
        future::or(async { queue.recv().await.ok() }, timer).await
    }

    /// Counts a round. It counts as late if its earliest timer expired more than the answer slack ago.
    fn count_round(&self, earliest: Option<&WakeUp>, now: Duration) {
        let slack = self.dispatcher.event_loop.answer_slack();
        if earliest.is_some_and(|wake_up| wake_up.time + slack < now) {
            count(Count::LateRounds);
        }
        count(Count::Rounds);
    }

    /// Runs one round: advances the release gate, then handles the events in their order, then the expired timers.
    fn round(&mut self, now: Duration, first_event: Option<Event>, expired: &[WakeUp]) {
        let event_loop = self.dispatcher.event_loop.clone();
        let recorder = self.dispatcher.recorder.clone();
        let gate_host = &mut self.gate_host;
        let handle_events = |engine: &mut dyn lilacgate_decision::EventHandler| {
            let mut router = EventRouter {
                engine,
                gate_host,
                recorder: &recorder,
                now,
            };
            router.advance();
            if let Some(event) = first_event {
                event(&mut router);
            }
            event_loop.handle_queued_events(&mut router);
            for wake_up in expired {
                router.on_wake_up(wake_up.timer);
            }
        };
        let monitored_loop = event_loop.clone();
        let mut actions = RoundActions {
            dispatcher: &mut self.dispatcher,
            now,
        };
        let engine = &mut self.engine;
        monitored_loop.monitor.measure(LoopStep::Round, || {
            engine.round(now, handle_events, &mut actions);
        });
    }
}
