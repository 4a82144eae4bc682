//! Owns the operator's file in a running agent, and the talk with the release desks of other services that it names.
//! It must never take half a file, nor let one desk's trouble reach another; what the file allows is the gate's to say.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use lilacgate_decision::Tenant;
use lilacgate_operator_config::{Known, Operator, Releases, Timeline};
use lilacgate_releases::facts::Told;
use lilacgate_releases::gate::Gate;
use lilacgate_releases::model::ServiceId;
use lilacgate_start_settings::Paths;

use crate::event_loop::EventLoop;
use crate::log::info;
use crate::recorder::replace;
use crate::release_watch::{Bound, ReleaseUpdate, ReleaseWatch, ReleaseWatchListener};

/// News and signs of life that another service's desk may send in a second. One a second is due, and each change.
const NOISE: u32 = 64;

/// What a file orders: releases, with the firm whose requests are routed here, and time lines.
type Ordered = (Option<(Releases, Tenant)>, Option<Timeline>);

/// The operator's file, and the desks that it names.
pub struct File {
    path: Option<PathBuf>,
    agent: String,
    known: Known,
    event_loop: Rc<EventLoop>,
    connect_within: Duration,
    state: RefCell<Option<PathBuf>>,
    desks: RefCell<HashMap<String, Attended>>,
}

/// A desk that is listened to, by the number that its service has now.
struct Attended {
    service: Rc<Cell<ServiceId>>,
    release_watch: Rc<ReleaseWatch>,
    /// Its end stops the listening.
    _stop: Sender<()>,
}

impl File {
    /// Reads the file, if there is one.
    ///
    /// # Errors
    /// All its faults, a line each.
    pub fn new(
        path: Option<PathBuf>,
        agent: &str,
        told: &Paths,
        event_loop: Rc<EventLoop>,
    ) -> Result<(File, Option<Gate>, Option<Timeline>), String> {
        let products: u8 = told.num("profiles.count")?;
        let product = |i| told.text(&format!("profiles.{i}.name")).map(str::to_owned);
        let known = Known {
            zones: told.names("zones")?,
            products: (0..products).map(product).collect::<Result<_, _>>()?,
        };
        let connect_within = told.period("limits.connect-timeout")?;
        let (state, desks) = Default::default();
        let file = File {
            path,
            agent: agent.to_owned(),
            known,
            event_loop,
            connect_within,
            state,
            desks,
        };
        let read = file.read().map_err(|faults| faults.join("\nlilacgate: "))?;
        let gate = match &read.0 {
            Some((releases, me)) => {
                let gate = Gate::new(
                    releases.rules.clone(),
                    Some(*me),
                    file.event_loop.clock.now(),
                );
                Some(gate.map_err(|_| "the operator's file: needs go in a circle")?)
            }
            None => None,
        };
        file.attend(read.0.as_ref().map(|(releases, _)| releases));
        Ok((file, gate, read.1))
    }

    /// The releases that the file orders, with the firm whose requests this agent routes, and its time lines.
    fn read(&self) -> Result<Ordered, Vec<String>> {
        let Some(path) = &self.path else {
            return Ok((None, None));
        };
        let named = |fault| format!("the operator's file {}: {fault}", path.display());
        let Operator {
            places,
            releases,
            timeline,
        } = lilacgate_operator_config::load(path, &self.known).map_err(|faults| {
            faults
                .into_iter()
                .map(|fault| named(fault.to_string()))
                .collect::<Vec<_>>()
        })?;
        let Some(releases) = releases else {
            return Ok((None, timeline));
        };
        match places.firm_of(&self.agent) {
            Some(me) => Ok((Some((releases, me)), timeline)),
            None => Err(vec![named(format!(
                "<places>: no <agent> is named {:?}",
                self.agent
            ))]),
        }
    }

    /// Reads the file again; one that cannot be used changes nothing.
    pub fn reload(&self) {
        match self.read() {
            Ok((read, timeline)) => {
                if self.path.is_some() {
                    info!("reload: the operator's file is taken over");
                }
                let releases = read.as_ref().map(|(releases, _)| releases.clone());
                self.event_loop.enqueue(move |router| {
                    router.order(read);
                    router.recorder.order(router.now, timeline);
                });
                self.attend(releases.as_ref());
            }
            Err(faults) => faults
                .iter()
                .for_each(|fault| info!("reload: {fault}; nothing changes")),
        }
    }

    /// Talks with the desks that the file names, and no longer with others.
    fn attend(&self, releases: Option<&Releases>) {
        self.state
            .replace(releases.and_then(|releases| releases.state.clone()));
        let named = |releases: &Releases| {
            let name = |release_watch: &lilacgate_operator_config::Desk| {
                releases.rules.service(release_watch.service).to_owned()
            };
            releases
                .desks
                .iter()
                .map(|release_watch| (name(release_watch), *release_watch))
                .collect::<HashMap<_, _>>()
        };
        let wanted = releases.map(named).unwrap_or_default();
        let mut desks = self.desks.borrow_mut();
        desks.retain(|name, _| wanted.contains_key(name));
        for (name, release_watch) in wanted {
            if let Some(attended) = desks.get(&name) {
                attended.service.set(release_watch.service);
                attended.release_watch.place.set(release_watch.at);
                continue;
            }
            let service = Rc::new(Cell::new(release_watch.service));
            let router = Rc::new(Service {
                event_loop: self.event_loop.clone(),
                service: service.clone(),
            });
            let bound = Bound::ASecond(NOISE);
            let listener = ReleaseWatch::new(
                format!("release desk of {name}"),
                release_watch.at,
                self.connect_within,
                bound,
                router,
            );
            let (stop, stopped) = async_channel::bounded::<()>(1);
            let task = listener.clone();
            self.event_loop.spawn(async move {
                let until = async {
                    stopped.recv().await.ok();
                };
                futures_lite::future::or(task.run(), until).await;
            });
            desks.insert(
                name,
                Attended {
                    service,
                    release_watch: listener,
                    _stop: stop,
                },
            );
        }
    }

    /// Writes the gate's state where the file wants it, off the loop, by rename.
    pub fn write_state(&self) {
        self.event_loop
            .enqueue(|router| router.recorder.dump(router.now));
        let Some(path) = self.state.borrow().clone() else {
            return;
        };
        let agent = self.agent.clone();
        self.event_loop.enqueue(move |router| {
            if let Some(text) = router.state(&agent) {
                replace("releases: state", path, text.into_bytes());
            }
        });
    }
}

/// Passes on what another service's desk tells.
struct Service {
    event_loop: Rc<EventLoop>,
    service: Rc<Cell<ServiceId>>,
}

impl ReleaseWatchListener for Service {
    fn news(&self, news: ReleaseUpdate) {
        let service = self.service.get();
        let since = self.event_loop.clock.now().saturating_sub(news.age);
        let told = Told {
            build: news.build,
            stage: news.stage,
            course: news.course,
            since,
        };
        self.event_loop
            .enqueue(move |router| router.service(service, told));
    }

    fn lives(&self) {
        let service = self.service.get();
        self.event_loop
            .enqueue(move |router| router.service_lives(service));
    }
}
