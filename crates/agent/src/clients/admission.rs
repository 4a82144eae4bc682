//! Admission control: rejects a request that would exceed a bound before the event loop accepts it.
use std::rc::Rc;
use std::time::Duration;

use lilacgate_decision::{Idempotency, Request, Tenant};

use super::Clients;
use super::command::{self, Command, CommandError, RequestArguments};
use super::connection_state::ConnectionState;
use super::request_ids::{IdReuse, IdStatus};
use crate::log::{Count, count};
use crate::resp;
use crate::unanswered::FinalAnswer;

/// One in this many connections gets no request slot while the others have requests in flight: its requests are rejected.
const CONNECTIONS_PER_ONE_WITHOUT_SLOT: usize = 5;

/// How many bytes a request in flight holds beside its parts: its state here and in the decision engine, and the task of
/// an attempt.
const REQUEST_STATE_SIZE: usize = 1 << 10;

impl Clients {
    /// Executes a command, or passes its request on to the event loop.
    ///
    /// # Errors
    ///
    /// Returns why the command is invalid. A request that is rejected because a bound is reached gets `-BUSY` as its
    /// reply and is no error.
    pub(super) fn execute(
        &self,
        arrived: Duration,
        parts: Vec<Vec<u8>>,
        connection: &Rc<ConnectionState>,
    ) -> Result<(), CommandError> {
        connection.last_activity.set(self.event_loop.clock.now());
        connection.has_received_command.set(true);
        match command::parse(&parts, &self.classes)? {
            Command::Ping if self.upstream.has_ready_endpoint() => {
                connection.replies.push_line("+PONG");
                Ok(())
            }
            Command::Ping => Err(CommandError::NoReadyEndpoint),
            Command::Request(arguments) => self.admit(arrived, parts, &arguments, connection),
        }
    }

    fn admit(
        &self,
        arrived: Duration,
        parts: Vec<Vec<u8>>,
        arguments: &RequestArguments,
        connection: &Rc<ConnectionState>,
    ) -> Result<(), CommandError> {
        let id = &parts[command::ID_INDEX];
        match self.request_ids.status(id) {
            IdStatus::New => {}
            IdStatus::InFlight => return Err(CommandError::IdInFlight),
            IdStatus::Used => return Err(CommandError::IdUsed),
        }
        let size = held_size(&parts);
        if self.is_full(size) || !self.claim_request_slot(connection) {
            count(Count::RequestsRefused);
            connection.replies.push_line("-BUSY");
            return Ok(());
        }
        let position = connection.replies.next_position();
        let in_flight_id = self.request_ids.insert(id, id_reuse(arguments.idempotency));
        let encoded_request = command::encode_request(parts, self.held_bytes.budget.reserve(size));
        let (to, sends_retry_after) = (connection.clone(), self.sends_retry_after);
        let request = self.event_loop.accept_request(
            self.request(arrived, arguments),
            encoded_request,
            move |answer| {
                if matches!(answer, FinalAnswer::Rejected(_)) {
                    in_flight_id.release();
                } else {
                    drop(in_flight_id);
                }
                to.replies
                    .fill(position, encode_answer(answer, sends_retry_after));
            },
        );
        connection.replies.push_unanswered(request);
        Ok(())
    }

    /// Returns the request as the decision engine gets it. While the agent drains, its deadline is its arrival, so
    /// that the engine rejects it.
    fn request(&self, arrived: Duration, arguments: &RequestArguments) -> Request {
        let deadline = if self.draining.is_notified() {
            arrived
        } else {
            arrived + arguments.timeout
        };
        Request {
            class: arguments.class,
            tenant: Tenant(0),
            idempotency_key: arguments.idempotency_key,
            deadline,
            estimated_work: arguments.estimated_work,
            is_retry: arguments.is_retry,
            age: self.event_loop.clock.now().saturating_sub(arrived),
        }
    }

    /// Whether a request of `size` bytes would exceed a bound that all clients share.
    fn is_full(&self, size: usize) -> bool {
        self.event_loop.unanswered_requests() >= self.max_requests_in_flight
            || self.held_bytes.budget.held() + size > self.held_bytes.max_bytes
    }

    /// Returns whether the connection may have requests in flight. Its first request in flight claims a slot, which the
    /// connection keeps until all of its replies are written.
    fn claim_request_slot(&self, connection: &ConnectionState) -> bool {
        if !connection.has_request_slot.get() {
            connection
                .has_request_slot
                .set(self.has_free_request_slot());
        }
        connection.has_request_slot.get()
    }

    fn has_free_request_slot(&self) -> bool {
        let connections = self.connections.borrow();
        let used = connections
            .values()
            .filter(|connection| connection.has_request_slot.get())
            .count();
        let without_slot = self
            .max_connections
            .div_ceil(CONNECTIONS_PER_ONE_WITHOUT_SLOT);
        used < self.max_connections - without_slot
    }
}

/// Whether the id of a request of such a class may be used again once it may have run.
fn id_reuse(idempotency: Idempotency) -> IdReuse {
    match idempotency {
        Idempotency::Idempotent => IdReuse::Allowed,
        Idempotency::Keyed(_) | Idempotency::NonIdempotent => IdReuse::Forbidden,
    }
}

/// Returns how many bytes a request holds while it is in flight.
fn held_size(parts: &[Vec<u8>]) -> usize {
    let size = |part: &Vec<u8>| part.len() + size_of_val(part);
    REQUEST_STATE_SIZE + parts.iter().map(size).sum::<usize>()
}

fn encode_answer(answer: FinalAnswer, sends_retry_after: bool) -> Vec<u8> {
    match answer {
        FinalAnswer::Succeeded(value) => resp::encode_bulk(&value),
        FinalAnswer::Rejected(retry_after) if sends_retry_after && !retry_after.is_zero() => {
            format!("-BUSY {}\r\n", retry_after.as_millis()).into_bytes()
        }
        FinalAnswer::Rejected(_) => b"-BUSY\r\n".to_vec(),
        FinalAnswer::Failed => b"-ERR failed\r\n".to_vec(),
    }
}
