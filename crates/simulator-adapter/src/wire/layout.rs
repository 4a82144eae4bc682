//! Sizes and field positions of frames and records, in bytes. Positions count from the start of the record, which
//! begins with its code. Each record's module is documented with the record's name on the wire.

/// The size of an event's record.
pub(super) const EVENT_SIZE: usize = 40;
/// The size of an action's record.
pub(super) const ACTION_SIZE: usize = 24;
/// The size of an entry of a page of endpoints.
pub(super) const ENTRY_SIZE: usize = 25;
/// The position of the code in every record.
pub(super) const CODE: usize = 0;

/// The header of a frame of events.
pub(super) mod event_header {
    pub(in crate::wire) const FRAME_LENGTH: usize = 0;
    pub(in crate::wire) const RECORD_COUNT: usize = 4;
    pub(in crate::wire) const CLOCK: usize = 8;
    pub(in crate::wire) const SIZE: usize = 16;
}

/// The size of the header of a frame of actions: the number of records, then the frame's length.
pub(super) const REPLY_HEADER_SIZE: usize = 8;

/// `ON`.
pub(super) mod select_instance {
    pub(in crate::wire) const INSTANCE: usize = 1;
}

/// `UP`.
pub(super) mod instance_started {
    pub(in crate::wire) const SEED: usize = 1;
    pub(in crate::wire) const SETTINGS: usize = 9;
}

/// `PAGE`.
pub(super) mod endpoint_page {
    pub(in crate::wire) const NUMBER: usize = 1;
    pub(in crate::wire) const ENTRIES: usize = 5;
}

/// An entry of a page of endpoints. It has no code.
pub(super) mod entry {
    pub(in crate::wire) const ENDPOINT: usize = 0;
    pub(in crate::wire) const STATUS: usize = 4;
    pub(in crate::wire) const MODEL: usize = 5;
    pub(in crate::wire) const WEIGHT: usize = 6;
    pub(in crate::wire) const STARTED: usize = 10;
    pub(in crate::wire) const BUILD: usize = 18;
    pub(in crate::wire) const CELL: usize = 22;
    pub(in crate::wire) const ZONE: usize = 24;
}

/// `UPDATE`. The revision at position 1 is not used.
pub(super) mod endpoint_update {
    pub(in crate::wire) const PAGE: usize = 9;
    pub(in crate::wire) const UPDATE: usize = 13;
}

/// `INBOUND`.
pub(super) mod request {
    pub(in crate::wire) const ID: usize = 1;
    pub(in crate::wire) const FLAGS: usize = 5;
    pub(in crate::wire) const IDEMPOTENCY_KEY: usize = 6;
    pub(in crate::wire) const CLASS: usize = 14;
    pub(in crate::wire) const TENANT: usize = 15;
    pub(in crate::wire) const DEADLINE: usize = 17;
    pub(in crate::wire) const ESTIMATED_WORK: usize = 25;
    /// Set if the request's estimated work is valid.
    pub(in crate::wire) const FLAG_WORK_IS_KNOWN: u8 = 1;
    /// Set if the client sends the request again.
    pub(in crate::wire) const FLAG_RETRY: u8 = 2;
}

/// `RESOLVED`.
pub(super) mod attempt_ended {
    pub(in crate::wire) const ID: usize = 1;
    pub(in crate::wire) const ATTEMPT: usize = 5;
    pub(in crate::wire) const ENDPOINT: usize = 6;
    pub(in crate::wire) const OUTCOME: usize = 10;
    pub(in crate::wire) const TOOK: usize = 11;
    pub(in crate::wire) const CLOSED: usize = 15;
    pub(in crate::wire) const LOAD_REPORT: usize = 16;
}

/// `HEADERS`.
pub(super) mod response_started {
    pub(in crate::wire) const ID: usize = 1;
    pub(in crate::wire) const ATTEMPT: usize = 5;
    pub(in crate::wire) const ENDPOINT: usize = 6;
    pub(in crate::wire) const TOOK: usize = 10;
}

/// `HANGUP`.
pub(super) mod client_left {
    pub(in crate::wire) const ID: usize = 1;
}

/// `REMINDER`.
pub(super) mod wake_up {
    pub(in crate::wire) const TIMER: usize = 1;
}

/// `ECHO`.
pub(super) mod health_check {
    pub(in crate::wire) const ENDPOINT: usize = 1;
    pub(in crate::wire) const OUTCOME: usize = 5;
    pub(in crate::wire) const TOOK: usize = 6;
    pub(in crate::wire) const LOAD_REPORT: usize = 10;
}

/// `MAIL`.
pub(super) mod peer_message {
    pub(in crate::wire) const SENDER: usize = 1;
    pub(in crate::wire) const PAYLOAD: usize = 5;
}

/// `TRIAL_NEWS`.
pub(super) mod release_notice {
    pub(in crate::wire) const BUILD: usize = 1;
    pub(in crate::wire) const STAGE: usize = 3;
    pub(in crate::wire) const PHASE: usize = 4;
    pub(in crate::wire) const ANSWERS_VOTE: usize = 5;
    pub(in crate::wire) const OUTCOME: usize = 6;
    pub(in crate::wire) const CAP: usize = 7;
    pub(in crate::wire) const AGE: usize = 11;
}

/// `PERIOD_SUMS`.
pub(super) mod period_statistics {
    pub(in crate::wire) const AGE: usize = 1;
    pub(in crate::wire) const COUNT: usize = 5;
    pub(in crate::wire) const BUILD: usize = 9;
    pub(in crate::wire) const CLASS: usize = 11;
    pub(in crate::wire) const FAILED: usize = 12;
    pub(in crate::wire) const MEAN: usize = 16;
}

/// `BAD_ANSWER`.
pub(super) mod wrong_answer {
    pub(in crate::wire) const ENDPOINT: usize = 1;
    pub(in crate::wire) const CLASS: usize = 5;
    pub(in crate::wire) const SENT_AGO: usize = 6;
}

/// The records of actions.
pub(super) mod action {
    /// The codes of actions. They are independent of the codes of events, so that both use the same numbers.
    pub(in crate::wire) mod code {
        /// `DELIVER`.
        pub(in crate::wire) const SEND_ATTEMPT: u8 = 1;
        /// `SHED`.
        pub(in crate::wire) const REJECT: u8 = 2;
        /// `GIVE_UP`.
        pub(in crate::wire) const FAIL: u8 = 3;
        /// `STOP_ATTEMPT`.
        pub(in crate::wire) const CANCEL: u8 = 4;
        /// `WAKE_ME`.
        pub(in crate::wire) const SCHEDULE_WAKE_UP: u8 = 5;
        /// `ASK_LOAD`.
        pub(in crate::wire) const CHECK_HEALTH: u8 = 6;
        /// `FREE_LINKS`.
        pub(in crate::wire) const CLOSE_IDLE_CONNECTIONS: u8 = 7;
        /// `PUBLISH`.
        pub(in crate::wire) const SEND_TO_PEER: u8 = 8;
        /// `WRITE_LOG`.
        pub(in crate::wire) const LOG: u8 = 9;
        /// `FATAL`.
        pub(in crate::wire) const FATAL: u8 = 10;
        /// `KEEP_INFORMED`.
        pub(in crate::wire) const WATCH_ENDPOINTS: u8 = 11;
        /// `LOOKUP`.
        pub(in crate::wire) const FETCH_ENDPOINTS: u8 = 12;
        /// `RULING`.
        pub(in crate::wire) const VOTE: u8 = 13;
        /// `INSTANCE`.
        pub(in crate::wire) const SELECT_INSTANCE: u8 = 14;
    }

    /// The position of the request's id in all actions on requests.
    pub(in crate::wire) const REQUEST: usize = 1;
    pub(in crate::wire) const SEND_ATTEMPT_ENDPOINT: usize = 5;
    pub(in crate::wire) const SEND_ATTEMPT_TIMEOUT: usize = 9;
    pub(in crate::wire) const REJECT_RETRY_AFTER: usize = 5;
    pub(in crate::wire) const CANCEL_ATTEMPT: usize = 5;
    pub(in crate::wire) const WAKE_UP_AT: usize = 1;
    pub(in crate::wire) const WAKE_UP_TIMER: usize = 9;
    /// The position of the endpoint's id in the actions on endpoints.
    pub(in crate::wire) const ENDPOINT: usize = 1;
    pub(in crate::wire) const PEER: usize = 1;
    pub(in crate::wire) const PEER_PAYLOAD: usize = 5;
    /// The peer id that addresses all peers.
    pub(in crate::wire) const EVERY_PEER: u32 = u32::MAX;
    /// The position of the text of a log line or a fatal error.
    pub(in crate::wire) const TEXT: usize = 1;
    pub(in crate::wire) const WATCH_IS_ON: usize = 1;
    pub(in crate::wire) const VOTE_BUILD: usize = 1;
    pub(in crate::wire) const VOTE_STAGE: usize = 3;
    pub(in crate::wire) const VOTE: usize = 4;
    pub(in crate::wire) const INSTANCE: usize = 1;
}
