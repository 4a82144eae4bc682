//! An agent: real decision modules, one for each service, before hollow clients.
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use lilacgate_capacity::fleet::Fleet;
use lilacgate_decision::{
    AgentId, AttemptNumber, Build, EndpointId, IdempotencyKey, ListUpdate, Outcome,
    ReleasePermissions, Request, RequestClass, RequestId, Tenant,
};
use lilacgate_start_settings::Settings;
use rand::{RngExt, SeedableRng};
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

use crate::decisions::Decision;
use crate::error::ScaleError;
use crate::fleet::FleetSize;
use crate::meter::Meter;
use crate::module::{Attempt, Module, ModuleEvent, Pending, UnansweredRequest};
use crate::network::{AttemptId, Incoming, ONE_WAY, Outgoing, Sent, ServiceIndex};
use crate::settings::{self, ANSWER_SLACK_MICROS, GIVE_UP_MICROS, MAX_ATTEMPTS, Start};
use crate::wire;

/// Spread of the work that requests ask (sigma of a log-normal distribution).
const WORK_SPREAD: f64 = 0.5;
/// Spread of the rough hint of a request's work around the work itself.
const HINT_SPREAD: f64 = 0.2;
/// The platform's round trip for a vote and its answer.
const VOTE_TRIP: Duration = Duration::from_millis(1);
/// Every second sign of life of the platform comes with one of discovery.
const PINGS_A_QUIET: u64 = 2;
/// What parts the seeds of an agent's modules, and of its lives.
const SERVICE_STRIDE: u64 = 7919;
const LIFE_STRIDE: u64 = 15_485_863;
/// The build that all machines run before a trial.
pub const OLD_BUILD: u16 = 1;

/// What all agents of a fleet share.
pub struct Common {
    /// The fleet's size.
    pub size: FleetSize,
    /// Its services, agents and appliances.
    pub fleet: Fleet,
    /// Chooses the service of a request.
    services: WeightedAliasIndex<f64>,
    work: LogNormal<f64>,
    hint: LogNormal<f64>,
}

impl Common {
    /// Drawn from a seed.
    ///
    /// # Errors
    /// The size cannot be simulated, or has weights that cannot be drawn from.
    pub fn new(size: FleetSize, seed: u64) -> Result<Self, ScaleError> {
        let fault = |what: &str| ScaleError::Size(format!("{what} cannot be drawn from"));
        let fleet = size.draw(seed)?;
        let rates = fleet
            .services
            .iter()
            .map(|service| service.request_rate)
            .collect();
        let services =
            WeightedAliasIndex::new(rates).map_err(|_| fault("the services' request rates"))?;
        let mean = size.work.as_secs_f64().ln() - WORK_SPREAD * WORK_SPREAD / 2.0;
        let work = LogNormal::new(mean, WORK_SPREAD).map_err(|_| fault("the work of requests"))?;
        let hint = LogNormal::new(0.0, HINT_SPREAD).map_err(|_| fault("the hints of work"))?;
        Ok(Common {
            size,
            fleet,
            services,
            work,
            hint,
        })
    }

    /// Routes of a service's module, 1 at least.
    pub fn routes(&self, service: usize) -> u32 {
        self.fleet.services[service].routes.max(1)
    }

    /// What a module is told at its start.
    pub fn start(&self, agent: AgentId, service: usize) -> Start<'_> {
        let zone = self.fleet.agents[agent.0 as usize].zone.0;
        let (agents, routes) = (self.size.agents, self.routes(service));
        Start {
            me: agent.0,
            agents,
            zone,
            places: &self.size.places,
            routes,
        }
    }
}

/// Something that happens at an agent at a moment, in order of time, module and arrival.
struct Event {
    at: Duration,
    module: u32,
    sequence: u64,
    what: Incoming,
}

impl Event {
    fn key(&self) -> (Duration, u32, u64) {
        (self.at, self.module, self.sequence)
    }
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

/// An agent.
pub struct Agent {
    /// Its number.
    pub id: AgentId,
    /// Its modules, by service.
    pub modules: Vec<Module>,
    /// What it does and what that costs.
    pub meter: Meter,
    /// Attempts by appliance since the last reset.
    pub used: HashMap<(ServiceIndex, EndpointId), u32>,
    /// What it has sent since the last exchange.
    pub outbox: Vec<Sent>,
    queue: BinaryHeap<Reverse<Event>>,
    sequence: u64,
    signs: u64,
    requests: Option<Exp<f64>>,
    chance: Pcg64Mcg,
    seed: u64,
    lives: u64,
}

impl Agent {
    /// An agent with a module for each service, which has heard nothing yet.
    ///
    /// # Errors
    /// Its start settings cannot be used.
    pub fn new(id: AgentId, common: &Common, rate: f64, seed: u64) -> Result<Self, ScaleError> {
        let mix = u64::from(id.0)
            .wrapping_add(1)
            .wrapping_mul(0xd134_2543_de82_ef95);
        let (meter, used, outbox, queue) = Default::default();
        let mut agent = Agent {
            id,
            modules: Vec::new(),
            meter,
            used,
            outbox,
            queue,
            sequence: 0,
            signs: 0,
            requests: Exp::new(rate).ok(),
            chance: Pcg64Mcg::seed_from_u64(seed ^ mix),
            seed: seed ^ mix,
            lives: 0,
        };
        agent.create_modules(common)?;
        Ok(agent)
    }

    fn create_modules(&mut self, common: &Common) -> Result<(), ScaleError> {
        self.modules.clear();
        for service in 0..common.fleet.services.len() {
            let settings = Settings::from_lines(&settings::text(&common.start(self.id, service)));
            let life = self.lives * LIFE_STRIDE;
            let seed = self
                .seed
                .wrapping_add(service as u64 * SERVICE_STRIDE + life);
            self.modules.push(Module::new(seed, &settings)?);
        }
        Ok(())
    }

    /// Starts it: its clients begin to ask, and each module has its first round.
    pub fn start(&mut self, now: Duration, common: &Common) {
        let tenants = common.size.tenants;
        let permissions = (tenants > 0).then(|| Arc::new(all_open(&common.size)));
        for index in 0..self.modules.len() as u32 {
            let received = permissions
                .iter()
                .map(|open| ModuleEvent::ReleasePermissions(open.clone()))
                .collect();
            self.round(index, now, received);
        }
        let phase = wire::PING_PERIOD.mul_f64(self.chance.random());
        self.push(now + phase, 0, Incoming::SignsOfLife);
        self.push_request(now, common);
    }

    /// Ends it and starts it again with the lists that its start file holds, one text a service.
    ///
    /// # Errors
    /// Its start settings cannot be used.
    pub fn restart(
        &mut self,
        now: Duration,
        common: &Common,
        saved: &[Arc<[u8]>],
    ) -> Result<(), ScaleError> {
        self.lives += 1;
        self.queue.clear();
        self.outbox.clear();
        let connections: Vec<u32> = self.modules.iter().map(|m| m.connection).collect();
        self.create_modules(common)?;
        for (index, connection) in connections.into_iter().enumerate() {
            let module = &mut self.modules[index];
            module.connection = connection + 1;
            let received = module.take_saved(&saved[index], &mut self.meter);
            self.round(index as u32, now, received.into_iter().collect());
        }
        self.start(now, common);
        Ok(())
    }

    /// Hands it something that reaches it then.
    pub fn deliver(&mut self, at: Duration, service: ServiceIndex, what: Incoming) {
        self.push(at, service.0, what);
    }

    fn push(&mut self, at: Duration, module: u32, what: Incoming) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.queue.push(Reverse(Event {
            at,
            module,
            sequence,
            what,
        }));
    }

    fn push_request(&mut self, now: Duration, common: &Common) {
        let Some(gaps) = self.requests else { return };
        let gap = Duration::from_secs_f64(gaps.sample(&mut self.chance).min(3600.0));
        let service = common.services.sample(&mut self.chance) as u32;
        self.push(now + gap, service, Incoming::Request);
    }

    /// Does all that happens before this moment.
    pub fn step(&mut self, until: Duration, common: &Common) {
        while let Some(Reverse(first)) = self.queue.peek() {
            if first.at >= until {
                break;
            }
            let (at, module) = (first.at, first.module);
            let received = self.hear(at, module, common);
            if !received.is_empty() {
                self.round(module, at, received);
            }
        }
    }

    /// Takes all events of a moment and module off the queue.
    fn hear(&mut self, at: Duration, module: u32, common: &Common) -> Vec<ModuleEvent> {
        let mut received = Vec::new();
        while let Some(Reverse(event)) = self.queue.peek() {
            if (event.at, event.module) != (at, module) {
                break;
            }
            let Some(Reverse(event)) = self.queue.pop() else {
                break;
            };
            self.hear_one(at, module, event.what, common, &mut received);
        }
        received
    }

    fn hear_one(
        &mut self,
        at: Duration,
        index: u32,
        what: Incoming,
        common: &Common,
        received: &mut Vec<ModuleEvent>,
    ) {
        match what {
            Incoming::Request => {
                received.push(self.take_request(at, index, common));
                self.push_request(at, common);
            }
            Incoming::Ended { attempt, outcome } => {
                received.extend(self.end_attempt(at, index, attempt, outcome));
            }
            Incoming::List {
                connection,
                bytes,
                since,
                whole,
            } => {
                let module = &mut self.modules[index as usize];
                if connection == module.connection {
                    let before = self.meter.parsing;
                    received.extend(module.take_list(&bytes, &mut self.meter));
                    let reading = self.meter.parsing - before;
                    module.pending = Some(Pending {
                        since,
                        whole,
                        reading,
                    });
                }
            }
            Incoming::ListClosed { connection } => {
                let module = &mut self.modules[index as usize];
                if connection == module.connection {
                    module.has_list = false;
                    received.push(ModuleEvent::EndpointList(ListUpdate::Failed, vec![]));
                }
            }
            Incoming::ReleaseUpdate(bytes) => {
                let module = &mut self.modules[index as usize];
                received.extend(module.take_release_updates(&bytes, &mut self.meter));
            }
            Incoming::VoteAnswered(outcome) => received.push(ModuleEvent::VoteAnswered(outcome)),
            Incoming::Datagram { from, payload } => {
                self.meter.counts.reports_in.add(payload.len());
                received.push(ModuleEvent::Datagram(from, payload));
            }
            Incoming::Wake(timer) => received.push(ModuleEvent::Wake(timer)),
            Incoming::SignsOfLife => self.take_signs_of_life(at),
        }
    }

    fn take_signs_of_life(&mut self, at: Duration) {
        self.signs += 1;
        let quiet = self
            .signs
            .is_multiple_of(PINGS_A_QUIET)
            .then_some(wire::QUIET);
        for module in &mut self.modules {
            let watched = module.version() > 0;
            module.take_signs_of_life(quiet.filter(|_| watched), wire::PING, &mut self.meter);
        }
        self.push(at + wire::PING_PERIOD, 0, Incoming::SignsOfLife);
    }

    fn take_request(&mut self, now: Duration, index: u32, common: &Common) -> ModuleEvent {
        let route = self.chance.random_range(0..common.routes(index as usize));
        let tenant = self.chance.random_range(0..common.size.tenants.max(1));
        let work = common.work.sample(&mut self.chance);
        let hint = work * common.hint.sample(&mut self.chance);
        let request = Request {
            class: RequestClass(u8::try_from(route).unwrap_or(u8::MAX)),
            tenant: Tenant(u16::try_from(tenant).unwrap_or(u16::MAX)),
            idempotency_key: Some(IdempotencyKey(self.chance.random())),
            deadline: now + Duration::from_micros(GIVE_UP_MICROS),
            estimated_work: Some(Duration::from_secs_f64(hint)),
            is_retry: false,
        };
        let unanswered = UnansweredRequest {
            arrived: now,
            work: Duration::from_secs_f64(work),
            until: request.deadline - Duration::from_micros(ANSWER_SLACK_MICROS),
            answered: false,
            repeatable: settings::is_repeatable(route),
            attempts: Vec::new(),
        };
        let module = &mut self.modules[index as usize];
        module.last_request = module.last_request.wrapping_add(1);
        let id = RequestId(module.last_request);
        module.unanswered.insert(id, unanswered);
        self.meter.counts.requests += 1;
        ModuleEvent::Request(id, request)
    }

    fn end_attempt(
        &mut self,
        now: Duration,
        index: u32,
        attempt: AttemptId,
        outcome: Outcome,
    ) -> Option<ModuleEvent> {
        let module = &mut self.modules[index as usize];
        let AttemptId {
            request: id,
            number,
        } = attempt;
        let unanswered = module.unanswered.get_mut(&id)?;
        let attempt = unanswered.attempts.get_mut(usize::from(number.0))?;
        if attempt.outcome.is_some() {
            return None;
        }
        attempt.outcome = Some(outcome);
        let (took, at) = (now.saturating_sub(attempt.sent), attempt.to);
        if outcome == Outcome::Succeeded && !unanswered.answered {
            unanswered.answered = true;
            self.meter.counts.served += 1;
        }
        let closed = unanswered.answered;
        if closed && unanswered.is_quiet() {
            module.unanswered.remove(&id);
        }
        Some(ModuleEvent::AttemptEnded {
            id,
            number,
            at,
            outcome,
            took,
            closed,
        })
    }

    fn round(&mut self, index: u32, now: Duration, received: Vec<ModuleEvent>) {
        let module = &mut self.modules[index as usize];
        let (decided, took) = module.round(now, received);
        if let Some(pending) = module.pending.take() {
            let after = now.saturating_sub(pending.since) + pending.reading + took;
            self.meter.acted_on_list(pending.whole, after);
        }
        self.meter.round(took);
        for decision in decided.list {
            self.carry_out(index, now, decision);
        }
    }

    fn carry_out(&mut self, index: u32, now: Duration, decision: Decision) {
        match decision {
            Decision::Attempt(id, to) => self.send_attempt(index, now, id, to),
            Decision::Reject(id) => {
                self.meter.counts.refused += 1;
                self.close(index, id);
            }
            Decision::Fail(id) => {
                self.meter.counts.failed += 1;
                self.close(index, id);
            }
            Decision::Cancel(request, number) => {
                let attempt = AttemptId { request, number };
                let outcome = Outcome::Cancelled;
                self.push(now, index, Incoming::Ended { attempt, outcome });
            }
            Decision::ScheduleWakeUp(at, timer) => self.push(at, index, Incoming::Wake(timer)),
            Decision::SendToPeer(to, payload) => {
                self.meter.counts.reports_out.add(payload.len());
                self.send(
                    now,
                    index,
                    Outgoing::Datagram {
                        to,
                        payload: payload.into(),
                    },
                );
            }
            Decision::Watch(on) => self.watch(index, now, on),
            Decision::Fetch => self.watch(index, now, true),
            Decision::Vote(build, stage, vote) => {
                let bytes = wire::vote_call_bytes(1, build.0, stage.0, "promote");
                self.meter.counts.calls_out.add(bytes);
                self.send(now, index, Outgoing::Vote { build, stage, vote });
                self.push(
                    now + VOTE_TRIP,
                    index,
                    Incoming::VoteAnswered(Outcome::Succeeded),
                );
            }
        }
    }

    fn watch(&mut self, index: u32, now: Duration, on: bool) {
        let module = &mut self.modules[index as usize];
        let connection = module.connect();
        if on {
            let bytes = wire::watch_call_bytes(module.version());
            self.meter.counts.calls_out.add(bytes);
            self.send(now, index, Outgoing::Watch { connection });
        } else {
            self.send(now, index, Outgoing::Unwatch);
        }
    }

    fn send(&mut self, at: Duration, index: u32, what: Outgoing) {
        self.outbox.push(Sent {
            at,
            service: ServiceIndex(index),
            what,
        });
    }

    fn send_attempt(&mut self, index: u32, now: Duration, id: RequestId, to: EndpointId) {
        let module = &mut self.modules[index as usize];
        let Some(unanswered) = module.unanswered.get_mut(&id) else {
            return;
        };
        let broken = breaks_rule(now, unanswered) || module.not_ready.contains_key(&to);
        self.meter.counts.broken_rules += u64::from(broken);
        self.meter.counts.attempts += 1;
        *self.used.entry((ServiceIndex(index), to)).or_default() += 1;
        let number = AttemptNumber(unanswered.attempts.len() as u8);
        unanswered.attempts.push(Attempt {
            to,
            sent: now,
            outcome: None,
        });
        let (work, until) = (unanswered.work, unanswered.until);
        let attempt = AttemptId {
            request: id,
            number,
        };
        self.send(
            now,
            index,
            Outgoing::Attempt {
                attempt,
                to,
                work,
                until,
            },
        );
    }

    /// The client has its answer, though none was served.
    fn close(&mut self, index: u32, id: RequestId) {
        let module = &mut self.modules[index as usize];
        let Some(unanswered) = module.unanswered.get_mut(&id) else {
            return;
        };
        unanswered.answered = true;
        if unanswered.is_quiet() {
            module.unanswered.remove(&id);
        }
    }
}

/// Whether one more attempt of a request is against the rules: too many, too late, or a repeat of
/// what must not run twice.
fn breaks_rule(now: Duration, unanswered: &UnansweredRequest) -> bool {
    let too_many = unanswered.attempts.len() >= usize::from(MAX_ATTEMPTS);
    let too_late = now + ONE_WAY > unanswered.until || unanswered.answered;
    let again = !unanswered.repeatable && unanswered.attempts.iter().any(Attempt::may_have_run);
    too_many || too_late || again
}

/// An operator's table that leaves everything open, with a row for each tenant.
fn all_open(size: &FleetSize) -> ReleasePermissions {
    let (zones, tenants) = (size.places.zones as usize, size.tenants as usize);
    let cells = vec![u64::MAX; zones * tenants];
    let builds = [Build(OLD_BUILD), Build(OLD_BUILD + 1)];
    let rows = builds.map(|build| (build, cells.as_slice()));
    ReleasePermissions::new(zones, tenants, &rows, None)
}
