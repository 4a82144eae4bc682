//! Owns the operator's releases in a running agent: the gate beside the module, which builds are listed, the file that
//! set it, and the release desks of other services. The module hears of everything through it, so that what narrows
//! it is always as new as what it is told. It must never open anything by itself, nor do I/O in a round.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use lilacgate::openings::Openings;
use lilacgate::port::*;
use lilacgate_operator::{Known, Operator, Releases};
use lilacgate_releases::facts::Told;
use lilacgate_releases::gate::{Gate, What};
use lilacgate_releases::model::ServiceId;
use lilacgate_start::Paths;

use crate::desk::{Bound, Desk, Ears as DeskEars};
use crate::hub::Hub;
use crate::log::{Count, count, say};

/// News and signs of life that another service's desk may send in a second. One a second is due, and each change.
const NOISE: u32 = 64;

/// The gate and what it goes by, beside the module. Without an operator's file there is none, and nothing is narrowed.
#[derive(Default)]
pub struct Keeper {
    gate: Option<Gate>,
    handed: Option<Arc<Openings>>,
    /// The builds of the listed appliances.
    listed: BTreeMap<ApplianceId, Build>,
    own: Option<Told>,
    next: Option<Duration>,
}

impl Keeper {
    pub fn new(gate: Option<Gate>) -> Self {
        Keeper { gate, ..Keeper::default() }
    }

    /// When something changes by time alone.
    pub fn next(&self) -> Option<Duration> {
        self.next
    }
}

/// What the module's owner hears with: the module itself, and the gate on its way.
pub struct Ears<'a> {
    pub module: &'a mut dyn Hears,
    pub keeper: &'a mut Keeper,
    pub now: Duration,
}

impl Ears<'_> {
    /// Lets the gate hear something, and passes on what has changed by it.
    fn gate(&mut self, hear: impl FnOnce(&mut Gate, Duration)) {
        let Some(gate) = &mut self.keeper.gate else { return };
        hear(gate, self.now);
        self.keeper.next = gate.next_change();
        let (events, left_out) = gate.events();
        if left_out > 0 {
            say!("releases: {left_out} changes left out");
        }
        for event in events {
            let build = event.build;
            match event.what {
                What::Opened(many) => say!("releases: build {build} open to {many} more"),
                What::Closed(many, why) => say!("releases: build {build} closed to {many}: {why}"),
                What::MayStep(stage) => say!("releases: build {build} may go on from stage {stage}"),
                What::Stays(why) => say!("releases: build {build} stays: {why}"),
            }
        }
        let open = gate.openings();
        if self.keeper.handed.as_ref().is_none_or(|handed| !Arc::ptr_eq(handed, &open)) {
            count(Count::Openings);
            self.keeper.handed = Some(open.clone());
            self.module.openings(Some(open));
        }
    }

    /// Time has passed.
    pub fn advance(&mut self) {
        if self.keeper.next.is_some_and(|next| next <= self.now) {
            self.gate(Gate::advance);
        }
    }

    /// News of another service.
    pub fn service(&mut self, service: ServiceId, told: Told) {
        count(Count::ServiceNews);
        self.gate(|gate, now| gate.hear(now, service, told));
    }

    pub fn service_lives(&mut self, service: ServiceId) {
        self.gate(|gate, now| gate.alive(now, service));
    }

    /// Takes a file's rules, or none any more.
    pub fn order(&mut self, releases: Option<(Releases, Tenant)>) {
        let Some((Releases { rules, .. }, me)) = releases else {
            let had = self.keeper.gate.take().is_some();
            (self.keeper.handed, self.keeper.next) = (None, None);
            if had {
                self.module.openings(None);
            }
            return;
        };
        // The reader has refused circles of needs.
        if self.keeper.gate.is_some() {
            self.gate(|gate, now| drop(gate.replace(now, rules, Some(me))));
        } else {
            self.keeper.gate = Gate::new(rules, Some(me), self.now).ok();
            let (own, listed) = (self.keeper.own, self.keeper.listed.clone());
            self.gate(|gate, now| {
                let service = gate.rules().own;
                own.into_iter().for_each(|told| gate.hear(now, service, told));
                gate.list(now, listed.into_values());
            });
        }
    }

    /// The gate's state as JSON, if there is a gate.
    pub fn state(&self, agent: &str) -> Option<String> {
        serde_json::to_string(&self.keeper.gate.as_ref()?.state(agent, Vec::new())).ok()
    }
}

impl Hears for Ears<'_> {
    fn roster(&mut self, listing: Listing, lines: &mut dyn Iterator<Item = Line>) {
        let lines: Vec<Line> = lines.collect();
        if matches!(listing, Listing::Whole | Listing::Saved) {
            self.keeper.listed.clear();
        }
        for line in &lines {
            match line.mode {
                Mode::Gone => drop(self.keeper.listed.remove(&line.appliance)),
                _ => drop(self.keeper.listed.insert(line.appliance, line.build)),
            }
        }
        let builds: Vec<Build> = self.keeper.listed.values().copied().collect();
        self.gate(|gate, now| gate.list(now, builds.into_iter()));
        self.module.roster(listing, &mut lines.into_iter());
    }

    fn stage(&mut self, build: Build, stage: Stage, course: Course, cap: f64, age: Duration) {
        let told = Told { build, stage, course, since: self.now.saturating_sub(age) };
        self.keeper.own = Some(told);
        self.gate(|gate, now| gate.hear(now, gate.rules().own, told));
        self.module.stage(build, stage, course, cap, age);
    }

    fn txn(&mut self, id: TxnId, txn: Txn) {
        self.module.txn(id, txn);
    }

    fn ended(&mut self, id: TxnId, leg: Leg, at: ApplianceId, ending: Ending, took: Duration, closed: bool) {
        self.module.ended(id, leg, at, ending, took, closed);
    }

    fn stream_begun(&mut self, id: TxnId, leg: Leg, at: ApplianceId, took: Duration) {
        self.module.stream_begun(id, leg, at, took);
    }

    fn client_left(&mut self, id: TxnId) {
        self.module.client_left(id);
    }

    fn may_go(&mut self, id: TxnId, leg: Leg) -> bool {
        self.module.may_go(id, leg)
    }

    fn load(&mut self, at: ApplianceId, gauges: &[f32]) {
        self.module.load(at, gauges);
    }

    fn probed(&mut self, at: ApplianceId, ending: Ending, took: Duration) {
        self.module.probed(at, ending, took);
    }

    fn peer(&mut self, from: AgentId, octets: &[u8]) {
        self.module.peer(from, octets);
    }

    fn vote_answered(&mut self, ending: Ending) {
        self.module.vote_answered(ending);
    }

    fn wrong_answer(&mut self, at: ApplianceId, product: Product, sent_ago: Duration) {
        self.module.wrong_answer(at, product, sent_ago);
    }

    fn woken(&mut self, ticket: Ticket) {
        self.module.woken(ticket);
    }
}

/// The operator's file, and the desks that it names.
pub struct File {
    path: Option<PathBuf>,
    agent: String,
    known: Known,
    hub: Rc<Hub>,
    connect_within: Duration,
    state: RefCell<Option<PathBuf>>,
    desks: RefCell<HashMap<String, Attended>>,
}

/// A desk that is listened to, by the number that its service has now.
struct Attended {
    service: Rc<Cell<ServiceId>>,
    desk: Rc<Desk>,
    /// Its end stops the listening.
    _stop: Sender<()>,
}

impl File {
    /// Reads the file, if there is one.
    ///
    /// # Errors
    /// All its faults, a line each.
    pub fn new(
        path: Option<PathBuf>, agent: &str, told: &Paths, hub: Rc<Hub>,
    ) -> Result<(File, Option<Gate>), String> {
        let products: u8 = told.num("profiles.count")?;
        let product = |i| told.text(&format!("profiles.{i}.name")).map(str::to_owned);
        let known = Known {
            zones: told.names("zones")?,
            products: (0..products).map(product).collect::<Result<_, _>>()?,
        };
        let connect_within = told.period("limits.connect-timeout")?;
        let (state, desks) = Default::default();
        let file = File { path, agent: agent.to_owned(), known, hub, connect_within, state, desks };
        let read = file.read().map_err(|faults| faults.join("\nlilacgate: "))?;
        let gate = match &read {
            Some((releases, me)) => {
                let gate = Gate::new(releases.rules.clone(), Some(*me), file.hub.clock.now());
                Some(gate.map_err(|_| "the operator's file: needs go in a circle")?)
            }
            None => None,
        };
        file.attend(read.as_ref().map(|(releases, _)| releases));
        Ok((file, gate))
    }

    /// The releases that the file orders, and the firm whose txns this agent routes.
    fn read(&self) -> Result<Option<(Releases, Tenant)>, Vec<String>> {
        let Some(path) = &self.path else { return Ok(None) };
        let named = |fault| format!("the operator's file {}: {fault}", path.display());
        let Operator { places, releases } = lilacgate_operator::load(path, &self.known)
            .map_err(|faults| faults.into_iter().map(|fault| named(fault.to_string())).collect::<Vec<_>>())?;
        let Some(releases) = releases else { return Ok(None) };
        match places.firm_of(&self.agent) {
            Some(me) => Ok(Some((releases, me))),
            None => Err(vec![named(format!("<places>: no <agent> is named {:?}", self.agent))]),
        }
    }

    /// Reads the file again; one that cannot be used changes nothing.
    pub fn reload(&self) {
        match self.read() {
            Ok(read) => {
                if self.path.is_some() {
                    say!("reload: the operator's file is taken over");
                }
                let releases = read.as_ref().map(|(releases, _)| releases.clone());
                self.hub.tell(move |ear| ear.order(read));
                self.attend(releases.as_ref());
            }
            Err(faults) => faults.iter().for_each(|fault| say!("reload: {fault}; nothing changes")),
        }
    }

    /// Talks with the desks that the file names, and no longer with others.
    fn attend(&self, releases: Option<&Releases>) {
        self.state.replace(releases.and_then(|releases| releases.state.clone()));
        let named = |releases: &Releases| {
            let name = |desk: &lilacgate_operator::Desk| releases.rules.service(desk.service).to_owned();
            releases.desks.iter().map(|desk| (name(desk), *desk)).collect::<HashMap<_, _>>()
        };
        let wanted = releases.map(named).unwrap_or_default();
        let mut desks = self.desks.borrow_mut();
        desks.retain(|name, _| wanted.contains_key(name));
        for (name, desk) in wanted {
            if let Some(attended) = desks.get(&name) {
                attended.service.set(desk.service);
                attended.desk.place.move_to(desk.at);
                continue;
            }
            let service = Rc::new(Cell::new(desk.service));
            let ears = Rc::new(Service { hub: self.hub.clone(), service: service.clone() });
            let bound = Bound::ASecond(NOISE);
            let listener =
                Desk::new(format!("release desk of {name}"), desk.at, self.connect_within, bound, ears);
            let (stop, stopped) = async_channel::bounded::<()>(1);
            let task = listener.clone();
            self.hub.spawn(async move {
                let until = async {
                    stopped.recv().await.ok();
                };
                futures_lite::future::or(task.run(), until).await;
            });
            desks.insert(name, Attended { service, desk: listener, _stop: stop });
        }
    }

    /// Writes the gate's state where the file wants it, off the loop, by rename.
    pub fn write_state(&self) {
        let Some(path) = self.state.borrow().clone() else { return };
        let agent = self.agent.clone();
        self.hub.tell(move |ear| {
            let Some(text) = ear.state(&agent) else { return };
            std::thread::spawn(move || {
                let new = path.with_extension("new");
                let written = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, &path));
                match written {
                    Ok(()) => say!("releases: state written to {}", path.display()),
                    Err(fault) => say!("releases: state not written to {}: {fault}", path.display()),
                }
            });
        });
    }
}

/// Passes on what another service's desk tells.
struct Service {
    hub: Rc<Hub>,
    service: Rc<Cell<ServiceId>>,
}

impl DeskEars for Service {
    fn news(&self, news: crate::desk::News) {
        let service = self.service.get();
        let since = self.hub.clock.now().saturating_sub(news.age);
        let told = Told { build: news.build, stage: news.stage, course: news.course, since };
        self.hub.tell(move |ear| ear.service(service, told));
    }

    fn lives(&self) {
        let service = self.service.get();
        self.hub.tell(move |ear| ear.service_lives(service));
    }
}
