//! Encodes and writes frames of actions.
use std::io::{self, Write};
use std::time::Duration;

use lilacgate_decision::{
    Actions, AgentId, AttemptNumber, Build, EndpointId, RequestId, Stage, TimerId, Vote,
};

use super::layout::{ACTION_SIZE, CODE, REPLY_HEADER_SIZE, action};

/// A frame of actions under construction. The decision module adds its actions through the trait [`Actions`].
#[derive(Clone, Debug, Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    /// The instance that the next actions belong to.
    instance: Option<u16>,
    /// The instance that the last `INSTANCE` record selected.
    selected_instance: Option<u16>,
}

/// The record of one action. Bytes that no field sets are 0.
struct ActionRecord([u8; ACTION_SIZE]);

impl ActionRecord {
    fn new(code: u8) -> Self {
        let mut bytes = [0; ACTION_SIZE];
        bytes[CODE] = code;
        ActionRecord(bytes)
    }

    /// Sets the field at a position.
    fn with<const SIZE: usize>(mut self, at: usize, bytes: [u8; SIZE]) -> Self {
        self.0[at..at + SIZE].copy_from_slice(&bytes);
        self
    }
}

impl Reply {
    /// Removes all actions to begin another frame; the allocated memory is reused.
    pub fn clear(&mut self) {
        self.records.clear();
        self.tail.clear();
        self.instance = None;
        self.selected_instance = None;
    }

    /// Assigns the following actions to this instance. The record that selects it is written with its first action,
    /// so that an instance without actions adds no record.
    pub fn for_instance(&mut self, instance: u16) -> &mut Self {
        self.instance = Some(instance);
        self
    }

    /// Reports that the instance cannot continue; the simulator stops and shows the text.
    pub fn fatal(&mut self, text: &str) {
        let record = ActionRecord::new(action::code::FATAL);
        self.push_with_tail(record, action::TEXT, text.as_bytes());
    }

    /// Writes the frame: header, records, tail.
    ///
    /// # Errors
    /// The output cannot be written.
    pub fn write(&self, output: &mut impl Write) -> io::Result<()> {
        let count = (self.records.len() / ACTION_SIZE) as u32;
        let length = (REPLY_HEADER_SIZE + self.records.len() + self.tail.len()) as u32;
        output.write_all(&count.to_be_bytes())?;
        output.write_all(&length.to_be_bytes())?;
        output.write_all(&self.records)?;
        output.write_all(&self.tail)
    }

    fn push(&mut self, record: ActionRecord) {
        if self.selected_instance != self.instance
            && let Some(instance) = self.instance
        {
            self.selected_instance = self.instance;
            let select = ActionRecord::new(action::code::SELECT_INSTANCE)
                .with(action::INSTANCE, instance.to_be_bytes());
            self.records.extend_from_slice(&select.0);
        }
        self.records.extend_from_slice(&record.0);
    }

    /// Adds a record and the bytes of the tail that its field at `at` refers to. The field holds their offset, then
    /// their number.
    fn push_with_tail(&mut self, record: ActionRecord, at: usize, bytes: &[u8]) {
        let offset = self.tail.len() as u32;
        let length = bytes.len() as u32;
        self.tail.extend_from_slice(bytes);
        self.push(
            record
                .with(at, offset.to_be_bytes())
                .with(at + size_of::<u32>(), length.to_be_bytes()),
        );
    }
}

/// A duration as microseconds in 32 bits; a longer duration becomes the largest number.
fn micros32(duration: Duration) -> [u8; 4] {
    u32::try_from(duration.as_micros())
        .unwrap_or(u32::MAX)
        .to_be_bytes()
}

/// A duration as microseconds in 64 bits; a longer duration becomes the largest number.
fn micros64(duration: Duration) -> [u8; 8] {
    u64::try_from(duration.as_micros())
        .unwrap_or(u64::MAX)
        .to_be_bytes()
}

fn vote_code(vote: Vote) -> u8 {
    match vote {
        Vote::Retract => 0,
        Vote::Advance => 1,
        Vote::Hold => 2,
        Vote::RollBack => 3,
    }
}

impl Actions for Reply {
    fn send_attempt(
        &mut self,
        id: RequestId,
        endpoint: EndpointId,
        timeout: Duration,
        // The simulator's clock stands still between a batch and its reply.
        _send_by: Option<Duration>,
    ) {
        let record = ActionRecord::new(action::code::SEND_ATTEMPT)
            .with(action::REQUEST, id.0.to_be_bytes())
            .with(action::SEND_ATTEMPT_ENDPOINT, endpoint.0.to_be_bytes())
            .with(action::SEND_ATTEMPT_TIMEOUT, micros32(timeout));
        self.push(record);
    }

    fn reject(&mut self, id: RequestId, retry_after: Duration) {
        let record = ActionRecord::new(action::code::REJECT)
            .with(action::REQUEST, id.0.to_be_bytes())
            .with(action::REJECT_RETRY_AFTER, micros32(retry_after));
        self.push(record);
    }

    fn fail(&mut self, id: RequestId) {
        let record =
            ActionRecord::new(action::code::FAIL).with(action::REQUEST, id.0.to_be_bytes());
        self.push(record);
    }

    fn cancel(&mut self, id: RequestId, attempt: AttemptNumber) {
        let record = ActionRecord::new(action::code::CANCEL)
            .with(action::REQUEST, id.0.to_be_bytes())
            .with(action::CANCEL_ATTEMPT, attempt.0.to_be_bytes());
        self.push(record);
    }

    fn schedule_wake_up(&mut self, at: Duration, timer: TimerId) {
        let record = ActionRecord::new(action::code::SCHEDULE_WAKE_UP)
            .with(action::WAKE_UP_AT, micros64(at))
            .with(action::WAKE_UP_TIMER, timer.0.to_be_bytes());
        self.push(record);
    }

    fn check_health(&mut self, endpoint: EndpointId) {
        let record = ActionRecord::new(action::code::CHECK_HEALTH)
            .with(action::ENDPOINT, endpoint.0.to_be_bytes());
        self.push(record);
    }

    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        let record = ActionRecord::new(action::code::CLOSE_IDLE_CONNECTIONS)
            .with(action::ENDPOINT, endpoint.0.to_be_bytes());
        self.push(record);
    }

    fn send_to_peer(&mut self, peer: Option<AgentId>, payload: &[u8]) {
        let peer = peer.map_or(action::EVERY_PEER, |peer| peer.0);
        let record =
            ActionRecord::new(action::code::SEND_TO_PEER).with(action::PEER, peer.to_be_bytes());
        self.push_with_tail(record, action::PEER_PAYLOAD, payload);
    }

    fn log(&mut self, text: &str) {
        let record = ActionRecord::new(action::code::LOG);
        self.push_with_tail(record, action::TEXT, text.as_bytes());
    }

    fn watch_endpoints(&mut self, on: bool) {
        let record = ActionRecord::new(action::code::WATCH_ENDPOINTS)
            .with(action::WATCH_IS_ON, [u8::from(on)]);
        self.push(record);
    }

    fn fetch_endpoints(&mut self) {
        self.push(ActionRecord::new(action::code::FETCH_ENDPOINTS));
    }

    fn vote(&mut self, build: Build, stage: Stage, vote: Vote) {
        let record = ActionRecord::new(action::code::VOTE)
            .with(action::VOTE_BUILD, build.0.to_be_bytes())
            .with(action::VOTE_STAGE, stage.0.to_be_bytes())
            .with(action::VOTE, [vote_code(vote)]);
        self.push(record);
    }
}
