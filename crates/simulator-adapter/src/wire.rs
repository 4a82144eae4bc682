//! Records of the bench's wire: reading fields, writing actions.
use std::io::{self, Write};
use std::time::Duration;

use lilacgate_decision::{
    Actions, AgentId, AttemptNumber, Build, Cell, Endpoint, EndpointId, EndpointStatus, ListUpdate,
    Model, Outcome, ReleasePhase, RequestClass, RequestId, Stage, Tenant, TimerId, Vote, Zone,
};

pub const EVENT: usize = 40;
const ACTION: usize = 24;
pub const ENTRY: usize = 25;

pub const REMINDER: u8 = 1;
pub const HANGUP: u8 = 2;
pub const PERIOD_SUMS: u8 = 3;
pub const RESOLVED: u8 = 4;
pub const PAGE: u8 = 5;
pub const UP: u8 = 6;
pub const HEADERS: u8 = 7;
pub const TRIAL_NEWS: u8 = 8;
pub const HALT: u8 = 9;
pub const MAIL: u8 = 10;
pub const BAD_ANSWER: u8 = 11;
pub const ECHO: u8 = 12;
pub const INBOUND: u8 = 13;
pub const UPDATE: u8 = 14;
pub const ON: u8 = 15;

/// The bytes of one record, header or entry. Offsets are constants within the record's size.
#[derive(Clone, Copy)]
pub struct Field<'a>(pub &'a [u8]);

impl<'a> Field<'a> {
    fn bytes<const N: usize>(self, at: usize) -> [u8; N] {
        self.0[at..at + N].try_into().expect("N bytes")
    }
    pub fn u8(self, at: usize) -> u8 {
        self.0[at]
    }
    pub fn u16(self, at: usize) -> u16 {
        u16::from_be_bytes(self.bytes(at))
    }
    pub fn u32(self, at: usize) -> u32 {
        u32::from_be_bytes(self.bytes(at))
    }
    pub fn u64(self, at: usize) -> u64 {
        u64::from_be_bytes(self.bytes(at))
    }
    fn f32(self, at: usize) -> f32 {
        f32::from_be_bytes(self.bytes(at))
    }
    pub fn span(self, at: usize) -> Duration {
        Duration::from_micros(self.u32(at).into())
    }
    pub fn span64(self, at: usize) -> Duration {
        Duration::from_micros(self.u64(at))
    }
    pub fn request(self, at: usize) -> RequestId {
        RequestId(self.u32(at))
    }
    pub fn appliance(self, at: usize) -> EndpointId {
        EndpointId(self.u32(at))
    }
    pub fn product(self, at: usize) -> RequestClass {
        RequestClass(self.u8(at))
    }
    pub fn tenant(self, at: usize) -> Tenant {
        Tenant(self.u16(at))
    }
    pub fn attempt(self, at: usize) -> AttemptNumber {
        AttemptNumber(self.u8(at))
    }
    pub fn build(self, at: usize) -> Build {
        Build(self.u16(at))
    }
    pub fn stage(self, at: usize) -> Stage {
        Stage(self.u8(at))
    }

    pub fn share(self, at: usize) -> Result<f64, String> {
        let share = f64::from(self.f32(at));
        if share.is_finite() && share >= 0.0 {
            Ok(share)
        } else {
            Err(format!("a share of {share}"))
        }
    }

    pub fn gauges(self, at: usize, many: u8) -> [f32; 4] {
        let mut gauges = [f32::NAN; 4];
        for (i, g) in gauges.iter_mut().take(many.into()).enumerate() {
            *g = self.f32(at + 4 * i);
        }
        gauges
    }

    pub fn ending(self, at: usize) -> Result<Outcome, String> {
        Ok(match self.u8(at) {
            10 => Outcome::Succeeded,
            20 => Outcome::Failed,
            30 => Outcome::Rejected,
            40 => Outcome::TimedOut,
            50 => Outcome::ConnectFailed,
            60 => Outcome::ConnectionLost,
            70 => Outcome::Cancelled,
            80 => Outcome::NotSent,
            code => return Err(format!("unknown outcome {code}")),
        })
    }

    pub fn course(self, at: usize) -> Result<ReleasePhase, String> {
        Ok(match self.u8(at) {
            0 => ReleasePhase::Canary,
            1 => ReleasePhase::RollingBack,
            2 => ReleasePhase::Released,
            3 => ReleasePhase::Withdrawn,
            code => return Err(format!("unknown course {code}")),
        })
    }

    pub fn listing(self, at: usize) -> Result<ListUpdate, String> {
        Ok(match self.u8(at) {
            0 => ListUpdate::Delta,
            1 => ListUpdate::Full,
            2 => ListUpdate::Cached,
            3 => ListUpdate::Failed,
            code => return Err(format!("unknown kind of list {code}")),
        })
    }

    /// The tail bytes a reference points at: offset, then how many pieces of `size`.
    pub fn slice(self, at: usize, size: usize, tail: &'a [u8]) -> Result<&'a [u8], String> {
        let from = self.u32(at) as usize;
        let len = (self.u32(at + 4) as usize).checked_mul(size);
        len.and_then(|len| tail.get(from..from.checked_add(len)?))
            .ok_or_else(|| "a reference points outside the tail".into())
    }

    /// An entry of a list.
    pub fn line(self) -> Result<Endpoint, String> {
        let build = self.f32(18);
        let weight = self.f32(6);
        if !(0.0..65536.0).contains(&build) {
            return Err(format!("an entry names the build {build}"));
        }
        if !(weight.is_finite() && weight >= 0.0) {
            return Err(format!("an entry has the share {weight}"));
        }
        Ok(Endpoint {
            id: self.appliance(0),
            status: match self.u8(4) {
                0 => EndpointStatus::Removed,
                1 => EndpointStatus::Ready,
                2 => EndpointStatus::Draining,
                code => return Err(format!("unknown mode {code}")),
            },
            model: Model(self.u8(5)),
            weight,
            started: Some(self.span64(10)).filter(|s| !s.is_zero()),
            build: Build(build as u16),
            cell: Cell(self.u16(22)),
            zone: Zone(self.u8(24)),
        })
    }
}

/// A reply frame under construction; the module writes its decisions straight into it.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    on: Option<u16>,
    named: Option<u16>,
}

impl Reply {
    pub fn clear(&mut self) {
        self.records.clear();
        self.tail.clear();
        self.on = None;
        self.named = None;
    }

    /// What follows belongs to this instance; it is named with its first action only.
    pub fn on(&mut self, instance: u16) -> &mut Self {
        self.on = Some(instance);
        self
    }

    fn action(&mut self, code: u8, fields: &[&[u8]]) {
        if self.named != self.on
            && let Some(on) = self.on
        {
            self.named = self.on;
            self.record(14, &[&on.to_be_bytes()]);
        }
        self.record(code, fields);
    }

    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION;
        self.records.push(code);
        for field in fields {
            self.records.extend_from_slice(field);
        }
        debug_assert!(self.records.len() <= end);
        self.records.resize(end, 0);
    }

    fn with_tail(&mut self, code: u8, field: &[u8], octets: &[u8]) {
        let from = (self.tail.len() as u32).to_be_bytes();
        let len = (octets.len() as u32).to_be_bytes();
        self.tail.extend_from_slice(octets);
        self.action(code, &[field, &from, &len]);
    }

    pub fn fault(&mut self, text: &str) {
        self.with_tail(10, &[], text.as_bytes());
    }

    pub fn write(&self, output: &mut impl Write) -> io::Result<()> {
        let count = (self.records.len() / ACTION) as u32;
        let len = (8 + self.records.len() + self.tail.len()) as u32;
        output.write_all(&count.to_be_bytes())?;
        output.write_all(&len.to_be_bytes())?;
        output.write_all(&self.records)?;
        output.write_all(&self.tail)
    }
}

fn micros32(span: Duration) -> [u8; 4] {
    u32::try_from(span.as_micros())
        .unwrap_or(u32::MAX)
        .to_be_bytes()
}

impl Actions for Reply {
    fn send_attempt(&mut self, id: RequestId, to: EndpointId, give_up_after: Duration) {
        self.action(
            1,
            &[
                &id.0.to_be_bytes(),
                &to.0.to_be_bytes(),
                &micros32(give_up_after),
            ],
        );
    }
    fn reject(&mut self, id: RequestId, come_back_in: Duration) {
        self.action(2, &[&id.0.to_be_bytes(), &micros32(come_back_in)]);
    }
    fn fail(&mut self, id: RequestId) {
        self.action(3, &[&id.0.to_be_bytes()]);
    }
    fn cancel(&mut self, id: RequestId, attempt: AttemptNumber) {
        self.action(4, &[&id.0.to_be_bytes(), &[attempt.0]]);
    }
    fn schedule_wake_up(&mut self, at: Duration, ticket: TimerId) {
        let at = u64::try_from(at.as_micros()).unwrap_or(u64::MAX);
        self.action(5, &[&at.to_be_bytes(), &ticket.0.to_be_bytes()]);
    }
    fn check_health(&mut self, at: EndpointId) {
        self.action(6, &[&at.0.to_be_bytes()]);
    }
    fn close_idle_connections(&mut self, at: EndpointId) {
        self.action(7, &[&at.0.to_be_bytes()]);
    }
    fn send_to_peer(&mut self, peer: Option<AgentId>, octets: &[u8]) {
        self.with_tail(8, &peer.map_or(u32::MAX, |p| p.0).to_be_bytes(), octets);
    }
    fn log(&mut self, text: &str) {
        self.with_tail(9, &[], text.as_bytes());
    }
    fn watch_endpoints(&mut self, on: bool) {
        self.action(11, &[&[on.into()]]);
    }
    fn fetch_endpoints(&mut self) {
        self.action(12, &[]);
    }
    fn vote(&mut self, build: Build, stage: Stage, verdict: Vote) {
        let verdict = match verdict {
            Vote::Retract => 0,
            Vote::Advance => 1,
            Vote::Hold => 2,
            Vote::RollBack => 3,
        };
        self.action(13, &[&build.0.to_be_bytes(), &[stage.0, verdict]]);
    }
}
