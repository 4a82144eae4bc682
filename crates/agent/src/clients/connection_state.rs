//! The state of an open client connection that its own task shares with eviction and shutdown.
use std::cell::Cell;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use super::lingering_close::TrailingInput;
use super::reply_queue::{ReadyReply, ReplyQueue};
use crate::clock::Clock;
use crate::log::{ConnectionEnd, Count, count};
use crate::transport::{ByteBudget, TcpSocket, has_no_input};

/// The input that a connection which owes no reply waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AwaitedInput {
    /// No byte of a command has arrived yet.
    FirstByte,
    /// A command has been read in part.
    RestOfCommand,
    /// All commands so far have been answered.
    NextCommand,
}

/// The state of an open connection that is shared with other tasks, such as eviction and shutdown.
pub(super) struct ConnectionState {
    pub(super) replies: ReplyQueue,
    stream: Weak<TcpSocket>,
    /// Whether the connection may have requests in flight. The first request claims the slot; it is free again once all
    /// replies are written.
    pub(super) has_request_slot: Cell<bool>,
    pub(super) has_received_command: Cell<bool>,
    /// Whether a reply is being written.
    pub(super) is_writing: Cell<bool>,
    /// Since when bytes have been read that do not form a whole command yet.
    partial_command_since: Rc<Cell<Option<Instant>>>,
    /// Why the connection is to be closed as soon as it is between commands; `None` while it stays open.
    pub(super) end_reason: Cell<Option<ConnectionEnd>>,
    /// Whether the last command was not complete within its time limit.
    pub(super) has_command_timed_out: Cell<bool>,
    /// Whether a partly read command has been answered with `-BUSY`; no further command is executed then.
    pub(super) is_command_refused: Cell<bool>,
    /// When a command last arrived or a reply was last written.
    pub(super) last_activity: Cell<Duration>,
}

impl ConnectionState {
    pub(super) fn new(
        stream: &Rc<TcpSocket>,
        partial_command_since: Rc<Cell<Option<Instant>>>,
        opened: Duration,
        held_bytes: ByteBudget,
    ) -> Self {
        ConnectionState {
            replies: ReplyQueue::new(held_bytes),
            stream: Rc::downgrade(stream),
            has_request_slot: Cell::default(),
            has_received_command: Cell::default(),
            is_writing: Cell::default(),
            partial_command_since,
            end_reason: Cell::default(),
            has_command_timed_out: Cell::default(),
            is_command_refused: Cell::default(),
            last_activity: Cell::new(opened),
        }
    }

    /// Closes the connection as soon as it is between commands.
    pub(super) fn end(&self, reason: ConnectionEnd) {
        self.end_reason.set(Some(reason));
        self.replies.wake();
    }

    /// Rejects a command that has been read in part or is waiting to be read, without waiting for the rest of it.
    /// Such a command must not be left without a reply, and nothing has been executed for it yet.
    pub(super) fn refuse_partial_command(&self) {
        if self.is_command_refused.get() || !self.has_partial_command() && !self.has_unread_input()
        {
            return;
        }
        count(Count::RequestsRefused);
        count(Count::PartialCommandsRefused);
        self.is_command_refused.set(true);
        self.replies.push_line("-BUSY");
    }

    /// Returns the input that the connection waits for; `None` if it owes a reply, is being closed, or has input that is
    /// about to be read. A connection that is to be closed still waits for the rest of a command.
    pub(super) fn awaited_input(&self) -> Option<AwaitedInput> {
        if self.owes_reply() || self.is_input_over() || self.has_unread_input() {
            return None;
        }
        if self.has_partial_command() {
            return Some(AwaitedInput::RestOfCommand);
        }
        if self.end_reason.get().is_some() {
            return None;
        }
        Some(if self.has_received_command.get() {
            AwaitedInput::NextCommand
        } else {
            AwaitedInput::FirstByte
        })
    }

    /// Returns since when the connection has waited for input.
    pub(super) fn waiting_since(&self, clock: Clock) -> Duration {
        self.partial_command_since
            .get()
            .map_or(self.last_activity.get(), |since| clock.time_of(since))
    }

    /// Closes the connection to make room for another one. A command that has been read in part is refused.
    pub(super) fn evict(&self) {
        self.refuse_partial_command();
        self.end(ConnectionEnd::Evicted);
    }

    fn has_partial_command(&self) -> bool {
        self.partial_command_since.get().is_some()
    }

    pub(super) fn has_unread_input(&self) -> bool {
        self.stream
            .upgrade()
            .is_some_and(|stream| !has_no_input(&stream))
    }

    /// Whether a reply has not been written to its last byte.
    fn owes_reply(&self) -> bool {
        !self.replies.is_empty() || self.is_writing.get()
    }

    /// Whether the connection can be closed without losing a command: all replies have been written, no command has
    /// been read in part, and none is waiting to be read.
    fn is_between_commands(&self) -> bool {
        if !self.replies.is_empty() {
            return false;
        }
        self.is_input_over()
            || !self.has_partial_command()
                && self
                    .stream
                    .upgrade()
                    .is_some_and(|stream| has_no_input(&stream))
    }

    /// Whether further input is ignored. What follows a malformed command cannot be parsed either, and what follows a
    /// command that was refused or timed out is the rest of that command.
    fn is_input_over(&self) -> bool {
        let is_unreadable = matches!(
            self.end_reason.get(),
            Some(
                ConnectionEnd::Malformed | ConnectionEnd::TooLong | ConnectionEnd::TooManyMessages
            )
        );
        is_unreadable || self.has_command_timed_out.get() || self.is_command_refused.get()
    }

    /// Returns what is done with input that follows the last executed command.
    pub(super) fn trailing_input(&self, end: ConnectionEnd) -> TrailingInput {
        match end {
            ConnectionEnd::Malformed | ConnectionEnd::TooLong | ConnectionEnd::TooManyMessages => {
                TrailingInput::Discarded
            }
            _ if self.is_command_refused.get() => TrailingInput::Discarded,
            _ => TrailingInput::Unread,
        }
    }

    /// Waits for the next reply to write.
    ///
    /// # Errors
    ///
    /// Returns the reason to close the connection, once it is between commands.
    pub(super) async fn next_reply(&self) -> Result<ReadyReply, ConnectionEnd> {
        loop {
            if let Some(reply) = self.replies.take_ready() {
                return Ok(reply);
            }
            if let Some(reason) = self.end_reason.get().filter(|_| self.is_between_commands()) {
                return Err(reason);
            }
            self.replies.changed().await;
        }
    }
}
